"""Slow start: how many attempts an endpoint that is warming up may get from this balancer.

The rule counts what all balancers send to it together. Each one keeps to its own part, measured by its own
first attempts over its subset; as the others do likewise, the sum keeps to the budget without a word
between them. Retries and health checks are paid out of the same budget.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from load_balancer import messages
from load_balancer.policy.attempt import LastAttempt
from load_balancer.policy.endpoint_state import EndpointState
from load_balancer.policy.subset import mixed_id
from load_balancer.policy.warming_state import WarmingState

BUDGET_SAFETY = 0.7  # share of the budget that is used
# A call that fell due keeps for this share of a window: all that falls due in a window, and all that was kept
# from before it, then make one budget, however late the balancers come to use it.
KEPT_WINDOW_SHARE = 1.0 / BUDGET_SAFETY - 1.0
MAX_KEPT_ATTEMPTS = 2.0  # attempts that may follow each other at once
FREE_FIRST_ATTEMPTS = 2.0  # first attempts without budget in a window, from all balancers
FREE_FIRST_ROOTS = (
    2.0  # times the root of the budget: further such ones; this much the rule allows for chance
)
RATE_MEMORY_US = 2_000_000  # of the rate of own first attempts
RETRY_SHARE = 0.2  # of its first attempts that a balancer may make as retries (retry.EARNED_PER_REQUEST)
GOLDEN_STEP = 2_654_435_769  # 2**32 over the golden ratio
MIX_MULTIPLIER = 2_246_822_519  # a mixing constant of xxHash
PHASES = 2**32


class AttemptRate:
    """A decaying count of own first attempts: retries tell nothing of what an endpoint takes."""

    def __init__(self) -> None:
        """Start at zero."""
        self._count = 0.0
        self._updated_at_us = 0

    def per_us(self, now_us: int) -> float:
        """Return first attempts per microsecond of late."""
        self._count *= math.exp((self._updated_at_us - now_us) / RATE_MEMORY_US)
        self._updated_at_us = now_us
        return self._count / RATE_MEMORY_US

    def add(self, now_us: int) -> None:
        """Count a first attempt."""
        self.per_us(now_us)
        self._count += 1.0


class SlowStart:
    """The budgets of endpoints that are warming up."""

    def __init__(self, settings: messages.Settings) -> None:
        """Take the rules of slow start and this balancer's place among the others."""
        self._settings = settings
        self._rules = settings.rules
        self.first_attempts = AttemptRate()
        self._subset: Sequence[EndpointState] = ()
        self._sharing_balancers = 1.0
        self.first_warm_at_us = 0  # then the first endpoint of the subset is warm
        # Own first attempts per microsecond as the last warm endpoint of the subset went.
        self.rate_while_warm = 0.0

    def new_warming_state(self, now_us: int, endpoint_id: int) -> WarmingState:
        """Return the first part of the budget of a new incarnation.

        With places drawn by each balancer for itself, the attempts of several fall due at once. Multiples
        of the golden ratio lie well apart for any run of balancers, and the endpoints of one balancer are
        mixed, or it would come late at all of them.
        """
        ring_id = mixed_id(endpoint_id)
        mixed = (ring_id ^ ring_id >> 15) * MIX_MULTIPLIER
        phase = (self._settings.index * GOLDEN_STEP + mixed) % PHASES / PHASES
        return WarmingState(
            phase=phase, admitted_at_us=now_us, tokens=1.0 - phase, tokens_updated_at_us=now_us
        )

    def subset_changed(self, now_us: int, subset: Sequence[EndpointState], sharing_balancers: float) -> None:
        """Take over the subset, and how many balancers have each endpoint in theirs."""
        self._sharing_balancers = sharing_balancers
        if subset == self._subset:  # a start never moves once it is known
            return
        self._subset = subset
        had_warm = now_us >= self.first_warm_at_us
        self.first_warm_at_us = min((self.warm_at_us(state) for state in subset), default=0)
        if had_warm and now_us < self.first_warm_at_us:
            self.rate_while_warm = self.first_attempts.per_us(now_us)

    def warm_at_us(self, state: EndpointState) -> int:
        """Return when an endpoint surely has all of its capacity, microseconds."""
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
        """Tell whether an endpoint may get an attempt now by its budget."""
        capacity = self.capacity(now_us, state)
        if capacity >= 1.0:
            return True
        if now_us < self.first_warm_at_us and state in self._subset:
            # No warm one tells what an endpoint takes, and own attempts are all held down by this very
            # budget. So an answer makes room for the next attempt, no faster than the endpoint answers. A
            # failing one answers at any speed, so what follows a failure has to keep to the budget.
            untried = state.last_attempt is LastAttempt.NONE
            is_first = untried and not is_retry and self.has_free_first_attempt(now_us, state, capacity)
            if (is_first or now_us < state.warming.answer_credit_until_us) and state.load(now_us) < 1:
                return True
        return self.due_tokens(now_us, state) >= 1.0

    def pay_for_check(self, now_us: int, state: EndpointState) -> bool:
        """Take a health check out of the budget, as it counts like an attempt; false where it is too much."""
        if self.capacity(now_us, state) >= 1.0:
            return True
        if self.due_tokens(now_us, state) < 1.0:
            return False
        state.warming.tokens -= 1.0
        return True

    def attempt_sent(self, now_us: int, state: EndpointState, *, is_first: bool) -> None:
        """Count an attempt."""
        state.warming.attempt_sent()
        if is_first:
            self.first_attempts.add(now_us)

    def answered(self, now_us: int, state: EndpointState) -> None:
        """Note a good answer, which makes room for one more attempt for a while."""
        state.warming.answer_credit_until_us = now_us + int(
            KEPT_WINDOW_SHARE * self._rules.overload_window_us
        )

    def has_free_first_attempt(self, now_us: int, state: EndpointState, capacity: float) -> bool:
        """Tell whether it is this balancer's turn for a first attempt without budget.

        Without turns all balancers would send one at once. They take turns by their phases, so that those
        of a window make no more than what the rule allows for chance, half of it at once.
        """
        window_us = self._rules.overload_window_us
        # Without the attempts of a burst that has come since, as that raises no capacity.
        rate = self.rate_while_warm or self.first_attempts.per_us(now_us)
        rate *= self._sharing_balancers / max(1, len(self._subset))  # an endpoint's, from all balancers
        budget = rate * window_us * self._rules.overload_multiple * capacity
        turns = (FREE_FIRST_ATTEMPTS + FREE_FIRST_ROOTS * math.sqrt(budget)) / 2.0  # that begin in a window
        # Many turns that wait unused would make a burst together: one ends after a window, and comes again.
        windows = 1.0 + (now_us - state.warming.admitted_at_us) / window_us
        begun = turns * windows - state.warming.phase * self._sharing_balancers
        return turns >= self._sharing_balancers or begun % self._sharing_balancers < turns

    def due_tokens(self, now_us: int, state: EndpointState) -> float:
        """Return the attempts that have fallen due and not lapsed."""
        window_us = self._rules.overload_window_us
        rate = self._token_rate(now_us, state)
        warming = state.warming
        warming.tokens += (now_us - warming.tokens_updated_at_us) * rate
        warming.tokens_updated_at_us = now_us
        # Many balancers that have each saved up an attempt would send it together: what was not used soon
        # lapses. Where a whole attempt is more than a balancer's part, the fraction that it was given at
        # the start says when it has one.
        kept = min(MAX_KEPT_ATTEMPTS, rate * window_us * KEPT_WINDOW_SHARE)
        warming.tokens -= max(0, math.ceil(warming.tokens - 1.0 - kept))
        return warming.tokens

    def _token_rate(self, now_us: int, state: EndpointState) -> float:
        """Return the attempts per microsecond that this balancer may send to an endpoint."""
        window_us = self._rules.overload_window_us
        # A least rate of each balancer would be too much of them all: together it is one attempt a window.
        least = 1.0 / (self._sharing_balancers * window_us)
        rate = max(self._known_rate(now_us) / max(1, len(self._subset)), least)
        if state not in self._subset:  # it gets retries only, but from all balancers
            rate *= RETRY_SHARE * self._sharing_balancers / max(1, self._settings.instances)
        return rate * (BUDGET_SAFETY * self._rules.overload_multiple * self.capacity(now_us, state))

    def _known_rate(self, now_us: int) -> float:
        """Return own first attempts per microsecond.

        While all of the subset warms up it counts no less than before: the budget holds it down.
        """
        rate = self.first_attempts.per_us(now_us)
        return max(rate, self.rate_while_warm) if now_us < self.first_warm_at_us else rate
