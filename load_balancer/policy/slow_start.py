"""Slow start: a token bucket for each endpoint that is warming up.

An endpoint that warms up is overloaded by more attempts than its present capacity allows, counted over all
balancers. Each balancer refills a bucket for each such endpoint at a rate that is its own part of the
endpoint's overload budget, measured by its own first attempts over its subset. As the others do likewise,
the sum keeps to the budget without a word between them. Retries and health checks are paid from the same
bucket. Staggered phases keep the balancers from spending their tokens at the same moment.

The formula, with a worked example: docs/design.md, "Slow start as a token bucket".
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from load_balancer import messages
from load_balancer.policy.attempt import LastAttempt
from load_balancer.policy.attempt_rate import AttemptRate
from load_balancer.policy.endpoint_state import EndpointState
from load_balancer.policy.phase import staggered_phase
from load_balancer.policy.retry_budget import RETRIES_PER_REQUEST
from load_balancer.policy.token_bucket import TokenBucket
from load_balancer.policy.warming_state import WarmingState

BUDGET_UTILIZATION = 0.7  # share of the budget that is used
# A token expires after this share of a window: all tokens of a window, and all that were saved from before
# it, then make one budget, however late the balancers come to spend them.
TOKEN_EXPIRY_WINDOWS = 1.0 / BUDGET_UTILIZATION - 1.0
MAX_BURST_ATTEMPTS = 2.0  # attempts that may follow each other at once
UNBUDGETED_FIRST_ATTEMPTS = 2.0  # first attempts without a token in a window, from all balancers
# Further such ones, in roots of the budget (its standard deviations): the rule allows this much for chance.
UNBUDGETED_STANDARD_DEVIATIONS = 2.0


class SlowStart:
    """The token buckets of endpoints that are warming up."""

    def __init__(self, settings: messages.Settings) -> None:
        """Take the rules of slow start and this balancer's place among the others."""
        self._settings = settings
        self._rules = settings.rules
        self.first_attempts = AttemptRate()
        self._subset: Sequence[EndpointState] = ()
        self._sharing_balancers = 1.0
        self.first_warm_at_us = 0  # when the first endpoint of the subset is warm; until then all are warming
        # Own first attempts per microsecond when the subset last lost its only warm endpoints.
        self._rate_before_all_warming = 0.0

    def new_warming_state(self, now_us: int, endpoint_id: int) -> WarmingState:
        """Return the state of a new incarnation, whose first token comes by this balancer's phase."""
        phase = staggered_phase(self._settings.index, endpoint_id)
        return WarmingState(phase, now_us, TokenBucket(1.0 - phase, updated_at_us=now_us))

    def subset_changed(self, now_us: int, subset: Sequence[EndpointState], sharing_balancers: float) -> None:
        """Take over the subset, and how many balancers have each endpoint in theirs."""
        self._sharing_balancers = sharing_balancers
        if subset == self._subset:  # the start of an incarnation never moves
            return
        self._subset = subset
        had_warm = now_us >= self.first_warm_at_us
        self.first_warm_at_us = min((self.warm_at_us(state) for state in subset), default=0)
        if had_warm and now_us < self.first_warm_at_us:
            self._rate_before_all_warming = self.first_attempts.per_us(now_us)

    def warm_at_us(self, state: EndpointState) -> int:
        """Return when an endpoint surely has all of its capacity."""
        started_us = state.started_us
        # No start, or one before our clock's zero, says long ago.
        if started_us <= 0 or self._rules.slow_start_us == 0:
            return 0
        return started_us + self._rules.slow_start_us

    def capacity(self, now_us: int, state: EndpointState) -> float:
        """Return the share of its full capacity that it surely has: rising evenly while it warms up."""
        if now_us >= self.warm_at_us(state):
            return 1.0
        age_us = max(0, now_us - state.started_us)
        start = self._rules.start_capacity
        return start + (1.0 - start) * age_us / self._rules.slow_start_us

    def admits(self, now_us: int, state: EndpointState, *, is_retry: bool) -> bool:
        """Tell whether an endpoint may get an attempt now: it is warm, or one of the rules admits it."""
        capacity = self.capacity(now_us, state)
        if capacity >= 1.0:
            return True
        # Where no endpoint of the subset is warm, none tells what an endpoint takes, and own attempts are all
        # held down by these very buckets. Then two rules admit attempts without a token.
        if now_us < self.first_warm_at_us and state in self._subset:
            is_admitted = (
                not is_retry and self.admits_untested(now_us, state, capacity)
            ) or self.admits_after_response(now_us, state)
            if is_admitted and state.load(now_us) < 1:
                return True
        return self.refill(now_us, state) >= 1.0

    def admits_untested(self, now_us: int, state: EndpointState, capacity: float) -> bool:
        """Tell whether an endpoint may get this balancer's first attempt ever, without a token."""
        is_untested = state.last_attempt is LastAttempt.NONE
        return is_untested and self.is_first_attempt_slot(now_us, state, capacity)

    @staticmethod
    def admits_after_response(now_us: int, state: EndpointState) -> bool:
        """Tell whether an answer has made room for one attempt, no faster than the endpoint answers.

        A failing endpoint answers at any speed, so what follows a failure needs a token.
        """
        return now_us < state.warming.response_credit_until_us

    def is_first_attempt_slot(self, now_us: int, state: EndpointState, capacity: float) -> bool:
        """Tell whether now is this balancer's slot, by its phase, for a first attempt without a token.

        Without slots all balancers would send one at once. The slots of a window let through no more than
        what the rule allows for chance, half of it at once.
        """
        window_us = self._rules.overload_window_us
        # Without the attempts of a burst that has come since, as that raises no capacity.
        rate = self._rate_before_all_warming or self.first_attempts.per_us(now_us)
        rate *= self._sharing_balancers / max(1, len(self._subset))  # an endpoint's, from all balancers
        budget = rate * window_us * self._rules.overload_multiple * capacity
        slots_per_window = (
            UNBUDGETED_FIRST_ATTEMPTS + UNBUDGETED_STANDARD_DEVIATIONS * math.sqrt(budget)
        ) / 2.0
        # Many unused slots would make a burst together: a slot ends after a window, and comes again.
        windows = 1.0 + (now_us - state.warming.first_listed_at_us) / window_us
        position = slots_per_window * windows - state.warming.phase * self._sharing_balancers
        return (
            slots_per_window >= self._sharing_balancers
            or position % self._sharing_balancers < slots_per_window
        )

    def try_spend_check_token(self, now_us: int, state: EndpointState) -> bool:
        """Pay a token for a health check, which counts like an attempt; return False where there is none."""
        if self.capacity(now_us, state) >= 1.0:
            return True
        self.refill(now_us, state)
        return state.warming.bucket.try_spend()

    def attempt_sent(self, now_us: int, state: EndpointState, *, is_first: bool) -> None:
        """Count an attempt."""
        state.warming.attempt_sent()
        if is_first:
            self.first_attempts.add(now_us)

    def add_response_credit(self, now_us: int, state: EndpointState) -> None:
        """Note a successful answer, which makes room for one more attempt for a while."""
        credit_us = int(TOKEN_EXPIRY_WINDOWS * self._rules.overload_window_us)
        state.warming.response_credit_until_us = now_us + credit_us

    def refill(self, now_us: int, state: EndpointState) -> float:
        """Refill the bucket of an endpoint, let tokens beyond the burst expire, and return what it holds."""
        rate = self._refill_rate(now_us, state)
        bucket = state.warming.bucket
        bucket.refill(now_us, rate)
        # Many balancers that have each saved up an attempt would send it together, so unused tokens soon
        # expire. They expire as whole ones: where a whole token is more than a balancer's part, the fraction
        # that its phase gave it at the start says when it has one.
        burst = min(MAX_BURST_ATTEMPTS, rate * self._rules.overload_window_us * TOKEN_EXPIRY_WINDOWS)
        bucket.tokens -= max(0, math.ceil(bucket.tokens - 1.0 - burst))
        return bucket.tokens

    def _refill_rate(self, now_us: int, state: EndpointState) -> float:
        """Return the tokens per microsecond of this balancer's bucket for an endpoint."""
        # A minimum of each balancer would be too much of them all: together it is one attempt a window.
        min_rate = 1.0 / (self._sharing_balancers * self._rules.overload_window_us)
        rate = max(self._first_attempt_rate(now_us) / max(1, len(self._subset)), min_rate)
        if state not in self._subset:  # it gets retries only, but from all balancers
            rate *= RETRIES_PER_REQUEST * self._sharing_balancers / max(1, self._settings.instances)
        return rate * (BUDGET_UTILIZATION * self._rules.overload_multiple * self.capacity(now_us, state))

    def _first_attempt_rate(self, now_us: int) -> float:
        """Return own first attempts per microsecond.

        While all of the subset warms up it counts no less than before: the buckets hold it down.
        """
        rate = self.first_attempts.per_us(now_us)
        return max(rate, self._rate_before_all_warming) if now_us < self.first_warm_at_us else rate
