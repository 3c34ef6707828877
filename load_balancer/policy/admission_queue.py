"""The admission queue: requests that wait for an endpoint with room, the most valuable first.

A request that no endpoint is open for waits here for part of its time. The balancer has the queue looked at
after each event and by a timer; a request whose wait is over gets its final response.
"""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field

from load_balancer.policy.attempt_dispatcher import AttemptDispatcher
from load_balancer.policy.concurrency_limit import ConcurrencyLimit
from load_balancer.policy.open_requests import OpenRequests
from load_balancer.policy.outbox import Outbox, QueueScan
from load_balancer.policy.request_state import RequestState

QUEUE_SCAN_US = 20_000  # queued requests are looked at this often


@dataclass(frozen=True, slots=True, order=True)
class QueueEntry:
    """A place in the queue: the most valuable request first, then in order of arrival."""

    negative_priority: float
    queued_at_us: int
    sequence: int
    request_id: str = field(compare=False)


class AdmissionQueue:
    """Requests that wait for an endpoint, the most valuable first."""

    def __init__(
        self,
        outbox: Outbox,
        open_requests: OpenRequests,
        dispatcher: AttemptDispatcher,
        limit: ConcurrencyLimit,
    ) -> None:
        """Start empty."""
        self._outbox = outbox
        self._open_requests = open_requests
        self._dispatcher = dispatcher
        self._limit = limit
        self._entries: list[QueueEntry] = []
        self._sequence = 0
        self._is_scan_scheduled = False

    def __bool__(self) -> bool:
        """Tell whether a request waits."""
        return bool(self._entries)

    @property
    def request_ids(self) -> list[str]:
        """The ids of the requests that wait, the most valuable first."""
        return [entry.request_id for entry in self._entries]

    def add(self, now_us: int, request: RequestState) -> None:
        """Queue a request that has found no open endpoint, for as long as waiting can be useful."""
        self._limit.mark_reached()
        request.queued_until_us = now_us + self._wait_us(now_us, request)
        self._sequence += 1
        insort(self._entries, QueueEntry(-request.priority, now_us, self._sequence, request.id))

    @staticmethod
    def _wait_us(now_us: int, request: RequestState) -> int:
        usual_us = int(request.request_class.usual_latency_us)
        wait_us = min(request.max_wait_us, request.useful_until_us - usual_us - now_us)
        if not request.may_have_been_written and now_us < request.free_rejection_until_us:
            wait_us = min(wait_us, request.free_rejection_until_us - now_us)
        return wait_us

    def scan_due(self) -> None:
        """Note that the timer of the next look at the queue has fired."""
        self._is_scan_scheduled = False

    def dispatch_waiting(self, now_us: int) -> None:
        """Send queued requests where endpoints are open, and schedule the next look where some still wait."""
        if not self._entries:
            return
        self._send_or_finish_waiting(now_us)
        if self._entries and not self._is_scan_scheduled:
            self._schedule_scan(now_us)

    def _schedule_scan(self, now_us: int) -> None:
        self._is_scan_scheduled = True
        first_due_us = min(
            self._open_requests.by_id[request_id].queued_until_us for request_id in self.request_ids
        )
        self._outbox.set_timer(min(now_us + QUEUE_SCAN_US, first_due_us), QueueScan())

    def _send_or_finish_waiting(self, now_us: int) -> None:
        """Send queued requests, the most valuable first; finish those that have waited long enough."""
        waiting, self._entries = self._entries, []
        first_attempts_fit = True
        retries_fit = True
        for entry in waiting:
            request = self._open_requests.by_id.get(entry.request_id)
            if request is None:
                continue
            if now_us >= request.queued_until_us:
                self._open_requests.finish(request)
                continue
            fits = first_attempts_fit and (retries_fit or not request.was_sent)
            if fits and self._dispatcher.send(now_us, request):
                continue
            # A retry finds fewer endpoints open than a first attempt, so its failure says nothing of those.
            if not request.may_have_run:
                first_attempts_fit = first_attempts_fit and request.was_sent
                retries_fit = False
            self._entries.append(entry)
