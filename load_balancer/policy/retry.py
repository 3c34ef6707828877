"""Retries: whether a request whose attempts have all failed gets a further one."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.request_state import RequestState
from load_balancer.policy.retry_budget import RetryBudget
from load_balancer.policy.router import Router


class RetryRule:
    """Decides whether a request whose attempts have all failed gets a further one."""

    def __init__(self, limits: messages.Limits, router: Router, budget: RetryBudget) -> None:
        """Take the site's limit on attempts, and the budget that retries are paid from."""
        self._limits = limits
        self._router = router
        self.budget = budget

    def claim_retry(self, now_us: int, request: RequestState, last_outcome: messages.Outcome) -> bool:
        """Pay for a retry and return True; return False where none is allowed or affordable.

        The one after an attempt that was not sent costs nothing: there is no work that it would double.
        Attempts never overlap, so none of the request is in flight here.
        """
        is_allowed = any(state.is_up for state in self._router.eligible_endpoints(now_us, request))
        cost = 0.0 if last_outcome is messages.Outcome.NOT_SENT else 1.0
        has_attempts_left = request.has_attempts_left(self._limits.max_attempts)
        return is_allowed and has_attempts_left and self.budget.try_spend(cost)
