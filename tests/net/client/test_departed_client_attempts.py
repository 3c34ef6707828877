"""After a client has disconnected no attempt begins for it, wherever its request waits."""

from __future__ import annotations

import asyncio

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
from tests.support.stand_in_server import SilentEndpoint
from tests.support.stepped_clock import SteppedClock, run_loop_turns, wait_until

WAYS = ["FIN", "half", "RST"]
FAILURE = http_response(503, Srv_Declined="1")


def limits(cancel: bool) -> messages.Settings:
    return balancer_settings(limits=messages.Limits(max_attempts=3, cancel=cancel))


def nothing_left(p: LoopbackProxy) -> bool:
    balancer = p.driver.balancer
    return p.driver.is_idle and not (
        balancer.open_requests.by_id
        or balancer.dispatcher.in_flight
        or balancer.queue
        or p.clients.open_request_ids
    )


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("cancel", [True, False])
async def test_retry_is_not_sent_after_client_disconnects(way: str, cancel: bool) -> None:
    """The attempt fails in the very turn in which its client leaves, and is read first."""

    async with (
        SilentEndpoint() as a,
        SilentEndpoint() as b,
        running_proxy(endpoint_entry("a", a.port), endpoint_entry("b", b.port), settings=limits(cancel)) as p,
    ):
        client = SocketClient(p)
        client.send(http_request())
        await wait_until(lambda: len(a.received) + len(b.received) == 1)
        failing = p.oldest_attempt_connection()
        client.disconnect(way)
        failing.data_received(FAILURE)
        assert not p.driver.requests.attempts.in_flight
        assert p.driver.is_idle
        await wait_until(lambda: not p.clients.open_connections)
        await run_loop_turns()
        assert len(a.received) + len(b.received) == 1
        assert a.connection_count + b.connection_count == 1
        assert nothing_left(p)


@pytest.mark.parametrize("cancel", [True, False])
async def test_retry_is_sent_while_client_stays_connected(cancel: bool) -> None:
    async with (
        SilentEndpoint() as a,
        SilentEndpoint() as b,
        running_proxy(endpoint_entry("a", a.port), endpoint_entry("b", b.port), settings=limits(cancel)) as p,
    ):
        client = SocketClient(p)
        client.send(http_request())
        await wait_until(lambda: len(a.received) + len(b.received) == 1)
        p.oldest_attempt_connection().data_received(FAILURE)
        await wait_until(lambda: len(a.received) + len(b.received) == 2)
        client.socket.close()


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("cancel", [True, False])
async def test_queued_request_is_not_forwarded_after_client_disconnects(
    way: str, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A backend comes free in the very turn in which the client of a held request leaves."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)  # the connection that comes free is taken at once

    async with (
        SilentEndpoint() as b,
        running_proxy(endpoint_entry("b", b.port), settings=limits(cancel)) as p,
    ):
        clients: list[SocketClient] = []
        while not p.driver.balancer.queue:
            clients.append(SocketClient(p))
            clients[-1].send(http_request(request_id=f"r{len(clients)}"))
            await wait_until(lambda: len(p.driver.balancer.open_requests.by_id) == len(clients))
        sent = len(clients) - 1
        await wait_until(lambda: len(b.received) == sent)
        clients[-1].disconnect(way)
        p.oldest_attempt_connection().data_received(http_response(200, b"x"))
        assert not p.driver.balancer.queue  # its turn came
        await wait_until(lambda: len(p.clients.open_connections) == sent)
        await run_loop_turns()
        assert len(b.received) == sent == len(p.driver.balancer.dispatcher.in_flight) + 1
        for client in clients[:-1]:
            client.disconnect("FIN")
        await wait_until(lambda: not p.clients.open_connections)
        if cancel:
            assert nothing_left(p)


LATEST_S = 0.1  # from a client's end to the last attempt that may begin for it
WHERE = ["held", "connecting", "out"]


async def begin(p: LoopbackProxy, client: SocketClient, paused: bool) -> ClientConnection:
    """The client's request, and where it pauses so much behind it that the proxy ceases to read."""
    before = set(p.clients.open_connections)
    client.socket.setblocking(False)
    sent = http_request(request_id="r0") + (
        http_request("mark", request_id="behind", body=b"x" * 60_000) if paused else b""
    )
    await asyncio.get_running_loop().sock_sendall(client.socket, sent)
    await wait_until(lambda: len(p.clients.open_connections - before) == 1)
    [connection] = p.clients.open_connections - before
    await wait_until(
        lambda: connection.forwarded_request_id is not None
        and connection.transport.is_reading() is not paused
    )
    return connection


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("where", WHERE)
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("paused", [True, False])
async def test_client_disconnect_is_noticed_before_another_attempt_can_begin(
    way: str, where: str, cancel: bool, paused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At once, or where it is not read with half of the time kept for an event loop that is late.

    The sweep, which is slower, is stopped.
    """
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)

    async with (
        SilentEndpoint() as b,
        running_proxy(endpoint_entry("b", b.port), settings=limits(cancel)) as p,
    ):
        p.listener.sweep_timer.cancel()
        gate, clock = ConnectGates(p.pool), SteppedClock()
        crowd: list[SocketClient] = []
        if where != "connecting":
            gate.open_all()
        if where == "held":
            while not p.driver.balancer.queue:
                crowd.append(SocketClient(p))
                crowd[-1].send(http_request(request_id=f"c{len(crowd)}"))
                await wait_until(lambda: len(p.driver.balancer.open_requests.by_id) == len(crowd))
            crowd.pop().disconnect("FIN")
            await wait_until(lambda: not p.driver.balancer.queue)
        client = SocketClient(p)
        connection = await begin(p, client, paused)
        if where == "connecting":
            await wait_until(lambda: gate.started_count == 1)
        elif where == "out":
            await wait_until(lambda: len(b.received) == 1)
        else:
            assert p.driver.balancer.queue
        key = connection.forwarded_request_id
        assert key is not None
        client.disconnect(way)
        await run_loop_turns()
        if paused:  # the event loop does not see it
            assert connection in p.clients.open_connections
            clock.advance(LATEST_S / 2)
            await run_loop_turns()
        assert connection not in p.clients.open_connections
        assert key not in p.driver.requests
        gate.open_all()
        for (request, _), attempt in list(p.driver.requests.attempts.in_flight.items()):
            assert attempt.connection is not None
            attempt.connection.data_received(FAILURE if request == key else http_response(200, b"x"))
        await run_loop_turns()
        mine = [headers["req-id"] for _, headers, _ in b.received if not headers["req-id"].startswith("c")]
        assert mine == (["r0"] if where == "out" else [])
        assert not p.clients.presence.connections
        for other in crowd:
            other.disconnect("FIN")
        await wait_until(lambda: not p.clients.open_connections)


async def test_only_paused_connections_are_polled_for_a_disconnect(monkeypatch: pytest.MonkeyPatch) -> None:
    """An idle connection costs nothing, nor does one with a request open that is read."""
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)
    asked: list[asyncio.BaseTransport] = []
    hung_up = socket_state.is_closed_by_remote

    def counted(transport: asyncio.BaseTransport) -> bool:
        asked.append(transport)
        return hung_up(transport)

    monkeypatch.setattr(client_connection, "is_closed_by_remote", counted)

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port)) as p:
        clock, idle, busy = SteppedClock(), SocketClient(p), SocketClient(p)
        busy.send(http_request(request_id="busy"))
        await wait_until(lambda: len(b.received) == 1 and len(p.clients.open_connections) == 2)
        asked.clear()
        for _ in range(10):
            clock.advance(0.05)
            await run_loop_turns()
        assert not asked
        assert not p.clients.presence.is_scheduled
        client = SocketClient(p)
        connection = await begin(p, client, True)
        for _ in range(10):
            clock.advance(0.05)
            await run_loop_turns()
        assert len(asked) >= 10
        assert set(asked) == {connection.transport}
        p.driver.end_all_requests()
        await wait_until(lambda: not p.clients.presence.connections)
        for one in (idle, busy, client):
            one.disconnect("RST")
        await wait_until(lambda: not p.clients.open_connections)
        clock.advance(0.05)
        await run_loop_turns()
        assert not p.clients.presence.is_scheduled


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("paused", [True, False])
async def test_request_behind_an_unread_response_is_not_forwarded_after_client_disconnects(
    way: str, paused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    if paused:
        monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port)) as p:
        p.limit_send_buffers()
        client = SocketClient(p, 4096)
        connection = await begin(p, client, paused)
        await wait_until(lambda: len(b.received) == 1)
        if not paused:
            client.send(http_request(request_id="behind"))
            await wait_until(lambda: connection.http.received.size_bytes > 0)
        p.oldest_attempt_connection().data_received(http_response(200, b"x" * 65_536))
        assert connection.is_writing
        assert connection.http.has_unparsed_bytes
        client.disconnect(way)
        await run_loop_turns()
        if way == "half":  # it may still read, and what goes on then is the answer alone
            client.socket.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client.socket)
            assert len((await read_http_message(reader))[2]) == 65_536
            writer.close()
        await wait_until(lambda: connection not in p.clients.open_connections)
        await run_loop_turns()
        assert len(b.received) == 1
        assert nothing_left(p)
