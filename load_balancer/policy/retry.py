"""The decision whether a request is retried after a failed attempt."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.request_state import RequestState
from load_balancer.policy.retry_budget import RetryBudget
from load_balancer.policy.router import Router


class RetryRule:
    """Decides whether a request whose attempts have all failed is retried."""

    def __init__(self, limits: messages.Limits, router: Router, budget: RetryBudget) -> None:
        """Store the components.

        Args:
            limits: The limits of the site, which include the number of attempts per request.
            router: Determines the endpoints that a retry may be sent to.
            budget: The retry budget that retries are charged to.
        """
        self._limits = limits
        self._router = router
        self.budget = budget

    def claim_retry(self, now_us: int, request: RequestState, last_outcome: messages.Outcome) -> bool:
        """Charge a retry to the budget and return True, or return False if no retry is possible.

        A retry after an attempt that was not sent costs nothing, as it repeats no work. Attempts of a request
        never overlap, so none is in flight at this point.
        """
        is_allowed = any(state.is_up for state in self._router.eligible_endpoints(now_us, request))
        cost = 0.0 if last_outcome is messages.Outcome.NOT_SENT else 1.0
        has_attempts_left = request.has_attempts_left(self._limits.max_attempts)
        return is_allowed and has_attempts_left and self.budget.try_spend(cost)
