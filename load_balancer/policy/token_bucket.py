"""A token bucket: what quotas of tenants, the retry budget and slow start are counted with.

Tokens are added by time or by event up to a maximum; what is paid for takes tokens out.
"""

from __future__ import annotations

import math


class TokenBucket:
    """Tokens that are saved up to a maximum, and the time of the last refill."""

    __slots__ = ("_max_tokens", "tokens", "updated_at_us")

    def __init__(self, tokens: float, max_tokens: float = math.inf, updated_at_us: int = 0) -> None:
        """Start with this many tokens at this time."""
        self.tokens = tokens
        self._max_tokens = max_tokens
        self.updated_at_us = updated_at_us

    def add(self, tokens: float) -> None:
        """Add tokens, up to the maximum."""
        self.tokens = min(self._max_tokens, self.tokens + tokens)

    def refill(self, now_us: int, tokens_per_us: float) -> None:
        """Add the tokens of the time since the last refill, at this rate."""
        self.add((now_us - self.updated_at_us) * tokens_per_us)
        self.updated_at_us = now_us

    def try_spend(self, cost: float = 1.0) -> bool:
        """Take tokens out and return True; return False and take none where there are too few."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True
