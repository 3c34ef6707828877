"""The concurrency limit: how many own attempts each endpoint of the subset may have in flight.

One limit holds for all endpoints of the subset and is split among them by share. The latencies of a single
endpoint are too noisy a signal, as one heavy request looks like a queue. The balancer tells the limit of
changes of the subset, the queue tells it of requests that found no endpoint, and what is learned from
outcomes grows or cuts it.
"""

from __future__ import annotations

from collections.abc import Sequence

from load_balancer.policy.endpoint_state import EndpointAttempt, EndpointState

INITIAL_LIMIT = 4.0  # attempts an endpoint may have in flight before anything is known, of all balancers
INITIAL_SHARED_LIMIT = 10.0  # the same where many balancers share it, so that each can have up to one
MIN_LIMIT = 1.0  # the least attempts an endpoint may have in flight, from all balancers
# The limit falls below one attempt of each balancer where answers take this many times as long as good ones.
OVERLOAD_LATENCY_RATIO = 1.6
LIMIT_DECREASE_FACTOR = 0.9  # the limit is multiplied by this when an answer comes late
LIMIT_INCREASE_PER_ROUND = (
    0.5  # attempts an endpoint that the limit grows by in a round of answers in good time
)
MIN_LATENCY_SAMPLES = 4.0  # answers in the running mean of relative latencies, at least


class ConcurrencyLimit:
    """One limit for all endpoints of the subset, split by share."""

    def __init__(self) -> None:
        """Start without a limit: the first endpoint list sets it."""
        self.attempts_per_endpoint = 0.0  # own attempts that an endpoint may have in flight
        self.sharing_balancers = 1.0  # balancers that have each endpoint in their subset
        self._was_reached = False  # since the limit last grew
        self._relative_latency = 0.0  # running mean
        self._decreased_at_us = 0

    def set_sharing_balancers(self, balancers: float) -> None:
        """Take over the number of balancers that have each endpoint in their subset.

        The starting limit is divided by it: all of them together would overload the endpoints before
        the first late answers.
        """
        balancers = max(1.0, balancers)
        total = self.attempts_per_endpoint * self.sharing_balancers if self.attempts_per_endpoint else 0.0
        initial = max(INITIAL_LIMIT, min(INITIAL_SHARED_LIMIT, balancers))
        self.sharing_balancers = balancers
        self.attempts_per_endpoint = (total or initial) / balancers

    def mark_reached(self) -> None:
        """Note that a request has found no endpoint below its limit, so that the limit may grow."""
        self._was_reached = True

    def add_latency_sample(
        self,
        now_us: int,
        attempt: EndpointAttempt,
        relative_latency: float,
        subset: Sequence[EndpointState],
        total_in_flight: int,
    ) -> None:
        """Grow the limit a little while it is reached, cut it once for each round of late answers."""
        # Of many answers a few are always late together by chance, so the mean runs over one round of
        # those in flight; where there are few it must be quick, and others even it out.
        capped = min(relative_latency, 2.0 * OVERLOAD_LATENCY_RATIO)
        self._relative_latency += (capped - self._relative_latency) / max(
            MIN_LATENCY_SAMPLES, total_in_flight
        )
        if self._relative_latency > (1.0 if self.attempts_per_endpoint > 1.0 else OVERLOAD_LATENCY_RATIO):
            self._decrease(now_us, attempt)
        elif self._was_reached or self._is_nearly_reached(attempt.endpoint):
            self._increase(len(subset))
        self.split(subset)

    def _decrease(self, now_us: int, attempt: EndpointAttempt) -> None:
        if attempt.sent_at_us < self._decreased_at_us:
            return
        self.attempts_per_endpoint = max(
            MIN_LIMIT / self.sharing_balancers, self.attempts_per_endpoint * LIMIT_DECREASE_FACTOR
        )
        self._decreased_at_us = now_us

    def _increase(self, subset_size: int) -> None:
        self.attempts_per_endpoint += (
            LIMIT_INCREASE_PER_ROUND
            / self.sharing_balancers
            / max(1.0, self.attempts_per_endpoint * subset_size)
        )
        self._was_reached = False

    @staticmethod
    def _is_nearly_reached(state: EndpointState) -> bool:
        return 1.0 <= state.concurrency_limit - 1 <= len(state.in_flight) + 1

    def split(self, subset: Sequence[EndpointState]) -> None:
        """Give each endpoint its part of the limit."""
        # Worked out at each change of the list, for up to 64 endpoints: written so as to call nothing.
        mean_share = sum([state.share for state in subset]) / max(1, len(subset))
        highest = self.attempts_per_endpoint
        lowest = min(1.0, highest)
        for state in subset:
            part = highest * (state.share / mean_share) if state.share < mean_share else highest
            # A low share alone pauses no endpoint: the draws lower it, and it must be seen to recover.
            state.concurrency_limit = part if part > lowest else lowest
