"""Malformed requests get an error or a close in time, are not forwarded and are not logged."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterator

import pytest

from load_balancer.net.client import client_limits
from tests.support.client_helpers import Client, attempt_connection, settled, silent_backend, status, streams
from tests.support.loopback import (
    SteppedClock,
    answer,
    backend,
    call,
    entry,
    proxy,
    read_message,
    until,
)

DUE_S = 3.0  # after its connect such a peer has got an error or a close
LATE_S = 0.15  # of this, kept for an event loop that is late

CHUNKED = call("mark", Content_Length="0").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
HELLO = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(range(256)) * 2
BAD = {
    "NUL": b"\x00" * 100,
    "NUL in a header": call(Req_Owner="a\x00b"),
    "NUL in the target": call(path="/a\x00b"),
    "TLS": HELLO,
    "HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x00\x04\x00\x00\x00\x00\x00",
    "HTTP/0.9": b"GET /api\r\n\r\n",
    "HTTP/3.0": call().replace(b"HTTP/1.1", b"HTTP/3.0"),
    "a method of its own": call().replace(b"GET", b"BREW"),
    "a lower-case method": call().replace(b"GET", b"get"),
    "an absolute target": call(path="http://x/api"),
    "a target for all": call(path="*"),
    "a space in the target": call(path="/a b"),
    "a folded id": call(request_id="a\r\n b"),
    "a folded first header": call().replace(b"\r\nHost", b"\r\n Host"),
    "a space before the colon": call().replace(b"Req-Id:", b"Req-Id :"),
    "no colon": call().replace(b"Req-Id:", b"Req-Id"),
    "two hosts": call(host="y"),
    "no host": call().replace(b"Host: x\r\n", b""),
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
    "a length that is none": call("mark", Content_Length="0x5") + b"hello",
    "two lengths on a line": call("mark", Content_Length="5, 6") + b"hello",
}


def lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [r.getMessage() for r in caplog.records if r.levelname != "DEBUG"]


@pytest.mark.parametrize("sent", BAD.values(), ids=BAD.keys())
@pytest.mark.parametrize("cut", [0, 1])
async def test_malformed_request_gets_an_error_and_a_close(
    sent: bytes, cut: int, caplog: pytest.LogCaptureFixture
) -> None:
    """At once, whether it comes in one piece or byte by byte."""

    async with backend(answer(200)) as b, proxy(entry("b", b.port)) as p:
        reader, writer = await p.connect()
        with contextlib.suppress(ConnectionError):
            for piece in [sent] if not cut else [sent[n : n + cut] for n in range(min(len(sent), 400))]:
                writer.write(piece)
                await asyncio.sleep(0)
            writer.write(sent[400 * cut :] if cut else b"")
        got = await read_message(reader)
        assert 400 <= status(got) < 600
        assert got[1]["connection"] == "close"
        assert await reader.read() == b""
        writer.close()
        assert b.seen == []
        assert not lines(caplog)
        assert status(await p.ask(call())) == 200


def dribbled(begin: bytes, more: bytes) -> Iterator[bytes]:
    return itertools.chain((begin[n : n + 1] for n in range(len(begin))), itertools.cycle([more]))


STILL: dict[str, Callable[[], Iterator[bytes]]] = {
    "silent": lambda: itertools.repeat(b""),
    "a byte at a time": lambda: dribbled(b"GET /api HTTP/1.1\r\n", b"x"),
    "lines without an end": lambda: dribbled(b"GET /api HTTP/1.1\r\n", b"X: y\r\n"),
    "empty lines": lambda: itertools.repeat(b"\r\n"),
    "a request that stops": lambda: itertools.chain([call()[:-2]], itertools.repeat(b"")),
    "chunks": lambda: itertools.chain([CHUNKED], itertools.repeat(b"1\r\nx\r\n")),
    "a huge chunk": lambda: itertools.chain([CHUNKED + b"f" * 17 + b"\r\n"], itertools.repeat(b"x")),
    "an extension": lambda: itertools.chain([CHUNKED, b"1;"], itertools.repeat(b"x")),
    "a body that stops": lambda: itertools.chain([call("mark", Content_Length="9")], itertools.repeat(b"")),
    "a body byte by byte": lambda: itertools.chain(
        [call("mark", Content_Length="9999")], itertools.repeat(b"x")
    ),
}


@pytest.mark.parametrize("kind", STILL)
async def test_connection_of_an_endless_request_is_closed_in_time(
    kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    """However it keeps its bytes coming; the clock is stepped, a byte or a line each 0.05 s."""

    async with backend(answer(200)) as b, proxy(entry("b", b.port)) as p:
        clock, client, gave = SteppedClock(), Client(p), STILL[kind]()
        await until(lambda: len(p.clients.open_connections) == 1)
        while p.clients.open_connections and clock.ahead <= DUE_S - LATE_S:
            with contextlib.suppress(ConnectionError):
                client.send(next(gave))
            await settled()
            clock.step(0.05)
            await settled()
        assert not p.clients.open_connections
        assert clock.ahead <= DUE_S - LATE_S
        assert b.seen == []
        assert not p.clients.open_request_ids
        assert p.clients.buffered.size_bytes == 0
        assert not lines(caplog)
        client.socket.close()


@pytest.mark.parametrize("head", [call("mark", Content_Length="60000000"), b"", CHUNKED, call(request_id="")])
async def test_client_that_sends_60_mb_gets_an_error_and_a_close(
    head: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """What it sends is read for a while, so that the error is not lost, and takes no memory."""

    async with backend(answer(200)) as b, proxy(entry("b", b.port)) as p:
        clock = SteppedClock()
        reader, writer = await p.connect()
        sent = head + (b"4000000\r\n" if head is CHUNKED else b"")
        got = asyncio.create_task(read_message(reader))
        with contextlib.suppress(ConnectionError):
            for _ in range(60):
                writer.write(sent + b"x" * 1_000_000)
                sent = b""
                await writer.drain()
                assert p.clients.buffered.size_bytes <= client_limits.MAX_BUFFERED_BYTES_PER_CONNECTION
        assert 400 <= status(await got) < 600
        clock.step(client_limits.LINGER_TIMEOUT_S + client_limits.SWEEP_INTERVAL_S)
        await until(lambda: not p.clients.open_connections)
        writer.transport.abort()
        assert b.seen == []
        assert not lines(caplog)


FORMS = {
    "usual": call("mark", "f1", "/api?a=b", b"hello"),
    "no spaces": call("mark", "f1", "/api?a=b", b"hello").replace(b": ", b":"),
    "spaces": call("mark", "f1", "/api?a=b", b"hello").replace(b": ", b": \t "),
    "case": call("mark", "f1", "/api?a=b", b"hello").replace(b"Req-Id", b"rEQ-iD"),
    "an empty line before": b"\r\n" + call("mark", "f1", "/api?a=b", b"hello"),
    "an empty line behind": call("mark", "f1", "/api?a=b", b"hello") + b"\r\n",
    "chunks": CHUNKED.replace(b"Req-Id: a1", b"Req-Id: f1").replace(b"/api", b"/api?a=b")
    + b"003;x=y\r\nhel\r\n2;z\r\nlo\r\n0;end\r\nTrailer: t\r\n\r\n",
}


@pytest.mark.parametrize("kind", FORMS)
@pytest.mark.parametrize("cut", [1, 2, 7])
async def test_valid_requests_are_forwarded_in_any_form_and_split(kind: str, cut: int) -> None:
    """Two of them, one right behind the other: each gets its own answer, and is sent on as it was."""

    second = FORMS[kind].replace(b"f1", b"f2")
    async with silent_backend() as b, proxy(entry("b", b.port)) as p:
        client = Client(p)
        sent = FORMS[kind] + second
        for at in range(0, len(sent), cut):
            client.send(sent[at : at + cut])
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for n in (1, 2):
            await until(lambda n=n: len(b.seen) == n)  # type: ignore[misc]
            attempt_connection(p).data_received(answer(200, b"%d" % n))
        reader, writer = await streams(client)
        assert [(await read_message(reader))[2] for _ in range(2)] == [b"1", b"2"]
        for n, (first, headers, body) in enumerate(b.seen):
            assert (first, headers["req-id"], body) == ("POST /api?a=b HTTP/1.1", f"f{n + 1}", b"hello")
        writer.close()


@pytest.mark.parametrize("ahead", [True, False])
async def test_empty_lines_after_a_request_leave_the_connection_idle(ahead: bool) -> None:
    """They bring no answer, and the connection rests as if they had not come."""

    async with silent_backend() as b, proxy(entry("b", b.port)) as p:
        client = Client(p)
        client.send(call() + (b"\r\n\r\n" if ahead else b""))
        await until(lambda: len(b.seen) == 1)
        attempt_connection(p).data_received(answer(200, b"x"))
        await until(lambda: bool(p.clients.idle_connections))
        [connection] = p.clients.idle_connections
        since = connection._last_progress_at_s
        if not ahead:
            for empty in (b"\r\n", b"\r", b"\n\r\n"):
                client.send(empty)
                await settled()
        assert connection.is_idle
        assert connection in p.clients.idle_connections
        assert connection._last_progress_at_s == since
        assert p.clients.buffered.size_bytes == 0
        client.send(b"\r\n" + call(path="/ready", Connection="close"))
        reader, writer = await streams(client)
        assert [status(await read_message(reader)) for _ in range(2)] == [200, 200]
        assert await reader.read() == b""
        writer.close()
        await until(lambda: not p.clients.open_connections)
