"""Event loop clocks that a test advances, and helpers that run the event loop."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

STEP_S = 0.02
# A frozen clock starts at a multiple of this, so that the sum of its start and an advance by whole seconds is
# exact. Otherwise rounding can leave the clock just short of the time at which a tested timer is due.
FROZEN_CLOCK_RESOLUTION_S = 2.0**-10
TURNS_BETWEEN_STEPS = 40  # far more than a request and its response take on loopback


class SteppedClock:
    """Clock of the running event loop that a test can advance; timers that become due fire at once."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        real_time_s = loop.time
        self.advanced_s = 0.0  # total, in addition to the real time elapsed
        loop.time = lambda: real_time_s() + self.advanced_s  # type: ignore[method-assign]

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.advanced_s += seconds


class FrozenClock(SteppedClock):
    """Stepped clock that ignores real time, so that the load of the machine does not affect a test."""

    def __init__(self) -> None:
        super().__init__()
        loop = asyncio.get_running_loop()
        frozen_at_s = math.ceil(loop.time() / FROZEN_CLOCK_RESOLUTION_S) * FROZEN_CLOCK_RESOLUTION_S
        loop.time = lambda: frozen_at_s + self.advanced_s  # type: ignore[method-assign]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Run the event loop until the condition holds; only the test's time limit bounds the wait."""
    while not condition():
        await asyncio.sleep(0)


async def run_loop_turns(count: int = 50) -> None:
    """Run this many turns of the event loop, so that ready callbacks are processed."""
    for _ in range(count):
        await asyncio.sleep(0)


async def advance_until(
    clock: SteppedClock,
    condition: Callable[[], bool],
    max_s: float = 60.0,
    *,
    step_s: float = STEP_S,
    must_hold: bool = False,
) -> float:
    """Step time until the condition holds or `max_s` is reached; run the event loop after each step.

    Args:
        clock: The clock to move.
        condition: Checked before each step.
        max_s: The maximum total time to step.
        step_s: The length of a step.
        must_hold: Whether to fail the test if the condition does not hold within `max_s`.

    Returns:
        The seconds stepped.
    """
    started_at_s = clock.advanced_s
    while not condition():
        if clock.advanced_s - started_at_s >= max_s:
            assert not must_hold, "the condition did not hold within the maximum time"
            break
        clock.advance(step_s)
        await run_loop_turns(TURNS_BETWEEN_STEPS)
    return clock.advanced_s - started_at_s
