"""The open calls of a watch: a new one is opened only while all others are late, and few are open.

`EndpointWatch` owns one `OpenCalls`, reads from the calls and reports their failures.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine

from load_balancer.net.discovery.call_schedule import CallSchedule, call_to_close
from load_balancer.net.discovery.discovery_call import DiscoveryCall
from load_balancer.net.discovery.json_stream import MAX_TEXT_BYTES
from load_balancer.net.discovery.watch_stream import WatchError


class IncompleteListsTooLongError(WatchError):
    """The incomplete lists of all open calls are together longer than one may be."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(f"incomplete lists of all calls are together longer than {MAX_TEXT_BYTES} bytes")


class OpenCalls:
    """The open calls to one discovery, and the schedule by which they are opened."""

    def __init__(
        self,
        schedule: CallSchedule,
        run: Callable[[DiscoveryCall], Coroutine[None, None, None]],
        on_late: Callable[[DiscoveryCall], None],
        on_expired: Callable[[DiscoveryCall], None],
    ) -> None:
        """Start without a call.

        Args:
            schedule: The timeouts of the calls.
            run: Makes a call and reads from it until it fails.
            on_late: Called when a call has become late; it stays open.
            on_expired: Called when a call that was late for too long has been closed.
        """
        self._schedule = schedule
        self._run = run
        self._on_late = on_late
        self._on_expired = on_expired
        self._calls: list[DiscoveryCall] = []  # the oldest first

    def __len__(self) -> int:
        """Return the number of open calls."""
        return len(self._calls)

    @property
    def has_call_on_time(self) -> bool:
        """Whether a call is open or being opened that is not late."""
        return any(not call.is_late for call in self._calls)

    def open(self) -> None:
        """Open a call, and close another one if too many are open."""
        closed_index = call_to_close([call.has_fallen_silent for call in self._calls])
        if closed_index is not None:
            self._calls.pop(closed_index).close()
        timeout_s = self._schedule.next_timeout_s
        self._calls.append(DiscoveryCall(timeout_s, self._run, self._handle_late, self._handle_expired))

    def record_message(self, call: DiscoveryCall, next_timeout_s: float) -> None:
        """Record that discovery has sent a list or a heartbeat on a call.

        Args:
            call: The call.
            next_timeout_s: Time until the next one is overdue, seconds.
        """
        call.record_message(next_timeout_s)
        self._schedule.reset()

    def remove(self, call: DiscoveryCall) -> None:
        """Remove a call whose task has ended."""
        call.stop_timeout()
        self._calls.remove(call)

    def close_all(self) -> None:
        """Close all calls; the next one has the first timeout again."""
        for call in self._calls:
            call.close()
        self._calls.clear()
        self._schedule.reset()

    def close_others(self, remaining: DiscoveryCall) -> None:
        """Close all calls but one."""
        for call in self._calls:
            if call is not remaining:
                call.close()
        self._calls[:] = [remaining]

    def check_incomplete_lists(self, call: DiscoveryCall) -> None:
        """Fail a call if the incomplete lists of all calls take too much memory; the oldest call goes on.

        Raises:
            IncompleteListsTooLongError: The call is not the oldest, and there is no memory for its list.
        """
        if call is self._calls[0]:
            return
        if sum(open_call.stream.buffered_bytes for open_call in self._calls) > MAX_TEXT_BYTES:
            raise IncompleteListsTooLongError

    def _handle_late(self, call: DiscoveryCall) -> None:
        if not call.has_received_message:
            self._schedule.record_late_call()
        self._on_late(call)

    def _handle_expired(self, call: DiscoveryCall) -> None:
        call.close()
        self._calls.remove(call)
        self._on_expired(call)
