"""The quotas of tenants: how many requests of each one count with their full priority."""

from __future__ import annotations


class TenantQuota:
    """How much of its quota a tenant has left at this balancer: a token bucket of one second."""

    def __init__(self, quota_per_s: float, instances: int) -> None:
        """Take this instance's part of the quota, requests a second over all instances."""
        self._tokens_per_us = quota_per_s / max(1, instances) / 1e6
        self._max_tokens = max(1.0, self._tokens_per_us * 1e6)
        self._tokens = self._max_tokens
        self._updated_at_us = 0

    def try_spend(self, now_us: int) -> bool:
        """Take one request out of the quota; return False where it is used up."""
        earned = (now_us - self._updated_at_us) * self._tokens_per_us
        self._tokens = min(self._max_tokens, self._tokens + earned)
        self._updated_at_us = now_us
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
