"""The requests that are owed a final response: their deadlines, and the one response that each of them gets.

A request is added on arrival. It leaves when its endpoint's answer goes to the client, when the client
leaves, or with a final response of the balancer's own: a rejection or a failure.
"""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.outbox import Outbox, RequestDeadline
from load_balancer.policy.request_state import RequestState


class OpenRequests:
    """All requests without a final response so far."""

    def __init__(self, limits: messages.Limits, outbox: Outbox, margin_us: int) -> None:
        """Start without requests; `margin_us` is kept back from their deadlines."""
        self._limits = limits
        self._outbox = outbox
        self._margin_us = margin_us
        self.by_id: dict[str, RequestState] = {}

    def add(self, now_us: int, request: RequestState) -> None:
        """Take in a request and set the timer of its deadline."""
        self.by_id[request.id] = request
        at_us = max(now_us, request.deadline_us - self._margin_us)
        request.deadline_timer = self._outbox.set_timer(at_us, RequestDeadline(request.id))

    def remove(self, request: RequestState) -> None:
        """Forget a request that is owed no final response of the balancer's own any more."""
        del self.by_id[request.id]
        self._outbox.cancel_timer(request.deadline_timer)

    def handle_client_gone(self, request_id: str) -> None:
        """Forget a request whose client has left: nothing is owed any more."""
        request = self.by_id.get(request_id)
        if request is not None:
            self.remove(request)
            self._cancel_attempts(request)

    def handle_stream_started(self, request_id: str) -> None:
        """Note that the answer has begun; it belongs to the client from now on."""
        if request_id in self.by_id:
            self.by_id[request_id].is_streaming = True

    def handle_deadline(self, request_id: str) -> None:
        """Finish a request whose time is up."""
        request = self.by_id.get(request_id)
        if request is not None and not request.is_streaming:
            self.finish(request)

    def finish_all(self) -> None:
        """Give all requests their final response: the proxy shuts down."""
        for request in list(self.by_id.values()):
            self.finish(request)

    def finish(self, request: RequestState, *, is_unusable: bool = False) -> None:
        """Give the final response: a rejection where trying again is harmless, a failure otherwise.

        `is_unusable` says that no endpoint can use the request as it is: it fails in any case.
        """
        self.remove(request)
        request.request_class.add_result(served_in_time=False)
        self._cancel_attempts(request)
        if is_unusable or not request.is_safe_to_retry:
            self._outbox.add(messages.Fail(request.id))
            return
        # By the time that an answer of its class takes, each endpoint has finished a request once.
        usual_us = int(request.request_class.usual_latency_us)
        retry_after_us = min(usual_us, self._limits.retry_after_us)
        self._outbox.add(messages.Reject(request.id, retry_after_us))

    def _cancel_attempts(self, request: RequestState) -> None:
        if not self._limits.cancel:
            return
        for attempt in request.attempts:
            if attempt.outcome is None and not attempt.is_abandoned:
                self._outbox.add(messages.CancelAttempt(request.id, attempt.number))
