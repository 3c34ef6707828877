"""Malformed requests get an error response or a close in time, and are neither forwarded nor logged."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterator

import pytest

from load_balancer.net.client import client_limits
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message, response_status
from tests.support.log_lines import info_lines
from tests.support.loopback_proxy import running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint, StandInEndpoint
from tests.support.stepped_clock import FrozenClock, run_loop_turns, wait_until

CLOSE_DEADLINE_S = 3.0  # from the connect to an error response or a close
MAX_LOOP_DELAY_S = 0.15  # part of the deadline reserved for event loop lag

CHUNKED_HEAD = http_request("mark", Content_Length="0").replace(
    b"Content-Length: 0", b"Transfer-Encoding: chunked"
)
TLS_CLIENT_HELLO = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(range(256)) * 2
MALFORMED_REQUESTS = {
    "NUL": b"\x00" * 100,
    "NUL in a header": http_request(Req_Owner="a\x00b"),
    "NUL in the target": http_request(path="/a\x00b"),
    "TLS": TLS_CLIENT_HELLO,
    "HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x00\x04\x00\x00\x00\x00\x00",
    "HTTP/0.9": b"GET /api\r\n\r\n",
    "HTTP/3.0": http_request().replace(b"HTTP/1.1", b"HTTP/3.0"),
    "unknown method": http_request().replace(b"GET", b"BREW"),
    "lower-case method": http_request().replace(b"GET", b"get"),
    "absolute target": http_request(path="http://x/api"),
    "asterisk target": http_request(path="*"),
    "space in the target": http_request(path="/a b"),
    "folded request id": http_request(request_id="a\r\n b"),
    "folded first header": http_request().replace(b"\r\nHost", b"\r\n Host"),
    "space before the colon": http_request().replace(b"Req-Id:", b"Req-Id :"),
    "no colon": http_request().replace(b"Req-Id:", b"Req-Id"),
    "two Host headers": http_request(host="y"),
    "no Host header": http_request().replace(b"Host: x\r\n", b""),
    "chunk size of 21 digits": CHUNKED_HEAD + b"f" * 21 + b"\r\n",
    "chunk over the limit": CHUNKED_HEAD + b"10001\r\n" + b"x" * 65_537 + b"\r\n0\r\n\r\n",
    "negative chunk size": CHUNKED_HEAD + b"-1\r\n",
    "chunk without its line end": CHUNKED_HEAD + b"1\r\nxx\r\n0\r\n\r\n",
    "unterminated chunk extension": CHUNKED_HEAD + b"1;" + b"x" * 20_000,
    "unterminated trailer": CHUNKED_HEAD + b"0\r\n" + b"x" * 20_000,
    "unsupported transfer coding": CHUNKED_HEAD.replace(b"chunked", b"gzip, chunked"),
    "unterminated header": b"GET /api HTTP/1.1\r\nX: " + b"x" * 20_000,
    "unterminated headers": b"GET /api HTTP/1.1\r\n" + b"X: y\r\n" * 4_000,
    "unterminated request line": b"GET /" + b"x" * 20_000,
    "non-decimal length": http_request("mark", Content_Length="0x5") + b"hello",
    "two lengths in one header": http_request("mark", Content_Length="5, 6") + b"hello",
}


@pytest.mark.parametrize("sent", MALFORMED_REQUESTS.values(), ids=MALFORMED_REQUESTS.keys())
@pytest.mark.parametrize("piece_size", [0, 1])
async def test_malformed_request_gets_an_error_and_a_close(
    sent: bytes, piece_size: int, caplog: pytest.LogCaptureFixture
) -> None:
    """The response comes at once, whether the request is sent in one piece or byte by byte."""

    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        reader, writer = await proxy.connect()
        with contextlib.suppress(ConnectionError):
            for piece in (
                [sent]
                if not piece_size
                else [sent[number : number + piece_size] for number in range(min(len(sent), 400))]
            ):
                writer.write(piece)
                await asyncio.sleep(0)
            writer.write(sent[400 * piece_size :] if piece_size else b"")
        response = await read_http_message(reader)
        assert 400 <= response_status(response) < 600
        assert response[1]["connection"] == "close"
        assert await reader.read() == b""
        writer.close()
        assert endpoint.received == []
        assert not info_lines(caplog)
        assert response_status(await proxy.send_request(http_request())) == 200


def byte_by_byte(first_bytes: bytes, repeated_bytes: bytes) -> Iterator[bytes]:
    return itertools.chain(
        (first_bytes[number : number + 1] for number in range(len(first_bytes))),
        itertools.cycle([repeated_bytes]),
    )


ENDLESS_REQUESTS: dict[str, Callable[[], Iterator[bytes]]] = {
    "silent": lambda: itertools.repeat(b""),
    "byte by byte": lambda: byte_by_byte(b"GET /api HTTP/1.1\r\n", b"x"),
    "endless headers": lambda: byte_by_byte(b"GET /api HTTP/1.1\r\n", b"X: y\r\n"),
    "empty lines": lambda: itertools.repeat(b"\r\n"),
    "incomplete request": lambda: itertools.chain([http_request()[:-2]], itertools.repeat(b"")),
    "chunks": lambda: itertools.chain([CHUNKED_HEAD], itertools.repeat(b"1\r\nx\r\n")),
    "huge chunk": lambda: itertools.chain([CHUNKED_HEAD + b"f" * 17 + b"\r\n"], itertools.repeat(b"x")),
    "chunk extension": lambda: itertools.chain([CHUNKED_HEAD, b"1;"], itertools.repeat(b"x")),
    "incomplete body": lambda: itertools.chain(
        [http_request("mark", Content_Length="9")], itertools.repeat(b"")
    ),
    "body byte by byte": lambda: itertools.chain(
        [http_request("mark", Content_Length="9999")], itertools.repeat(b"x")
    ),
}


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
async def test_connection_of_an_endless_request_is_closed_in_time(
    kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    """The client sends the next piece every 0.05 s of a stepped clock, or stays connected and silent."""

    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        clock, client, pieces = FrozenClock(), SocketClient(proxy), ENDLESS_REQUESTS[kind]()
        await wait_until(lambda: len(proxy.clients.open_connections) == 1)
        while proxy.clients.open_connections and clock.advanced_s <= CLOSE_DEADLINE_S - MAX_LOOP_DELAY_S:
            with contextlib.suppress(ConnectionError):
                client.send(next(pieces))
            await run_loop_turns()
            clock.advance(0.05)
            await run_loop_turns()
        assert not proxy.clients.open_connections
        assert clock.advanced_s <= CLOSE_DEADLINE_S - MAX_LOOP_DELAY_S
        assert endpoint.received == []
        assert not proxy.clients.open_request_ids
        assert proxy.clients.buffered_total.size_bytes == 0
        assert not info_lines(caplog)
        client.socket.close()


@pytest.mark.parametrize(
    "head", [http_request("mark", Content_Length="60000000"), b"", CHUNKED_HEAD, http_request(request_id="")]
)
async def test_client_that_sends_60_mb_gets_an_error_and_a_close(
    head: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Its bytes are read and discarded for a while, so that a reset does not destroy the error response."""

    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        clock = FrozenClock()
        reader, writer = await proxy.connect()
        sent = head + (b"4000000\r\n" if head is CHUNKED_HEAD else b"")
        response_task = asyncio.create_task(read_http_message(reader))
        with contextlib.suppress(ConnectionError):
            for _ in range(60):
                writer.write(sent + b"x" * 1_000_000)
                sent = b""
                await writer.drain()
                assert (
                    proxy.clients.buffered_total.size_bytes <= client_limits.MAX_BUFFERED_BYTES_PER_CONNECTION
                )
        assert 400 <= response_status(await response_task) < 600
        clock.advance(client_limits.LINGER_TIMEOUT_S + client_limits.SWEEP_INTERVAL_S)
        await wait_until(lambda: not proxy.clients.open_connections)
        writer.transport.abort()
        assert endpoint.received == []
        assert not info_lines(caplog)


VALID_REQUESTS = {
    "canonical": http_request("mark", "f1", "/api?a=b", b"hello"),
    "no spaces after colons": http_request("mark", "f1", "/api?a=b", b"hello").replace(b": ", b":"),
    "extra spaces after colons": http_request("mark", "f1", "/api?a=b", b"hello").replace(b": ", b": \t "),
    "mixed-case header name": http_request("mark", "f1", "/api?a=b", b"hello").replace(b"Req-Id", b"rEQ-iD"),
    "leading empty line": b"\r\n" + http_request("mark", "f1", "/api?a=b", b"hello"),
    "trailing empty line": http_request("mark", "f1", "/api?a=b", b"hello") + b"\r\n",
    "chunks": CHUNKED_HEAD.replace(b"Req-Id: a1", b"Req-Id: f1").replace(b"/api", b"/api?a=b")
    + b"003;x=y\r\nhel\r\n2;z\r\nlo\r\n0;end\r\nTrailer: t\r\n\r\n",
}


@pytest.mark.parametrize("kind", VALID_REQUESTS)
@pytest.mark.parametrize("piece_size", [1, 2, 7])
async def test_valid_requests_are_forwarded_in_any_form_and_split(kind: str, piece_size: int) -> None:
    """Each of two pipelined requests is forwarded with its target, id and body, and gets its own response."""

    second = VALID_REQUESTS[kind].replace(b"f1", b"f2")
    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        client = SocketClient(proxy)
        sent = VALID_REQUESTS[kind] + second
        for start in range(0, len(sent), piece_size):
            client.send(sent[start : start + piece_size])
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for number in (1, 2):
            await wait_until(lambda number=number: len(endpoint.received) == number)  # type: ignore[misc]
            proxy.oldest_attempt_connection().data_received(http_response(200, b"%d" % number))
        reader, writer = await client.streams()
        assert [(await read_http_message(reader))[2] for _ in range(2)] == [b"1", b"2"]
        for number, (start_line, headers, body) in enumerate(endpoint.received):
            assert (start_line, headers["req-id"], body) == (
                "POST /api?a=b HTTP/1.1",
                f"f{number + 1}",
                b"hello",
            )
        writer.close()


@pytest.mark.parametrize("sent_together", [True, False])
async def test_empty_lines_after_a_request_leave_the_connection_idle(sent_together: bool) -> None:
    """Empty lines get no response and do not extend the idle time of the connection."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        client = SocketClient(proxy)
        client.send(http_request() + (b"\r\n\r\n" if sent_together else b""))
        await wait_until(lambda: len(endpoint.received) == 1)
        proxy.oldest_attempt_connection().data_received(http_response(200, b"x"))
        await wait_until(lambda: bool(proxy.clients.idle_connections))
        [connection] = proxy.clients.idle_connections
        progress_at_s = connection.last_progress_at_s
        if not sent_together:
            for empty in (b"\r\n", b"\r", b"\n\r\n"):
                client.send(empty)
                await run_loop_turns()
        assert connection.is_idle
        assert connection in proxy.clients.idle_connections
        assert connection.last_progress_at_s == progress_at_s
        assert proxy.clients.buffered_total.size_bytes == 0
        client.send(b"\r\n" + http_request(path="/ready", Connection="close"))
        reader, writer = await client.streams()
        assert [response_status(await read_http_message(reader)) for _ in range(2)] == [200, 200]
        assert await reader.read() == b""
        writer.close()
        await wait_until(lambda: not proxy.clients.open_connections)
