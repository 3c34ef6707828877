"""The requests without a final response, their deadlines, and the balancer's own final responses.

A request is added on arrival. It is removed when an endpoint's response goes to the client, when the client
disconnects, or when the balancer itself sends the final response, a rejection or a failure.
"""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.outbox import Outbox, RequestDeadline
from load_balancer.policy.request_state import RequestState


class OpenRequests:
    """The requests that have no final response yet."""

    def __init__(self, limits: messages.Limits, outbox: Outbox, margin_us: int) -> None:
        """Start without requests.

        Args:
            limits: The limits of the site.
            outbox: Collects the final responses and the timers.
            margin_us: The time by which deadlines are brought forward.
        """
        self._limits = limits
        self._outbox = outbox
        self._margin_us = margin_us
        self.by_id: dict[str, RequestState] = {}

    def add(self, now_us: int, request: RequestState) -> None:
        """Add a request and set the timer for its deadline."""
        self.by_id[request.id] = request
        at_us = max(now_us, request.deadline_us - self._margin_us)
        request.deadline_timer_id = self._outbox.set_timer(at_us, RequestDeadline(request.id))

    def remove(self, request: RequestState) -> None:
        """Remove a request that needs no final response from the balancer any more, and cancel its timer."""
        del self.by_id[request.id]
        self._outbox.cancel_timer(request.deadline_timer_id)

    def handle_client_gone(self, request_id: str) -> None:
        """Remove a request whose client has disconnected, and cancel its attempts."""
        request = self.by_id.get(request_id)
        if request is not None:
            self.remove(request)
            self._cancel_attempts(request)

    def handle_stream_started(self, request_id: str) -> None:
        """Mark a request as streaming: its response has begun, and its deadline no longer applies."""
        if request_id in self.by_id:
            self.by_id[request_id].is_streaming = True

    def handle_deadline(self, request_id: str) -> None:
        """Finish a request at its deadline, unless its response is streaming."""
        request = self.by_id.get(request_id)
        if request is not None and not request.is_streaming:
            self.finish(request)

    def finish_all(self) -> None:
        """Finish all requests, as the proxy shuts down."""
        for request in list(self.by_id.values()):
            self.finish(request)

    def finish(self, request: RequestState, *, is_unusable: bool = False) -> None:
        """Send the final response: a rejection if the client can safely retry, else a failure.

        Args:
            request: The request to finish.
            is_unusable: Whether the request is invalid for every endpoint; it then fails in any case.
        """
        self.remove(request)
        request.request_class.add_result(served_in_time=False)
        self._cancel_attempts(request)
        if is_unusable or not request.is_safe_to_retry:
            self._outbox.add(messages.Fail(request.id))
            return
        # Within the usual latency of the class, each endpoint finishes a request and has capacity again.
        usual_us = int(request.request_class.usual_latency_us)
        retry_after_us = min(usual_us, self._limits.retry_after_us)
        self._outbox.add(messages.Reject(request.id, retry_after_us))

    def _cancel_attempts(self, request: RequestState) -> None:
        if not self._limits.cancel:
            return
        for attempt in request.attempts:
            if attempt.outcome is None and not attempt.is_abandoned:
                self._outbox.add(messages.CancelAttempt(request.id, attempt.number))
