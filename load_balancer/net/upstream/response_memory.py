"""The memory that responses hold until they are complete, and the order in which they get it.

A small response arrives in one read and needs none. A larger one gets the memory for its whole body before
the rest of it is read; until then its connection is not read. `connection_pool` owns the one
`ResponseMemory`; each connection reports what it holds.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from load_balancer.net.event_counters import EventKind
from load_balancer.net.memory_budget import MemoryOwner
from load_balancer.net.shared_resources import SharedResources

CHECK_INTERVAL_S = 0.02


class ResponseHolder(Protocol):
    """Interface that this module requires of a connection."""

    def resume_response(self) -> None:
        """Go on reading the response, which has its memory now."""


class ResponseMemory:
    """Admits responses within the limit of the budget, in order of arrival.

    Attributes:
        shared: The memory budget and the counters of the process.
    """

    def __init__(self, shared: SharedResources) -> None:
        """Start without responses. Requires a running event loop.

        Args:
            shared: The memory budget and the counters of the process.
        """
        self.shared = shared
        self._reserved_bytes: dict[ResponseHolder, int] = {}
        self._waiting: dict[ResponseHolder, int] = {}  # needed bytes, in order of arrival
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting_count(self) -> int:
        """Number of responses that wait for memory."""
        return len(self._waiting)

    def may_read_fully(self, holder: ResponseHolder) -> bool:
        """Return whether the next read of a connection may have the usual size."""
        return not self.shared.budget.is_short_for_responses or holder in self._reserved_bytes

    def has_reserved(self, holder: ResponseHolder) -> bool:
        """Return whether the response on a connection has memory reserved."""
        return holder in self._reserved_bytes

    def reserve(self, holder: ResponseHolder, needed_bytes: int) -> bool:
        """Reserve memory for the response on a connection, or let it wait; do nothing if it has some.

        Args:
            holder: The connection.
            needed_bytes: What the response may hold until it is complete.

        Returns:
            Whether the memory is reserved. If not, `resume_response` will be called, or the attempt ends.
        """
        if holder in self._reserved_bytes:
            return True
        if not self._waiting and needed_bytes <= self.shared.budget.free_response_bytes:
            self._admit(holder, needed_bytes)
            return True
        if holder not in self._waiting:
            self._waiting[holder] = needed_bytes
            self.shared.counters.count(EventKind.RESPONSE_WAITED_FOR_MEMORY)
        self._schedule_check()
        return False

    def _admit(self, holder: ResponseHolder, needed_bytes: int) -> None:
        self._reserved_bytes[holder] = needed_bytes
        self.shared.budget.change(MemoryOwner.RESPONSES, needed_bytes)

    def release(self, holder: ResponseHolder) -> None:
        """Release the memory of a response that is complete or not needed any more."""
        self._waiting.pop(holder, None)
        reserved_bytes = self._reserved_bytes.pop(holder, 0)
        if reserved_bytes:
            self.shared.budget.change(MemoryOwner.RESPONSES, -reserved_bytes)

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_check(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        """Admit those that have waited longest, and look again soon if any wait."""
        self._timer = None
        for holder, needed_bytes in list(self._waiting.items()):
            # Alone, a response is admitted whatever the limit is, so that it cannot wait for itself.
            if self._reserved_bytes and needed_bytes > self.shared.budget.free_response_bytes:
                break
            del self._waiting[holder]
            self._admit(holder, needed_bytes)
            holder.resume_response()
        if self._waiting:
            self._schedule_check()
