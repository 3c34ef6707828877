"""What one balancer may still send to one endpoint that is warming up: the record that slow start keeps."""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer.policy.token_bucket import TokenBucket

MIN_TOKENS = -1.0  # an attempt that was admitted without a token is paid for by the next token


@dataclass(slots=True)
class WarmingState:
    """The token bucket of one incarnation of an endpoint at one balancer, with its phase."""

    phase: float  # this balancer's place, 0 to 1, among all that may send to the endpoint
    first_listed_at_us: int  # when this balancer first saw the incarnation in the endpoint list
    bucket: TokenBucket
    response_credit_until_us: int = 0  # an answer has made room for one attempt, until then

    def attempt_sent(self) -> None:
        """Pay for an attempt, with the answer's credit and with a token."""
        self.response_credit_until_us = 0
        self.bucket.tokens = max(MIN_TOKENS, self.bucket.tokens - 1.0)
