"""The watch on discovery over real sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list import EndpointListMessage, merge_changes
from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.discovery.endpoint_watch import (
    READ_PAUSE_S,
    EndpointWatch,
    WatchCallbacks,
    WatchTimeouts,
)
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import http_chunk, http_response, read_start_line
from tests.support.loopback_proxy import running_proxy
from tests.support.stand_in_server import StandInServer, StreamHandler
from tests.support.stepped_clock import FrozenClock, advance_until, run_loop_turns, wait_until


class RecordedWatch:
    """A watch, and the lists that it has delivered; None stands for a failure.

    Attributes:
        received: The delivered lists.
        on_list: Called with each list; a test may replace it.
    """

    def __init__(self, discovery: StandInServer, heartbeat_timeout_s: float = 60.0) -> None:
        self.received: asyncio.Queue[EndpointListMessage | None] = asyncio.Queue()
        self.on_list: Callable[[EndpointListMessage], None] = self.received.put_nowait
        self.watch = EndpointWatch(
            ("127.0.0.1", discovery.port),
            WatchCallbacks(
                lambda message: self.on_list(message), lambda failure: self.received.put_nowait(None)
            ),
            WatchTimeouts((60.0,), heartbeat_timeout_s),
        )
        self.watch.start()

    async def next_list(self) -> EndpointListMessage:
        """Return the next list, which must arrive before a failure."""
        message = await self.received.get()
        assert message is not None
        return message


async def send_list_and_changes(writer: asyncio.StreamWriter) -> None:
    """Send version 41 in two parts, a heartbeat, the changes of version 43, and the end of the response."""
    complete = endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9), rev=41))
    writer.write(WATCH_RESPONSE_HEAD + complete[:20])
    await writer.drain()
    changes = endpoint_list_chunk(
        endpoint_list(endpoint_entry("s-1", 9, "terminating"), rev=43, is_complete=False)
    )
    writer.write(complete[20:] + http_chunk("\n") + changes + b"0\r\n\r\n")


async def test_lists_are_delivered_in_order_and_the_next_watch_resumes_from_the_last_version() -> None:
    request_lines: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_lines.append(await read_start_line(reader))
        await send_list_and_changes(writer)

    async with StandInServer(handle) as discovery:
        recorded = RecordedWatch(discovery)
        first, second, end = [await recorded.received.get() for _ in range(3)]
        assert first
        assert second
        assert end is None
        assert (first.version, first.is_complete) == (41, True)
        assert first.endpoints[0].status is messages.EndpointStatus.UP
        assert (second.version, second.is_complete) == (43, False)
        assert second.endpoints[0].status is messages.EndpointStatus.DRAINING
        recorded.watch.start()
        while len(request_lines) < 2:
            await recorded.received.get()
        assert request_lines == [
            "GET /v1/endpoints?follow=1 HTTP/1.1",
            "GET /v1/endpoints?follow=1&since=43 HTTP/1.1",
        ]
        recorded.watch.close()


@pytest.mark.parametrize(
    "response_bytes",
    [
        http_response(503),
        b"",
        WATCH_RESPONSE_HEAD,
        WATCH_RESPONSE_HEAD + b"0\r\n\r\n",
        WATCH_RESPONSE_HEAD + http_chunk("{\n"),
        WATCH_RESPONSE_HEAD + http_chunk('{"rev":1,"all":true,"targets":[{"uid":"a","state":"odd"}]}\n'),
        b"nonsense\r\n\r\n",
    ],
)
async def test_each_failure_is_reported_once(response_bytes: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(response_bytes)

    async with StandInServer(handle) as discovery:
        recorded = RecordedWatch(discovery)
        assert await recorded.received.get() is None
        assert recorded.received.empty()
        assert discovery.connection_count == 1
        assert "watch on discovery failed" in caplog.text


def indented_text(lists: list[dict[str, object]], indents: tuple[int | None, ...]) -> str:
    texts = [json.dumps(message, indent=indent) for message, indent in zip(lists, indents, strict=True)]
    return "\n".join("\n" + text for text in texts) + "\n"


@pytest.mark.parametrize("chunk_size", [1, 7, 65536])
async def test_lists_are_parsed_however_indented_and_split(chunk_size: int) -> None:
    """Only braces outside of strings delimit a list; a line end within a list has no meaning."""
    entry_with_braces = {
        **endpoint_entry("s-1", 9),
        "note": 'a "brace\\" } and ] in {words}, \\ and a line\n',
    }
    lists = [
        endpoint_list(entry_with_braces, endpoint_entry("s-2", 9), rev=41),
        endpoint_list(endpoint_entry("s-1", 9, "terminating"), rev=42, is_complete=False),
        endpoint_list(rev=43, is_complete=False),
    ]
    text = indented_text(lists, (2, None, 1))

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(WATCH_RESPONSE_HEAD)
        for offset in range(0, len(text), chunk_size):
            writer.write(http_chunk(text[offset : offset + chunk_size]))
        await reader.read()

    async with StandInServer(handle) as discovery:
        recorded = RecordedWatch(discovery)
        # Changes received in one read are merged, and which ones those are is not deterministic.
        received_lists = [await recorded.next_list()]
        while received_lists[-1].version < 43:
            received_lists.append(await recorded.next_list())
        complete, changes = merge_changes(received_lists)
        assert (complete.version, complete.is_complete, len(complete.endpoints)) == (41, True, 2)
        assert changes == merge_changes(map(read_list, lists))[1]
        assert (changes.version, len(changes.endpoints)) == (43, 1)
        recorded.watch.close()


async def test_watch_fails_without_heartbeats_and_stays_open_with_them(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(WATCH_RESPONSE_HEAD)
        for _ in range(8):
            clock.advance(40.0)
            writer.write(http_chunk("\n"))
            await run_loop_turns()  # until the heartbeat is read
            clock.advance(READ_PAUSE_S)  # reading is paused for this time after it
            await run_loop_turns()
        writer.write(endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9))))
        await reader.read()  # and send nothing more

    clock = FrozenClock()
    async with StandInServer(handle) as discovery:
        recorded = RecordedWatch(discovery, heartbeat_timeout_s=60.0)
        assert await recorded.received.get() is not None
        clock.advance(61.0)
        assert await recorded.received.get() is None
        assert "is late: no list or heartbeat before the timeout" in caplog.text


async def test_bytes_of_an_incomplete_list_are_not_heartbeats(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    received_bytes = bytearray()
    feed = asyncio.StreamReader.feed_data

    def record_and_feed(reader: asyncio.StreamReader, data: bytes) -> None:
        received_bytes.extend(data)
        feed(reader, data)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(
            WATCH_RESPONSE_HEAD
            + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9)))
            + http_chunk('{"rev":2,')
        )
        await reader.read()

    clock = FrozenClock()
    async with StandInServer(handle) as discovery:
        recorded = RecordedWatch(discovery, heartbeat_timeout_s=60.0)
        assert await recorded.received.get() is not None
        monkeypatch.setattr(asyncio.StreamReader, "feed_data", record_and_feed)
        for number in range(1, 4):
            clock.advance(25.0)
            discovery.writers[0].write(http_chunk("-"))
            await wait_until(
                lambda number=number: received_bytes.count(b"-") == number or not recorded.received.empty()  # type: ignore[misc]
            )
        assert await recorded.received.get() is None


async def test_list_that_failed_to_apply_is_requested_again() -> None:
    request_lines: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_lines.append(await read_start_line(reader))
        writer.write(
            WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9), rev=41))
        )
        await reader.read()

    def fail(message: EndpointListMessage) -> None:
        raise RuntimeError("list not applied")

    async with StandInServer(handle) as discovery:
        recorded = RecordedWatch(discovery)
        recorded.on_list = fail
        assert await recorded.received.get() is None
        assert recorded.watch.version is None
        recorded.on_list = recorded.received.put_nowait
        recorded.watch.start()
        again = await recorded.received.get()
        assert again
        assert again.version == recorded.watch.version == 41
        assert request_lines == ["GET /v1/endpoints?follow=1 HTTP/1.1"] * 2
        recorded.watch.close()


def list_handler(*silent_numbers: int) -> StreamHandler:
    """Return a handler that sends one list on each connection, except on those numbered here from 1."""
    request_lines: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_lines.append(await read_start_line(reader))
        if len(request_lines) not in silent_numbers:
            writer.write(
                WATCH_RESPONSE_HEAD
                + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9), rev=len(request_lines)))
            )
        await reader.read()

    return handle


@pytest.mark.parametrize(
    ("must_subscribe", "silent_numbers", "limit_s"),
    [(False, (2, 3), 6.0), (True, (2,), 7.5)],  # a poll may wait in the queue for 2 s, and then has 2 s more
)
async def test_silent_watch_is_replaced_in_time_when_the_next_ones_are_silent_too(
    must_subscribe: bool, silent_numbers: tuple[int, ...], limit_s: float
) -> None:
    """By the protocol, a change must be applied within 6 s after the watch fell silent.

    Polled lists have until 2 s after the wait of a poll is over, if that is later.
    """

    clock = FrozenClock()
    settings = balancer_settings(must_subscribe=must_subscribe)
    async with (
        StandInServer(list_handler(*silent_numbers)) as discovery,
        running_proxy(discovery_port=discovery.port, settings=settings) as proxy,
    ):
        await wait_until(lambda: proxy.driver.endpoint_list.watch.version == 1)
        await advance_until(
            clock, lambda: proxy.driver.endpoint_list.watch.version == 2 + len(silent_numbers)
        )
        assert clock.advanced_s < limit_s


@pytest.mark.parametrize(("must_subscribe", "silent_numbers"), [(False, (1, 2)), (True, (1,))])
async def test_moved_watch_is_replaced_in_time_when_it_is_silent_from_the_start(
    must_subscribe: bool, silent_numbers: tuple[int, ...]
) -> None:
    """By the protocol, the list of the new discovery must be applied within 4 s after SIGHUP."""

    clock = FrozenClock()
    settings = balancer_settings(must_subscribe=must_subscribe)
    async with (
        StandInServer(list_handler()) as old_discovery,
        StandInServer(list_handler(*silent_numbers)) as new_discovery,
        running_proxy(discovery_port=old_discovery.port, settings=settings) as proxy,
    ):
        await wait_until(lambda: proxy.driver.endpoint_list.watch.version == 1)
        proxy.driver.change_discovery_address(("127.0.0.1", new_discovery.port))
        await advance_until(
            clock, lambda: proxy.driver.endpoint_list.watch.version == 1 + len(silent_numbers)
        )
        assert clock.advanced_s < 4.0


async def test_poll_may_wait_in_the_queue_of_discovery() -> None:
    """A poll may wait in discovery's queue for 2 s; a new request would be placed at the end of the queue."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        requested.set()
        await may_respond.wait()
        writer.write(
            WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9), rev=7))
        )
        await reader.read()

    requested, may_respond, clock = asyncio.Event(), asyncio.Event(), FrozenClock()
    async with (
        StandInServer(handle) as discovery,
        running_proxy(
            discovery_port=discovery.port, settings=balancer_settings(must_subscribe=True)
        ) as proxy,
    ):
        await requested.wait()
        await advance_until(clock, lambda: clock.advanced_s > 2.2)
        may_respond.set()
        await wait_until(
            lambda: proxy.driver.endpoint_list.watch.version == 7 or discovery.connection_count > 1
        )
        assert discovery.connection_count == 1


@pytest.fixture
def on_next_bytes(monkeypatch: pytest.MonkeyPatch) -> Callable[[Callable[[], None]], asyncio.Event]:
    """Return a function that has its argument called once, right after a reader next gets bytes or the end.

    It returns an event that is set at the same time.
    """

    def install(function: Callable[[], None]) -> asyncio.Event:
        called = asyncio.Event()

        def call_after(name: str) -> None:
            feed = getattr(asyncio.StreamReader, name)

            def feed_and_call(reader: asyncio.StreamReader, *data: bytes) -> None:
                feed(reader, *data)
                if not called.is_set():
                    called.set()
                    function()

            monkeypatch.setattr(asyncio.StreamReader, name, feed_and_call)

        call_after("feed_data")
        call_after("feed_eof")
        return called

    return install


@pytest.mark.parametrize(
    "response_bytes",
    [endpoint_list_chunk(endpoint_list(endpoint_entry("s-2", 9), rev=2)), http_chunk("nonsense\n"), b""],
)
@pytest.mark.parametrize("action", ["move", "close"])
async def test_watch_that_fails_while_moved_or_closed_ends_once(
    response_bytes: bytes, action: str, on_next_bytes: Callable[[Callable[[], None]], asyncio.Event]
) -> None:
    """The last bytes of the old watch, or its end, have woken its task, which has not run yet."""

    async def serve_old(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(
            WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9), rev=1))
        )
        await may_send.wait()
        writer.write(response_bytes)

    may_send = asyncio.Event()
    async with StandInServer(serve_old) as discovery, StandInServer(list_handler()) as new_discovery:
        recorded, address = RecordedWatch(discovery), ("127.0.0.1", new_discovery.port)
        assert (await recorded.next_list()).version == 1
        called = on_next_bytes(
            recorded.watch.close if action == "close" else lambda: recorded.watch.change_address(address)
        )
        may_send.set()
        await called.wait()
        if action == "move":
            assert ((await recorded.next_list()).version, new_discovery.connection_count) == (1, 1)
            assert recorded.watch.is_running
        await run_loop_turns(20)
        assert recorded.received.empty()
        assert discovery.connection_count == 1
        recorded.watch.close()
