"""What one balancer may still send to one endpoint that is warming up: the record that slow start keeps."""

from __future__ import annotations

from dataclasses import dataclass

MAX_DEBT = -1.0  # an attempt without budget is paid for by the next one that falls due


@dataclass(slots=True)
class WarmingState:
    """What this balancer may still send to one incarnation of an endpoint. Times are microseconds."""

    phase: float  # this balancer's place, 0 to 1, among all that may send to it
    admitted_at_us: int  # when this balancer heard of it
    tokens: float  # attempts that have fallen due
    tokens_updated_at_us: int
    answer_credit_until_us: int = 0  # an answer has made room for one attempt, until then

    def attempt_sent(self) -> None:
        """Pay for an attempt."""
        self.answer_credit_until_us = 0
        self.tokens = max(MAX_DEBT, self.tokens - 1.0)
