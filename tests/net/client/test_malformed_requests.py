"""Malformed requests get an error or a close in time, are not forwarded and are not logged."""

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

DUE_S = 3.0  # after its connect such a peer has got an error or a close
LATE_S = 0.15  # of this, kept for an event loop that is late

CHUNKED = http_request("mark", Content_Length="0").replace(
    b"Content-Length: 0", b"Transfer-Encoding: chunked"
)
HELLO = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(range(256)) * 2
BAD = {
    "NUL": b"\x00" * 100,
    "NUL in a header": http_request(Req_Owner="a\x00b"),
    "NUL in the target": http_request(path="/a\x00b"),
    "TLS": HELLO,
    "HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x00\x04\x00\x00\x00\x00\x00",
    "HTTP/0.9": b"GET /api\r\n\r\n",
    "HTTP/3.0": http_request().replace(b"HTTP/1.1", b"HTTP/3.0"),
    "a method of its own": http_request().replace(b"GET", b"BREW"),
    "a lower-case method": http_request().replace(b"GET", b"get"),
    "an absolute target": http_request(path="http://x/api"),
    "a target for all": http_request(path="*"),
    "a space in the target": http_request(path="/a b"),
    "a folded id": http_request(request_id="a\r\n b"),
    "a folded first header": http_request().replace(b"\r\nHost", b"\r\n Host"),
    "a space before the colon": http_request().replace(b"Req-Id:", b"Req-Id :"),
    "no colon": http_request().replace(b"Req-Id:", b"Req-Id"),
    "two hosts": http_request(host="y"),
    "no host": http_request().replace(b"Host: x\r\n", b""),
    "a chunk size over all sizes": CHUNKED + b"f" * 21 + b"\r\n",
    "a chunk over the limit": CHUNKED + b"10001\r\n" + b"x" * 65_537 + b"\r\n0\r\n\r\n",
    "a negative chunk": CHUNKED + b"-1\r\n",
    "a chunk without its end": CHUNKED + b"1\r\nxx\r\n0\r\n\r\n",
    "an extension without an end": CHUNKED + b"1;" + b"x" * 20_000,
    "a trailer without an end": CHUNKED + b"0\r\n" + b"x" * 20_000,
    "a coding that is none": CHUNKED.replace(b"chunked", b"gzip, chunked"),
    "a header without an end": b"GET /api HTTP/1.1\r\nX: " + b"x" * 20_000,
    "headers without an end": b"GET /api HTTP/1.1\r\n" + b"X: y\r\n" * 4_000,
    "a line without an end": b"GET /" + b"x" * 20_000,
    "a length that is none": http_request("mark", Content_Length="0x5") + b"hello",
    "two lengths on a line": http_request("mark", Content_Length="5, 6") + b"hello",
}


@pytest.mark.parametrize("sent", BAD.values(), ids=BAD.keys())
@pytest.mark.parametrize("cut", [0, 1])
async def test_malformed_request_gets_an_error_and_a_close(
    sent: bytes, cut: int, caplog: pytest.LogCaptureFixture
) -> None:
    """At once, whether it is sent in one piece or byte by byte."""

    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        reader, writer = await proxy.connect()
        with contextlib.suppress(ConnectionError):
            for piece in (
                [sent] if not cut else [sent[number : number + cut] for number in range(min(len(sent), 400))]
            ):
                writer.write(piece)
                await asyncio.sleep(0)
            writer.write(sent[400 * cut :] if cut else b"")
        got = await read_http_message(reader)
        assert 400 <= response_status(got) < 600
        assert got[1]["connection"] == "close"
        assert await reader.read() == b""
        writer.close()
        assert endpoint.received == []
        assert not info_lines(caplog)
        assert response_status(await proxy.send_request(http_request())) == 200


def dribbled(begin: bytes, more: bytes) -> Iterator[bytes]:
    return itertools.chain(
        (begin[number : number + 1] for number in range(len(begin))), itertools.cycle([more])
    )


STILL: dict[str, Callable[[], Iterator[bytes]]] = {
    "silent": lambda: itertools.repeat(b""),
    "a byte at a time": lambda: dribbled(b"GET /api HTTP/1.1\r\n", b"x"),
    "lines without an end": lambda: dribbled(b"GET /api HTTP/1.1\r\n", b"X: y\r\n"),
    "empty lines": lambda: itertools.repeat(b"\r\n"),
    "a request that stops": lambda: itertools.chain([http_request()[:-2]], itertools.repeat(b"")),
    "chunks": lambda: itertools.chain([CHUNKED], itertools.repeat(b"1\r\nx\r\n")),
    "a huge chunk": lambda: itertools.chain([CHUNKED + b"f" * 17 + b"\r\n"], itertools.repeat(b"x")),
    "an extension": lambda: itertools.chain([CHUNKED, b"1;"], itertools.repeat(b"x")),
    "a body that stops": lambda: itertools.chain(
        [http_request("mark", Content_Length="9")], itertools.repeat(b"")
    ),
    "a body byte by byte": lambda: itertools.chain(
        [http_request("mark", Content_Length="9999")], itertools.repeat(b"x")
    ),
}


@pytest.mark.parametrize("kind", STILL)
async def test_connection_of_an_endless_request_is_closed_in_time(
    kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    """However it goes on sending: a byte or a line each 0.05 s, on a stepped clock."""

    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        clock, client, gave = FrozenClock(), SocketClient(proxy), STILL[kind]()
        await wait_until(lambda: len(proxy.clients.open_connections) == 1)
        while proxy.clients.open_connections and clock.advanced_s <= DUE_S - LATE_S:
            with contextlib.suppress(ConnectionError):
                client.send(next(gave))
            await run_loop_turns()
            clock.advance(0.05)
            await run_loop_turns()
        assert not proxy.clients.open_connections
        assert clock.advanced_s <= DUE_S - LATE_S
        assert endpoint.received == []
        assert not proxy.clients.open_request_ids
        assert proxy.clients.buffered_total.size_bytes == 0
        assert not info_lines(caplog)
        client.socket.close()


@pytest.mark.parametrize(
    "head", [http_request("mark", Content_Length="60000000"), b"", CHUNKED, http_request(request_id="")]
)
async def test_client_that_sends_60_mb_gets_an_error_and_a_close(
    head: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Its bytes are read and dropped for a while, so that a reset does not destroy the error response."""

    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        clock = FrozenClock()
        reader, writer = await proxy.connect()
        sent = head + (b"4000000\r\n" if head is CHUNKED else b"")
        got = asyncio.create_task(read_http_message(reader))
        with contextlib.suppress(ConnectionError):
            for _ in range(60):
                writer.write(sent + b"x" * 1_000_000)
                sent = b""
                await writer.drain()
                assert (
                    proxy.clients.buffered_total.size_bytes <= client_limits.MAX_BUFFERED_BYTES_PER_CONNECTION
                )
        assert 400 <= response_status(await got) < 600
        clock.advance(client_limits.LINGER_TIMEOUT_S + client_limits.SWEEP_INTERVAL_S)
        await wait_until(lambda: not proxy.clients.open_connections)
        writer.transport.abort()
        assert endpoint.received == []
        assert not info_lines(caplog)


FORMS = {
    "usual": http_request("mark", "f1", "/api?a=b", b"hello"),
    "no spaces": http_request("mark", "f1", "/api?a=b", b"hello").replace(b": ", b":"),
    "spaces": http_request("mark", "f1", "/api?a=b", b"hello").replace(b": ", b": \t "),
    "case": http_request("mark", "f1", "/api?a=b", b"hello").replace(b"Req-Id", b"rEQ-iD"),
    "an empty line before": b"\r\n" + http_request("mark", "f1", "/api?a=b", b"hello"),
    "an empty line behind": http_request("mark", "f1", "/api?a=b", b"hello") + b"\r\n",
    "chunks": CHUNKED.replace(b"Req-Id: a1", b"Req-Id: f1").replace(b"/api", b"/api?a=b")
    + b"003;x=y\r\nhel\r\n2;z\r\nlo\r\n0;end\r\nTrailer: t\r\n\r\n",
}


@pytest.mark.parametrize("kind", FORMS)
@pytest.mark.parametrize("cut", [1, 2, 7])
async def test_valid_requests_are_forwarded_in_any_form_and_split(kind: str, cut: int) -> None:
    """Two pipelined requests: each gets its own response, and is forwarded unchanged."""

    second = FORMS[kind].replace(b"f1", b"f2")
    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        client = SocketClient(proxy)
        sent = FORMS[kind] + second
        for at in range(0, len(sent), cut):
            client.send(sent[at : at + cut])
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for number in (1, 2):
            await wait_until(lambda number=number: len(endpoint.received) == number)  # type: ignore[misc]
            proxy.oldest_attempt_connection().data_received(http_response(200, b"%d" % number))
        reader, writer = await client.streams()
        assert [(await read_http_message(reader))[2] for _ in range(2)] == [b"1", b"2"]
        for number, (first, headers, body) in enumerate(endpoint.received):
            assert (first, headers["req-id"], body) == ("POST /api?a=b HTTP/1.1", f"f{number + 1}", b"hello")
        writer.close()


@pytest.mark.parametrize("ahead", [True, False])
async def test_empty_lines_after_a_request_leave_the_connection_idle(ahead: bool) -> None:
    """They get no response, and the idle time of the connection is not extended."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        client = SocketClient(proxy)
        client.send(http_request() + (b"\r\n\r\n" if ahead else b""))
        await wait_until(lambda: len(endpoint.received) == 1)
        proxy.oldest_attempt_connection().data_received(http_response(200, b"x"))
        await wait_until(lambda: bool(proxy.clients.idle_connections))
        [connection] = proxy.clients.idle_connections
        since = connection.last_progress_at_s
        if not ahead:
            for empty in (b"\r\n", b"\r", b"\n\r\n"):
                client.send(empty)
                await run_loop_turns()
        assert connection.is_idle
        assert connection in proxy.clients.idle_connections
        assert connection.last_progress_at_s == since
        assert proxy.clients.buffered_total.size_bytes == 0
        client.send(b"\r\n" + http_request(path="/ready", Connection="close"))
        reader, writer = await client.streams()
        assert [response_status(await read_http_message(reader)) for _ in range(2)] == [200, 200]
        assert await reader.read() == b""
        writer.close()
        await wait_until(lambda: not proxy.clients.open_connections)
