"""Drives one balancer with short calls for its events, and keeps the actions that come of them."""

from __future__ import annotations

from typing import TypeVar

from load_balancer import Balancer, messages

MS = 1_000
S = 1_000_000

SAFE = messages.RequestClass(
    "read", latency_objective_us=2 * S, deadline_us=5 * S, idempotency=messages.Idempotency.SAFE
)
KEYED = messages.RequestClass(
    "write",
    2 * S,
    5 * S,
    idempotency=messages.Idempotency.KEYED,
    key_scope=messages.KeyScope.CELL,
    deduplication_window_us=4 * S,
    priority_weight=2,
)
KEYED_ALL = messages.RequestClass(
    "mark",
    2 * S,
    5 * S,
    idempotency=messages.Idempotency.KEYED,
    deduplication_window_us=4 * S,
    priority_weight=2,
)
UNSAFE = messages.RequestClass("pay", 2 * S, 5 * S, priority_weight=3)
CLASSES = (SAFE, KEYED, KEYED_ALL, UNSAFE)

A = TypeVar("A")


def settings(**changes: object) -> messages.Settings:
    values: dict[str, object] = {
        "classes": CLASSES,
        "rules": messages.Rules(0.4, 5 * S, 3.0, 1 * S),
        "limits": messages.Limits(max_attempts=3, cancel=True),
        **changes,
    }
    return messages.Settings(**values)  # type: ignore[arg-type]


class BalancerHarness:
    """Drives one balancer and keeps all that it did."""

    def __init__(self, setup: messages.Settings | None = None, backends: int = 4, seed: int = 1) -> None:
        self.now = 10 * S
        self.balancer = Balancer(setup or settings(), seed)
        self.done: list[messages.Action] = list(self.balancer.start(self.now))
        if backends:
            self.news(*(messages.Endpoint(n, cell=n % 2) for n in range(backends)))

    def event(self, event: messages.Event) -> list[messages.Action]:
        actions = self.balancer.handle(self.now, event)
        self.done += actions
        return actions

    def news(
        self,
        *entries: messages.Endpoint,
        kind: messages.EndpointListKind = messages.EndpointListKind.COMPLETE,
        version: int = 1,
    ) -> None:
        self.event(messages.EndpointListUpdate(kind, version, entries))

    def request(
        self, request_id: str, cls: str = "read", time_left: int = 5 * S, retry: bool = False
    ) -> list[messages.Action]:
        return self.event(messages.Request(request_id, cls, time_left, retry=retry))

    def end(
        self, send: messages.StartAttempt, outcome: messages.Outcome, took: int = 50 * MS, attempt: int = 0
    ) -> list[messages.Action]:
        ok = outcome is messages.Outcome.OK
        return self.event(messages.AttemptEnded(send.request, attempt, send.endpoint_id, outcome, took, ok))

    def pass_time(self, us: int) -> list[messages.Action]:
        """Lets time pass and fires the timers that fall due on the way."""
        end, fired = self.now + us, []
        while True:
            due = [a for a in self.done if isinstance(a, messages.SetTimer) and a.at_us <= end]
            if not due:
                break
            timer = min(due, key=lambda a: (a.at_us, a.timer))
            self.done.remove(timer)
            self.now = max(self.now, timer.at_us)
            fired += self.event(messages.TimerFired(timer.timer))
        self.now = end
        return fired


def only(actions: list[messages.Action], kind: type[A]) -> list[A]:
    return [a for a in actions if isinstance(a, kind)]
