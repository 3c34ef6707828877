"""The quotas of tenants: how many requests of each one count with their full priority."""

from __future__ import annotations

from load_balancer.policy.token_bucket import TokenBucket

US_PER_S = 1e6


class TenantQuota:
    """This balancer's part of a tenant's quota: a token bucket that holds the tokens of one second."""

    def __init__(self, quota_per_s: float, instances: int) -> None:
        """Start full. `quota_per_s` is the quota over all instances, in requests a second."""
        self._tokens_per_us = quota_per_s / max(1, instances) / US_PER_S
        max_tokens = max(1.0, self._tokens_per_us * US_PER_S)
        self._bucket = TokenBucket(max_tokens, max_tokens)

    def try_spend(self, now_us: int) -> bool:
        """Take one request out of the quota; return False where it is used up."""
        self._bucket.refill(now_us, self._tokens_per_us)
        return self._bucket.try_spend()
