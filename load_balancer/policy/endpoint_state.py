"""What one balancer knows of one endpoint: its share, its attempts in flight, its health.

The endpoint list owns these records. Outcomes, health checks and slow start update them.
"""

from __future__ import annotations

from typing import TypeAlias

from load_balancer import messages
from load_balancer.policy.attempt import Attempt, HangLimit, LastAttempt
from load_balancer.policy.change_detector import ChangeDetector
from load_balancer.policy.endpoint_health import EndpointHealth
from load_balancer.policy.subset import hashed_id
from load_balancer.policy.warming_state import WarmingState

OVERDUE_LATENCIES = 2.0  # an attempt in flight for this many usual latencies counts as two
FIRST_UNREACHABLE_BACKOFF_US = (
    250_000  # an endpoint without a route is avoided for this long, doubled each time
)
COOL_DOWN_US = 5_000_000  # one that lost or failed a request of a class is avoided for that class


class EndpointState:
    """One incarnation of an endpoint. A restart makes a new one."""

    def __init__(self, endpoint: messages.Endpoint, warming: WarmingState) -> None:
        """Start with a full share and nothing in flight."""
        self.endpoint = endpoint
        # Fixed once: no later entry for the same incarnation makes it older or younger. 0: long ago.
        self.started_us = endpoint.incarnation_us if endpoint.started_us is None else endpoint.started_us
        self.hashed_id = hashed_id(endpoint.id)
        self.ring_position = (self.hashed_id, endpoint.id)
        self.detector = ChangeDetector()
        self.health = EndpointHealth()
        self.warming = warming
        self.share = 1.0  # samples are in units of what is usual, so 1/mean starts at 1
        self.in_flight: list[EndpointAttempt] = []  # of this balancer
        # Own attempts that it may have in flight; below one: the part of the time in which it may have one.
        self.concurrency_limit = 1.0
        self.paused_until_us = 0  # no attempt is sent before, where the limit is below one
        self.failure_penalty_ends_us: list[int] = []  # until when failed attempts still count as in flight
        self.cool_down_until_us: dict[str, int] = {}  # by class, of which it lost or failed a request
        self.unreachable_until_us = 0  # avoided, as there was no route to it
        self.unreachable_backoff_us = 0
        self.responded_at_us = 0  # when it last answered anything
        self.last_attempt = LastAttempt.NONE

    @property
    def is_up(self) -> bool:
        """Tell whether the endpoint may be sent new attempts, by the endpoint list."""
        return self.endpoint.status is messages.EndpointStatus.UP

    def load(self, now_us: int) -> int:
        """Return own attempts in flight, overdue ones twice, failed ones as long as is usual for their class.

        So an endpoint that hangs is noticed before its attempts time out. One that fails at once would
        otherwise always look idle and draw every request that waits.
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
        """Tell whether an own attempt has been in flight for longer than the limit."""
        return any(attempt.is_hanging(now_us, limit) for attempt in self.in_flight)

    def add_latency(self, relative_latency: float) -> bool:
        """Add a latency in units of the usual one; return True where it opens an epoch with a new share."""
        opened = self.detector.add(relative_latency)
        if opened:
            self.share = 1.0 / self.detector.epoch_mean
        return opened

    def mark_unreachable(self, now_us: int) -> None:
        """Avoid the endpoint for a while. Its share stays, as its route may have failed for a moment only."""
        if now_us < self.unreachable_until_us:  # an attempt that was in flight when the route failed
            return
        backoff_us = max(FIRST_UNREACHABLE_BACKOFF_US, 2 * self.unreachable_backoff_us)
        self.unreachable_backoff_us = min(COOL_DOWN_US, backoff_us)
        self.unreachable_until_us = now_us + self.unreachable_backoff_us

    def record_response(self, now_us: int) -> None:
        """Note that the endpoint has answered something: it is there, and so is the route to it."""
        self.responded_at_us = now_us
        self.unreachable_backoff_us = 0

    def cool_down(self, now_us: int, class_name: str) -> None:
        """Avoid the endpoint for a while for requests of a class of which it has lost or failed one."""
        self.cool_down_until_us[class_name] = now_us + COOL_DOWN_US

    def is_avoided(self, now_us: int, class_name: str) -> bool:
        """Tell whether to prefer others for this class: the endpoint failed it lately, or has no route."""
        return now_us < max(self.unreachable_until_us, self.cool_down_until_us.get(class_name, 0))


EndpointAttempt: TypeAlias = Attempt[EndpointState]
