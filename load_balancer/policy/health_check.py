"""Health checks: finds answers that were lost on the way, and endpoints that have fallen silent.

An endpoint whose attempts hang is asked how many requests it holds. Where endpoints may not be asked,
`RequestHandler.abandon_silent` takes the place of this.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable

from load_balancer import messages
from load_balancer.policy.attempt import HangLimit
from load_balancer.policy.endpoint_state import EndpointAttempt, EndpointState
from load_balancer.policy.outbox import Outbox
from load_balancer.policy.scan_timer import ScanTimer

SUSPECT_LIMIT = HangLimit(3.0, 1_000_000)
SUSPECT_LIMIT_AFTER_LOSS = HangLimit(2.0, 800_000)  # for a while after an answer was lost
LOSS_MEMORY_US = 20_000_000  # that while
REPORT_AGE_US = 700_000  # a load report may be this old
REPORT_NOISE = 1.2  # and too low by this factor

MayCheck = Callable[[int, EndpointState], bool]
Abandon = Callable[[int, EndpointAttempt], None]


class HealthChecker:
    """Looks at attempts in flight now and then, and asks or gives up where they hang."""

    def __init__(self, outbox: Outbox, scan_timer: ScanTimer, may_check: MayCheck, abandon: Abandon) -> None:
        """Take the parts it uses; `may_check` pays for a check out of the slow-start budget."""
        self._outbox = outbox
        self._may_check = may_check
        self._abandon = abandon
        self._scan_timer = scan_timer
        self._answer_lost_at_us: int | None = None
        self.pending: dict[int, list[EndpointState]] = {}  # by endpoint id: incarnations that are asked

    def check_hanging(
        self, now_us: int, endpoints: Iterable[EndpointState], in_flight: Collection[EndpointAttempt]
    ) -> None:
        """Ask endpoints whose attempts hang: an answer that was lost on the way never tells by itself."""
        silent = [state for state in endpoints if state.health.is_silent]
        limit = self._hang_limit(now_us)
        for state in dict.fromkeys([*silent, *(attempt.endpoint for attempt in in_flight)]):
            hangs = state.has_hanging_attempt(now_us, limit)
            if state.health.is_due(now_us, has_hanging_attempt=hangs) and self._may_check(now_us, state):
                self._check(now_us, state)
        if in_flight or silent:
            self._scan_timer.schedule(now_us)

    def check_ended(self, now_us: int, event: messages.HealthCheckEnded) -> None:
        """Take the result of a check."""
        for state in self.pending.pop(event.endpoint_id, []):
            state.health.pending = False
            if event.alive:
                state.health.missed = 0
                if event.in_flight is not None:
                    self._compare(now_us, state, event.in_flight)
            else:
                self._missed(now_us, state)

    def _hang_limit(self, now_us: int) -> HangLimit:
        lost_lately = (
            self._answer_lost_at_us is not None and now_us < self._answer_lost_at_us + LOSS_MEMORY_US
        )
        return SUSPECT_LIMIT_AFTER_LOSS if lost_lately else SUSPECT_LIMIT

    def _check(self, now_us: int, state: EndpointState) -> None:
        state.health.start(now_us)
        self.pending.setdefault(state.endpoint.id, []).append(state)
        self._outbox.add(messages.CheckHealth(state.endpoint.id))

    def _missed(self, now_us: int, state: EndpointState) -> None:
        state.health.missed += 1
        if not state.health.is_silent and self._may_check(now_us, state):
            self._check(now_us, state)
        elif state.health.is_silent:
            # It may have vanished: then its connections stay open and never bring anything.
            for attempt in list(state.in_flight):
                self._abandon(now_us, attempt)

    def _compare(self, now_us: int, state: EndpointState, reported: float) -> None:
        """Give up the attempts that an endpoint no longer holds, by its load report over all balancers."""
        old = [
            attempt
            for attempt in state.in_flight
            if attempt.sent_at_us <= state.health.checked_at_us - REPORT_AGE_US
        ]
        lost = len(old) - math.ceil(REPORT_NOISE * reported - (REPORT_NOISE - 1.0))
        limit = self._hang_limit(now_us)
        hanging = sorted(
            (attempt for attempt in old if attempt.hangs(now_us, limit)),
            key=lambda attempt: attempt.request_class.usual_latency_us / (now_us - attempt.sent_at_us),
        )
        if lost > 0 and hanging:
            text = f"{state.endpoint.id} holds {reported:.1f} and we wait for {len(old)}: answers are lost"
            self._outbox.add(messages.Log(text))
            self._answer_lost_at_us = now_us
        for attempt in hanging[: max(0, lost)]:
            self._abandon(now_us, attempt)
