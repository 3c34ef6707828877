"""Test harness for one balancer: builds its events and records the actions that it returns."""

from __future__ import annotations

from typing import TypeVar

from load_balancer import Balancer, messages
from tests.support.units import MILLISECOND_US, SECOND_US

SAFE_CLASS = messages.RequestClass(
    "read",
    latency_objective_us=2 * SECOND_US,
    deadline_us=5 * SECOND_US,
    idempotency=messages.Idempotency.SAFE,
)
KEYED_IN_CELL_CLASS = messages.RequestClass(
    "write",
    2 * SECOND_US,
    5 * SECOND_US,
    idempotency=messages.Idempotency.KEYED,
    key_scope=messages.KeyScope.CELL,
    deduplication_window_us=4 * SECOND_US,
    priority_weight=2,
)
KEYED_CLASS = messages.RequestClass(
    "mark",
    2 * SECOND_US,
    5 * SECOND_US,
    idempotency=messages.Idempotency.KEYED,
    deduplication_window_us=4 * SECOND_US,
    priority_weight=2,
)
UNSAFE_CLASS = messages.RequestClass("pay", 2 * SECOND_US, 5 * SECOND_US, priority_weight=3)
REQUEST_CLASSES = (SAFE_CLASS, KEYED_IN_CELL_CLASS, KEYED_CLASS, UNSAFE_CLASS)

ActionType = TypeVar("ActionType")


def balancer_settings(**changes: object) -> messages.Settings:
    """Return the default test settings with these fields replaced."""
    values: dict[str, object] = {
        "classes": REQUEST_CLASSES,
        "rules": messages.Rules(0.4, 5 * SECOND_US, 3.0, 1 * SECOND_US),
        "limits": messages.Limits(max_attempts=3, cancel=True),
        **changes,
    }
    return messages.Settings(**values)  # type: ignore[arg-type]


class BalancerHarness:
    """A balancer on a clock that the test advances.

    Attributes:
        now_us: The current time, initially 10 s.
        actions: All actions returned so far, except timers that have fired.
    """

    def __init__(
        self, settings: messages.Settings | None = None, endpoint_count: int = 4, seed: int = 1
    ) -> None:
        self.now_us = 10 * SECOND_US
        self.balancer = Balancer(settings or balancer_settings(), seed)
        self.actions: list[messages.Action] = list(self.balancer.start(self.now_us))
        if endpoint_count:
            self.update_endpoint_list(*(messages.Endpoint(n, cell=n % 2) for n in range(endpoint_count)))

    def handle(self, event: messages.Event) -> list[messages.Action]:
        """Pass this event to the balancer at the current time, and return its actions."""
        actions = self.balancer.handle(self.now_us, event)
        self.actions += actions
        return actions

    def update_endpoint_list(
        self,
        *endpoints: messages.Endpoint,
        kind: messages.EndpointListKind = messages.EndpointListKind.COMPLETE,
        version: int = 1,
    ) -> None:
        """Pass an endpoint list of this kind to the balancer."""
        self.handle(messages.EndpointListUpdate(kind, version, endpoints))

    def send_request(
        self,
        request_id: str,
        class_name: str = "read",
        time_remaining_us: int = 5 * SECOND_US,
        retry: bool = False,
    ) -> list[messages.Action]:
        """Pass a request of this class to the balancer, and return its actions."""
        return self.handle(messages.Request(request_id, class_name, time_remaining_us, retry=retry))

    def end_attempt(
        self,
        start_attempt: messages.StartAttempt,
        outcome: messages.Outcome,
        duration_us: int = 50 * MILLISECOND_US,
        attempt_number: int = 0,
    ) -> list[messages.Action]:
        """Report the end of an attempt after this duration to the balancer, and return its actions."""
        is_ok = outcome is messages.Outcome.OK
        return self.handle(
            messages.AttemptEnded(
                start_attempt.request_id,
                attempt_number,
                start_attempt.endpoint_id,
                outcome,
                duration_us,
                is_ok,
            )
        )

    def advance(self, duration_us: int) -> list[messages.Action]:
        """Advance the clock, fire each timer that becomes due, and return the resulting actions."""
        end_us, resulting_actions = self.now_us + duration_us, []
        while True:
            due_timers = [a for a in self.actions if isinstance(a, messages.SetTimer) and a.at_us <= end_us]
            if not due_timers:
                break
            timer = min(due_timers, key=lambda a: (a.at_us, a.timer_id))
            self.actions.remove(timer)
            self.now_us = max(self.now_us, timer.at_us)
            resulting_actions += self.handle(messages.TimerFired(timer.timer_id))
        self.now_us = end_us
        return resulting_actions


def actions_of_type(actions: list[messages.Action], action_type: type[ActionType]) -> list[ActionType]:
    """Return the actions of this type, in order."""
    return [action for action in actions if isinstance(action, action_type)]
