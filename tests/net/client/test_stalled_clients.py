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
from tests.support.http_messages import (
    StreamPair,
    http_request,
    read_http_message,
    response_status,
)
from tests.support.log_lines import info_lines
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint, StandInEndpoint
from tests.support.stepped_clock import FrozenClock, SteppedClock, run_loop_turns, wait_until

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
    """Steps the clock to each sweep of the connections, as late as an event loop may be."""

    def __init__(self, listener: ClientListener, clock: SteppedClock) -> None:
        self._listener, self.clock = listener, clock
        listener.sweep_timer.cancel()

    async def sweep(self) -> None:
        self.clock.advance(client_limits.SWEEP_INTERVAL_S + LATE_S)
        self._listener.sweep()
        self._listener.sweep_timer.cancel()
        await run_loop_turns()


def error_or_close(client: SocketClient) -> bool:
    """Return whether the client has received an error response, an end or a reset."""
    client.socket.setblocking(False)
    try:
        got = client.socket.recv(65_536)
    except BlockingIOError:
        return False
    except ConnectionError:
        return True
    got = got.removeprefix(b"HTTP/1.1 100 \r\n\r\n")
    return not got.startswith((b"HTTP/1.1 1", b"HTTP/1.1 2")) if got else True


async def sweep_until_closed(late: Late, proxy: LoopbackProxy, due_at_s: float, at_shutdown: bool) -> None:
    while proxy.clients.open_connections:
        if at_shutdown:
            proxy.listener.close_idle_connections()
        await late.sweep()
        assert late.clock.advanced_s <= due_at_s


async def serve_first_request(client: SocketClient, clock: SteppedClock) -> StreamPair:
    """Have the client's first request answered, and let the connection be idle for a while."""
    client.send(http_request(request_id="good"))
    reader, writer = await client.streams()
    assert response_status(await read_http_message(reader)) == 200
    clock.advance(5.0)
    await run_loop_turns()
    return reader, writer


@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("when", ["first", "after a good one", "at the end"])
async def test_stalled_client_gets_an_error_or_a_close_in_time(
    endpoint: StandInEndpoint, proxy: LoopbackProxy, stop: str, when: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Wherever it stalls, with each sweep late, and also during the shutdown."""
    clock, client = FrozenClock(), SocketClient(proxy)
    await wait_until(lambda: len(proxy.clients.open_connections) == 1)
    late = Late(proxy.listener, clock)
    opened = await serve_first_request(client, clock) if when == "after a good one" else None
    began = clock.advanced_s - LATE_S  # it was taken in that late
    client.send(STOPS[stop])
    [connection] = proxy.clients.open_connections
    await wait_until(lambda: not connection.is_idle)
    if when == "at the end":
        proxy.clients.is_shutting_down = True
        proxy.listener.stop_listening()
        proxy.listener.close_idle_connections()
    await sweep_until_closed(late, proxy, began + DUE_S, at_shutdown=when == "at the end")
    if opened is None:
        assert error_or_close(client)
    else:
        reader, writer = opened
        with contextlib.suppress(ConnectionError):
            reader.feed_eof()
            assert b"HTTP/1.1 2" not in await reader.read()
        writer.close()
    client.socket.close()
    assert len(endpoint.received) == (when == "after a good one")
    assert not proxy.clients.open_request_ids
    assert proxy.clients.buffered_total.size_bytes == 0
    assert not info_lines(caplog)


def dribble(begin: bytes, more: bytes) -> Iterator[bytes]:
    return itertools.chain([begin], itertools.cycle(more[number : number + 1] for number in range(len(more))))


DRIBBLES: dict[str, Callable[[], Iterator[bytes]]] = {
    "a header": lambda: dribble(COMPLETE[:60], b"x"),
    "headers": lambda: dribble(COMPLETE[:60] + b"\r\n", b"X: y\r\n"),
    "a body": lambda: dribble(http_request("mark", request_id="stalled", Content_Length="60000"), b"x"),
    "chunks": lambda: dribble(CHUNKED, b"1\r\nx\r\n"),
    "empty lines": lambda: dribble(b"\r\n", b"\r\n"),
}


def send_at_each_check(proxy: LoopbackProxy, client: SocketClient, pieces: Iterator[bytes]) -> None:
    """Have the client send its next piece just before each check of its connection's time limits."""
    time_limits = proxy.listener.time_limits
    check = time_limits.check

    def check_after_next_piece(connection: ClientConnection, now_s: float) -> None:
        with contextlib.suppress(ConnectionError):
            client.send(next(pieces))
        check(connection, now_s)

    time_limits.check = check_after_next_piece  # type: ignore[method-assign]


@pytest.mark.parametrize("kind", DRIBBLES)
@pytest.mark.parametrize("first_sweep_s", [number * 0.05 for number in range(8)])
async def test_client_that_sends_a_byte_at_each_check_is_closed_in_time(
    endpoint: StandInEndpoint,
    proxy: LoopbackProxy,
    kind: str,
    first_sweep_s: float,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Each byte is sent between the event loop's last read and the check; each check is late."""
    clock, client = FrozenClock(), SocketClient(proxy)
    await wait_until(lambda: len(proxy.clients.open_connections) == 1)
    late = Late(proxy.listener, clock)
    began = clock.advanced_s - LATE_S
    [connection] = proxy.clients.open_connections
    send_at_each_check(proxy, client, DRIBBLES[kind]())
    clock.advance(first_sweep_s + 0.001)  # no check comes just as a time limit ends
    while proxy.clients.open_connections:
        await late.sweep()
        if connection.has_scheduled_final_check:
            clock.advance(client_limits.FINAL_CHECK_DELAY_S + LATE_S)
            await run_loop_turns()
        assert clock.advanced_s - began <= DUE_S
    assert error_or_close(client)
    client.socket.close()
    assert not endpoint.received
    assert proxy.clients.buffered_total.size_bytes == 0
    assert not info_lines(caplog)


@pytest.mark.parametrize("fresh", [True, False])
async def test_request_that_crosses_the_final_check_is_forwarded(fresh: bool) -> None:
    """The system has received it as the time limit of its connection ends."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        clock, client = FrozenClock(), SocketClient(proxy)
        await wait_until(lambda: len(proxy.clients.open_connections) == 1)
        late = Late(proxy.listener, clock)
        [connection] = proxy.clients.open_connections
        if not fresh:
            client.send(http_request(path="/ready"))
            await wait_until(lambda: connection in proxy.clients.idle_connections)
        clock.advance(
            (client_limits.REQUEST_TIMEOUT_S if fresh else client_limits.KEEP_ALIVE_TIMEOUT_S)
            + client_limits.PARTIAL_REQUEST_GRACE_S
        )
        client.send(http_request(request_id="crossing"))
        proxy.listener.time_limits.check(connection, proxy.listener.loop.time())
        clock.advance(client_limits.FINAL_CHECK_DELAY_S)
        await wait_until(lambda: bool(endpoint.received))
        for _ in range(5):
            await late.sweep()
        assert connection in proxy.clients.open_connections
        assert proxy.clients.open_request_ids == {b"crossing"}
        client.disconnect("RST")
        await wait_until(lambda: not proxy.clients.open_connections)
