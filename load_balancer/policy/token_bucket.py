"""Token bucket, used by the tenant quotas, the retry budget and slow start.

Tokens are added over time or per event, up to a maximum, and are spent by the operations that it limits.
"""

from __future__ import annotations

import math


class TokenBucket:
    """Token bucket with an optional maximum."""

    __slots__ = ("_max_tokens", "tokens", "updated_at_us")

    def __init__(self, tokens: float, max_tokens: float = math.inf, updated_at_us: int = 0) -> None:
        """Create a bucket with an initial number of tokens, last refilled at `updated_at_us`."""
        self.tokens = tokens
        self._max_tokens = max_tokens
        self.updated_at_us = updated_at_us

    def add(self, tokens: float) -> None:
        """Add tokens, up to the maximum."""
        self.tokens = min(self._max_tokens, self.tokens + tokens)

    def refill(self, now_us: int, tokens_per_us: float) -> None:
        """Add tokens at this rate for the time since the last refill, up to the maximum."""
        self.add((now_us - self.updated_at_us) * tokens_per_us)
        self.updated_at_us = now_us

    def try_spend(self, cost: float = 1.0) -> bool:
        """Spend tokens and return True; return False and spend none if there are too few."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True
