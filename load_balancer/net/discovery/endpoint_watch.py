"""Watch on discovery: a long-lived HTTP call that delivers the endpoint list and then its changes.

The watch owns its connection and the version that is held. It passes each list to the driver and reports each
failure. Only the driver reopens it, as the policy decides when to do so.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

import h11

from load_balancer.errors import WireError
from load_balancer.net.addresses import Address
from load_balancer.net.discovery.endpoint_list import EndpointListMessage, merge_changes
from load_balancer.net.discovery.held_version import HeldVersion
from load_balancer.net.discovery.watch_stream import WatchProgress, WatchStream
from load_balancer.net.http_parser import forget_frames
from load_balancer.net.repeated_log_lines import LogLine, RepeatedLogLines, RunLimits

log = logging.getLogger(__name__)

# The protocol requires attempts to follow the current list from 6 s after a watch stops receiving data, and
# from 4 s after a change to another discovery. Heartbeats are sent every 2 s, so one may be up to 1 s
# late.
HEARTBEAT_TIMEOUT_S = 3.0
# If lists are pushed, the first one is due at once, because the agent that sends them runs on this machine.
# If they are polled, the call is queued first, for up to 2 s before discovery rejects it.
PUSHED_LIST_TIMEOUT_S = 1.0
POLLED_LIST_TIMEOUT_S = 2.5
# Pause after each read, so that the many changes of a release are read together. A change must be applied
# within 250 ms after it was sent, of which a stall of the process may take 150 ms.
READ_PAUSE_S = 0.02
READ_BYTES = 65_536
# Parts of the stream that are parsed in one iteration of the event loop: a read may hold thousands of chunks.
MAX_PARTS_PER_ITERATION = 50
FAILURE_LOG_WINDOW_S = 10.0
MAX_LOGGED_FAILURES = 5  # per window, one for each reason; the others are counted


class EndpointWatch:
    """Watch on discovery with at most one open call. It runs its callbacks in the event loop."""

    def __init__(
        self,
        address: Address,
        on_list: Callable[[EndpointListMessage], None],
        on_failure: Callable[[], None],
        first_list_timeout_s: float,
        heartbeat_timeout_s: float = HEARTBEAT_TIMEOUT_S,
        on_heartbeat: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a watch that is not open; `start` opens it.

        Args:
            address: The address of discovery.
            on_list: Called with each list. If it raises, the list counts as not held and is requested again.
            on_failure: Called after each end of a watch, except by `close` or `change_address`.
            first_list_timeout_s: Maximum wait for the first list or heartbeat of a watch, seconds.
            heartbeat_timeout_s: Maximum wait for each further list or heartbeat, seconds.
            on_heartbeat: Called for a heartbeat after a list, which confirms that the list is still current.
        """
        self._address = address
        self._on_list = on_list
        self._on_failure = on_failure
        self._first_list_timeout_s = first_list_timeout_s
        self._heartbeat_timeout_s = heartbeat_timeout_s
        self._on_heartbeat = on_heartbeat
        self._task: asyncio.Task[None] | None = None
        self._has_received_list = False  # whether the open watch has received a list
        self._held = HeldVersion(address)
        self._failure_log = RepeatedLogLines(
            log,
            line=LogLine(logging.WARNING, "watch on discovery failed: %s"),
            summary=LogLine(logging.WARNING, "watch on discovery failed %d more times"),
            limits=RunLimits(
                window_s=FAILURE_LOG_WINDOW_S, max_lines=MAX_LOGGED_FAILURES, logs_repeats=False
            ),
        )

    @property
    def is_running(self) -> bool:
        """Whether a watch is open or being opened."""
        return self._task is not None

    @property
    def version(self) -> int | None:
        """The version of the list that is held, or None if there is none."""
        return self._held.version

    def resume_from(self, version: int) -> None:
        """Record a cached list of this version as held, so that only later changes are requested."""
        self._held.resume_from(version)

    def start(self) -> None:
        """Open the watch unless it is already open."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

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
        """Close the watch without calling `on_failure`."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        try:
            await self._read_lists()
        except (WireError, OSError, h11.RemoteProtocolError) as error:
            forget_frames(error)
            now_s = asyncio.get_running_loop().time()
            # A TimeoutError has no text.
            self._failure_log.record(now_s, str(error) or "no list or heartbeat before the timeout")
        except Exception:
            # An error in this program, such as in `on_list`. Uncaught, it would end this task unnoticed: the
            # watch would never be reopened, and the list would never change again.
            log.exception("unexpected error in the watch on discovery")
        self._task = None
        self._on_failure()

    async def _read_lists(self) -> None:
        """Open the call and read from it until it fails."""
        loop = asyncio.get_running_loop()
        timeout_at_s = loop.time() + self._first_list_timeout_s
        self._has_received_list = False
        async with asyncio.timeout_at(timeout_at_s):
            reader, writer = await asyncio.open_connection(*self._address)
        try:
            stream = WatchStream()
            writer.write(stream.request(self._address, self._held.resumable_version(self._address)))
            while True:
                async with asyncio.timeout_at(timeout_at_s):
                    stream.receive_data(await reader.read(READ_BYTES))
                # Parts of a list do not extend the timeout: a list sent byte by byte may never end.
                if await self._process_received(stream):
                    timeout_at_s = loop.time() + self._heartbeat_timeout_s
                    await _pause_reading(writer)
        finally:
            writer.transport.abort()

    async def _process_received(self, stream: WatchStream) -> bool:
        """Apply all complete lists together and return whether a list or a heartbeat was received."""
        messages: list[EndpointListMessage] = []
        has_heartbeat = False
        try:
            for part_count, part in enumerate(stream.messages(), start=1):
                if part is WatchProgress.HEARTBEAT:
                    has_heartbeat = True
                elif isinstance(part, EndpointListMessage):
                    messages.append(part)
                if part_count % MAX_PARTS_PER_ITERATION == 0:
                    await asyncio.sleep(0)
        except (WireError, h11.RemoteProtocolError):  # messages before an invalid one are applied
            self._apply_messages(messages, heartbeat=has_heartbeat)
            raise
        self._apply_messages(messages, heartbeat=has_heartbeat)
        return has_heartbeat or bool(messages)

    def _apply_messages(self, messages: Iterable[EndpointListMessage], *, heartbeat: bool) -> None:
        """Pass on the lists of one read, and its heartbeat if there was one."""
        for message in merge_changes(messages, self._held.highest_version):
            self._on_list(message)
            # Recorded last: if `on_list` raises, discovery must not assume that the list is held, as it would
            # never send it again.
            self._held.record(message, self._address)
            self._has_received_list = True
        if heartbeat and self._has_received_list:
            self._on_heartbeat()


async def _pause_reading(writer: asyncio.StreamWriter) -> None:
    """Do not read for `READ_PAUSE_S`, as each read costs an iteration of the event loop."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)  # asyncio uses it for TCP connections
    transport.pause_reading()
    await asyncio.sleep(READ_PAUSE_S)
    transport.resume_reading()
