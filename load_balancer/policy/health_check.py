"""Health checks, which detect lost responses and endpoints that no longer respond.

A health check asks an endpoint with a hanging attempt how many requests it has in flight. If the site allows
no health checks, `silent_attempts` is used instead.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable

from load_balancer import messages
from load_balancer.policy.attempt import HangLimit
from load_balancer.policy.endpoint_state import EndpointAttempt, EndpointState
from load_balancer.policy.outbox import Outbox
from load_balancer.policy.scan_timer import ScanTimer

HANG_LIMIT = HangLimit(3.0, 1_000_000)
HANG_LIMIT_AFTER_LOSS = HangLimit(2.0, 800_000)  # for AFTER_LOSS_PERIOD_US after a response was lost
AFTER_LOSS_PERIOD_US = 20_000_000
MAX_REPORT_AGE_US = 700_000  # a load report may be this old
REPORT_ERROR_FACTOR = 1.2  # a load report may be too low by this factor

TrySpendCheckToken = Callable[[int, EndpointState], bool]
Abandon = Callable[[int, EndpointAttempt], None]


class HealthChecker:
    """Checks endpoints whose attempts hang, and abandons attempts whose responses are lost."""

    def __init__(
        self,
        outbox: Outbox,
        scan_timer: ScanTimer,
        try_spend_check_token: TrySpendCheckToken,
        abandon: Abandon,
    ) -> None:
        """Create a checker without pending checks.

        Args:
            outbox: Receives the checks and log lines.
            scan_timer: Schedules the next call of `check_endpoints`.
            try_spend_check_token: Charges a check to the slow-start budget; returns False if that is spent.
            abandon: Abandons an attempt in flight.
        """
        self._outbox = outbox
        self._try_spend_check_token = try_spend_check_token
        self._abandon = abandon
        self._scan_timer = scan_timer
        self._response_lost_at_us: int | None = None
        self.pending: dict[int, list[EndpointState]] = {}  # incarnations with a pending check, by endpoint id

    def check_endpoints(
        self, now_us: int, endpoints: Iterable[EndpointState], in_flight: Collection[EndpointAttempt]
    ) -> None:
        """Check silent endpoints, and those whose attempts hang: only a check reveals a lost response."""
        silent = [state for state in endpoints if state.health.is_silent]
        limit = self._hang_limit(now_us)
        for state in dict.fromkeys([*silent, *(attempt.endpoint for attempt in in_flight)]):
            is_hanging = state.has_hanging_attempt(now_us, limit)
            if state.health.is_due(now_us, has_hanging_attempt=is_hanging) and self._try_spend_check_token(
                now_us, state
            ):
                self._start_check(now_us, state)
        if in_flight or silent:
            self._scan_timer.schedule(now_us)

    def check_ended(self, now_us: int, event: messages.HealthCheckEnded) -> None:
        """Apply the result of a check to all incarnations that were checked."""
        for state in self.pending.pop(event.endpoint_id, []):
            state.health.is_pending = False
            if event.is_alive:
                state.health.missed_checks = 0
                if event.in_flight is not None:
                    self._abandon_lost_attempts(now_us, state, event.in_flight)
            else:
                self._check_missed(now_us, state)

    def _hang_limit(self, now_us: int) -> HangLimit:
        lost_recently = (
            self._response_lost_at_us is not None
            and now_us < self._response_lost_at_us + AFTER_LOSS_PERIOD_US
        )
        return HANG_LIMIT_AFTER_LOSS if lost_recently else HANG_LIMIT

    def _start_check(self, now_us: int, state: EndpointState) -> None:
        state.health.check_started(now_us)
        self.pending.setdefault(state.endpoint.id, []).append(state)
        self._outbox.add(messages.CheckHealth(state.endpoint.id))

    def _check_missed(self, now_us: int, state: EndpointState) -> None:
        state.health.missed_checks += 1
        if not state.health.is_silent and self._try_spend_check_token(now_us, state):
            self._start_check(now_us, state)
        elif state.health.is_silent:
            # The host may be gone: its connections then stay open and never deliver a response.
            for attempt in list(state.in_flight):
                self._abandon(now_us, attempt)

    def _abandon_lost_attempts(self, now_us: int, state: EndpointState, reported: float) -> None:
        """Abandon attempts that the endpoint no longer has in flight.

        `reported` is the endpoint's number of requests in flight, from all balancers.
        """
        reportable = [
            attempt
            for attempt in state.in_flight
            if attempt.sent_at_us <= state.health.checked_at_us - MAX_REPORT_AGE_US
        ]
        lost_count = len(reportable) - math.ceil(REPORT_ERROR_FACTOR * reported - (REPORT_ERROR_FACTOR - 1.0))
        limit = self._hang_limit(now_us)
        hanging = sorted(
            (attempt for attempt in reportable if attempt.is_hanging(now_us, limit)),
            key=lambda attempt: attempt.request_class.usual_latency_us / (now_us - attempt.sent_at_us),
        )
        if lost_count > 0 and hanging:
            waiting = len(reportable)
            text = (
                f"responses lost: endpoint {state.endpoint.id} reports {reported:.1f} requests in flight, "
                f"{waiting} attempts of this balancer await a response; abandoning hanging attempts"
            )
            self._outbox.add(messages.Log(text))
            self._response_lost_at_us = now_us
        for attempt in hanging[: max(0, lost_count)]:
            self._abandon(now_us, attempt)
