"""The watch on discovery: one long HTTP call that brings the endpoint list and then its changes.

The watch owns its connection and the version that is held. It passes each list to the driver and reports when
it has ended. It is opened again only by the driver: when to do that is the policy's decision.
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
from load_balancer.net.discovery.watch_stream import WatchStream
from load_balancer.net.repeated_log_lines import LogLine, RepeatedLogLines, RunLimits

log = logging.getLogger(__name__)

# By the protocol, calls are judged by the current list from 6 s after a watch fell silent, and from 4 s after
# a move to another discovery. Heartbeats come every 2 s, so a watch that misses one has one more second.
HEARTBEAT_TIMEOUT_S = 3.0
# If lists are pushed, the first one is due at once, as their agent is on this machine. If they are polled,
# the call first waits for its turn, for 2 s before discovery rejects it.
PUSHED_LIST_TIMEOUT_S = 1.0
POLLED_LIST_TIMEOUT_S = 2.5
# After each read the watch pauses for this long, so that the many changes of a release are read together.
# A change has to be applied 250 ms after it was sent, of which a stall of the process may take 150 ms.
READ_PAUSE_S = 0.02
READ_BYTES = 65_536
FAILURE_LOG_WINDOW_S = 10.0
MAX_LOGGED_FAILURES = 5  # in each window, one for each reason; the others are counted


class EndpointWatch:
    """One watch at a time. It calls back from the event loop."""

    def __init__(
        self,
        address: Address,
        on_list: Callable[[EndpointListMessage], None],
        on_failure: Callable[[], None],
        first_list_timeout_s: float,
        heartbeat_timeout_s: float = HEARTBEAT_TIMEOUT_S,
        on_heartbeat: Callable[[], None] = lambda: None,
    ) -> None:
        """Prepare a watch; `start` opens it.

        Args:
            address: Where discovery is.
            on_list: Takes each list. A list for which it raises counts as not held and is requested again.
            on_failure: Is called after each end of a watch, except by `close` or `change_address`.
            first_list_timeout_s: Seconds to wait for the first list or heartbeat of a watch.
            heartbeat_timeout_s: Seconds to wait between two of them.
            on_heartbeat: Is called for a heartbeat after a list: that list is still what discovery has.
        """
        self._address = address
        self._on_list = on_list
        self._on_failure = on_failure
        self._first_list_timeout_s = first_list_timeout_s
        self._heartbeat_timeout_s = heartbeat_timeout_s
        self._on_heartbeat = on_heartbeat
        self._task: asyncio.Task[None] | None = None
        self._has_received_list = False  # the open watch has brought a list
        self._held = HeldVersion(address)
        self._failure_log = RepeatedLogLines(
            log,
            line=LogLine(logging.WARNING, "watch on discovery broke: %s"),
            summary=LogLine(logging.WARNING, "watch on discovery broke %d more times"),
            limits=RunLimits(
                window_s=FAILURE_LOG_WINDOW_S, max_lines=MAX_LOGGED_FAILURES, logs_repeats=False
            ),
        )

    @property
    def is_running(self) -> bool:
        """Whether a watch is open, or about to be."""
        return self._task is not None

    @property
    def version(self) -> int | None:
        """The version of the list that is held, or None while there is none."""
        return self._held.version

    def resume_from(self, version: int) -> None:
        """Count a cached list of this version as held, so that only changes after it are requested."""
        self._held.resume_from(version)

    def start(self) -> None:
        """Open the watch unless it is open already."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def change_address(self, address: Address) -> None:
        """Watch another address from now on.

        The versions there may be other ones, so the complete list is requested. Back at the address that the
        held version is from, that version counts again: without that, two moves in a row would cost two
        complete lists though nothing changed.

        Args:
            address: Where discovery is now.
        """
        self.close()
        self._address = address
        self.start()

    def close(self) -> None:
        """End the watch without a call of `on_failure`."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        try:
            await self._read_lists()
        except (WireError, OSError, h11.RemoteProtocolError) as error:
            now_s = asyncio.get_running_loop().time()
            self._failure_log.record(now_s, str(error) or "silent")  # a TimeoutError has no text
        except Exception:
            # A fault of this program, or of whoever takes the list. It would end this task unseen: the watch
            # would never be opened again, and the list would stay as it is for good.
            log.exception("watch on discovery failed")
        self._task = None
        self._on_failure()

    async def _read_lists(self) -> None:
        """Open the call and read it until it fails."""
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
                # Pieces of a list don't move the timeout: sent byte by byte, a list may never end.
                if self._process_received(stream):
                    timeout_at_s = loop.time() + self._heartbeat_timeout_s
                    await _pause_reading(writer)
        finally:
            writer.transport.abort()

    def _process_received(self, stream: WatchStream) -> bool:
        """Apply all lists that are complete, together; return whether a list or a heartbeat was."""
        messages: list[EndpointListMessage] = []
        has_heartbeat = False
        try:
            for message in stream.messages():
                if message is None:
                    has_heartbeat = True
                else:
                    messages.append(message)
        finally:  # those before an invalid one count
            self._apply_messages(messages, heartbeat=has_heartbeat)
        return has_heartbeat or bool(messages)

    def _apply_messages(self, messages: Iterable[EndpointListMessage], *, heartbeat: bool) -> None:
        """Pass on the lists of one read, and the heartbeat in it if there was one."""
        for message in merge_changes(messages, self._held.highest_version):
            self._on_list(message)
            # Only now: had it raised, discovery would assume that we hold the list, and never send it again.
            self._held.record(message, self._address)
            self._has_received_list = True
        if heartbeat and self._has_received_list:
            self._on_heartbeat()


async def _pause_reading(writer: asyncio.StreamWriter) -> None:
    """Leave received bytes in the system's buffer for a moment: each read costs a turn of the event loop."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)  # which asyncio makes for a TCP connection
    transport.pause_reading()
    await asyncio.sleep(READ_PAUSE_S)
    transport.resume_reading()
