"""The order in which events reach the policy: one after the other, never one within another.

An action that is carried out may raise the next event at once, as where an attempt fails before it begins.
The event then waits until the actions of the present one have all been carried out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from load_balancer import messages


class EventQueue:
    """Events in the order in which they came up, and the one handler that takes them."""

    def __init__(self, handle: Callable[[messages.Event], None]) -> None:
        """Start empty.

        Args:
            handle: Handles one event completely. It may put further events.
        """
        self._handle = handle
        self._events: deque[messages.Event] = deque()
        self._is_handling = False

    def put(self, event: messages.Event) -> None:
        """Handle an event now, or after the present one where `put` is called while one is being handled."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False
