"""One call to discovery: its HTTP exchange, the task that reads from it, and when it is late.

`OpenCalls` creates and closes calls; `EndpointWatch` reads from the connection in the task of the call.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from load_balancer.net.discovery.watch_stream import WatchStream

# A late call may still be answered. It is replaced when it becomes late, so that keeping it costs little.
MAX_LATE_S = 30.0


class DiscoveryCall:
    """A call to discovery that is open or being opened.

    Attributes:
        stream: The HTTP exchange.
        has_received_message: Whether discovery has sent a list or a heartbeat.
        has_received_list: Whether discovery has sent a list.
        is_late: Whether the next list or heartbeat is overdue.
    """

    def __init__(
        self,
        timeout_s: float,
        run: Callable[[DiscoveryCall], Coroutine[None, None, None]],
        on_late: Callable[[DiscoveryCall], None],
        on_expired: Callable[[DiscoveryCall], None],
    ) -> None:
        """Start the task of the call and the timeout of the first message.

        Args:
            timeout_s: Time until the call is late, seconds.
            run: Makes the call and reads from it until it fails.
            on_late: Called each time the call becomes late; the task goes on.
            on_expired: Called when the call has been late for `MAX_LATE_S`.
        """
        self.stream = WatchStream()
        self.has_received_message = False
        self.has_received_list = False
        self.is_late = False
        self._on_late = on_late
        self._on_expired = on_expired
        self._loop = asyncio.get_running_loop()
        self._opened_at_s = self._loop.time()
        self._timer = self._loop.call_later(timeout_s, self._become_late)
        self._task = self._loop.create_task(run(self))

    @property
    def age_s(self) -> float:
        """The time since the call was created, seconds."""
        return self._loop.time() - self._opened_at_s

    @property
    def has_fallen_silent(self) -> bool:
        """Whether nothing has followed the last list or heartbeat in time, not even a part of a list."""
        return self.is_late and self.has_received_message and not self.stream.buffered_bytes

    def record_message(self, next_timeout_s: float) -> None:
        """Record that discovery has sent a list or a heartbeat.

        Args:
            next_timeout_s: Time until the next one is overdue, seconds.
        """
        self.has_received_message = True
        self.is_late = False
        self._timer.cancel()
        self._timer = self._loop.call_later(next_timeout_s, self._become_late)

    def stop_timeout(self) -> None:
        """Stop the timeout, as the task has ended."""
        self._timer.cancel()

    def close(self) -> None:
        """Stop the timeout and the task; the task closes the connection."""
        self._timer.cancel()
        self._task.cancel()

    def _become_late(self) -> None:
        self.is_late = True
        self._timer = self._loop.call_later(MAX_LATE_S, self._on_expired, self)
        self._on_late(self)
