"""Slow-start state of one endpoint at one balancer."""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer.policy.token_bucket import TokenBucket

MIN_TOKENS = -1.0  # an attempt that was admitted without a token consumes the next token


@dataclass(slots=True)
class WarmingState:
    """Token bucket, phase and response credit of one incarnation of an endpoint at one balancer."""

    phase: float  # 0 to 1, offset of this balancer among all that may send to the endpoint
    first_listed_at_us: int  # when the incarnation first appeared in the endpoint list
    bucket: TokenBucket
    response_credit_until_us: int = 0  # end of the credit: a successful response admits one attempt before it

    def attempt_sent(self) -> None:
        """Charge an attempt: clear the response credit and spend a token."""
        self.response_credit_until_us = 0
        self.bucket.tokens = max(MIN_TOKENS, self.bucket.tokens - 1.0)
