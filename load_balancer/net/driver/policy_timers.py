"""Timers of the policy, run by the event loop."""

from __future__ import annotations

import asyncio

from load_balancer import messages
from load_balancer.net.clock import Clock
from load_balancer.net.driver.event_queue import EventQueue


class PolicyTimers:
    """Table of the timers that have neither fired nor been cancelled."""

    def __init__(self, events: EventQueue, clock: Clock) -> None:
        """Create an empty table. Requires a running event loop.

        Args:
            events: Receives a `TimerFired` for each timer that fires.
            clock: The policy's clock, by which the times of timers are given.
        """
        self._events = events
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._handles: dict[int, asyncio.TimerHandle] = {}

    def __len__(self) -> int:
        """Return the number of timers that are set."""
        return len(self._handles)

    def set(self, action: messages.SetTimer) -> None:
        """Set a timer. If its time has passed, it fires in the next iteration of the event loop."""
        delay_s = max(0.0, (action.at_us - self._clock.now_us()) / 1e6)
        self._handles[action.timer_id] = self._loop.call_later(delay_s, self._fire, action.timer_id)

    def cancel(self, action: messages.CancelTimer) -> None:
        """Cancel a timer; do nothing if it has fired."""
        handle = self._handles.pop(action.timer_id, None)
        if handle is not None:
            handle.cancel()

    def _fire(self, timer_id: int) -> None:
        self._handles.pop(timer_id, None)
        self._events.put(messages.TimerFired(timer_id))
