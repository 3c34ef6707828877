"""Clients that stall within a request, or send it byte by byte, get an error or a close within 3 s."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Callable, Iterator

import pytest

from load_balancer.net.client import client_limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.client_listener import ClientListener
from tests.net.client.test_malformed_requests import CHUNKED_HEAD
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

CLOSE_DEADLINE_S = 3.0  # from the connect, or from the first byte of a later request, to an error or a close
MAX_LOOP_DELAY_S = 0.15  # event loop lag when a client is accepted and at each check of it

COMPLETE_REQUEST = http_request("mark", request_id="stalled", body=b"x" * 2_000)
HEAD_SIZE = len(COMPLETE_REQUEST) - 2_000
PARTIAL_REQUESTS = {
    "in the request line": COMPLETE_REQUEST[:9],
    "in the head": COMPLETE_REQUEST[:60],
    "before the end of the head": COMPLETE_REQUEST[: HEAD_SIZE - 1],
    "before the body": COMPLETE_REQUEST[:HEAD_SIZE],
    "in the body": COMPLETE_REQUEST[: HEAD_SIZE + 1_000],
    "before the last byte": COMPLETE_REQUEST[:-1],
    "before a chunk": CHUNKED_HEAD,
    "in a chunk size": CHUNKED_HEAD + b"1",
    "in a chunk": CHUNKED_HEAD + b"5\r\nab",
    "between chunks": CHUNKED_HEAD + b"5\r\nabcde\r\n",
    "before the last chunk": CHUNKED_HEAD + b"5\r\nabcde\r\n0\r\n",
    "after a 100 response": http_request(
        "mark", request_id="stalled", Expect="100-continue", Content_Length="9"
    ),
}


class LateSweeps:
    """Sweeps of the client connections on a stepped clock, each late by the maximum event loop lag."""

    def __init__(self, listener: ClientListener, clock: SteppedClock) -> None:
        self._listener, self.clock = listener, clock
        listener.sweep_timer.cancel()

    async def sweep(self) -> None:
        self.clock.advance(client_limits.SWEEP_INTERVAL_S + MAX_LOOP_DELAY_S)
        self._listener.sweep()
        self._listener.sweep_timer.cancel()
        await run_loop_turns()


def error_or_close(client: SocketClient) -> bool:
    """Return whether the client has received an error response, an end of stream or a reset."""
    client.socket.setblocking(False)
    try:
        received = client.socket.recv(65_536)
    except BlockingIOError:
        return False
    except ConnectionError:
        return True
    received = received.removeprefix(b"HTTP/1.1 100 \r\n\r\n")
    return not received.startswith((b"HTTP/1.1 1", b"HTTP/1.1 2")) if received else True


async def sweep_until_closed(
    sweeps: LateSweeps, proxy: LoopbackProxy, deadline_s: float, at_shutdown: bool
) -> None:
    while proxy.clients.open_connections:
        if at_shutdown:
            proxy.listener.close_idle_connections()
        await sweeps.sweep()
        assert sweeps.clock.advanced_s <= deadline_s


async def serve_first_request(client: SocketClient, clock: SteppedClock) -> StreamPair:
    """Serve the first request of the client, and leave the connection idle for 5 s."""
    client.send(http_request(request_id="good"))
    reader, writer = await client.streams()
    assert response_status(await read_http_message(reader)) == 200
    clock.advance(5.0)
    await run_loop_turns()
    return reader, writer


@pytest.mark.parametrize("stop_position", PARTIAL_REQUESTS)
@pytest.mark.parametrize("phase", ["first request", "later request", "shutdown"])
async def test_stalled_client_gets_an_error_or_a_close_in_time(
    endpoint: StandInEndpoint,
    proxy: LoopbackProxy,
    stop_position: str,
    phase: str,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """This holds wherever it stalls, with each sweep late, and also during the shutdown."""
    clock, client = FrozenClock(), SocketClient(proxy)
    await wait_until(lambda: len(proxy.clients.open_connections) == 1)
    sweeps = LateSweeps(proxy.listener, clock)
    streams = await serve_first_request(client, clock) if phase == "later request" else None
    started_at_s = clock.advanced_s - MAX_LOOP_DELAY_S  # the accept, or the first read, is this late
    client.send(PARTIAL_REQUESTS[stop_position])
    [connection] = proxy.clients.open_connections
    await wait_until(lambda: not connection.is_idle)
    if phase == "shutdown":
        proxy.clients.is_shutting_down = True
        proxy.listener.stop_listening()
        proxy.listener.close_idle_connections()
    await sweep_until_closed(sweeps, proxy, started_at_s + CLOSE_DEADLINE_S, at_shutdown=phase == "shutdown")
    if streams is None:
        assert error_or_close(client)
    else:
        reader, writer = streams
        with contextlib.suppress(ConnectionError):
            reader.feed_eof()
            assert b"HTTP/1.1 2" not in await reader.read()
        writer.close()
    client.socket.close()
    assert len(endpoint.received) == (phase == "later request")
    assert not proxy.clients.open_request_ids
    assert proxy.clients.buffered_total.size_bytes == 0
    assert not info_lines(caplog)


def repeat_after(first_bytes: bytes, repeated_bytes: bytes) -> Iterator[bytes]:
    return itertools.chain(
        [first_bytes],
        itertools.cycle(repeated_bytes[number : number + 1] for number in range(len(repeated_bytes))),
    )


SLOW_REQUESTS: dict[str, Callable[[], Iterator[bytes]]] = {
    "a header": lambda: repeat_after(COMPLETE_REQUEST[:60], b"x"),
    "headers": lambda: repeat_after(COMPLETE_REQUEST[:60] + b"\r\n", b"X: y\r\n"),
    "a body": lambda: repeat_after(http_request("mark", request_id="stalled", Content_Length="60000"), b"x"),
    "chunks": lambda: repeat_after(CHUNKED_HEAD, b"1\r\nx\r\n"),
    "empty lines": lambda: repeat_after(b"\r\n", b"\r\n"),
}


def send_at_each_check(proxy: LoopbackProxy, client: SocketClient, pieces: Iterator[bytes]) -> None:
    """Send the next piece just before each check of the time limits of the client's connection."""
    time_limits = proxy.listener.time_limits
    check = time_limits.check

    def check_after_next_piece(connection: ClientConnection, now_s: float) -> None:
        with contextlib.suppress(ConnectionError):
            client.send(next(pieces))
        check(connection, now_s)

    time_limits.check = check_after_next_piece  # type: ignore[method-assign]


@pytest.mark.parametrize("kind", SLOW_REQUESTS)
@pytest.mark.parametrize("first_sweep_s", [number * 0.05 for number in range(8)])
async def test_client_that_sends_a_byte_at_each_check_is_closed_in_time(
    endpoint: StandInEndpoint,
    proxy: LoopbackProxy,
    kind: str,
    first_sweep_s: float,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Each byte is sent between the last read of the event loop and the check, and each check is late."""
    clock, client = FrozenClock(), SocketClient(proxy)
    await wait_until(lambda: len(proxy.clients.open_connections) == 1)
    sweeps = LateSweeps(proxy.listener, clock)
    started_at_s = clock.advanced_s - MAX_LOOP_DELAY_S
    [connection] = proxy.clients.open_connections
    send_at_each_check(proxy, client, SLOW_REQUESTS[kind]())
    clock.advance(first_sweep_s + 0.001)  # no check coincides with the expiry of a time limit
    while proxy.clients.open_connections:
        await sweeps.sweep()
        if connection.has_scheduled_final_check:
            clock.advance(client_limits.FINAL_CHECK_DELAY_S + MAX_LOOP_DELAY_S)
            await run_loop_turns()
        assert clock.advanced_s - started_at_s <= CLOSE_DEADLINE_S
    assert error_or_close(client)
    client.socket.close()
    assert not endpoint.received
    assert proxy.clients.buffered_total.size_bytes == 0
    assert not info_lines(caplog)


@pytest.mark.parametrize("is_first_request", [True, False])
async def test_request_that_crosses_the_final_check_is_forwarded(is_first_request: bool) -> None:
    """Its bytes are unread in the socket when the time limit has expired and the final check is scheduled."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        clock, client = FrozenClock(), SocketClient(proxy)
        await wait_until(lambda: len(proxy.clients.open_connections) == 1)
        sweeps = LateSweeps(proxy.listener, clock)
        [connection] = proxy.clients.open_connections
        if not is_first_request:
            client.send(http_request(path="/ready"))
            await wait_until(lambda: connection in proxy.clients.idle_connections)
        clock.advance(
            (client_limits.REQUEST_TIMEOUT_S if is_first_request else client_limits.KEEP_ALIVE_TIMEOUT_S)
            + client_limits.PARTIAL_REQUEST_GRACE_S
        )
        client.send(http_request(request_id="crossing"))
        proxy.listener.time_limits.check(connection, proxy.listener.loop.time())
        clock.advance(client_limits.FINAL_CHECK_DELAY_S)
        await wait_until(lambda: bool(endpoint.received))
        for _ in range(5):
            await sweeps.sweep()
        assert connection in proxy.clients.open_connections
        assert proxy.clients.open_request_ids == {b"crossing"}
        client.disconnect("RST")
        await wait_until(lambda: not proxy.clients.open_connections)
