"""Forwarding of close-delimited responses by the proxy: only complete ones reach the client."""

from __future__ import annotations

import asyncio
import itertools
import socket

import pytest

from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import HttpMessage, http_request, http_response, read_http_message
from tests.support.loopback_proxy import running_proxy
from tests.support.raw_endpoint import EndpointConnection, RawEndpoint
from tests.support.stepped_clock import wait_until

HEADS = {
    f"{version}{', close' if close else ''}": f"HTTP/{version} 200 x\r\n{close}\r\n".encode()
    for version, close in itertools.product(("1.0", "1.1"), ("", "Connection: close\r\n"))
}
BODIES = {"empty": b"", "a byte": b"x", "64 KiB": bytes(range(256)) * 256}
ENDS = {
    "with the last byte": 0.0,  # the end is in the same segment
    "later": 0.005,  # after all bytes have been read
}


async def send_all(connection: EndpointConnection, response_bytes: bytes, expect_more: bool = False) -> None:
    """Send all bytes; the system delays the last segment if `expect_more` is true."""
    while response_bytes:
        try:
            sent = connection.socket.send(response_bytes, socket.MSG_MORE if expect_more else 0)
        except BlockingIOError:
            sent = 0
        response_bytes = response_bytes[sent:]
        await asyncio.sleep(0)


@pytest.mark.parametrize("closing", ["shutdown", "close"])
@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("head", HEADS)
async def test_close_delimited_response_is_forwarded_complete(
    head: str, body: str, end: str, is_reused: bool, closing: str, bytes_from_endpoints: bytearray
) -> None:
    """The response is forwarded for each form of its head, body, end and connection."""
    response_bytes = HEADS[head] + BODIES[body]

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        if request[1]["req-id"] == "first":
            connection.send(http_response(200, b"first"))
            return
        received_before = len(bytes_from_endpoints)
        await send_all(connection, response_bytes, expect_more=not ENDS[end])
        if ENDS[end]:
            await wait_until(lambda: len(bytes_from_endpoints) == received_before + len(response_bytes))
            await asyncio.sleep(ENDS[end])
        if closing == "shutdown":
            connection.end_sending()
        else:
            connection.socket.close()

    async with RawEndpoint(handle) as endpoint, running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy:
        if is_reused:
            assert (await proxy.send_request(http_request(request_id="first")))[2] == b"first"
            # The connection must settle before reuse, so that a second response is detected.
            await asyncio.sleep(0.02)
        line, _, body_bytes = await proxy.send_request(http_request(request_id="r1"))
        assert line.split()[1] == "200"
        assert body_bytes == BODIES[body]
        assert endpoint.request_ids.count("r1") == 1
        assert len(endpoint.connections) == 1


@pytest.mark.parametrize("kind", ["read", "write", "mark", "pay"])
@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("head", ["1.0", "1.1, close"])
async def test_reset_close_delimited_response_is_not_forwarded(
    head: str, body: str, end: str, is_reused: bool, kind: str, bytes_from_endpoints: bytearray
) -> None:
    """Even after its last byte: the client must not get a response that may be truncated."""
    response_bytes = HEADS[head] + BODIES[body]

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        if request[1]["req-id"] == "first":
            connection.send(http_response(200, b"first"))
            return
        received_before = len(bytes_from_endpoints)
        await send_all(connection, response_bytes)
        if ENDS[end]:
            await wait_until(
                lambda: len(bytes_from_endpoints) == received_before + len(response_bytes)
                or connection.is_closed
            )
        connection.reset()

    async with RawEndpoint(handle) as endpoint, running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy:
        if is_reused:
            assert (await proxy.send_request(http_request(request_id="first")))[2] == b"first"
            await asyncio.sleep(0.02)
        reader, writer = await proxy.connect()
        writer.write(http_request(kind, request_id="r1"))
        line, _, _ = await read_http_message(reader)
        assert line.split()[1] in ("502", "503")
        if kind == "pay":
            assert line.split()[1] == "502"
            assert endpoint.request_ids.count("r1") == 1
