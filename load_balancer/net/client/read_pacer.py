"""Limits how often connections that send tiny pieces are read, so that many of them leave time for others.

Each read costs about as much as a usual request, whatever it delivers. Below a rate of small reads that the
process bears easily, nothing is done. Above it, a connection that has delivered a small piece is not read
again before the next interval, and its pieces arrive together. `client_registry` owns the one pacer.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

PACE_INTERVAL_S = 0.1
# Small reads in one interval after which connections are paused.
MAX_SMALL_READS = 300
# A read of this size is not small.
SMALL_PIECE_BYTES = 256


class PacedReader(Protocol):
    """Interface that the pacer requires of the part that reads a connection."""

    def resume_after_pause(self) -> None:
        """Read the connection again."""


class ReadPacer:
    """Counts small reads, and pauses connections until the next interval while there are many."""

    def __init__(self) -> None:
        """Start without connections. Requires a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._read_count = 0  # in this interval
        self._paused: dict[PacedReader, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def paused_count(self) -> int:
        """Number of connections that are not read until the next interval."""
        return len(self._paused)

    def is_paused(self, reader: PacedReader) -> bool:
        """Return whether a connection is not to be read until the next interval."""
        return reader in self._paused

    def count_small_read(self, reader: PacedReader) -> None:
        """Count a small read, after which the connection may be paused."""
        self._read_count += 1
        if self._read_count > MAX_SMALL_READS:
            self._paused[reader] = None
        if self._timer is None:
            self._timer = self._loop.call_later(PACE_INTERVAL_S, self._begin_interval)

    def remove(self, reader: PacedReader) -> None:
        """Forget a closed connection."""
        self._paused.pop(reader, None)

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _begin_interval(self) -> None:
        """Read the paused connections again."""
        self._timer = None
        self._read_count = 0
        paused, self._paused = self._paused, {}
        for reader in paused:
            reader.resume_after_pause()
