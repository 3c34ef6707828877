"""Slow start: a token bucket for each endpoint that is warming up.

The overload budget of an endpoint that is warming up is the number of attempts that all balancers together
may send to it within an overload window. Each balancer refills its bucket for the endpoint at a rate in
proportion to its own rate of first attempts, divided by the number of endpoints in its subset. As all
balancers do the same, the sum of their attempts stays within the budget without communication between them.
First attempts, retries and health checks spend tokens of the same bucket. Staggered phases keep the balancers
from spending their tokens at the same moment.

For the formula and a worked example see docs/design.md, "Slow start as a token bucket".
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from load_balancer import messages
from load_balancer.policy.attempt import LastAttemptResult
from load_balancer.policy.attempt_rate import AttemptRate
from load_balancer.policy.endpoint_state import EndpointState
from load_balancer.policy.phase import staggered_phase
from load_balancer.policy.retry_budget import RETRIES_PER_REQUEST
from load_balancer.policy.token_bucket import TokenBucket
from load_balancer.policy.warming_state import WarmingState

BUDGET_UTILIZATION = 0.7  # share of the overload budget that the balancers use
# Lifetime of an unused token, in overload windows. With it, the tokens added within a window and the
# unexpired ones from before the window add up to at most one budget, however late the balancers spend them.
TOKEN_EXPIRY_WINDOWS = 1.0 / BUDGET_UTILIZATION - 1.0
MAX_BURST_ATTEMPTS = 2.0  # attempts that a balancer may send in immediate succession
# First attempts without a token that all balancers together may send to an endpoint within an overload
# window: UNBUDGETED_FIRST_ATTEMPTS plus UNBUDGETED_STANDARD_DEVIATIONS times the square root of the budget.
# The platform's overload rule tolerates this number of attempts beyond the budget as random variation.
UNBUDGETED_FIRST_ATTEMPTS = 2.0
UNBUDGETED_STANDARD_DEVIATIONS = 2.0


class SlowStart:
    """Admission of attempts and health checks to endpoints that are warming up."""

    def __init__(self, settings: messages.Settings) -> None:
        """Initialize from the rules of slow start and this balancer's index among the instances."""
        self._settings = settings
        self._rules = settings.rules
        self.first_attempts = AttemptRate()
        self._subset: Sequence[EndpointState] = ()
        self._balancers_per_endpoint = 1.0
        # When the first endpoint of the subset is warm; until then all of them are warming up.
        self.first_warm_at_us = 0
        # This balancer's first attempts per microsecond at the last change that left no warm endpoint in the
        # subset.
        self._rate_before_all_warming = 0.0

    def new_warming_state(self, now_us: int, endpoint_id: int) -> WarmingState:
        """Return the state of a new incarnation; the phase of this balancer delays its first token."""
        phase = staggered_phase(self._settings.index, endpoint_id)
        return WarmingState(phase, now_us, TokenBucket(1.0 - phase, updated_at_us=now_us))

    def subset_changed(
        self, now_us: int, subset: Sequence[EndpointState], balancers_per_endpoint: float
    ) -> None:
        """Set the subset and the number of balancers that have each of its endpoints in their subset."""
        self._balancers_per_endpoint = balancers_per_endpoint
        if subset == self._subset:  # the start time of an incarnation never changes
            return
        self._subset = subset
        had_warm = now_us >= self.first_warm_at_us
        self.first_warm_at_us = min((self.warm_at_us(state) for state in subset), default=0)
        if had_warm and now_us < self.first_warm_at_us:
            self._rate_before_all_warming = self.first_attempts.per_us(now_us)

    def warm_at_us(self, state: EndpointState) -> int:
        """Return the time from which an endpoint is guaranteed its full capacity."""
        started_us = state.started_us
        # An endpoint counts as warm if its start time is unknown (0) or before the zero of this balancer's
        # clock (negative).
        if started_us <= 0 or self._rules.slow_start_us == 0:
            return 0
        return started_us + self._rules.slow_start_us

    def capacity(self, now_us: int, state: EndpointState) -> float:
        """Return the guaranteed share of an endpoint's full capacity; it rises linearly during slow start."""
        if now_us >= self.warm_at_us(state):
            return 1.0
        age_us = max(0, now_us - state.started_us)
        start = self._rules.start_capacity
        return start + (1.0 - start) * age_us / self._rules.slow_start_us

    def admits(self, now_us: int, state: EndpointState, *, is_retry: bool) -> bool:
        """Return whether an endpoint may get an attempt now: it is warm or slow start admits the attempt."""
        capacity = self.capacity(now_us, state)
        if capacity >= 1.0:
            return True
        # While no endpoint of the subset is warm, none of them shows how many attempts an endpoint can take,
        # and the buckets limit all attempts of this balancer. Two rules then admit an attempt without a
        # token, provided that this balancer has no load at the endpoint.
        if now_us < self.first_warm_at_us and state in self._subset:
            is_admitted = (
                not is_retry and self.admits_untested(now_us, state, capacity)
            ) or self.admits_after_response(now_us, state)
            if is_admitted and state.load(now_us) < 1:
                return True
        return self.refill(now_us, state) >= 1.0

    def admits_untested(self, now_us: int, state: EndpointState, capacity: float) -> bool:
        """Return whether this balancer's very first attempt at an endpoint is admitted without a token."""
        is_untested = state.last_attempt is LastAttemptResult.NONE
        return is_untested and self.is_first_attempt_slot(now_us, state, capacity)

    @staticmethod
    def admits_after_response(now_us: int, state: EndpointState) -> bool:
        """Return whether a recent successful response admits one attempt without a token.

        The endpoint then gets attempts no faster than it completes them. A failing endpoint may respond at
        any rate, so an attempt after a failure needs a token.
        """
        return now_us < state.warming.response_credit_until_us

    def is_first_attempt_slot(self, now_us: int, state: EndpointState, capacity: float) -> bool:
        """Return whether this balancer may send a first attempt without a token now, by its phase.

        The balancers take turns in slots; without slots, all of them would send a first attempt at the same
        moment. Within an overload window the slots admit as many attempts as the overload rule tolerates for
        random variation; those of any one moment admit half as many.
        """
        window_us = self._rules.overload_window_us
        # The rate from before all endpoints started to warm up is preferred: a burst of attempts since then
        # raises the present rate, but no endpoint's capacity.
        rate = self._rate_before_all_warming or self.first_attempts.per_us(now_us)
        rate *= self._balancers_per_endpoint / max(1, len(self._subset))  # per endpoint, all balancers
        budget = rate * window_us * self._rules.overload_multiple * capacity
        slots_per_window = (
            UNBUDGETED_FIRST_ATTEMPTS + UNBUDGETED_STANDARD_DEVIATIONS * math.sqrt(budget)
        ) / 2.0
        # Slots expire after an overload window and recur later. Unused slots that did not expire could be
        # used by many balancers at once, in a burst.
        windows = 1.0 + (now_us - state.warming.first_listed_at_us) / window_us
        position = slots_per_window * windows - state.warming.phase * self._balancers_per_endpoint
        return (
            slots_per_window >= self._balancers_per_endpoint
            or position % self._balancers_per_endpoint < slots_per_window
        )

    def try_spend_check_token(self, now_us: int, state: EndpointState) -> bool:
        """Spend a token on a health check, which counts as an attempt; return False if there is none.

        A check of a warm endpoint needs no token.
        """
        if self.capacity(now_us, state) >= 1.0:
            return True
        self.refill(now_us, state)
        return state.warming.bucket.try_spend()

    def attempt_sent(self, now_us: int, state: EndpointState, *, is_first: bool) -> None:
        """Charge an attempt to the endpoint's bucket, and count it in the rate if it is a first attempt."""
        state.warming.attempt_sent()
        if is_first:
            self.first_attempts.add(now_us)

    def add_response_credit(self, now_us: int, state: EndpointState) -> None:
        """Grant one attempt without a token after a successful response, within the lifetime of a token."""
        credit_us = int(TOKEN_EXPIRY_WINDOWS * self._rules.overload_window_us)
        state.warming.response_credit_until_us = now_us + credit_us

    def refill(self, now_us: int, state: EndpointState) -> float:
        """Refill the bucket of an endpoint, expire tokens beyond the burst size, and return its tokens."""
        rate = self._refill_rate(now_us, state)
        bucket = state.warming.bucket
        bucket.refill(now_us, rate)
        # Balancers that have each saved a token could all spend it in the same burst, so unused tokens expire
        # soon. Only whole tokens expire: if the burst size is below one token, the remaining fraction keeps
        # this balancer's phase, that is, when it next has a whole token.
        burst = min(MAX_BURST_ATTEMPTS, rate * self._rules.overload_window_us * TOKEN_EXPIRY_WINDOWS)
        bucket.tokens -= max(0, math.ceil(bucket.tokens - 1.0 - burst))
        return bucket.tokens

    def _refill_rate(self, now_us: int, state: EndpointState) -> float:
        """Return the refill rate of this balancer's bucket for an endpoint, in tokens per microsecond."""
        # The minimum is one attempt per overload window from all balancers together: one from each balancer
        # would exceed the budget.
        min_rate = 1.0 / (self._balancers_per_endpoint * self._rules.overload_window_us)
        rate = max(self._first_attempt_rate(now_us) / max(1, len(self._subset)), min_rate)
        if state not in self._subset:  # gets retries only, but from all balancers
            rate *= RETRIES_PER_REQUEST * self._balancers_per_endpoint / max(1, self._settings.instances)
        return rate * (BUDGET_UTILIZATION * self._rules.overload_multiple * self.capacity(now_us, state))

    def _first_attempt_rate(self, now_us: int) -> float:
        """Return this balancer's first attempts per microsecond.

        While the whole subset is warming up, the result is at least the rate from before that: the buckets
        limit the present rate, which is then too low as an estimate.
        """
        rate = self.first_attempts.per_us(now_us)
        return max(rate, self._rate_before_all_warming) if now_us < self.first_warm_at_us else rate
