"""Requests that take long to parse delay neither the event loop nor the requests of other clients."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from load_balancer.net.client import client_limits
from tests.net.client.test_connection_limits import chunked_request
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message, response_status
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.parsing_clock import MAX_ITERATION_S, ParsingClock
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import wait_until

PEER_COUNT = 60
SHORT_LINES = b"a:\r\n" * 3_900  # in a head of 16 KiB, just below the limit
READY_HEAD = b"GET /ready HTTP/1.1\r\nHost: x\r\n"
CHUNKED_READY_HEAD = b"POST /ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

EXPENSIVE_REQUESTS = {
    "heads of thousands of lines": (READY_HEAD + SHORT_LINES + b"\r\n") * 4,
    "trailers": (CHUNKED_READY_HEAD + b"0\r\n" + SHORT_LINES + b"\r\n") * 4,
    "tiny chunks": CHUNKED_READY_HEAD + b"1\r\na\r\n" * 10_000 + b"0\r\n\r\n",
    "requests by the thousand": (READY_HEAD + b"\r\n") * 2_000,
    "unfinished heads": READY_HEAD + SHORT_LINES,
}


@contextlib.asynccontextmanager
async def clock_of(proxy: LoopbackProxy, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[ParsingClock]:
    """Run the proxy on a parsing clock."""
    clock = ParsingClock(monkeypatch)
    proxy.link_policy_clock(clock)
    yield clock
    clock.stop()


async def send_from_many_peers(proxy: LoopbackProxy, sent: bytes) -> list[SocketClient]:
    """Connect the peers, and send as much of these bytes from each as the system takes at once."""
    peers = [SocketClient(proxy) for _ in range(PEER_COUNT)]
    await wait_until(lambda: len(proxy.clients.open_connections) >= PEER_COUNT)
    for peer in peers:
        peer.socket.setblocking(False)
        peer.socket.send(sent)
    return peers


async def serve_requests_in_time(proxy: LoopbackProxy, clock: ParsingClock) -> None:
    """Send requests one after another; each is served by its deadline, and no iteration is too long."""
    for number in range(5):
        sent_at_s = clock.advanced_s
        request = http_request(request_id=f"good-{number}", Req_Deadline="1.2")
        assert response_status(await proxy.send_request(request)) == 200
        assert clock.advanced_s - sent_at_s < 1.2
    assert clock.longest_iteration_s <= MAX_ITERATION_S


@pytest.mark.time_limit_s(60.0)  # parses up to 0.5 MB, which takes seconds beside busy processes
@pytest.mark.parametrize("kind", EXPENSIVE_REQUESTS)
async def test_many_peers_with_expensive_requests_do_not_delay_others(
    kind: str, proxy: LoopbackProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against review case 3: large heads of 60 peers were parsed in one iteration, for a second."""
    monkeypatch.setattr(client_limits, "REQUEST_TIMEOUT_S", 600.0)
    async with clock_of(proxy, monkeypatch) as clock:
        peers = await send_from_many_peers(proxy, EXPENSIVE_REQUESTS[kind])
        await wait_until(lambda: not any(connection.is_idle for connection in proxy.clients.open_connections))
        for peer in peers:
            peer.socket.send(b"\r\n")  # ends the unfinished heads, all at the same time
        await serve_requests_in_time(proxy, clock)
        for peer in peers:
            peer.disconnect("RST")


async def test_expensive_requests_are_all_served(
    proxy: LoopbackProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Large heads, trailers and tiny chunks are valid; each of them gets its response in order."""
    monkeypatch.setattr(client_limits, "REQUEST_TIMEOUT_S", 600.0)
    sent = b"".join(
        EXPENSIVE_REQUESTS[kind] for kind in ("heads of thousands of lines", "trailers", "tiny chunks")
    )
    async with clock_of(proxy, monkeypatch):
        clients = [SocketClient(proxy) for _ in range(3)]
        streams = [await client.streams() for client in clients]
        for _, writer in streams:
            writer.write(sent)
        for reader, writer in streams:
            statuses = [response_status(await read_http_message(reader)) for _ in range(9)]
            assert statuses == [200] * 9
            writer.close()


async def test_body_in_tiny_chunks_is_forwarded_whole(
    endpoint: StandInEndpoint, proxy: LoopbackProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is parsed over many iterations of the event loop, while another client is served."""
    monkeypatch.setattr(client_limits, "REQUEST_TIMEOUT_S", 600.0)
    async with clock_of(proxy, monkeypatch) as clock:
        reader, writer = await proxy.connect()
        writer.write(chunked_request(20_000))
        await wait_until(lambda: proxy.clients.buffered_total.size_bytes > 0)
        assert response_status(await proxy.send_request(http_request(request_id="good"))) == 200
        assert response_status(await read_http_message(reader)) == 200
        assert {message.headers["req-id"]: message.body for message in endpoint.received} == {
            "good": b"",
            "chunks": b"x" * 20_000,
        }
        assert clock.longest_iteration_s <= MAX_ITERATION_S
        writer.close()


async def test_reading_pauses_while_a_client_waits_to_be_parsed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The limits on buffered bytes also hold for connections that are queued for parsing."""
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES", 100_000)
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        peers = await send_from_many_peers(proxy, EXPENSIVE_REQUESTS["heads of thousands of lines"])
        largest_bytes = 0
        for _ in range(100):
            await asyncio.sleep(0)
            largest_bytes = max(largest_bytes, proxy.clients.buffered_total.size_bytes)
        assert 100_000 < largest_bytes <= 100_000 + PEER_COUNT * client_limits.READ_SIZE_BYTES
        for peer in peers:
            peer.disconnect("RST")
        await wait_until(lambda: not proxy.clients.open_connections)
        assert proxy.clients.buffered_total.size_bytes == 0
