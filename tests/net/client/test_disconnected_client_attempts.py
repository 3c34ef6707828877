"""No attempt begins after the client has disconnected, whatever state its request is in."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from load_balancer import messages
from load_balancer.net import socket_state
from load_balancer.net.client import client_connection, client_limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.upstream import idle_connections
from tests.support.balancer_harness import balancer_settings
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint, StandInServer
from tests.support.stepped_clock import FrozenClock, SteppedClock, run_loop_turns, wait_until

DISCONNECT_KINDS = ["FIN", "half", "RST"]
DECLINED_RESPONSE = http_response(503, Srv_Declined="1")


def settings_with_cancel(cancel: bool) -> messages.Settings:
    return balancer_settings(limits=messages.Limits(max_attempts=3, cancel=cancel))


def has_no_request_state(proxy: LoopbackProxy) -> bool:
    balancer = proxy.driver.balancer
    return proxy.driver.is_idle and not (
        balancer.open_requests.by_id
        or balancer.dispatcher.in_flight
        or balancer.queue
        or proxy.clients.open_request_ids
    )


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
@pytest.mark.parametrize("cancel", [True, False])
async def test_retry_is_not_sent_after_client_disconnects(disconnect_kind: str, cancel: bool) -> None:
    """The attempt fails in the turn of the disconnect, and the event loop reads the failure first."""

    async with (
        SilentEndpoint() as first_endpoint,
        SilentEndpoint() as second_endpoint,
        running_proxy(
            endpoint_entry("a", first_endpoint.port),
            endpoint_entry("b", second_endpoint.port),
            settings=settings_with_cancel(cancel),
        ) as proxy,
    ):
        client = SocketClient(proxy)
        client.send(http_request())
        await wait_until(lambda: len(first_endpoint.received) + len(second_endpoint.received) == 1)
        FrozenClock()  # otherwise a busy machine may use up the time for received bytes in this turn
        failing_connection = proxy.oldest_attempt_connection()
        client.disconnect(disconnect_kind)
        failing_connection.data_received(DECLINED_RESPONSE)
        assert not proxy.driver.requests.attempts.in_flight
        assert proxy.driver.is_idle
        await wait_until(lambda: not proxy.clients.open_connections)
        await run_loop_turns()
        assert len(first_endpoint.received) + len(second_endpoint.received) == 1
        assert first_endpoint.connection_count + second_endpoint.connection_count == 1
        assert has_no_request_state(proxy)


@pytest.mark.parametrize("cancel", [True, False])
async def test_retry_is_sent_while_client_stays_connected(cancel: bool) -> None:
    async with (
        SilentEndpoint() as first_endpoint,
        SilentEndpoint() as second_endpoint,
        running_proxy(
            endpoint_entry("a", first_endpoint.port),
            endpoint_entry("b", second_endpoint.port),
            settings=settings_with_cancel(cancel),
        ) as proxy,
    ):
        client = SocketClient(proxy)
        client.send(http_request())
        await wait_until(lambda: len(first_endpoint.received) + len(second_endpoint.received) == 1)
        proxy.oldest_attempt_connection().data_received(DECLINED_RESPONSE)
        await wait_until(lambda: len(first_endpoint.received) + len(second_endpoint.received) == 2)
        client.socket.close()


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
@pytest.mark.parametrize("cancel", [True, False])
async def test_queued_request_is_not_forwarded_after_client_disconnects(
    disconnect_kind: str, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The endpoint has capacity again in the turn in which the client of a queued request disconnects."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)  # the idle connection is reused at once

    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), settings=settings_with_cancel(cancel)) as proxy,
    ):
        FrozenClock()  # otherwise a busy machine may use up the time for received bytes in this turn
        clients: list[SocketClient] = []
        while not proxy.driver.balancer.queue:
            clients.append(SocketClient(proxy))
            clients[-1].send(http_request(request_id=f"r{len(clients)}"))
            await wait_until(lambda: len(proxy.driver.balancer.open_requests.by_id) == len(clients))
        sent = len(clients) - 1
        await wait_until(lambda: len(endpoint.received) == sent)
        clients[-1].disconnect(disconnect_kind)
        proxy.oldest_attempt_connection().data_received(http_response(200, b"x"))
        assert not proxy.driver.balancer.queue  # the request left the queue
        await wait_until(lambda: len(proxy.clients.open_connections) == sent)
        await run_loop_turns()
        assert len(endpoint.received) == sent == len(proxy.driver.balancer.dispatcher.in_flight) + 1
        for client in clients[:-1]:
            client.disconnect("FIN")
        await wait_until(lambda: not proxy.clients.open_connections)
        if cancel:
            assert has_no_request_state(proxy)


DISCONNECT_DETECTION_LIMIT_S = 0.1  # no attempt may begin later than this after the disconnect
REQUEST_STATES = ["queued", "connecting", "sent"]


async def send_until_forwarded(proxy: LoopbackProxy, client: SocketClient, paused: bool) -> ClientConnection:
    """Send a request, with enough bytes behind it to pause reading if `paused`; wait until it is open."""
    earlier_connections = set(proxy.clients.open_connections)
    client.socket.setblocking(False)
    sent = http_request(request_id="r0") + (
        http_request("mark", request_id="behind", body=b"x" * 60_000) if paused else b""
    )
    await asyncio.get_running_loop().sock_sendall(client.socket, sent)
    await wait_until(lambda: len(proxy.clients.open_connections - earlier_connections) == 1)
    [connection] = proxy.clients.open_connections - earlier_connections
    await wait_until(
        lambda: connection.forwarded_request_id is not None
        and connection.transport.is_reading() is not paused
    )
    return connection


async def fill_endpoint(proxy: LoopbackProxy) -> list[SocketClient]:
    """Send requests from several clients until a further one would wait in the admission queue."""
    clients: list[SocketClient] = []
    while not proxy.driver.balancer.queue:
        clients.append(SocketClient(proxy))
        clients[-1].send(http_request(request_id=f"c{len(clients)}"))
        await wait_until(lambda: len(proxy.driver.balancer.open_requests.by_id) == len(clients))
    clients.pop().disconnect("FIN")
    await wait_until(lambda: not proxy.driver.balancer.queue)
    return clients


async def wait_for_request_state(
    request_state: str, proxy: LoopbackProxy, endpoint: StandInServer, gate: ConnectGates
) -> None:
    if request_state == "connecting":
        await wait_until(lambda: gate.started_count == 1)
    elif request_state == "sent":
        await wait_until(lambda: len(endpoint.received) == 1)
    else:
        assert proxy.driver.balancer.queue


async def end_all_attempts(proxy: LoopbackProxy, failing_request_id: str) -> None:
    """End the attempt of one request with a failure that may be retried, and all others with a response."""
    for (request, _), attempt in list(proxy.driver.requests.attempts.in_flight.items()):
        assert attempt.connection is not None
        attempt.connection.data_received(
            DECLINED_RESPONSE if request == failing_request_id else http_response(200, b"x")
        )
    await run_loop_turns()


@dataclass
class WaitingRequest:
    """A request that waits in a given state, with its client and the proxy around it."""

    proxy: LoopbackProxy
    endpoint: SilentEndpoint
    gate: ConnectGates
    clock: SteppedClock
    client: SocketClient
    connection: ClientConnection
    other_clients: list[SocketClient]  # their requests use up the capacity of the endpoint

    @property
    def forwarded_ids(self) -> list[str]:
        """Ids of the client's requests that the endpoint received."""
        return [request_id for request_id in self.endpoint.request_ids if not request_id.startswith("c")]


@asynccontextmanager
async def waiting_request(request_state: str, cancel: bool, paused: bool) -> AsyncIterator[WaitingRequest]:
    """Hold a request in the given state, with the sweep of the time limits stopped."""
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), settings=settings_with_cancel(cancel)) as proxy,
    ):
        proxy.listener.sweep_timer.cancel()
        gate, clock = ConnectGates(proxy.pool), FrozenClock()
        if request_state != "connecting":
            gate.open_all()
        other_clients = await fill_endpoint(proxy) if request_state == "queued" else []
        client = SocketClient(proxy)
        connection = await send_until_forwarded(proxy, client, paused)
        await wait_for_request_state(request_state, proxy, endpoint, gate)
        yield WaitingRequest(proxy, endpoint, gate, clock, client, connection, other_clients)
        for other in other_clients:
            other.disconnect("FIN")
        await wait_until(lambda: not proxy.clients.open_connections)


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
@pytest.mark.parametrize("request_state", REQUEST_STATES)
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("paused", [True, False])
async def test_client_disconnect_is_detected_before_another_attempt_can_begin(
    disconnect_kind: str, request_state: str, cancel: bool, paused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disconnect is detected at once or, while reading is paused, within half of the limit.

    The other half is left for event loop lag.
    """
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)
    async with waiting_request(request_state, cancel, paused) as waiting:
        proxy, connection = waiting.proxy, waiting.connection
        request_id = connection.forwarded_request_id
        assert request_id is not None
        waiting.client.disconnect(disconnect_kind)
        await run_loop_turns()
        if paused:  # the event loop cannot detect the disconnect
            assert connection in proxy.clients.open_connections
            waiting.clock.advance(DISCONNECT_DETECTION_LIMIT_S / 2)
            await run_loop_turns()
        assert connection not in proxy.clients.open_connections
        assert request_id not in proxy.driver.requests
        waiting.gate.open_all()
        await end_all_attempts(proxy, failing_request_id=request_id)
        assert waiting.forwarded_ids == (["r0"] if request_state == "sent" else [])
        assert not proxy.clients.disconnect_poller.connections


async def pass_half_a_second(clock: SteppedClock) -> None:
    for _ in range(10):
        clock.advance(0.05)
        await run_loop_turns()


@pytest.fixture
def polled_transports(monkeypatch: pytest.MonkeyPatch) -> list[asyncio.BaseTransport]:
    """Collect the transports whose sockets are polled for a disconnect."""
    polled: list[asyncio.BaseTransport] = []
    is_closed_by_remote = socket_state.is_closed_by_remote

    def collect(transport: asyncio.BaseTransport) -> bool:
        polled.append(transport)
        return is_closed_by_remote(transport)

    monkeypatch.setattr(client_connection, "is_closed_by_remote", collect)
    return polled


async def test_only_paused_connections_are_polled_for_a_disconnect(
    polled_transports: list[asyncio.BaseTransport], monkeypatch: pytest.MonkeyPatch
) -> None:
    """An idle connection is not polled, and neither is one that is read while a request is open."""
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)
    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        clock, idle, busy = FrozenClock(), SocketClient(proxy), SocketClient(proxy)
        busy.send(http_request(request_id="busy"))
        await wait_until(lambda: len(endpoint.received) == 1 and len(proxy.clients.open_connections) == 2)
        polled_transports.clear()
        await pass_half_a_second(clock)
        assert not polled_transports
        assert not proxy.clients.disconnect_poller.is_scheduled
        client = SocketClient(proxy)
        connection = await send_until_forwarded(proxy, client, True)
        await pass_half_a_second(clock)
        assert len(polled_transports) >= 10
        assert set(polled_transports) == {connection.transport}
        proxy.driver.end_all_requests()
        await wait_until(lambda: not proxy.clients.disconnect_poller.connections)
        for socket_client in (idle, busy, client):
            socket_client.disconnect("RST")
        await wait_until(lambda: not proxy.clients.open_connections)
        clock.advance(0.05)
        await run_loop_turns()
        assert not proxy.clients.disconnect_poller.is_scheduled


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
@pytest.mark.parametrize("paused", [True, False])
async def test_request_behind_an_unread_response_is_not_forwarded_after_client_disconnects(
    disconnect_kind: str, paused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    if paused:
        monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        proxy.limit_send_buffers()
        client = SocketClient(proxy, 4096)
        connection = await send_until_forwarded(proxy, client, paused)
        await wait_until(lambda: len(endpoint.received) == 1)
        if not paused:
            client.send(http_request(request_id="behind"))
            await wait_until(lambda: connection.http.received.size_bytes > 0)
        proxy.oldest_attempt_connection().data_received(http_response(200, b"x" * 65_536))
        await wait_until(lambda: connection.is_writing)  # at once, unless no time for received bytes is left
        assert connection.http.has_unparsed_bytes
        client.disconnect(disconnect_kind)
        await run_loop_turns()
        # A half-closed client can still read: it gets the response, and nothing else is sent.
        if disconnect_kind == "half":
            client.socket.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client.socket)
            assert len((await read_http_message(reader))[2]) == 65_536
            writer.close()
        await wait_until(lambda: connection not in proxy.clients.open_connections)
        await run_loop_turns()
        assert len(endpoint.received) == 1
        assert has_no_request_state(proxy)
