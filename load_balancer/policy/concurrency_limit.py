"""Concurrency limit: how many attempts of this balancer each endpoint of the subset may have in flight.

All endpoints of the subset have one limit in common, which is lowered for an endpoint whose share is below
the mean. The latencies of a single endpoint are too noisy for a limit of its own, as one expensive request
looks like a queue. The balancer updates the limit on changes of the subset, the admission queue reports
requests that found no available endpoint, and the latencies of attempts raise or lower the limit.
"""

from __future__ import annotations

from collections.abc import Sequence

from load_balancer.policy.endpoint_state import EndpointAttempt, EndpointState

INITIAL_LIMIT = 4.0  # attempts in flight per endpoint, from all balancers, before any response
# Upper bound of the initial limit, which up to this bound allows one attempt to each balancer of an endpoint.
INITIAL_SHARED_LIMIT = 10.0
MIN_LIMIT = 1.0  # minimum of attempts in flight per endpoint, from all balancers
# The limit falls below one attempt per balancer only if latencies exceed good ones by this factor.
OVERLOAD_LATENCY_RATIO = 1.6
LIMIT_DECREASE_FACTOR = 0.9  # multiplies the limit when responses are late
LIMIT_INCREASE_PER_ROUND = 0.5  # attempts per endpoint, added in a round of responses with good latency
MIN_LATENCY_SAMPLES = 4.0  # minimum sample count of the running mean of relative latencies


class ConcurrencyLimit:
    """Limit on attempts in flight that all endpoints of the subset have in common, lowered for low shares."""

    def __init__(self) -> None:
        """Create an unset limit; the first endpoint list sets it."""
        self.attempts_per_endpoint = 0.0  # of this balancer, in flight
        self.balancers_per_endpoint = 1.0  # balancers that have each endpoint in their subset
        self._was_reached = False  # since the limit was last raised
        self._relative_latency = 0.0  # running mean
        self._decreased_at_us = 0

    def set_sharing_balancers(self, balancers: float) -> None:
        """Set the number of balancers that have each endpoint in their subset.

        The initial limit is divided by that number: undivided limits would let the balancers together
        overload the endpoints before the first late responses lower the limits. A later change of the number
        keeps the limit per endpoint from all balancers.
        """
        balancers = max(1.0, balancers)
        total = (
            self.attempts_per_endpoint * self.balancers_per_endpoint if self.attempts_per_endpoint else 0.0
        )
        initial = max(INITIAL_LIMIT, min(INITIAL_SHARED_LIMIT, balancers))
        self.balancers_per_endpoint = balancers
        self.attempts_per_endpoint = (total or initial) / balancers

    def mark_reached(self) -> None:
        """Record that a request found no endpoint below its limit, so that the limit may be raised."""
        self._was_reached = True

    def add_latency_sample(
        self,
        now_us: int,
        attempt: EndpointAttempt,
        relative_latency: float,
        subset: Sequence[EndpointState],
        total_in_flight: int,
    ) -> None:
        """Add a latency sample; raise the limit while it is reached, lower it while latencies are high.

        `relative_latency` is relative to the longest good latency of the class. Attempts that were sent
        before the last decrease don't lower the limit again.
        """
        # Among many responses a few are always late together by chance, so the mean covers as many samples as
        # there are attempts in flight. With few in flight it must react fast, and the limits of the other
        # balancers average out its noise.
        capped = min(relative_latency, 2.0 * OVERLOAD_LATENCY_RATIO)
        self._relative_latency += (capped - self._relative_latency) / max(
            MIN_LATENCY_SAMPLES, total_in_flight
        )
        if self._relative_latency > (1.0 if self.attempts_per_endpoint > 1.0 else OVERLOAD_LATENCY_RATIO):
            self._decrease(now_us, attempt)
        elif self._was_reached or self._is_nearly_reached(attempt.endpoint):
            self._increase(len(subset))
        self.set_endpoint_limits(subset)

    def _decrease(self, now_us: int, attempt: EndpointAttempt) -> None:
        if attempt.sent_at_us < self._decreased_at_us:
            return
        self.attempts_per_endpoint = max(
            MIN_LIMIT / self.balancers_per_endpoint, self.attempts_per_endpoint * LIMIT_DECREASE_FACTOR
        )
        self._decreased_at_us = now_us

    def _increase(self, subset_size: int) -> None:
        self.attempts_per_endpoint += (
            LIMIT_INCREASE_PER_ROUND
            / self.balancers_per_endpoint
            / max(1.0, self.attempts_per_endpoint * subset_size)
        )
        self._was_reached = False

    @staticmethod
    def _is_nearly_reached(state: EndpointState) -> bool:
        return 1.0 <= state.concurrency_limit - 1 <= len(state.in_flight) + 1

    def set_endpoint_limits(self, subset: Sequence[EndpointState]) -> None:
        """Set the limit of each endpoint of the subset: the common limit, lowered if its share is low."""
        # Runs on each endpoint list update and latency sample, for up to about 64 endpoints in a large fleet:
        # the loop makes no calls, to be fast.
        mean_share = sum([state.share for state in subset]) / max(1, len(subset))
        highest = self.attempts_per_endpoint
        lowest = min(1.0, highest)
        for state in subset:
            part = highest * (state.share / mean_share) if state.share < mean_share else highest
            # A low share alone doesn't lower the limit below one attempt, which would pause the endpoint: the
            # draws already send it less, and its recovery shows only in attempts at it.
            state.concurrency_limit = part if part > lowest else lowest
