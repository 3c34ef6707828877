"""The event loop's clock as a test moves it, and how a test lets the event loop run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


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


async def wait_until(condition: Callable[[], bool]) -> None:
    """Let the event loop run until the condition holds; the test's bound in time is the only limit."""
    while not condition():
        await asyncio.sleep(0)


async def run_loop_turns(count: int = 50) -> None:
    """Let the event loop turn so many times, for all that is ready to run."""
    for _ in range(count):
        await asyncio.sleep(0)
