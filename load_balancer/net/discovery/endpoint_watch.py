"""Watch on discovery: a long-lived HTTP call that delivers the endpoint list and then its changes.

A call that is late stays open, and another one is opened beside it (`call_schedule`). The first one that
delivers a list remains, the others are closed.

The watch owns its calls (`open_calls`) and the version that is held. It passes each list to the driver and
reports each call that fails or is late. Only the driver opens another one, as the policy decides when to do
so.
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
from load_balancer.net.discovery.call_schedule import CallSchedule
from load_balancer.net.discovery.discovery_call import DiscoveryCall
from load_balancer.net.discovery.endpoint_list import EndpointListMessage, merge_changes
from load_balancer.net.discovery.held_version import HeldVersion
from load_balancer.net.discovery.open_calls import OpenCalls
from load_balancer.net.discovery.watch_log import WatchLog
from load_balancer.net.discovery.watch_stream import WatchProgress
from load_balancer.net.http_parser import forget_frames

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


class CallFailure(Enum):
    """Why another call to discovery may be needed."""

    LATE = auto()
    """Discovery has sent no list or heartbeat before the timeout; the call stays open."""
    ENDED = auto()
    """The call has ended."""


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
        schedule = CallSchedule(timeouts.first_message_s)
        self._calls = OpenCalls(schedule, self._run, self._handle_late_call, self._handle_expired_call)
        self._held = HeldVersion(address)
        self._log = WatchLog(log)

    @property
    def is_running(self) -> bool:
        """Whether a call is open or being opened that is not late."""
        return self._calls.has_call_on_time

    @property
    def version(self) -> int | None:
        """The version of the list that is held, or None if there is none."""
        return self._held.version

    def resume_from(self, version: int) -> None:
        """Record a cached list of this version as held, so that only later changes are requested."""
        self._held.resume_from(version)

    def start(self) -> None:
        """Open a call, unless one is open that is not late."""
        if not self.is_running:
            self._calls.open()

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
        self.start()

    def close(self) -> None:
        """Close all calls without calling `on_failure`."""
        self._calls.close_all()

    async def _run(self, call: DiscoveryCall) -> None:
        """Make the call, and report its failure unless the call was reported as late."""
        try:
            await self._read_lists(call)
        except (WireError, OSError, h11.RemoteProtocolError) as error:
            forget_frames(error)
            self._log.record_failure(asyncio.get_running_loop().time(), str(error))
        except Exception:
            # An error in this program, such as in `on_list`. Uncaught, it would end this task unnoticed: the
            # watch would never be reopened, and the list would never change again.
            log.exception("unexpected error in the watch on discovery")
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
                self._calls.check_incomplete_lists(call)
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
            # A heartbeat closes no other call: the list of that one may be further on.
            self._calls.close_others(call)
        if heartbeat and call.has_received_list:
            self._callbacks.on_heartbeat()

    def _record_message(self, call: DiscoveryCall) -> None:
        """Record that discovery has sent a list or a heartbeat on a call."""
        if call.is_late and not call.has_received_message:
            now_s = asyncio.get_running_loop().time()
            self._log.record_late_response(now_s, call.age_s, len(self._calls))
        self._calls.record_message(call, self._heartbeat_timeout_s)

    def _handle_late_call(self, call: DiscoveryCall) -> None:
        """Report a call without a list or heartbeat before its timeout."""
        self._log.record_late_call(asyncio.get_running_loop().time())
        self._callbacks.on_failure(CallFailure.LATE)

    def _handle_expired_call(self, call: DiscoveryCall) -> None:
        """Log that a late call was closed; its failure was reported when it became late."""
        self._log.record_expired_call(asyncio.get_running_loop().time())


async def _pause_reading(writer: asyncio.StreamWriter) -> None:
    """Do not read for `READ_PAUSE_S`, as each read costs an iteration of the event loop."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)  # asyncio uses it for TCP connections
    transport.pause_reading()
    await asyncio.sleep(READ_PAUSE_S)
    transport.resume_reading()
