"""The watch on discovery, over real sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list import EndpointListMessage, merge_changes
from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.discovery.endpoint_watch import READ_PAUSE_S, EndpointWatch
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


class Watched:
    """A watch, and the lists that it delivered; None stands for a break.

    Attributes:
        on_list: Gets each list; it may be replaced by another function.
    """

    def __init__(self, on: StandInServer, silence_s: float = 60.0) -> None:
        self.news: asyncio.Queue[EndpointListMessage | None] = asyncio.Queue()
        self.on_list: Callable[[EndpointListMessage], None] = self.news.put_nowait
        self.watch = EndpointWatch(
            ("127.0.0.1", on.port),
            lambda message: self.on_list(message),
            lambda: self.news.put_nowait(None),
            60.0,
            silence_s,
        )
        self.watch.start()

    async def next_list(self) -> EndpointListMessage:
        """Return the next list, which must come before a break."""
        message = await self.news.get()
        assert message is not None
        return message


async def send_list_and_changes(writer: asyncio.StreamWriter) -> None:
    """Send version 41 in two pieces, and behind it a heartbeat, the changes of version 43 and the end."""
    full = endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9), rev=41))
    writer.write(WATCH_RESPONSE_HEAD + full[:20])
    await writer.drain()
    changed = endpoint_list_chunk(
        endpoint_list(endpoint_entry("s-1", 9, "terminating"), rev=43, is_complete=False)
    )
    writer.write(full[20:] + http_chunk("\n") + changed + b"0\r\n\r\n")


async def test_lists_are_delivered_in_order_and_the_next_watch_resumes_from_the_last_version() -> None:
    asked: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked.append(await read_start_line(reader))
        await send_list_and_changes(writer)

    async with StandInServer(handle) as discovery:
        watched = Watched(discovery)
        first, second, end = [await watched.news.get() for _ in range(3)]
        assert first
        assert second
        assert end is None
        assert (first.version, first.is_complete) == (41, True)
        assert first.endpoints[0].status is messages.EndpointStatus.UP
        assert (second.version, second.is_complete) == (43, False)
        assert second.endpoints[0].status is messages.EndpointStatus.DRAINING
        watched.watch.start()
        while len(asked) < 2:
            await watched.news.get()
        assert asked == [
            "GET /v1/endpoints?follow=1 HTTP/1.1",
            "GET /v1/endpoints?follow=1&since=43 HTTP/1.1",
        ]
        watched.watch.close()


@pytest.mark.parametrize(
    "said",
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
async def test_each_failure_reports_one_break(said: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(said)

    async with StandInServer(handle) as discovery:
        watched = Watched(discovery)
        assert await watched.news.get() is None
        assert watched.news.empty()
        assert discovery.connection_count == 1
        assert "watch on discovery failed" in caplog.text


def indented_text(lists: list[dict[str, object]], indents: tuple[int | None, ...]) -> str:
    texts = [json.dumps(message, indent=indent) for message, indent in zip(lists, indents, strict=True)]
    return "\n".join("\n" + text for text in texts) + "\n"


@pytest.mark.parametrize("cut", [1, 7, 65536])
async def test_lists_are_parsed_however_indented_and_split(cut: int) -> None:
    """Only braces outside of strings tell where a list ends; a line's end within one tells nothing."""
    odd = {**endpoint_entry("s-1", 9), "note": 'a "brace\\" } and ] in {words}, \\ and a line\n'}
    lists = [
        endpoint_list(odd, endpoint_entry("s-2", 9), rev=41),
        endpoint_list(endpoint_entry("s-1", 9, "terminating"), rev=42, is_complete=False),
        endpoint_list(rev=43, is_complete=False),
    ]
    text = indented_text(lists, (2, None, 1))

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(WATCH_RESPONSE_HEAD)
        for at in range(0, len(text), cut):
            writer.write(http_chunk(text[at : at + cut]))
        await reader.read()

    async with StandInServer(handle) as discovery:
        watched = Watched(discovery)
        # Changes that come in one read are one list, and chance says which ones do.
        got = [await watched.next_list()]
        while got[-1].version < 43:
            got.append(await watched.next_list())
        whole, changes = merge_changes(got)
        assert (whole.version, whole.is_complete, len(whole.endpoints)) == (41, True, 2)
        assert changes == merge_changes(map(read_list, lists))[1]
        assert (changes.version, len(changes.endpoints)) == (43, 1)
        watched.watch.close()


async def test_watch_breaks_without_heartbeats_and_stays_open_with_them(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(WATCH_RESPONSE_HEAD)
        for _ in range(8):
            clock.advance(40.0)
            writer.write(http_chunk("\n"))
            await run_loop_turns()  # for it to be read
            clock.advance(READ_PAUSE_S)  # reading pauses for so long after it
            await run_loop_turns()
        writer.write(endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9))))
        await reader.read()  # and says nothing more

    clock = FrozenClock()
    async with StandInServer(handle) as discovery:
        watched = Watched(discovery, silence_s=60.0)
        assert await watched.news.get() is not None
        clock.advance(61.0)
        assert await watched.news.get() is None
        assert "failed: silent" in caplog.text


async def test_bytes_of_an_incomplete_list_are_not_heartbeats(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read = bytearray()
    feed = asyncio.StreamReader.feed_data

    def note(reader: asyncio.StreamReader, data: bytes) -> None:
        read.extend(data)
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
        watched = Watched(discovery, silence_s=60.0)
        assert await watched.news.get() is not None
        monkeypatch.setattr(asyncio.StreamReader, "feed_data", note)
        for number in range(1, 4):
            clock.advance(25.0)
            discovery.writers[0].write(http_chunk("-"))
            await wait_until(lambda number=number: read.count(b"-") == number or not watched.news.empty())  # type: ignore[misc]
        assert await watched.news.get() is None


async def test_list_that_failed_to_apply_is_requested_again() -> None:
    asked: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked.append(await read_start_line(reader))
        writer.write(
            WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9), rev=41))
        )
        await reader.read()

    def fail(news: EndpointListMessage) -> None:
        raise RuntimeError("not taken over")

    async with StandInServer(handle) as discovery:
        watched = Watched(discovery)
        watched.on_list = fail
        assert await watched.news.get() is None
        assert watched.watch.version is None
        watched.on_list = watched.news.put_nowait
        watched.watch.start()
        again = await watched.news.get()
        assert again
        assert again.version == watched.watch.version == 41
        assert asked == ["GET /v1/endpoints?follow=1 HTTP/1.1"] * 2
        watched.watch.close()


def silent_watches(*silent: int) -> StreamHandler:
    """Brings a list to each connection and then no more; those of these numbers get nothing at all."""
    seen: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        seen.append(await read_start_line(reader))
        if len(seen) not in silent:
            writer.write(
                WATCH_RESPONSE_HEAD
                + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9), rev=len(seen)))
            )
        await reader.read()

    return handle


@pytest.mark.parametrize(
    ("must_subscribe", "silent", "in_time"),
    [(False, (2, 3), 6.0), (True, (2,), 7.5)],  # a call that may wait for 2 s gets 2 s more behind that
)
async def test_silent_watch_is_replaced_in_time_when_the_next_ones_are_silent_too(
    must_subscribe: bool, silent: tuple[int, ...], in_time: float
) -> None:
    """What it misses counts as told 6 s after it fell silent."""

    clock = FrozenClock()
    setup = balancer_settings(must_subscribe=must_subscribe)
    async with (
        StandInServer(silent_watches(*silent)) as discovery,
        running_proxy(discovery_port=discovery.port, settings=setup) as proxy,
    ):
        await wait_until(lambda: proxy.driver.endpoint_list.watch.version == 1)
        await advance_until(clock, lambda: proxy.driver.endpoint_list.watch.version == 2 + len(silent))
        assert clock.advanced_s < in_time


@pytest.mark.parametrize(("must_subscribe", "silent"), [(False, (1, 2)), (True, (1,))])
async def test_moved_watch_is_replaced_in_time_when_it_is_silent_at_once(
    must_subscribe: bool, silent: tuple[int, ...]
) -> None:
    """After SIGHUP whatever discovery has to tell counts as told 4 s later."""

    clock = FrozenClock()
    setup = balancer_settings(must_subscribe=must_subscribe)
    async with (
        StandInServer(silent_watches()) as old,
        StandInServer(silent_watches(*silent)) as new,
        running_proxy(discovery_port=old.port, settings=setup) as proxy,
    ):
        await wait_until(lambda: proxy.driver.endpoint_list.watch.version == 1)
        proxy.driver.change_discovery_address(("127.0.0.1", new.port))
        await advance_until(clock, lambda: proxy.driver.endpoint_list.watch.version == 1 + len(silent))
        assert clock.advanced_s < 4.0


async def test_poll_may_wait_in_the_queue_of_discovery() -> None:
    """It may wait for 2 s in discovery's queue; giving it up would only send it to the end of that."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        asked.set()
        await turn.wait()
        writer.write(
            WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9), rev=7))
        )
        await reader.read()

    asked, turn, clock = asyncio.Event(), asyncio.Event(), FrozenClock()
    async with (
        StandInServer(handle) as discovery,
        running_proxy(
            discovery_port=discovery.port, settings=balancer_settings(must_subscribe=True)
        ) as proxy,
    ):
        await asked.wait()
        await advance_until(clock, lambda: clock.advanced_s > 2.2)
        turn.set()
        await wait_until(
            lambda: proxy.driver.endpoint_list.watch.version == 7 or discovery.connection_count > 1
        )
        assert discovery.connection_count == 1


@pytest.fixture
def on_next_bytes(monkeypatch: pytest.MonkeyPatch) -> Callable[[Callable[[], None]], asyncio.Event]:
    """Return what has a function called once, just after a reader is fed bytes or the end of its stream.

    The event that it returns is set then.
    """

    def install(function: Callable[[], None]) -> asyncio.Event:
        crossed = asyncio.Event()

        def cross(name: str) -> None:
            feed = getattr(asyncio.StreamReader, name)

            def feed_and_cross(reader: asyncio.StreamReader, *data: bytes) -> None:
                feed(reader, *data)
                if not crossed.is_set():
                    crossed.set()
                    function()

            monkeypatch.setattr(asyncio.StreamReader, name, feed_and_cross)

        cross("feed_data")
        cross("feed_eof")
        return crossed

    return install


@pytest.mark.parametrize(
    "said",
    [endpoint_list_chunk(endpoint_list(endpoint_entry("s-2", 9), rev=2)), http_chunk("nonsense\n"), b""],
)
@pytest.mark.parametrize("then", ["move", "close"])
async def test_watch_that_breaks_while_moved_or_closed_ends_once(
    said: bytes, then: str, on_next_bytes: Callable[[Callable[[], None]], asyncio.Event]
) -> None:
    """The old one's last bytes, or its end, have woken its task, which has not run yet."""

    async def old(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(
            WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9), rev=1))
        )
        await go_on.wait()
        writer.write(said)

    go_on = asyncio.Event()
    async with StandInServer(old) as discovery, StandInServer(silent_watches()) as new_discovery:
        watched, address = Watched(discovery), ("127.0.0.1", new_discovery.port)
        assert (await watched.next_list()).version == 1
        crossed = on_next_bytes(
            watched.watch.close if then == "close" else lambda: watched.watch.change_address(address)
        )
        go_on.set()
        await crossed.wait()
        if then == "move":
            assert ((await watched.next_list()).version, new_discovery.connection_count) == (1, 1)
            assert watched.watch.is_running
        await run_loop_turns(20)
        assert watched.news.empty()
        assert discovery.connection_count == 1
        watched.watch.close()
