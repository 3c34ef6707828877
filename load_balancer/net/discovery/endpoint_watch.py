"""Watch on discovery: a long-lived HTTP call that delivers the endpoint list and then its changes.

A call that is late stays open, and another one is opened beside it (`call_schedule`). The first one that
delivers a list remains, the others are closed.

The watch owns its calls and the version that is held. It passes each list to the driver and reports each
call that fails or is late. Only the driver opens another one, as the policy decides when to do so.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto

import h11

from load_balancer.errors import WireError
from load_balancer.net.addresses import Address
from load_balancer.net.discovery.call_schedule import CallSchedule, call_to_close
from load_balancer.net.discovery.discovery_call import MAX_LATE_S, DiscoveryCall
from load_balancer.net.discovery.endpoint_list import EndpointListMessage, merge_changes
from load_balancer.net.discovery.held_version import HeldVersion
from load_balancer.net.discovery.json_stream import MAX_TEXT_BYTES
from load_balancer.net.discovery.watch_stream import WatchError, WatchProgress
from load_balancer.net.http_parser import forget_frames
from load_balancer.net.repeated_log_lines import LogLine, RepeatedLogLines, RunLimits, periodic_line

log = logging.getLogger(__name__)

# The protocol requires attempts to follow the current list from 6 s after a watch stops receiving data, and
# from 4 s after a change to another discovery. Heartbeats are sent every 2 s, so one may be up to 1 s
# late.
HEARTBEAT_TIMEOUT_S = 3.0
# Pause after each read, so that the many changes of a release are read together. A change must be applied
# within 250 ms after it was sent, of which a stall of the process may take 150 ms.
READ_PAUSE_S = 0.02
READ_BYTES = 65_536
# Parts of the stream that are parsed in one iteration of the event loop: a read may hold thousands of chunks.
MAX_PARTS_PER_ITERATION = 50
FAILURE_LOG_WINDOW_S = 10.0
MAX_LOGGED_FAILURES = 5  # per window, one for each reason; the others are counted


class CallFailure(Enum):
    """Why another call to discovery may be needed."""

    LATE = auto()
    """Discovery has sent no list or heartbeat before the timeout; the call stays open."""
    ENDED = auto()
    """The call has ended."""


class IncompleteListsTooLongError(WatchError):
    """The incomplete lists of all open calls are together longer than one may be."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(f"incomplete lists of all calls are together longer than {MAX_TEXT_BYTES} bytes")


@dataclass(frozen=True, slots=True)
class WatchTimeouts:
    """Timeouts of a watch.

    Attributes:
        first_message_s: Maximum waits for the first list or heartbeat of successive calls, as for
            `CallSchedule`, seconds.
        heartbeat_s: Maximum wait for each further list or heartbeat, seconds.
    """

    first_message_s: tuple[float, ...]
    heartbeat_s: float = HEARTBEAT_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class WatchCallbacks:
    """Functions that a watch calls in the event loop.

    Attributes:
        on_list: Called with each list. If it raises, the list counts as not held and is requested again.
        on_failure: Called each time a call that is not late ends or becomes late, except by `close` or
            `change_address`.
        on_heartbeat: Called for a heartbeat after a list, which confirms that the list is still current.
    """

    on_list: Callable[[EndpointListMessage], None]
    on_failure: Callable[[CallFailure], None]
    on_heartbeat: Callable[[], None] = lambda: None


class EndpointWatch:
    """Watch on discovery with one open call, or a few while discovery does not respond."""

    def __init__(self, address: Address, callbacks: WatchCallbacks, timeouts: WatchTimeouts) -> None:
        """Create a watch that is not open; `start` opens it.

        Args:
            address: The address of discovery.
            callbacks: The functions that lists and failures are reported to.
            timeouts: The timeouts after which a call is late.
        """
        self._address = address
        self._callbacks = callbacks
        self._heartbeat_timeout_s = timeouts.heartbeat_s
        self._schedule = CallSchedule(timeouts.first_message_s)
        self._calls: list[DiscoveryCall] = []  # the oldest first
        self._held = HeldVersion(address)
        self._failure_log = _failure_log("watch on discovery failed")
        self._late_log = _failure_log("watch on discovery is late")
        self._slow_log = periodic_line(
            log,
            LogLine(logging.INFO, "discovery responded to a late call after %.2f s; calls open: %d"),
            "discovery responded to %d more late calls",
            FAILURE_LOG_WINDOW_S,
        )

    @property
    def is_running(self) -> bool:
        """Whether a call is open or being opened that is not late."""
        return any(not call.is_late for call in self._calls)

    @property
    def version(self) -> int | None:
        """The version of the list that is held, or None if there is none."""
        return self._held.version

    def resume_from(self, version: int) -> None:
        """Record a cached list of this version as held, so that only later changes are requested."""
        self._held.resume_from(version)

    def start(self) -> None:
        """Open a call, unless one is open that is not late."""
        if self.is_running:
            return
        closed_index = call_to_close([call.has_fallen_silent for call in self._calls])
        if closed_index is not None:
            self._calls.pop(closed_index).close()
        call = DiscoveryCall(
            self._schedule.next_timeout_s, self._run, self._handle_late_call, self._handle_expired_call
        )
        self._calls.append(call)

    def change_address(self, address: Address) -> None:
        """Close the watch and open it at another address.

        Another discovery may number its versions differently, so the complete list is requested there. After
        a return to the address that assigned the held version, that version is used again: otherwise two
        changes of the address in a row would cost two complete lists although nothing changed.

        Args:
            address: The new address of discovery.
        """
        self.close()
        self._address = address
        self._schedule.reset()
        self.start()

    def close(self) -> None:
        """Close all calls without calling `on_failure`."""
        for call in self._calls:
            call.close()
        self._calls.clear()

    async def _run(self, call: DiscoveryCall) -> None:
        """Make the call, and report its failure unless the call was reported as late."""
        try:
            await self._read_lists(call)
        except (WireError, OSError, h11.RemoteProtocolError) as error:
            forget_frames(error)
            self._failure_log.record(asyncio.get_running_loop().time(), str(error))
        except Exception:
            # An error in this program, such as in `on_list`. Uncaught, it would end this task unnoticed: the
            # watch would never be reopened, and the list would never change again.
            log.exception("unexpected error in the watch on discovery")
        call.stop_timeout()
        self._calls.remove(call)
        if not call.is_late:
            self._callbacks.on_failure(CallFailure.ENDED)

    async def _read_lists(self, call: DiscoveryCall) -> None:
        """Open the connection of the call and read from it until it fails."""
        reader, writer = await asyncio.open_connection(*self._address)
        try:
            since_version = self._held.resumable_version(self._address)
            writer.write(call.stream.request(self._address, since_version))
            while True:
                call.stream.receive_data(await reader.read(READ_BYTES))
                # Parts of a list do not extend the timeouts: a list sent byte by byte may never end.
                if await self._process_received(call):
                    await _pause_reading(writer)
                self._check_incomplete_lists(call)
        finally:
            writer.transport.abort()

    async def _process_received(self, call: DiscoveryCall) -> bool:
        """Apply all complete lists together and return whether a list or a heartbeat was received."""
        messages: list[EndpointListMessage] = []
        has_heartbeat = False
        try:
            for part_count, part in enumerate(call.stream.messages(), start=1):
                if part is WatchProgress.HEARTBEAT:
                    has_heartbeat = True
                elif isinstance(part, EndpointListMessage):
                    messages.append(part)
                if part_count % MAX_PARTS_PER_ITERATION == 0:
                    await asyncio.sleep(0)
        except (WireError, h11.RemoteProtocolError):  # messages before an invalid one are applied
            self._apply_messages(call, messages, heartbeat=has_heartbeat)
            raise
        self._apply_messages(call, messages, heartbeat=has_heartbeat)
        return has_heartbeat or bool(messages)

    def _apply_messages(
        self, call: DiscoveryCall, messages: Sequence[EndpointListMessage], *, heartbeat: bool
    ) -> None:
        """Pass on the lists of one read, and its heartbeat if there was one."""
        if messages or heartbeat:
            self._record_message(call)
        for message in merge_changes(messages, self._held.highest_version):
            self._callbacks.on_list(message)
            # Recorded last: if `on_list` raises, discovery must not assume that the list is held, as it would
            # never send it again.
            self._held.record(message, self._address)
            call.has_received_list = True
            self._close_others(call)
        if heartbeat and call.has_received_list:
            self._callbacks.on_heartbeat()

    def _record_message(self, call: DiscoveryCall) -> None:
        """Record that discovery has sent a list or a heartbeat on a call."""
        if call.is_late and not call.has_received_message:
            now_s = asyncio.get_running_loop().time()
            self._slow_log.record(now_s, call.age_s, len(self._calls))
        call.record_message(self._heartbeat_timeout_s)
        self._schedule.reset()

    def _close_others(self, remaining: DiscoveryCall) -> None:
        """Close all other calls, as this one has delivered a list.

        A heartbeat does not suffice: the list of another call may be further on.
        """
        for call in self._calls:
            if call is not remaining:
                call.close()
        self._calls[:] = [remaining]

    def _handle_late_call(self, call: DiscoveryCall) -> None:
        """Report a call without a list or heartbeat before its timeout."""
        if not call.has_received_message:
            self._schedule.record_late_call()
        now_s = asyncio.get_running_loop().time()
        self._late_log.record(now_s, "no list or heartbeat before the timeout; the call stays open")
        self._callbacks.on_failure(CallFailure.LATE)

    def _handle_expired_call(self, call: DiscoveryCall) -> None:
        """Close a call that has been late for too long; its failure was reported when it became late."""
        call.close()
        self._calls.remove(call)
        now_s = asyncio.get_running_loop().time()
        self._failure_log.record(now_s, f"no list or heartbeat for {MAX_LATE_S:.0f} s after the timeout")

    def _check_incomplete_lists(self, call: DiscoveryCall) -> None:
        """Fail a call if the incomplete lists of all calls take too much memory; the oldest call goes on.

        Raises:
            IncompleteListsTooLongError: The call is not the oldest, and there is no memory for its list.
        """
        if call is self._calls[0]:
            return
        if sum(open_call.stream.buffered_bytes for open_call in self._calls) > MAX_TEXT_BYTES:
            raise IncompleteListsTooLongError


def _failure_log(text: str) -> RepeatedLogLines:
    """Return log lines for failures with a reason, which starts with a text."""
    return RepeatedLogLines(
        log,
        line=LogLine(logging.WARNING, f"{text}: %s"),
        summary=LogLine(logging.WARNING, f"{text} %d more times"),
        limits=RunLimits(window_s=FAILURE_LOG_WINDOW_S, max_lines=MAX_LOGGED_FAILURES, logs_repeats=False),
    )


async def _pause_reading(writer: asyncio.StreamWriter) -> None:
    """Do not read for `READ_PAUSE_S`, as each read costs an iteration of the event loop."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)  # asyncio uses it for TCP connections
    transport.pause_reading()
    await asyncio.sleep(READ_PAUSE_S)
    transport.resume_reading()
