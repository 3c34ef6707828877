"""The four safety rules under seeded streams of random events, which are unusual but valid.

`CheckedBalancer` drives a balancer through its public interface and checks every action against its own
records of the events and actions, without access to the balancer's internal state.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from load_balancer import messages
from tests.support.balancer_harness import REQUEST_CLASSES, BalancerHarness, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US

OUTCOMES = tuple(messages.Outcome)
NOT_RUN_OUTCOMES = (
    messages.Outcome.REJECTED,
    messages.Outcome.NO_CONNECTION,
    messages.Outcome.UNREACHABLE,
    messages.Outcome.NOT_SENT,
)
KEYED_IN_ZONE_CLASS = messages.RequestClass(
    "note",
    2 * SECOND_US,
    5 * SECOND_US,
    messages.Idempotency.KEYED,
    messages.KeyScope.ZONE,
    deduplication_window_us=3 * SECOND_US,
)
SHORT_WINDOW_CLASS = messages.RequestClass(
    "mail",
    4 * SECOND_US,
    5 * SECOND_US,
    messages.Idempotency.KEYED,
    deduplication_window_us=100 * MILLISECOND_US,
)
# An unsafe class must not use its window.
UNSAFE_CLASS_WITH_WINDOW = messages.RequestClass(
    "book", 4 * SECOND_US, 5 * SECOND_US, deduplication_window_us=5 * SECOND_US
)
ALL_CLASSES = (*REQUEST_CLASSES, KEYED_IN_ZONE_CLASS, SHORT_WINDOW_CLASS, UNSAFE_CLASS_WITH_WINDOW)
# Requested but absent from the settings, so unsafe.
UNKNOWN_CLASS = messages.RequestClass("unknown", 5 * SECOND_US, 5 * SECOND_US)
MAX_ATTEMPTS = 4
FINAL_RESPONSE_SLACK_US = 20 * MILLISECOND_US  # permitted delay of a final response after the deadline


@dataclass
class SentAttempt:
    action: messages.StartAttempt
    endpoint: messages.Endpoint
    sent_at_us: int
    outcome: messages.Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in NOT_RUN_OUTCOMES


@dataclass
class PendingRequest:
    request_class: messages.RequestClass
    deadline_us: int
    attempts: list[SentAttempt]


class CheckedBalancer(BalancerHarness):
    """Harness that checks each action against its own records of the previous events and actions."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.pending: dict[str, PendingRequest] = {}
        self.requests: dict[str, PendingRequest] = {}  # all requests, including ended ones
        self.in_flight: list[tuple[str, int]] = []
        self.warming_times_us: dict[int, list[int]] = {}  # send times by endpoint, since its latest start
        self.warm_times_us: dict[int, list[int]] = {}
        self.trace: list[object] = []
        self.request_count = 0
        self.listed = {
            number: messages.Endpoint(number, cell=number % 3, zone="ab"[number % 2]) for number in range(8)
        }
        self.version = 1
        limits = messages.Limits(max_attempts=MAX_ATTEMPTS, cancel=seed % 3 > 0)
        self.settings = balancer_settings(
            classes=ALL_CLASSES,
            limits=limits,
            instances=1 + seed % 3,
            must_subscribe=seed % 2 == 0,
            worst_class_weight=0.3 * (seed % 2),
        )
        super().__init__(self.settings, endpoint_count=0, seed=seed)
        self.update_endpoint_list(*self.listed.values())

    # Checks

    def handle(self, event: messages.Event) -> list[messages.Action]:
        actions = super().handle(event)
        for action in actions:
            self.check(action)
        self.trace.append((self.now_us, event, tuple(actions)))
        return actions

    def check(self, action: messages.Action) -> None:
        match action:
            case messages.StartAttempt():
                self.check_start_attempt(action)
            case messages.Reject():
                assert action.request_id in self.pending, "final response: a second one"
                pending = self.pending.pop(action.request_id)
                keyed_everywhere = (pending.request_class.idempotency, pending.request_class.key_scope) == (
                    messages.Idempotency.KEYED,
                    messages.KeyScope.ALL,
                )
                harmless = pending.request_class.idempotency is messages.Idempotency.SAFE or keyed_everywhere
                assert harmless or not any(attempt.may_have_run for attempt in pending.attempts), (
                    "repeated: rejected a request that may have run"
                )
                assert self.now_us <= pending.deadline_us + FINAL_RESPONSE_SLACK_US, (
                    "final response: rejected too late"
                )
            case messages.Fail():
                assert action.request_id in self.pending, "final response: a second one"
                pending = self.pending.pop(action.request_id)
                assert self.now_us <= pending.deadline_us + FINAL_RESPONSE_SLACK_US, (
                    "final response: failed too late"
                )
            case messages.CancelAttempt():
                assert self.settings.limits.cancel
                assert action.attempt_number < len(self.requests[action.request_id].attempts)
            case messages.SetTimer():
                assert action.at_us >= self.now_us

    def check_start_attempt(self, action: messages.StartAttempt) -> None:
        assert action.request_id in self.pending, "final response: attempt started after it"
        pending = self.pending[action.request_id]
        endpoint = self.listed.get(action.endpoint_id)
        assert endpoint is not None, "draining: attempt sent to an endpoint that is draining or removed"
        assert endpoint.status is messages.EndpointStatus.UP, (
            "draining: attempt sent to an endpoint that is draining or removed"
        )
        assert 0 < action.timeout_us <= pending.deadline_us - self.now_us
        assert len(pending.attempts) < MAX_ATTEMPTS
        assert all(attempt.outcome is not None for attempt in pending.attempts), (
            "concurrent: the previous attempt has not ended"
        )
        may_have_run_attempts = [attempt for attempt in pending.attempts if attempt.may_have_run]
        if may_have_run_attempts:
            first = may_have_run_attempts[0]
            assert pending.request_class.idempotency is not messages.Idempotency.UNSAFE, (
                "repeated: unsafe request sent again"
            )
            if pending.request_class.idempotency is messages.Idempotency.KEYED:
                assert self.now_us <= first.sent_at_us + pending.request_class.deduplication_window_us, (
                    "repeated: after the deduplication window"
                )
                if pending.request_class.key_scope is not messages.KeyScope.ALL:
                    assert endpoint.zone == first.endpoint.zone, "repeated: in another zone"
                if pending.request_class.key_scope is messages.KeyScope.CELL:
                    assert endpoint.cell == first.endpoint.cell, "repeated: in another cell"
        self.check_slow_start(endpoint)
        self.in_flight.append((action.request_id, len(pending.attempts)))
        pending.attempts.append(SentAttempt(action, endpoint, self.now_us))

    def check_slow_start(self, endpoint: messages.Endpoint) -> None:
        """Check the window that ends now against a budget relative to the maximum of a warm endpoint."""
        rules = self.settings.rules
        age_us = self.now_us - endpoint.incarnation_us
        if endpoint.incarnation_us <= 0 or age_us >= rules.slow_start_us:
            self.warm_times_us.setdefault(endpoint.id, []).append(self.now_us)
            return
        times = self.warming_times_us.setdefault(endpoint.id, [])
        times.append(self.now_us)
        attempts_in_window = sum(self.now_us - rules.overload_window_us < at for at in times)
        max_warm = max(
            (self.max_in_window(warm_times) for warm_times in self.warm_times_us.values()), default=0
        )
        capacity = rules.start_capacity + (1 - rules.start_capacity) * age_us / rules.slow_start_us
        # A few attempts never overload an endpoint; above that the budget is relative to warm endpoints.
        assert attempts_in_window <= max(6.0, rules.overload_multiple * capacity * max_warm), (
            "slow start: attempts exceed the budget"
        )

    def max_in_window(self, times: list[int]) -> int:
        window_us = self.settings.rules.overload_window_us
        return max(sum(at <= other < at + window_us for other in times) for at in times)

    # Random events

    def finish_attempt(self, index: int, outcome: messages.Outcome) -> None:
        request_id, number = self.in_flight.pop(index)
        attempt = self.requests[request_id].attempts[number]
        attempt.outcome = outcome
        if outcome is messages.Outcome.OK:
            self.pending.pop(request_id, None)
        latency_us = self.now_us - attempt.sent_at_us
        self.handle(
            messages.AttemptEnded(
                request_id,
                number,
                attempt.action.endpoint_id,
                outcome,
                latency_us,
                request_id not in self.pending,
            )
        )

    def send_random_request(self) -> None:
        rng = self.rng
        self.request_count += 1
        request_id, request_class = f"r{self.request_count}", rng.choice((*ALL_CLASSES, UNKNOWN_CLASS))
        time_remaining_us = rng.choice(
            (0, 1, 10 * MILLISECOND_US, 300 * MILLISECOND_US, 2 * SECOND_US, 5 * SECOND_US)
        )
        self.pending[request_id] = self.requests[request_id] = PendingRequest(
            request_class, self.now_us + time_remaining_us, []
        )
        self.handle(messages.Request(request_id, request_class.name, time_remaining_us))

    def random_entry(self) -> messages.Endpoint:
        """Return a list entry with a new state for a random endpoint, which may have restarted."""
        rng = self.rng
        endpoint_id = rng.randrange(10)
        status = rng.choice(
            (
                messages.EndpointStatus.UP,
                messages.EndpointStatus.UP,
                messages.EndpointStatus.DRAINING,
                messages.EndpointStatus.REMOVED,
            )
        )
        listed_endpoint = self.listed.get(endpoint_id)
        incarnation_us = (
            self.now_us if listed_endpoint is None or rng.random() < 0.3 else listed_endpoint.incarnation_us
        )
        return messages.Endpoint(
            endpoint_id, status, "ab"[endpoint_id % 2], cell=endpoint_id % 3, incarnation_us=incarnation_us
        )

    def change_list(self) -> None:
        entry = self.random_entry()
        if entry.incarnation_us == self.now_us:
            self.warming_times_us.pop(entry.id, None)
            self.warm_times_us.pop(entry.id, None)
        self.version += 1
        self.listed[entry.id] = entry
        if self.rng.random() < 0.3:
            kept = [
                endpoint
                for endpoint in self.listed.values()
                if endpoint.status is not messages.EndpointStatus.REMOVED
            ]
            self.listed = {endpoint.id: endpoint for endpoint in kept}
            self.update_endpoint_list(*kept, version=self.version)
        else:
            self.update_endpoint_list(entry, kind=messages.EndpointListKind.CHANGES, version=self.version)

    def send_odd_event(self) -> None:
        events: tuple[messages.Event, ...] = (
            messages.TimerFired(10**9),
            messages.ClientGone("never seen"),
            messages.AttemptEnded("never seen", 3, 1, messages.Outcome.ERROR, 5, False),
            messages.StreamStarted("never seen", 0),
            messages.EndpointListUpdate(messages.EndpointListKind.FAILED),
        )
        self.handle(self.rng.choice(events))

    def run_step(self) -> None:
        rng = self.rng
        self.advance(rng.choice((0, 1, 5, 20, 20, 200)) * MILLISECOND_US)
        self.end_timed_out_attempts()
        kind = rng.random()
        if kind < 0.5:
            for _ in range(rng.choice((1, 1, 1, 6))):
                self.send_random_request()
        elif kind < 0.85 and self.in_flight:
            succeeds = rng.random() < 0.6
            self.finish_attempt(
                rng.randrange(len(self.in_flight)), messages.Outcome.OK if succeeds else rng.choice(OUTCOMES)
            )
        elif kind < 0.9 and self.pending:
            request_id = rng.choice(list(self.pending))
            del self.pending[request_id]
            self.handle(messages.ClientGone(request_id))
        elif kind < 0.95:
            self.change_list()
        else:
            self.send_odd_event()
        self.check_final_responses()

    def end_timed_out_attempts(self) -> None:
        for index in range(len(self.in_flight) - 1, -1, -1):
            request_id, number = self.in_flight[index]
            attempt = self.requests[request_id].attempts[number]
            if attempt.sent_at_us + attempt.action.timeout_us <= self.now_us:
                self.finish_attempt(index, messages.Outcome.TIMEOUT)

    def check_final_responses(self) -> None:
        overdue_ids = [
            request_id
            for request_id, pending in self.pending.items()
            if self.now_us > pending.deadline_us + FINAL_RESPONSE_SLACK_US
        ]
        assert not overdue_ids, "final response: none by the deadline"

    def run_steps(self, steps: int) -> None:
        for _ in range(steps):
            self.run_step()
        while self.in_flight:
            self.finish_attempt(
                len(self.in_flight) - 1, self.rng.choice((messages.Outcome.RESET, messages.Outcome.TIMEOUT))
            )
        self.advance(10 * SECOND_US)
        while self.in_flight:
            self.finish_attempt(len(self.in_flight) - 1, messages.Outcome.TIMEOUT)
        assert not self.pending, "final response: none at all"


@pytest.mark.parametrize("first", range(0, 2000, 100))
def test_safety_rules_hold_under_random_events(first: int) -> None:
    """Each test runs 100 of the 2,000 streams, with 60 steps each."""
    attempt_count = retried_count = warming_attempt_count = 0
    for seed in range(first, first + 100):
        checked = CheckedBalancer(seed)
        checked.run_steps(60)
        attempt_count += sum(len(pending.attempts) for pending in checked.requests.values())
        retried_count += sum(len(pending.attempts) > 1 for pending in checked.requests.values())
        warming_attempt_count += sum(len(times) for times in checked.warming_times_us.values())
    # The streams exercise attempts, retries and slow start often enough for the checks to mean something.
    assert attempt_count > 1000
    assert retried_count > 20
    assert warming_attempt_count > 20


@pytest.mark.parametrize("seed", range(4))
def test_same_events_give_the_same_actions(seed: int) -> None:
    first, second = CheckedBalancer(seed), CheckedBalancer(seed)
    first.run_steps(300)
    second.run_steps(300)
    assert first.trace == second.trace
