"""The memory that requests of clients hold, from their first byte to their final response.

A request gets all the memory that it needs before its body is read. Until then its connection is not read,
so that the system slows its client down. `client_registry` owns the one `RequestMemory`; each connection
reports what it holds. `net/memory_admission` decides who is admitted, ended or refused.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.http_response import SERVICE_UNAVAILABLE
from load_balancer.net.driver.client_messages import ClientResponse
from load_balancer.net.event_counters import EventCounters, EventKind
from load_balancer.net.memory_admission import IncompleteRequest, WaitingRequest, decide
from load_balancer.net.memory_budget import MemoryAccount, MemoryBudget, MemoryOwner
from load_balancer.net.repeated_log_lines import LogLine, periodic_line

log = logging.getLogger(__name__)

# Up to this share, requests larger than SMALL_REQUEST_BYTES are admitted at once. The rest is left to small
# ones, which are not to wait behind large ones.
LARGE_REQUEST_SHARE = 0.8
SMALL_REQUEST_BYTES = 16 * 1024
CHECK_INTERVAL_S = 0.02
LOG_INTERVAL_S = 5.0


class MemoryHolder(Protocol):
    """Interface that this module requires of the part that receives the requests of a connection."""

    @property
    def is_receiving_request(self) -> bool:
        """Whether a request has been received in part and is neither complete nor waiting for memory."""

    @property
    def is_waiting_for_memory(self) -> bool:
        """Whether the request still waits. Its connection may be closing for another reason."""

    @property
    def has_request_arrived(self) -> bool:
        """Whether all bytes of the request that waits for memory have arrived, as far as is known."""

    @property
    def request_age_s(self) -> float:
        """Time since the first byte of the request that is being received, in seconds."""

    @property
    def request_idle_s(self) -> float:
        """Time since the latest byte of the request that is being received, in seconds."""

    def resume_request(self) -> None:
        """Go on with the request that waited for memory, which it has now."""

    def refuse_request(self, response: ClientResponse) -> None:
        """End the request, which has not been forwarded, with a response, and discard what it holds."""


class RequestMemoryState:
    """What one connection holds for its requests.

    Attributes:
        account: The charge of the connection: what it holds, or what it may hold if that is more.
        reserved_bytes: The memory that the current request may hold in all.
        needed_bytes: The memory that the request waits for.
        waits_until_s: The time until which the request may wait for memory; None if it does not wait.
        waited_from_s: The time at which the current request began to wait for memory; None if it never did.
    """

    __slots__ = ("account", "needed_bytes", "reserved_bytes", "waited_from_s", "waits_until_s")

    def __init__(self, budget: MemoryBudget) -> None:
        """Start without a charge."""
        self.account = MemoryAccount(budget, MemoryOwner.REQUESTS)
        self.reserved_bytes = 0
        self.needed_bytes = 0
        self.waits_until_s: float | None = None
        self.waited_from_s: float | None = None


class RequestMemory:
    """Admits requests within the limit of the budget.

    Attributes:
        budget: The memory budget of the process.
    """

    def __init__(self, budget: MemoryBudget, counters: EventCounters) -> None:
        """Start without connections. Requires a running event loop.

        Args:
            budget: The memory budget of the process.
            counters: Counts the requests that wait, are ended or refused.
        """
        self.budget = budget
        self._counters = counters
        self._holders: dict[RequestMemoryState, MemoryHolder] = {}
        self._waiting: dict[RequestMemoryState, None] = {}  # in order of arrival
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._short_log = periodic_line(
            log,
            LogLine(logging.WARNING, "memory is short, reading is stopped for %d requests; KiB held: %s"),
            "memory was short for %d more requests",
            LOG_INTERVAL_S,
        )

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for memory."""
        return len(self._waiting)

    @property
    def is_short(self) -> bool:
        """Whether so much is held that connections are read in small pieces."""
        return self.budget.is_short_for_requests

    def add(self, holder: MemoryHolder) -> RequestMemoryState:
        """Add a connection that holds nothing yet, and return its state."""
        state = RequestMemoryState(self.budget)
        self._holders[state] = holder
        return state

    def remove(self, state: RequestMemoryState) -> None:
        """Remove a closed connection and release what it held."""
        self.release(state)
        self._holders.pop(state, None)

    def may_read_fully(self, state: RequestMemoryState) -> bool:
        """Return whether the next read of a connection may have the usual size."""
        return not self.budget.is_short_for_requests or state.reserved_bytes > 0

    @staticmethod
    def update(state: RequestMemoryState, held_bytes: int) -> None:
        """Record what a connection holds for its requests, in bytes."""
        state.account.set(max(held_bytes, state.reserved_bytes))

    def reserve(self, state: RequestMemoryState, needed_bytes: int, max_wait_s: float) -> bool:
        """Reserve memory for the current request of a connection, or let it wait.

        Args:
            state: The state of the connection.
            needed_bytes: What the request may hold in all, from now until its final response.
            max_wait_s: The longest wait in seconds. The request is refused then.

        Returns:
            Whether the memory is reserved. If not, `resume_request` or `refuse_request` will be called.
        """
        if self._fits(needed_bytes - state.account.charged_bytes):
            self._admit(state, needed_bytes)
            return True
        now_s = self._loop.time()
        state.needed_bytes = needed_bytes
        state.waits_until_s = now_s + max_wait_s
        if state.waited_from_s is None:
            state.waited_from_s = now_s
        self._waiting[state] = None
        self._counters.count(EventKind.REQUEST_WAITED_FOR_MEMORY)
        self._short_log.record(now_s, len(self._waiting), self.budget.describe())
        self._schedule_check(0.0)
        return False

    def settle(self, state: RequestMemoryState, needed_bytes: int) -> None:
        """Replace the reservation of a request that has been received completely, in bytes."""
        state.reserved_bytes = needed_bytes
        state.account.set(needed_bytes)

    def _fits(self, additional_bytes: int) -> bool:
        if additional_bytes <= 0:
            return True
        free_bytes = self.budget.free_request_bytes
        if additional_bytes > SMALL_REQUEST_BYTES:
            if self._waiting:
                return False
            free_bytes -= self._spared_bytes
        return additional_bytes <= free_bytes

    @property
    def _spared_bytes(self) -> int:
        return int((1.0 - LARGE_REQUEST_SHARE) * self.budget.limits.requests_bytes)

    @staticmethod
    def _admit(state: RequestMemoryState, needed_bytes: int) -> None:
        state.reserved_bytes = needed_bytes
        state.account.set(max(state.account.charged_bytes, needed_bytes))

    def release(self, state: RequestMemoryState, held_bytes: int = 0) -> None:
        """Release the memory of a request that has ended.

        Args:
            state: The state of the connection.
            held_bytes: What the connection still holds, such as bytes of the next request.
        """
        state.reserved_bytes = 0
        state.waits_until_s = None
        state.waited_from_s = None
        self._waiting.pop(state, None)
        state.account.set(held_bytes)

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_check(self, delay_s: float) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        """Admit, end or refuse requests as `memory_admission` decides, and look again soon if any wait."""
        self._timer = None
        for state in [state for state in self._waiting if not self._holders[state].is_waiting_for_memory]:
            self.release(state)
        states = {id(state): state for state in self._holders}
        free_bytes = self.budget.free_request_bytes - self._spared_bytes
        decision = decide(free_bytes, self._waiting_requests(), self._incomplete_requests())
        for key in decision.expired:
            self._refuse(states[key], EventKind.REQUEST_REFUSED_FOR_MEMORY)
        for key in decision.ended:
            self._refuse(states[key], EventKind.REQUEST_ENDED_FOR_MEMORY)
        for key in decision.admitted:
            self._resume(states[key])
        if self._waiting:
            self._schedule_check(CHECK_INTERVAL_S)

    def _waiting_requests(self) -> list[WaitingRequest]:
        now_s = self._loop.time()
        return [
            WaitingRequest(
                key=id(state),
                needed_bytes=max(0, state.needed_bytes - state.account.charged_bytes),
                has_arrived=self._holders[state].has_request_arrived,
                has_expired=state.waits_until_s is not None and now_s >= state.waits_until_s,
            )
            for state in self._waiting
        ]

    def _incomplete_requests(self) -> list[IncompleteRequest]:
        return [
            IncompleteRequest(
                key=id(state),
                held_bytes=state.account.charged_bytes,
                age_s=holder.request_age_s,
                idle_s=holder.request_idle_s,
            )
            for state, holder in self._holders.items()
            if state.account.charged_bytes and holder.is_receiving_request
        ]

    def _refuse(self, state: RequestMemoryState, reason: EventKind) -> None:
        holder = self._holders[state]
        self._counters.count(reason)
        self.release(state)
        holder.refuse_request(SERVICE_UNAVAILABLE)

    def _resume(self, state: RequestMemoryState) -> None:
        self._waiting.pop(state, None)
        state.waits_until_s = None
        self._admit(state, state.needed_bytes)
        self._holders[state].resume_request()

    def shed_incomplete(self, max_count: int) -> int:
        """End incomplete and waiting requests, those first that hold most, and return their number.

        Args:
            max_count: The largest number of requests to end.
        """
        states = [
            state
            for state, holder in self._holders.items()
            if state in self._waiting or holder.is_receiving_request
        ]
        states.sort(key=lambda state: state.account.charged_bytes, reverse=True)
        for state in states[:max_count]:
            self._refuse(state, EventKind.REQUEST_ENDED_FOR_MEMORY)
        return len(states[:max_count])


def request_cost_bytes(body_bytes: int, head_bytes: int = 0) -> int:
    """Return the memory that a request takes until its final response.

    Args:
        body_bytes: The size of its body.
        head_bytes: The size of what is kept of its head.
    """
    return limits.OPEN_REQUEST_BYTES + head_bytes + round(body_bytes * limits.BODY_COST)
