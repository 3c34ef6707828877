"""The watch on discovery: one long HTTP call that brings the endpoint list and then its changes.

The watch owns its connection and the version that is held. It gives each list to the driver, says when it has
ended, and is opened anew only when the driver says so: when to do that is the policy's decision.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterable, Iterator

import h11

from load_balancer.errors import LoadBalancerError, WireError
from load_balancer.net.addresses import Address
from load_balancer.net.discovery.endpoint_list_json import EndpointListMessage, join_changes, read_list
from load_balancer.net.discovery.json_stream import JsonStreamError, JsonTextSplitter
from load_balancer.net.repeated_log_lines import LogLine, RepeatedLogLines, RunLimits

log = logging.getLogger(__name__)

# By the protocol, calls are judged by the current list from 6 s after a watch fell silent, and from 4 s after
# a move to another discovery. Heartbeats come every 2 s, so a watch that misses one has one more second.
HEARTBEAT_TIMEOUT_S = 3.0
# The first list is due at once where lists are pushed, as their agent is on this machine. Where they are
# polled, the call waits for its turn first, for 2 s before discovery rejects it.
PUSHED_LIST_TIMEOUT_S = 1.0
POLLED_LIST_TIMEOUT_S = 2.5
# After each read the watch pauses for this long, so that in a release what comes meanwhile is read together.
# A change has to be applied 250 ms after it was sent, of which a hold-up of the process may take 150 ms.
READ_PAUSE_S = 0.02
READ_BYTES = 65_536
BREAK_LOG_WINDOW_S = 10.0
MAX_LOGGED_BREAKS = 5  # in each window, one for each reason; the others are counted


class WatchBrokenError(LoadBalancerError):
    """The watch has ended, or never began; the message says how."""


class EndpointWatch:
    """One watch at a time. Its callbacks run in the event loop."""

    def __init__(
        self,
        address: Address,
        on_list: Callable[[EndpointListMessage], None],
        on_break: Callable[[], None],
        first_list_timeout_s: float,
        heartbeat_timeout_s: float = HEARTBEAT_TIMEOUT_S,
        on_heartbeat: Callable[[], None] = lambda: None,
    ) -> None:
        """Opens nothing yet.

        Args:
            address: Where discovery is.
            on_list: Takes each list. One for which it raises counts as not held and is asked for again.
            on_break: Called after each end of a watch but by `close` or `move`.
            first_list_timeout_s: The longest wait for the first list or heartbeat of a watch.
            heartbeat_timeout_s: The longest wait between two of them.
            on_heartbeat: Called for a heartbeat after a list: that list is still what discovery has.
        """
        self._address = address
        self._on_list = on_list
        self._on_break = on_break
        self._first_list_timeout_s = first_list_timeout_s
        self._heartbeat_timeout_s = heartbeat_timeout_s
        self._on_heartbeat = on_heartbeat
        self._task: asyncio.Task[None] | None = None
        self._has_list = False  # the open watch has brought a list
        self.version: int | None = None  # of the list that is held
        self._version_source = address  # the discovery that numbered it
        # The highest version since the last complete list: changes with a lower one may follow it.
        self._highest_seen_version = -1
        self._break_log = RepeatedLogLines(
            log,
            line=LogLine(logging.WARNING, "watch on discovery broke: %s"),
            summary=LogLine(logging.WARNING, "watch on discovery broke %d more times"),
            limits=RunLimits(window_s=BREAK_LOG_WINDOW_S, max_lines=MAX_LOGGED_BREAKS, logs_repeats=False),
        )

    def start(self) -> None:
        """Opens the watch unless it is open already."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def move(self, address: Address) -> None:
        """Watches another address from now on.

        The versions there may be other ones, so the complete list is requested. Back at the address that the
        held version is from, that version counts again: without that, two moves in a row would cost two
        complete lists though nothing changed.
        """
        self.close()
        self._address = address
        self.start()

    def close(self) -> None:
        """Ends the watch without a call of `on_break`."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    @property
    def _highest_version(self) -> int:
        """The highest version that is held, also of a list as last known before the start."""
        return max(self._highest_seen_version, -1 if self.version is None else self.version)

    @property
    def _resumable_version(self) -> int | None:
        """The held version, where the discovery at the current address is the one that numbered it."""
        return self.version if self._address == self._version_source else None

    async def _run(self) -> None:
        try:
            await self._follow()
        except (
            WatchBrokenError,
            JsonStreamError,
            OSError,
            TimeoutError,
            h11.RemoteProtocolError,
            WireError,
        ) as error:
            now_s = asyncio.get_running_loop().time()
            self._break_log.record(now_s, str(error) or "silent")
        except Exception:
            # A fault of our own, or of whoever takes the list: the watch is opened anew like after any break.
            log.exception("watch on discovery failed")
        self._task = None
        self._on_break()

    async def _follow(self) -> None:
        """Opens the call and reads it until it fails."""
        loop = asyncio.get_running_loop()
        timeout_at_s = loop.time() + self._first_list_timeout_s
        self._has_list = False
        async with asyncio.timeout_at(timeout_at_s):
            reader, writer = await asyncio.open_connection(*self._address)
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(http.send(self._request_head()) + http.send(h11.EndOfMessage()))
            splitter = JsonTextSplitter()
            while True:
                async with asyncio.timeout_at(timeout_at_s):
                    http.receive_data(await reader.read(READ_BYTES))
                # Pieces of a list don't move the timeout: a peer that sends byte by byte may never end one.
                if self._process_received(http, splitter):
                    timeout_at_s = loop.time() + self._heartbeat_timeout_s
                    await _pause_reading(writer)
        finally:
            writer.transport.abort()

    def _request_head(self) -> h11.Request:
        since = "" if self._resumable_version is None else f"&since={self._resumable_version}"
        return h11.Request(
            method="GET",
            target=f"/v1/endpoints?follow=1{since}",
            headers=[("Host", f"{self._address[0]}:{self._address[1]}")],
        )

    def _process_received(self, http: h11.Connection, splitter: JsonTextSplitter) -> bool:
        """Applies all lists that are complete, together; returns whether a list or a heartbeat was."""
        messages: list[EndpointListMessage] = []
        has_text = has_heartbeat = False
        try:
            for text in _received_texts(http, splitter):
                has_text = True
                if text:
                    messages.append(_parse_message(text))
                else:
                    has_heartbeat = True
        finally:  # those before an invalid one count
            self._apply_messages(messages, has_heartbeat)
        return has_text

    def _apply_messages(self, messages: Iterable[EndpointListMessage], heartbeat: bool) -> None:
        """Hands over the lists of one read, and the heartbeat in it where there was one."""
        for message in join_changes(messages, self._highest_version):
            self._on_list(message)
            # Only now: had it raised, discovery would take the list for one that we hold, and never send it.
            self.version, self._version_source = message.version, self._address
            self._highest_seen_version = message.version if message.is_complete else self._highest_version
            self._has_list = True
        if heartbeat and self._has_list:
            self._on_heartbeat()


async def _pause_reading(writer: asyncio.StreamWriter) -> None:
    """Leaves what comes to the system for a moment: each read costs a turn of the event loop."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    transport.pause_reading()
    await asyncio.sleep(READ_PAUSE_S)
    transport.resume_reading()


def _received_texts(http: h11.Connection, splitter: JsonTextSplitter) -> Iterator[bytes]:
    """The texts that are complete with what has been read, an empty one for each heartbeat."""
    while (event := http.next_event()) is not h11.NEED_DATA:
        match event:
            case h11.Response(status_code=200) | h11.InformationalResponse():
                pass
            case h11.Response():
                raise WatchBrokenError(f"status {event.status_code}")
            case h11.Data():
                yield from splitter.feed(event.data)
            case _:
                raise WatchBrokenError("ended")


def _parse_message(text: bytes) -> EndpointListMessage:
    try:
        return read_list(json.loads(text))
    except (ValueError, RecursionError) as error:
        raise WatchBrokenError(f"not JSON: {error}") from None
