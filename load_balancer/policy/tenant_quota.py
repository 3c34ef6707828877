"""The request quotas of tenants. Requests over the quota have a lower priority."""

from __future__ import annotations

from load_balancer.policy.token_bucket import TokenBucket

US_PER_S = 1e6


class TenantQuota:
    """Token bucket for this balancer's part of a tenant's quota. It holds the requests of one second."""

    def __init__(self, quota_per_s: float, instances: int) -> None:
        """Start with a full bucket.

        Args:
            quota_per_s: The quota over all balancers, in requests per second.
            instances: The number of balancers.
        """
        self._tokens_per_us = quota_per_s / max(1, instances) / US_PER_S
        max_tokens = max(1.0, self._tokens_per_us * US_PER_S)
        self._bucket = TokenBucket(max_tokens, max_tokens)

    def try_spend(self, now_us: int) -> bool:
        """Charge one request to the quota, or return False if it is exhausted."""
        self._bucket.refill(now_us, self._tokens_per_us)
        return self._bucket.try_spend()
