"""The retry budget: retries that a balancer may make, earned by the requests that arrive."""

from __future__ import annotations

from load_balancer.policy.token_bucket import TokenBucket

# Retries earned by each request: more would feed an overload. Slow start counts on it for endpoints outside
# of the subset, which get nothing but retries.
RETRIES_PER_REQUEST = 0.2
MAX_SAVED_RETRIES = 10.0


class RetryBudget(TokenBucket):
    """A token bucket of retries, as in Finagle's retry budget: filled by requests, not by time."""

    def __init__(self) -> None:
        """Start full."""
        super().__init__(MAX_SAVED_RETRIES, MAX_SAVED_RETRIES)

    def earn(self) -> None:
        """Credit one request."""
        self.add(RETRIES_PER_REQUEST)
