"""The admission queue, which holds requests until an endpoint is available for them.

Requests are sent in the order of their priority. The balancer scans the queue after each event and on a
timer. A request whose wait expires in the queue gets its final response.
"""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field

from load_balancer.policy.attempt_dispatcher import AttemptDispatcher
from load_balancer.policy.concurrency_limit import ConcurrencyLimit
from load_balancer.policy.open_requests import OpenRequests
from load_balancer.policy.outbox import Outbox, QueueScan
from load_balancer.policy.request_state import RequestState

QUEUE_SCAN_INTERVAL_US = 20_000  # between scans of the queue


@dataclass(frozen=True, slots=True, order=True)
class QueueEntry:
    """An entry of the queue, which sorts by descending priority and then by arrival."""

    negative_priority: float
    queued_at_us: int
    sequence: int
    request_id: str = field(compare=False)


class AdmissionQueue:
    """Priority queue of the requests for which no endpoint is available."""

    def __init__(
        self,
        outbox: Outbox,
        open_requests: OpenRequests,
        dispatcher: AttemptDispatcher,
        concurrency_limit: ConcurrencyLimit,
    ) -> None:
        """Start with an empty queue.

        Args:
            outbox: Collects the timers.
            open_requests: Finishes the requests that have waited too long.
            dispatcher: Sends the requests.
            concurrency_limit: Is notified of requests for which no endpoint was available.
        """
        self._outbox = outbox
        self._open_requests = open_requests
        self._dispatcher = dispatcher
        self._concurrency_limit = concurrency_limit
        self._entries: list[QueueEntry] = []
        self._sequence = 0
        self._is_scan_scheduled = False

    def __bool__(self) -> bool:
        """Return whether any request is queued."""
        return bool(self._entries)

    @property
    def request_ids(self) -> list[str]:
        """The ids of the queued requests, by descending priority."""
        return [entry.request_id for entry in self._entries]

    def add(self, now_us: int, request: RequestState) -> None:
        """Queue a request for which no endpoint is available.

        The request waits for at most `max_queue_wait_us`, and not beyond the time from which a response with
        the usual latency of its class would be too late to have a value. While a rejection is still free, the
        wait also ends before a rejection has a cost.
        """
        self._concurrency_limit.mark_reached()
        request.queued_until_us = now_us + self._queue_wait_us(now_us, request)
        self._sequence += 1
        insort(self._entries, QueueEntry(-request.priority, now_us, self._sequence, request.id))

    @staticmethod
    def _queue_wait_us(now_us: int, request: RequestState) -> int:
        usual_us = int(request.request_class.usual_latency_us)
        wait_us = min(request.max_queue_wait_us, request.useful_until_us - usual_us - now_us)
        if not request.may_have_been_written and now_us < request.free_rejection_until_us:
            wait_us = min(wait_us, request.free_rejection_until_us - now_us)
        return wait_us

    def mark_scan_fired(self) -> None:
        """Record that the timer of the next scan has fired."""
        self._is_scan_scheduled = False

    def dispatch_waiting(self, now_us: int) -> None:
        """Send queued requests to available endpoints, and schedule the next scan if any remain queued."""
        if not self._entries:
            return
        self._send_or_finish_waiting(now_us)
        if self._entries and not self._is_scan_scheduled:
            self._schedule_scan(now_us)

    def _schedule_scan(self, now_us: int) -> None:
        self._is_scan_scheduled = True
        earliest_expiry_us = min(
            self._open_requests.by_id[request_id].queued_until_us for request_id in self.request_ids
        )
        self._outbox.set_timer(min(now_us + QUEUE_SCAN_INTERVAL_US, earliest_expiry_us), QueueScan())

    def _send_or_finish_waiting(self, now_us: int) -> None:
        """Send queued requests by descending priority, and finish those whose wait has expired."""
        waiting, self._entries = self._entries, []
        may_send_first_attempts = True
        may_send_retries = True
        for entry in waiting:
            request = self._open_requests.by_id.get(entry.request_id)
            if request is None:
                continue
            if now_us >= request.queued_until_us:
                self._open_requests.finish(request)
                continue
            is_sendable = may_send_first_attempts and (may_send_retries or not request.was_sent)
            if is_sendable and self._dispatcher.send(now_us, request):
                continue
            # A first attempt that cannot be sent holds back all later requests. A retry has fewer endpoints
            # than a first attempt, so it holds back retries only. A request that may have run has even fewer
            # endpoints and holds back none.
            if not request.may_have_run:
                may_send_first_attempts = may_send_first_attempts and request.was_sent
                may_send_retries = False
            self._entries.append(entry)
