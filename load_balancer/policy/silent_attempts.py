"""Finds attempts at endpoints that take requests and answer none, where endpoints may not be asked.

Where health checks are allowed, `health_check` takes the place of this.
"""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.attempt import HangLimit
from load_balancer.policy.attempt_dispatcher import AttemptDispatcher
from load_balancer.policy.endpoint_state import EndpointAttempt
from load_balancer.policy.open_requests import OpenRequests
from load_balancer.policy.retry_budget import RetryBudget
from load_balancer.policy.router import Router
from load_balancer.policy.scan_timer import ScanTimer

# An attempt in flight for this long is made again elsewhere if its endpoint has answered nothing at all since
# it was sent.
SILENT_LIMIT = HangLimit(3.0, 0)


class SilentAttemptDetector:
    """Gives up attempts at silent endpoints in time for a retry, where one may be made.

    An endpoint may take requests and answer none: each would hang until it is lost. One that is only
    slow or crowded goes on answering, and a further copy would crowd it more.
    """

    def __init__(
        self,
        limits: messages.Limits,
        open_requests: OpenRequests,
        dispatcher: AttemptDispatcher,
        router: Router,
        retry_budget: RetryBudget,
        scan_timer: ScanTimer,
    ) -> None:
        """Take the parts that are looked at."""
        self._limits = limits
        self._open_requests = open_requests
        self._dispatcher = dispatcher
        self._router = router
        self._retry_budget = retry_budget
        self._scan_timer = scan_timer

    def abandon_silent(self, now_us: int) -> None:
        """Give up attempts at silent endpoints, no more than the retry budget can replace."""
        affordable_retries = self._retry_budget.tokens
        for attempt in list(self._dispatcher.in_flight.values()):
            if affordable_retries < 1.0:
                break
            if self._is_silent(now_us, attempt) and self._can_be_replaced(now_us, attempt):
                affordable_retries -= 1.0
                self._dispatcher.abandon(now_us, attempt)
        if self._dispatcher.in_flight:
            self._scan_timer.schedule(now_us)

    @staticmethod
    def _is_silent(now_us: int, attempt: EndpointAttempt) -> bool:
        if attempt.is_abandoned or not attempt.is_hanging(now_us, SILENT_LIMIT):
            return False
        return attempt.endpoint.responded_at_us < attempt.sent_at_us

    def _can_be_replaced(self, now_us: int, attempt: EndpointAttempt) -> bool:
        request = self._open_requests.by_id.get(attempt.request_id)
        if request is None or request.is_streaming:
            return False
        if not request.has_attempts_left(self._limits.max_attempts) or not request.can_finish_in_time(now_us):
            return False
        return self._router.has_available_alternative(now_us, request, attempt.endpoint)
