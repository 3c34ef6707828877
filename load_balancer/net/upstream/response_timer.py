"""Limits the time that a response may take from its first byte. Each connection owns one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class ResponseTimer:
    """A timer that runs while a response is coming."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Prepare a timer that does not run.

        Args:
            loop: The event loop, whose clock counts.
        """
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether a response has begun and has not ended."""
        return self._handle is not None

    def start(self, limit_s: float, on_expiry: Callable[[], None]) -> None:
        """Start the timer unless it runs.

        Args:
            limit_s: Seconds that the response may take from now.
            on_expiry: Is called if it takes longer. It is kept only while the timer runs: its owner, which
                owns the timer too, could otherwise be freed by the garbage collector alone.
        """
        if self._handle is None:
            self._handle = self._loop.call_later(limit_s, on_expiry)

    def stop(self) -> None:
        """Stop the timer; do nothing if it does not run."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
