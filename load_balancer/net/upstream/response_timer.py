"""Timer that limits the time from the first byte of a response to its last. Each connection owns one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class ResponseTimer:
    """Timer that runs while a response is received, except while received bytes wait to be processed."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a stopped timer.

        Args:
            loop: The event loop.
        """
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None
        self._paused_with_s: float | None = None  # the remaining time while the timer is paused

    @property
    def is_started(self) -> bool:
        """Whether the timer is running or paused, that is, a response has begun and not ended."""
        return self._handle is not None or self._paused_with_s is not None

    def start(self, limit_s: float, on_expiry: Callable[[], None]) -> None:
        """Start the timer, or continue it after a pause; do nothing if it is running.

        Args:
            limit_s: Seconds from the start until the timer expires, without the pauses.
            on_expiry: Called when the timer expires. It is referenced only while the timer runs: it refers to
                the owner of the timer, and a permanent reference cycle would leave both to the garbage
                collector.
        """
        if self._handle is not None:
            return
        remaining_s = limit_s if self._paused_with_s is None else self._paused_with_s
        self._paused_with_s = None
        self._handle = self._loop.call_later(remaining_s, on_expiry)

    def pause(self) -> None:
        """Pause the timer; do nothing if it is not running."""
        if self._handle is not None:
            remaining_s = max(0.0, self._handle.when() - self._loop.time())
            self.stop()
            self._paused_with_s = remaining_s

    def stop(self) -> None:
        """Stop the timer; do nothing if it has not been started."""
        self._paused_with_s = None
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
