"""The retry budget, which limits retries to a share of the requests."""

from __future__ import annotations

from load_balancer.policy.token_bucket import TokenBucket

# Retries per request. A higher ratio would amplify an overload. Slow start also uses this ratio to estimate
# the rate at endpoints outside of the subset, which receive retries only.
RETRIES_PER_REQUEST = 0.2
MAX_SAVED_RETRIES = 10.0


class RetryBudget(TokenBucket):
    """Token bucket for retries that is refilled by requests, not by time, as in Finagle's `RetryBudget`."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        super().__init__(MAX_SAVED_RETRIES, MAX_SAVED_RETRIES)

    def earn(self) -> None:
        """Add the tokens that one request earns."""
        self.add(RETRIES_PER_REQUEST)
