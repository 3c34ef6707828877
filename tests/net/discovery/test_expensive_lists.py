"""Bytes of discovery that take long to parse do not delay the event loop, and lists arrive whole."""

from __future__ import annotations

import asyncio
import json

import pytest

from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_watch import EndpointWatch, WatchCallbacks, WatchTimeouts
from tests.support.endpoint_lists import WATCH_RESPONSE_HEAD, endpoint_entry, endpoint_list
from tests.support.http_messages import read_start_line
from tests.support.parsing_clock import EVENT_COST_S, LINE_COST_S, MAX_ITERATION_S, ParsingClock
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import wait_until

TIMEOUT_S = 60.0
ENDPOINT_COUNT = 200


def in_tiny_chunks(text: str) -> bytes:
    return b"".join(b"1\r\n%c\r\n" % byte for byte in text.encode())


class OneResponse(StandInServer):
    """Sends each watch the same bytes, and keeps it open."""

    def __init__(self, response_bytes: bytes) -> None:
        super().__init__(self._respond)
        self._response_bytes = response_bytes

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(self._response_bytes)
        await reader.read()


def watch_on(discovery: OneResponse, lists: list[EndpointListMessage]) -> EndpointWatch:
    """Start and return a watch that appends the lists that it receives."""
    watch = EndpointWatch(
        ("127.0.0.1", discovery.port),
        WatchCallbacks(lists.append, lambda failure: None),
        WatchTimeouts((TIMEOUT_S,), TIMEOUT_S),
    )
    watch.start()
    return watch


@pytest.mark.parametrize("prefix", ["", "\n" * 10_000], ids=["list", "heartbeats"])
async def test_list_in_tiny_chunks_is_parsed_over_several_iterations(
    prefix: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the cause of review case 1 on the watch: all chunks of a read in one iteration."""
    entries = [endpoint_entry(f"s-{number}", 9) for number in range(ENDPOINT_COUNT)]
    text = prefix + json.dumps(endpoint_list(*entries, rev=7)) + "\n"
    clock, lists = ParsingClock(monkeypatch), list[EndpointListMessage]()
    async with OneResponse(WATCH_RESPONSE_HEAD + in_tiny_chunks(text)) as discovery:
        watch = watch_on(discovery, lists)
        while not lists:
            clock.advance(0.0005)  # lets the pauses between reads pass
            await asyncio.sleep(0)
        watch.close()
    assert [message.version for message in lists] == [7]
    assert len(lists[0].endpoints) == ENDPOINT_COUNT
    assert clock.longest_iteration_s <= MAX_ITERATION_S
    clock.stop()


async def test_list_is_not_applied_after_the_watch_moved_while_it_was_parsed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    text = json.dumps(endpoint_list(endpoint_entry("s-1", 9), rev=7)) + "\n" * 1_000
    clock, old_lists = ParsingClock(monkeypatch), list[EndpointListMessage]()
    async with (
        OneResponse(WATCH_RESPONSE_HEAD + in_tiny_chunks(text)) as old_discovery,
        OneResponse(WATCH_RESPONSE_HEAD) as new_discovery,
    ):
        watch = watch_on(old_discovery, old_lists)
        # The list is complete before the half of the read, which takes dozens of iterations to parse.
        half_s = 0.5 * len(text) * (EVENT_COST_S + 2 * LINE_COST_S)
        await wait_until(lambda: clock.advanced_s > half_s)
        assert not old_lists
        watch.change_address(("127.0.0.1", new_discovery.port))
        await wait_until(lambda: bool(new_discovery.writers))
        for _ in range(100):
            await asyncio.sleep(0)
        assert not old_lists
        watch.close()
        clock.stop()
