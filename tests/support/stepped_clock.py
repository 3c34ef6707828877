"""The event loop's clock as a test moves it, and how a test lets the event loop run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

STEP_S = 0.02
TURNS_BETWEEN_STEPS = 40  # far more than a call and its response take on loopback


class SteppedClock:
    """The running event loop's clock, which a test can move on: what falls due then fires at once."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        real_time_s = loop.time
        self.advanced_s = 0.0  # in all, beyond the time that has really passed
        loop.time = lambda: real_time_s() + self.advanced_s  # type: ignore[method-assign]

    def advance(self, seconds: float) -> None:
        """Move the clock on."""
        self.advanced_s += seconds


class FrozenClock(SteppedClock):
    """A stepped clock for which real time does not count: the same on a busy machine as on an idle one."""

    def __init__(self) -> None:
        super().__init__()
        loop = asyncio.get_running_loop()
        frozen_at_s = loop.time()
        loop.time = lambda: frozen_at_s + self.advanced_s  # type: ignore[method-assign]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Let the event loop run until the condition holds; the test's bound in time is the only limit."""
    while not condition():
        await asyncio.sleep(0)


async def run_loop_turns(count: int = 50) -> None:
    """Let the event loop turn so many times, for all that is ready to run."""
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
    """Step time until the condition holds, at most this long; the loop runs between two steps.

    Args:
        clock: The clock to move.
        condition: Looked at before each step.
        max_s: The longest time to step, in all.
        step_s: The length of a step.
        must_hold: Fail the test where the time is over before the condition holds.

    Returns:
        The seconds that it took.
    """
    began_s = clock.advanced_s
    while not condition():
        if clock.advanced_s - began_s >= max_s:
            assert not must_hold, "the condition never held"
            break
        clock.advance(step_s)
        await run_loop_turns(TURNS_BETWEEN_STEPS)
    return clock.advanced_s - began_s
