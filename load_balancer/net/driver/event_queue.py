"""Queue of events for the policy: one event is handled completely before the next one.

Carrying out an action may raise the next event immediately, for example if an attempt fails before it starts.
That event then waits until all actions of the current one have been carried out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from load_balancer import messages


class EventQueue:
    """Queue of events in the order in which they were raised, with one handler."""

    def __init__(self, handle: Callable[[messages.Event], None]) -> None:
        """Create an empty queue.

        Args:
            handle: Handles one event completely; may put further events.
        """
        self._handle = handle
        self._events: deque[messages.Event] = deque()
        self._is_handling = False

    def put(self, event: messages.Event) -> None:
        """Handle an event now, or after the current one if `put` is called while one is being handled."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False
