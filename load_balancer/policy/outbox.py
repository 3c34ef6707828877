"""The pending actions and the timers of a balancer."""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer import messages


@dataclass(frozen=True, slots=True)
class RequestDeadline:
    """The purpose of a timer for the deadline of a request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class QueueScan:
    """The purpose of a timer for the next scan of the admission queue."""


@dataclass(frozen=True, slots=True)
class AttemptScan:
    """The purpose of a timer for the next scan of the attempts in flight."""


@dataclass(frozen=True, slots=True)
class Resubscribe:
    """The purpose of a timer for the next subscription to discovery."""


TimerPurpose = RequestDeadline | QueueScan | AttemptScan | Resubscribe


class Outbox:
    """Collects the actions of an event in order, and keeps the purposes of the timers that are set."""

    def __init__(self) -> None:
        """Start without actions and timers."""
        self._actions: list[messages.Action] = []
        self.timers: dict[int, TimerPurpose] = {}
        self._last_timer_id = 0

    def add(self, action: messages.Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def drain(self) -> list[messages.Action]:
        """Return and remove all pending actions."""
        actions, self._actions = self._actions, []
        return actions

    def set_timer(self, at_us: int, purpose: TimerPurpose) -> int:
        """Set a timer for `at_us` on the balancer's clock, and return its id."""
        self._last_timer_id += 1
        self.timers[self._last_timer_id] = purpose
        self.add(messages.SetTimer(self._last_timer_id, at_us))
        return self._last_timer_id

    def cancel_timer(self, timer_id: int) -> None:
        """Cancel a timer unless it has fired. Bounds memory, as most timers would outlive their request."""
        if self.timers.pop(timer_id, None) is not None:
            self.add(messages.CancelTimer(timer_id))

    def pop_timer(self, timer_id: int) -> TimerPurpose | None:
        """Remove a timer and return its purpose, or None if it was cancelled."""
        return self.timers.pop(timer_id, None)
