"""The actions of one event, and the timers that the parts of a balancer have set."""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer import messages


@dataclass(frozen=True, slots=True)
class RequestDeadline:
    """A request has to be ended."""

    request_id: str


@dataclass(frozen=True, slots=True)
class QueueScan:
    """The admission queue is to be looked at."""


@dataclass(frozen=True, slots=True)
class AttemptScan:
    """Attempts in flight are to be looked at."""


@dataclass(frozen=True, slots=True)
class Resubscribe:
    """Discovery is to be asked for the list again."""


TimerPurpose = RequestDeadline | QueueScan | AttemptScan | Resubscribe


class Outbox:
    """Collects actions in their order."""

    def __init__(self) -> None:
        """Start empty."""
        self._actions: list[messages.Action] = []
        self.timers: dict[int, TimerPurpose] = {}
        self._last_timer_id = 0

    def add(self, action: messages.Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def drain(self) -> list[messages.Action]:
        """Return the actions so far and forget them."""
        actions, self._actions = self._actions, []
        return actions

    def set_timer(self, at_us: int, purpose: TimerPurpose) -> int:
        """Ask for a timer at a time of the balancer's clock; return its number."""
        self._last_timer_id += 1
        self.timers[self._last_timer_id] = purpose
        self.add(messages.SetTimer(self._last_timer_id, at_us))
        return self._last_timer_id

    def cancel_timer(self, timer_id: int) -> None:
        """Take a timer back unless it has fired. Bounds memory: most timers would outlast their request."""
        if self.timers.pop(timer_id, None) is not None:
            self.add(messages.CancelTimer(timer_id))

    def pop_timer(self, timer_id: int) -> TimerPurpose | None:
        """Return what a timer was set for, or none where it is no longer wanted."""
        return self.timers.pop(timer_id, None)
