"""State of one endpoint at one balancer: its share, its attempts in flight, its health.

The endpoint list owns these records. Outcomes, health checks and slow start update them.
"""

from __future__ import annotations

from typing import TypeAlias

from load_balancer import messages
from load_balancer.policy.attempt import Attempt, HangLimit, LastAttemptResult
from load_balancer.policy.change_detector import ChangeDetector
from load_balancer.policy.endpoint_health import EndpointHealth
from load_balancer.policy.subset import hashed_id
from load_balancer.policy.warming_state import WarmingState

OVERDUE_LATENCIES = 2.0  # an attempt in flight for longer than this many usual latencies counts as two
FIRST_UNREACHABLE_BACKOFF_US = 250_000  # an endpoint without a route is avoided this long; doubles each time
# An endpoint that lost or failed a request of a class is avoided for that class this long. This is also the
# longest backoff of an endpoint without a route.
COOL_DOWN_US = 5_000_000


class EndpointState:
    """State of one incarnation of an endpoint. A restarted endpoint gets a new state."""

    def __init__(self, endpoint: messages.Endpoint, warming: WarmingState) -> None:
        """Create a state with a share of 1 and no attempts in flight."""
        self.endpoint = endpoint
        # Set once: later list entries for the same incarnation don't change it. 0 means long past.
        self.started_us = endpoint.incarnation_us if endpoint.started_us is None else endpoint.started_us
        self.hashed_id = hashed_id(endpoint.id)
        self.ring_position = (self.hashed_id, endpoint.id)
        self.detector = ChangeDetector()
        self.health = EndpointHealth()
        self.warming = warming
        self.share = 1.0  # 1 / mean of the samples, which are relative to the usual latency
        self.in_flight: list[EndpointAttempt] = []  # of this balancer
        # Attempts of this balancer that may be in flight; below one, the share of time in which one may be.
        self.concurrency_limit = 1.0
        self.paused_until_us = 0  # no attempt is sent before, if the limit is below one
        self.failure_penalty_ends_us: list[int] = []  # when failed attempts stop counting as in flight
        self.cool_down_until_us: dict[str, int] = {}  # by request class, after a failed request of it
        self.unreachable_until_us = 0  # avoided until then, as there was no route to it
        self.unreachable_backoff_us = 0
        self.responded_at_us = 0  # when it last sent a response of any kind
        self.last_attempt = LastAttemptResult.NONE

    @property
    def is_up(self) -> bool:
        """Return whether the endpoint list allows new attempts at the endpoint."""
        return self.endpoint.status is messages.EndpointStatus.UP

    def load(self, now_us: int) -> int:
        """Return the number of this balancer's attempts in flight, with overdue and failed ones weighted.

        An overdue attempt counts twice, so that a hanging endpoint gets fewer requests before its attempts
        time out. A failed attempt counts until the usual latency of its class has passed since it was sent:
        an endpoint that fails immediately would otherwise always appear idle and attract every queued
        request.
        """
        overdue = sum(
            now_us - attempt.sent_at_us > OVERDUE_LATENCIES * attempt.request_class.usual_latency_us
            for attempt in self.in_flight
        )
        if self.failure_penalty_ends_us:
            self.failure_penalty_ends_us = [
                until_us for until_us in self.failure_penalty_ends_us if until_us > now_us
            ]
        return len(self.in_flight) + overdue + len(self.failure_penalty_ends_us)

    def has_hanging_attempt(self, now_us: int, limit: HangLimit) -> bool:
        """Return whether an attempt of this balancer has been in flight for longer than the limit."""
        return any(attempt.is_hanging(now_us, limit) for attempt in self.in_flight)

    def add_latency(self, relative_latency: float) -> bool:
        """Add a latency relative to the usual one; return True if it opens an epoch with a new share."""
        opened = self.detector.add(relative_latency)
        if opened:
            self.share = 1.0 / self.detector.epoch_mean
        return opened

    def mark_unreachable(self, now_us: int) -> None:
        """Avoid the endpoint for the backoff. Its share stays, as the route failure may be brief."""
        if now_us < self.unreachable_until_us:  # an attempt that was in flight when the route failed
            return
        backoff_us = max(FIRST_UNREACHABLE_BACKOFF_US, 2 * self.unreachable_backoff_us)
        self.unreachable_backoff_us = min(COOL_DOWN_US, backoff_us)
        self.unreachable_until_us = now_us + self.unreachable_backoff_us

    def record_response(self, now_us: int) -> None:
        """Record a response of any kind, which shows that the endpoint is reachable."""
        self.responded_at_us = now_us
        self.unreachable_backoff_us = 0

    def start_cool_down(self, now_us: int, class_name: str) -> None:
        """Avoid the endpoint for a class for `COOL_DOWN_US`, after it failed or lost a request of it."""
        self.cool_down_until_us[class_name] = now_us + COOL_DOWN_US

    def is_avoided(self, now_us: int, class_name: str) -> bool:
        """Return whether to prefer other endpoints for this class: a recent failure of it, or no route."""
        return now_us < max(self.unreachable_until_us, self.cool_down_until_us.get(class_name, 0))


EndpointAttempt: TypeAlias = Attempt[EndpointState]
