"""Real-time limit of each asynchronous test, so that a fault fails the test instead of hanging it."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from functools import wraps
from typing import ParamSpec

TEST_TIMEOUT_S = 10.0

Parameters = ParamSpec("Parameters")


@asynccontextmanager
async def real_time_limit(seconds: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` in the current task after this much real time.

    A thread measures the time because a test may step the event loop's clock.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        timer = threading.Timer(seconds, loop.call_soon_threadsafe, (timeout.reschedule, 0.0))
        timer.daemon = True
        timer.start()
        try:
            yield
        finally:
            timer.cancel()


def with_time_limit(
    test: Callable[Parameters, Awaitable[None]], seconds: float = TEST_TIMEOUT_S
) -> Callable[Parameters, Coroutine[None, None, None]]:
    """Return this asynchronous test function with a real-time limit."""

    @wraps(test)
    async def within_limit(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        async with real_time_limit(seconds):
            await test(*args, **kwargs)

    return within_limit


def run_in_event_loop(coroutine_function: Callable[[], Awaitable[None]]) -> None:
    """Run the asynchronous part of a synchronous test that checks the state after its event loop closes."""
    asyncio.run(with_time_limit(coroutine_function)())
