"""Timer that limits the time from the first byte of a response to its last. Each connection owns one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class ResponseTimer:
    """Timer that runs while a response is being received."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a stopped timer.

        Args:
            loop: The event loop.
        """
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether the timer is running, that is, a response has begun and not ended."""
        return self._handle is not None

    def start(self, limit_s: float, on_expiry: Callable[[], None]) -> None:
        """Start the timer unless it is running.

        Args:
            limit_s: Seconds from now until the timer expires.
            on_expiry: Called when the timer expires. It is referenced only while the timer runs: it refers to
                the owner of the timer, and a permanent reference cycle would leave both to the garbage
                collector.
        """
        if self._handle is None:
            self._handle = self._loop.call_later(limit_s, on_expiry)

    def stop(self) -> None:
        """Stop the timer; do nothing if it is not running."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
