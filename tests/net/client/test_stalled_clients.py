"""Clients that stall within a request, or send it byte by byte, get an error or a close within 3 s."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Callable, Iterator

import pytest

from load_balancer.net.client import client_limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.client_listener import ClientListener
from tests.net.client.test_malformed_requests import CHUNKED
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message, response_status
from tests.support.log_lines import info_lines
from tests.support.loopback_proxy import running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint, StandInEndpoint
from tests.support.stepped_clock import SteppedClock, run_loop_turns, wait_until

DUE_S = 3.0  # from its connect, or from the first byte of a later request, to an error or a close
LATE_S = 0.15  # the event loop is late by so much, as it takes a client in and whenever it checks it

COMPLETE = http_request("mark", request_id="stalled", body=b"x" * 2_000)
HEAD = len(COMPLETE) - 2_000
STOPS = {
    "in the first line": COMPLETE[:9],
    "in the head": COMPLETE[:60],
    "before the head's end": COMPLETE[: HEAD - 1],
    "before the body": COMPLETE[:HEAD],
    "in the body": COMPLETE[: HEAD + 1_000],
    "before the last byte": COMPLETE[:-1],
    "before a chunk": CHUNKED,
    "in a chunk's size": CHUNKED + b"1",
    "in a chunk": CHUNKED + b"5\r\nab",
    "between chunks": CHUNKED + b"5\r\nabcde\r\n",
    "before the last chunk": CHUNKED + b"5\r\nabcde\r\n0\r\n",
    "after a 100": http_request("mark", request_id="stalled", Expect="100-continue", Content_Length="9"),
}


class Late:
    """Sweeps the connections by hand, each sweep as late as it may be; the clock is stepped."""

    def __init__(self, listener: ClientListener, clock: SteppedClock) -> None:
        self._listener, self._clock = listener, clock
        listener.sweep_timer.cancel()

    async def sweep(self) -> None:
        self._clock.advance(client_limits.SWEEP_INTERVAL_S + LATE_S)
        self._listener.sweep()
        self._listener.sweep_timer.cancel()
        await run_loop_turns()


def error_or_close(client: SocketClient) -> bool:
    """Has the client got an error, an end or a reset? An interim answer is none."""
    client.socket.setblocking(False)
    try:
        got = client.socket.recv(65_536)
    except BlockingIOError:
        return False
    except ConnectionError:
        return True
    got = got.removeprefix(b"HTTP/1.1 100 \r\n\r\n")
    return not got.startswith((b"HTTP/1.1 1", b"HTTP/1.1 2")) if got else True


@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("when", ["first", "after a good one", "at the end"])
async def test_stalled_client_gets_an_error_or_a_close_in_time(
    stop: str, when: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Wherever it stops, with each sweep late, and also during the shutdown."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        clock, client = SteppedClock(), SocketClient(p)
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        late = Late(p.listener, clock)
        if when == "after a good one":
            client.send(http_request(request_id="good"))
            reader, writer = await client.streams()
            assert response_status(await read_http_message(reader)) == 200
            clock.advance(5.0)  # an idle one may stay for longer
            await run_loop_turns()
        began = clock.advanced_s - LATE_S  # it was taken in that late
        client.send(STOPS[stop])
        [connection] = p.clients.open_connections
        await wait_until(lambda: not connection.is_idle)
        if when == "at the end":
            p.clients.is_shutting_down = True
            p.listener.stop_listening()
            p.listener.close_idle_connections()
        while p.clients.open_connections:
            if when == "at the end":
                p.listener.close_idle_connections()
            await late.sweep()
            assert clock.advanced_s - began <= DUE_S
        if when != "after a good one":
            assert error_or_close(client)
        else:
            with contextlib.suppress(ConnectionError):
                reader.feed_eof()
                assert b"HTTP/1.1 2" not in await reader.read()
            writer.close()
        client.socket.close()
        assert len(b.received) == (when == "after a good one")
        assert not p.clients.open_request_ids
        assert p.clients.buffered.size_bytes == 0
        assert not info_lines(caplog)


def dribble(begin: bytes, more: bytes) -> Iterator[bytes]:
    return itertools.chain([begin], itertools.cycle(more[n : n + 1] for n in range(len(more))))


DRIBBLES: dict[str, Callable[[], Iterator[bytes]]] = {
    "a header": lambda: dribble(COMPLETE[:60], b"x"),
    "headers": lambda: dribble(COMPLETE[:60] + b"\r\n", b"X: y\r\n"),
    "a body": lambda: dribble(http_request("mark", request_id="stalled", Content_Length="60000"), b"x"),
    "chunks": lambda: dribble(CHUNKED, b"1\r\nx\r\n"),
    "empty lines": lambda: dribble(b"\r\n", b"\r\n"),
}


@pytest.mark.parametrize("kind", DRIBBLES)
@pytest.mark.parametrize("first_sweep_s", [n * 0.05 for n in range(8)])
async def test_client_that_sends_a_byte_at_each_check_is_closed_in_time(
    kind: str, first_sweep_s: float, caplog: pytest.LogCaptureFixture
) -> None:
    """Each byte comes between the event loop's last reading and the check, forced; each check is late."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        clock, client = SteppedClock(), SocketClient(p)
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        late = Late(p.listener, clock)
        began = clock.advanced_s - LATE_S
        [connection] = p.clients.open_connections
        check = p.listener.time_limits.check

        def crossed(connection: ClientConnection, now_s: float) -> None:
            with contextlib.suppress(ConnectionError):
                client.send(next(sent))
            check(connection, now_s)

        p.listener.time_limits.check = crossed  # type: ignore[method-assign]
        clock.advance(first_sweep_s)
        sent = DRIBBLES[kind]()
        while p.clients.open_connections:
            await late.sweep()
            if connection.has_final_check:
                clock.advance(client_limits.FINAL_CHECK_DELAY_S + LATE_S)
                await run_loop_turns()
            assert clock.advanced_s - began <= DUE_S
        assert error_or_close(client)
        client.socket.close()
        assert not b.received
        assert p.clients.buffered.size_bytes == 0
        assert not info_lines(caplog)


@pytest.mark.parametrize("fresh", [True, False])
async def test_request_that_crosses_the_final_check_is_forwarded(fresh: bool) -> None:
    """It is with the system as the time of its connection is over."""

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port)) as p:
        clock, client = SteppedClock(), SocketClient(p)
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        late = Late(p.listener, clock)
        [connection] = p.clients.open_connections
        if not fresh:
            client.send(http_request(path="/ready"))
            await wait_until(lambda: connection in p.clients.idle_connections)
        clock.advance(
            (client_limits.REQUEST_TIMEOUT_S if fresh else client_limits.KEEP_ALIVE_TIMEOUT_S)
            + client_limits.PARTIAL_REQUEST_GRACE_S
        )
        client.send(http_request(request_id="crossing"))
        p.listener.time_limits.check(connection, p.listener.loop.time())
        clock.advance(client_limits.FINAL_CHECK_DELAY_S)
        await wait_until(lambda: bool(b.received))
        for _ in range(5):
            await late.sweep()
        assert connection in p.clients.open_connections
        assert p.clients.open_request_ids == {b"crossing"}
        client.disconnect("RST")
        await wait_until(lambda: not p.clients.open_connections)
