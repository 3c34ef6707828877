"""Requests whose client has disconnected are not forwarded, wherever they wait."""

from __future__ import annotations

import asyncio
import socket

import pytest

from load_balancer import messages
from load_balancer.net.client import client_limits
from load_balancer.net.upstream import idle_connections
from tests.net.client.delayed_endpoint import DelayedEndpoint
from tests.support.balancer_harness import balancer_settings
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message, response_status
from tests.support.loopback_proxy import running_proxy
from tests.support.socket_client import connect_paused_client
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import FrozenClock, run_loop_turns, wait_until


async def test_attempt_is_cancelled_when_its_client_disconnects() -> None:
    is_cancelled = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        client.close()
        assert await reader.read() == b""  # the proxy closes the connection of the attempt
        is_cancelled.set()

    async with (
        StandInServer(handle) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        _, client = await proxy.connect()
        client.write(http_request())
        await is_cancelled.wait()
        assert proxy.driver.is_idle


@pytest.mark.parametrize("class_name", ["read", "pay"])
@pytest.mark.parametrize("cancel", [True, False])
async def test_attempt_awaiting_its_connection_is_not_sent_after_client_disconnects(
    class_name: str, cancel: bool
) -> None:
    """This holds with cancellation disabled too, because the attempt has not been sent."""

    limits = messages.Limits(max_attempts=3, cancel=cancel)
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(
            endpoint_entry("s-1", endpoint.port), settings=balancer_settings(limits=limits)
        ) as proxy,
    ):
        gate = ConnectGates(proxy.pool)
        _, writer = await proxy.connect()
        writer.write(http_request(class_name))
        await wait_until(lambda: gate.started_count == 1)
        writer.close()
        await wait_until(lambda: proxy.driver.is_idle)
        gate.open_all()
        await wait_until(lambda: not proxy.driver.requests.attempts.in_flight)
        assert endpoint.received == []
        assert endpoint.connection_count == 0
        assert not proxy.driver.balancer.dispatcher.in_flight
        assert not proxy.driver.balancer.open_requests.by_id


async def test_pipelined_request_behind_a_response_is_not_forwarded_after_client_disconnects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next request is parsed after the response is written, and by then the client has disconnected."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with (
        StandInEndpoint(http_response(200, b"x" * 65_536)) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        proxy.limit_send_buffers()
        _, writer = await connect_paused_client(proxy)
        writer.write(http_request(request_id="r1") + http_request(request_id="r2"))
        await wait_until(lambda: bool(proxy.clients.open_connections))
        [connection] = proxy.clients.open_connections
        await wait_until(lambda: connection.transport.get_write_buffer_size() > 0)
        writer.write_eof()
        await wait_until(connection.transport.is_closing)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        await wait_until(lambda: connection not in proxy.clients.open_connections)
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(endpoint.received) == 1
        assert proxy.driver.is_idle


def pipelined_requests(count: int) -> bytes:
    """Return requests that take more than one read, so that a pause leaves some of them unread.

    The rest and the end of the stream fit into the receive buffer of the socket, so that the end of the
    stream can be detected.
    """
    body = b"x" * 12_000
    return b"".join(http_request("mark", request_id=f"r{number}", body=body) for number in range(count))


@pytest.mark.parametrize("paused", [False, True])
@pytest.mark.parametrize("cancel", [True, False])
async def test_pipelined_request_behind_an_open_request_is_not_forwarded_after_client_disconnects(
    paused: bool, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If reading is paused, the end of the stream lies behind bytes that the proxy has not read."""
    if paused:
        monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)
    clock, delayed = FrozenClock(), DelayedEndpoint()
    settings = balancer_settings(limits=messages.Limits(max_attempts=3, cancel=cancel))
    async with (
        StandInServer(delayed.handle) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), settings=settings) as proxy,
    ):
        _, writer = await proxy.connect()
        writer.write(pipelined_requests(6))
        await wait_until(lambda: bool(delayed.request_ids))
        [connection] = proxy.clients.open_connections
        await wait_until(lambda: connection.transport.is_reading() is not paused)
        writer.close()
        await run_loop_turns(100)
        while not proxy.driver.is_idle:
            clock.advance(client_limits.DISCONNECT_POLL_INTERVAL_S)
            await run_loop_turns()
        assert clock.advanced_s < 1.0  # the request was not ended by its deadline
        delayed.may_respond.set()
        attempts = proxy.driver.requests.attempts
        await wait_until(lambda: not attempts.in_flight and not proxy.clients.open_connections)
        assert delayed.request_ids == ["r0"]
        assert proxy.clients.buffered_total.size_bytes == 0


async def test_request_read_after_its_client_disconnected_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its bytes wait in the socket while the event loop is busy.

    An idle connection is available, on which an attempt would be written at once.
    """
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        assert response_status(await proxy.send_request(http_request(request_id="r1"))) == 200
        with socket.create_connection(("127.0.0.1", proxy.port)) as client:
            client.sendall(http_request(request_id="r2"))
        await wait_until(lambda: bool(proxy.clients.open_connections))
        await wait_until(lambda: not proxy.clients.open_connections)
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(endpoint.received) == 1
        assert proxy.driver.is_idle
