"""The timers that the policy has set, on the event loop."""

from __future__ import annotations

import asyncio

from load_balancer import messages
from load_balancer.net.clock import Clock
from load_balancer.net.driver.event_queue import EventQueue


class PolicyTimers:
    """The timers that have been set and have neither fired nor been cancelled."""

    def __init__(self, events: EventQueue, clock: Clock) -> None:
        """Start with no timer. To be made in a running event loop.

        Args:
            events: Takes a `TimerFired` for each timer that is due.
            clock: The policy's clock, which the times of timers are stated in.
        """
        self._events = events
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._handles: dict[int, asyncio.TimerHandle] = {}

    def __len__(self) -> int:
        """Return how many timers are set."""
        return len(self._handles)

    def set(self, action: messages.SetTimer) -> None:
        """Set a timer. One whose time has passed fires in the next turn of the event loop."""
        delay_s = max(0.0, (action.at_us - self._clock.now_us()) / 1e6)
        self._handles[action.timer_id] = self._loop.call_later(delay_s, self._fire, action.timer_id)

    def cancel(self, action: messages.CancelTimer) -> None:
        """Cancel a timer; do nothing where it has fired."""
        handle = self._handles.pop(action.timer_id, None)
        if handle is not None:
            handle.cancel()

    def _fire(self, timer: int) -> None:
        self._handles.pop(timer, None)
        self._events.put(messages.TimerFired(timer))
