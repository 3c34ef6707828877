"""The four rules under seeded streams of odd but legal events.

`World` drives one balancer through its public interface and judges every action by records of its own; it
looks at nothing inside the balancer.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from load_balancer import messages
from tests.support.balancer_harness import CLASSES, MS, BalancerHarness, S, settings

OUTCOMES = tuple(messages.Outcome)
PROVES_NOTHING_RAN = (
    messages.Outcome.REJECTED,
    messages.Outcome.NO_CONNECTION,
    messages.Outcome.UNREACHABLE,
    messages.Outcome.NOT_SENT,
)
KEYED_ZONE = messages.RequestClass(
    "note", 2 * S, 5 * S, messages.Idempotency.KEYED, messages.KeyScope.ZONE, deduplication_window_us=3 * S
)
FORGETFUL = messages.RequestClass(
    "mail", 4 * S, 5 * S, messages.Idempotency.KEYED, deduplication_window_us=100 * MS
)
UNSAFE_BUT_REMEMBERED = messages.RequestClass(
    "book", 4 * S, 5 * S, deduplication_window_us=5 * S
)  # a memory it may not use
ALL_CLASSES = (*CLASSES, KEYED_ZONE, FORGETFUL, UNSAFE_BUT_REMEMBERED)
UNLISTED = messages.RequestClass("nobody told", 5 * S, 5 * S)  # sent, but missing in the settings: unsafe
MOST_ATTEMPTS = 4
FINAL_SLACK = 20 * MS  # the wire's grace for a final answer


@dataclass
class Try:
    send: messages.StartAttempt
    backend: messages.Endpoint
    at: int
    outcome: messages.Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in PROVES_NOTHING_RAN


@dataclass
class Owed:
    cls: messages.RequestClass
    deadline: int
    tries: list[Try]


class World(BalancerHarness):
    """A harness that checks each action against what it has seen itself."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.owed: dict[str, Owed] = {}
        self.known: dict[str, Owed] = {}  # the same, kept when they are over
        self.out: list[tuple[str, int]] = []
        self.cold_sends: dict[int, list[int]] = {}  # by backend, since its latest start
        self.warm_sends: dict[int, list[int]] = {}
        self.trace: list[object] = []
        self.serial = 0
        self.listed = {n: messages.Endpoint(n, cell=n % 3, zone="ab"[n % 2]) for n in range(8)}
        self.version = 1
        limits = messages.Limits(max_attempts=MOST_ATTEMPTS, cancel=seed % 3 > 0)
        self.setup = settings(
            classes=ALL_CLASSES,
            limits=limits,
            instances=1 + seed % 3,
            must_subscribe=seed % 2 == 0,
            worst_class_weight=0.3 * (seed % 2),
        )
        super().__init__(self.setup, backends=0, seed=seed)
        self.news(*self.listed.values())

    # The checker

    def event(self, event: messages.Event) -> list[messages.Action]:
        actions = super().event(event)
        for action in actions:
            self.check(action)
        self.trace.append((self.now, event, tuple(actions)))
        return actions

    def check(self, action: messages.Action) -> None:
        match action:
            case messages.StartAttempt():
                self.check_send(action)
            case messages.Reject():
                assert action.request in self.owed, "lost: a second final answer"
                owed = self.owed.pop(action.request)
                keyed_everywhere = (owed.cls.idempotency, owed.cls.key_scope) == (
                    messages.Idempotency.KEYED,
                    messages.KeyScope.ALL,
                )
                harmless = owed.cls.idempotency is messages.Idempotency.SAFE or keyed_everywhere
                assert harmless or not any(t.may_have_run for t in owed.tries), (
                    "twice: refused what may have run"
                )
                assert self.now <= owed.deadline + FINAL_SLACK, "lost: refused too late"
            case messages.Fail():
                assert action.request in self.owed, "lost: a second final answer"
                owed = self.owed.pop(action.request)
                assert self.now <= owed.deadline + FINAL_SLACK, "lost: failed too late"
            case messages.CancelAttempt():
                assert self.setup.limits.cancel
                assert action.attempt < len(self.known[action.request].tries)
            case messages.SetTimer():
                assert action.at_us >= self.now

    def check_send(self, send: messages.StartAttempt) -> None:
        assert send.request in self.owed, "lost: sent after the end"
        owed = self.owed[send.request]
        backend = self.listed.get(send.endpoint_id)
        assert backend is not None, "drain: sent to a leaver"
        assert backend.status is messages.EndpointStatus.UP, "drain: sent to a leaver"
        assert 0 < send.timeout_us <= owed.deadline - self.now
        assert len(owed.tries) < MOST_ATTEMPTS
        assert all(t.outcome is not None for t in owed.tries), "two at once"
        ran = [t for t in owed.tries if t.may_have_run]
        if ran:
            first = ran[0]
            assert owed.cls.idempotency is not messages.Idempotency.UNSAFE, "twice: unsafe sent again"
            if owed.cls.idempotency is messages.Idempotency.KEYED:
                assert self.now <= first.at + owed.cls.deduplication_window_us, "twice: after the memory"
                if owed.cls.key_scope is not messages.KeyScope.ALL:
                    assert backend.zone == first.backend.zone, "twice: another zone"
                if owed.cls.key_scope is messages.KeyScope.CELL:
                    assert backend.cell == first.backend.cell, "twice: another cell"
        self.check_cold(backend)
        self.out.append((send.request, len(owed.tries)))
        owed.tries.append(Try(send, backend, self.now))

    def check_cold(self, backend: messages.Endpoint) -> None:
        """The budget of a cold backend in the window that ends now, by what warm ones got at most."""
        rules = self.setup.rules
        age = self.now - backend.incarnation_us
        if backend.incarnation_us <= 0 or age >= rules.slow_start_us:
            self.warm_sends.setdefault(backend.id, []).append(self.now)
            return
        cold = self.cold_sends.setdefault(backend.id, [])
        cold.append(self.now)
        recent = sum(self.now - rules.overload_window_us < at for at in cold)
        warm = max((self.most_in_window(times) for times in self.warm_sends.values()), default=0)
        capacity = rules.start_capacity + (1 - rules.start_capacity) * age / rules.slow_start_us
        # A few calls are no push, whatever the others get; what all got before is the measure beyond.
        assert recent <= max(6.0, rules.overload_multiple * capacity * warm), "cold: pushed over"

    def most_in_window(self, times: list[int]) -> int:
        window = self.setup.rules.overload_window_us
        return max(sum(at <= other < at + window for other in times) for at in times)

    # The stream

    def finish_one(self, index: int, outcome: messages.Outcome) -> None:
        request_id, number = self.out.pop(index)
        tried = self.known[request_id].tries[number]
        tried.outcome = outcome
        if outcome is messages.Outcome.OK:
            self.owed.pop(request_id, None)
        took = self.now - tried.at
        self.event(
            messages.AttemptEnded(
                request_id, number, tried.send.endpoint_id, outcome, took, request_id not in self.owed
            )
        )

    def ask(self) -> None:
        rng = self.rng
        self.serial += 1
        request_id, cls = f"r{self.serial}", rng.choice((*ALL_CLASSES, UNLISTED))
        time_left = rng.choice((0, 1, 10 * MS, 300 * MS, 2 * S, 5 * S))
        self.owed[request_id] = self.known[request_id] = Owed(cls, self.now + time_left, [])
        self.event(messages.Request(request_id, cls.name, time_left))

    def change_list(self) -> None:
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
        known = self.listed.get(endpoint_id)
        since = self.now if known is None or rng.random() < 0.3 else known.incarnation_us
        entry = messages.Endpoint(
            endpoint_id, status, "ab"[endpoint_id % 2], cell=endpoint_id % 3, incarnation_us=since
        )
        if since == self.now:
            self.cold_sends.pop(endpoint_id, None)
            self.warm_sends.pop(endpoint_id, None)
        self.version += 1
        self.listed[endpoint_id] = entry
        if rng.random() < 0.3:
            kept = [b for b in self.listed.values() if b.status is not messages.EndpointStatus.REMOVED]
            self.listed = {b.id: b for b in kept}
            self.news(*kept, version=self.version)
        else:
            self.news(entry, kind=messages.EndpointListKind.CHANGES, version=self.version)

    def odd(self) -> None:
        events: tuple[messages.Event, ...] = (
            messages.TimerFired(10**9),
            messages.ClientGone("never seen"),
            messages.AttemptEnded("never seen", 3, 1, messages.Outcome.ERROR, 5, False),
            messages.StreamStarted("never seen", 0),
            messages.EndpointListUpdate(messages.EndpointListKind.FAILED),
        )
        self.event(self.rng.choice(events))

    def step(self) -> None:
        rng = self.rng
        self.pass_time(rng.choice((0, 1, 5, 20, 20, 200)) * MS)
        for index in range(len(self.out) - 1, -1, -1):
            request_id, number = self.out[index]
            tried = self.known[request_id].tries[number]
            if tried.at + tried.send.timeout_us <= self.now:
                self.finish_one(index, messages.Outcome.TIMEOUT)
        kind = rng.random()
        if kind < 0.5:
            for _ in range(rng.choice((1, 1, 1, 6))):
                self.ask()
        elif kind < 0.85 and self.out:
            good = rng.random() < 0.6
            self.finish_one(
                rng.randrange(len(self.out)), messages.Outcome.OK if good else rng.choice(OUTCOMES)
            )
        elif kind < 0.9 and self.owed:
            gone = rng.choice(list(self.owed))
            del self.owed[gone]
            self.event(messages.ClientGone(gone))
        elif kind < 0.95:
            self.change_list()
        else:
            self.odd()
        late = [
            request_id for request_id, owed in self.owed.items() if self.now > owed.deadline + FINAL_SLACK
        ]
        assert not late, "lost: no answer in time"

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step()
        while self.out:
            self.finish_one(
                len(self.out) - 1, self.rng.choice((messages.Outcome.RESET, messages.Outcome.TIMEOUT))
            )
        self.pass_time(10 * S)
        while self.out:
            self.finish_one(len(self.out) - 1, messages.Outcome.TIMEOUT)
        assert not self.owed, "lost: no answer at all"


@pytest.mark.parametrize("first", range(0, 2000, 100))
def test_safety_rules_hold_under_random_events(first: int) -> None:
    """2,000 streams of 60 steps each, a hundred in each of these tests."""
    sent = again = cold = 0
    for seed in range(first, first + 100):
        world = World(seed)
        world.run(60)
        sent += sum(len(owed.tries) for owed in world.known.values())
        again += sum(len(owed.tries) > 1 for owed in world.known.values())
        cold += sum(len(times) for times in world.cold_sends.values())
    # The streams do reach what they are to check.
    assert sent > 1000
    assert again > 20
    assert cold > 20


@pytest.mark.parametrize("seed", range(4))
def test_same_events_give_the_same_actions(seed: int) -> None:
    first, second = World(seed), World(seed)
    first.run(300)
    second.run(300)
    assert first.trace == second.trace
