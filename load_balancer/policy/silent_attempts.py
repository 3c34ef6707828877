"""Detection of attempts at endpoints that accept requests and never respond, without health checks.

If the site allows health checks, `health_check` is used instead.
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

# An attempt that has been in flight for this long is retried at another endpoint if its own endpoint has sent
# no response at all since the attempt was sent.
SILENT_LIMIT = HangLimit(3.0, 0)


class SilentAttemptDetector:
    """Abandons attempts at silent endpoints early enough for a retry, if one is allowed.

    Attempts at an endpoint that accepts requests and never responds would hang until they time out. An
    endpoint that is only slow or overloaded still responds to others, and a retry would add to its load.
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
        """Create a detector that abandons attempts through the dispatcher."""
        self._limits = limits
        self._open_requests = open_requests
        self._dispatcher = dispatcher
        self._router = router
        self._retry_budget = retry_budget
        self._scan_timer = scan_timer

    def abandon_silent(self, now_us: int) -> None:
        """Abandon attempts at silent endpoints, at most as many as the retry budget allows to retry."""
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
