"""After a client has disconnected no attempt begins for it, wherever its request waits."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer import messages
from load_balancer.net import socket_state
from load_balancer.net.client import client_connection, client_limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.upstream import idle_connections
from tests.support.balancer_harness import settings
from tests.support.client_helpers import Client, attempt_connection, narrow, settled, silent_backend
from tests.support.loopback import (
    Gate,
    Proxy,
    SteppedClock,
    answer,
    call,
    entry,
    proxy,
    read_message,
    until,
)

WAYS = ["FIN", "half", "RST"]
FAILURE = answer(503, Srv_Declined="1")


def limits(cancel: bool) -> messages.Settings:
    return settings(limits=messages.Limits(max_attempts=3, cancel=cancel))


def nothing_left(p: Proxy) -> bool:
    balancer = p.driver.balancer
    return p.driver.is_idle and not (
        balancer.requests.requests
        or balancer.requests.in_flight
        or balancer.requests.queue
        or p.clients.open_request_ids
    )


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("cancel", [True, False])
async def test_retry_is_not_sent_after_client_disconnects(way: str, cancel: bool) -> None:
    """The attempt fails in the very turn in which its client leaves, and is read first."""

    async with (
        silent_backend() as a,
        silent_backend() as b,
        proxy(entry("a", a.port), entry("b", b.port), setup=limits(cancel)) as p,
    ):
        client = Client(p)
        client.send(call())
        await until(lambda: len(a.seen) + len(b.seen) == 1)
        failing = attempt_connection(p)
        client.leave(way)
        failing.data_received(FAILURE)
        assert not p.driver.requests.attempts.in_flight
        assert p.driver.is_idle
        await until(lambda: not p.clients.open_connections)
        await settled()
        assert len(a.seen) + len(b.seen) == 1
        assert a.connections + b.connections == 1
        assert nothing_left(p)


@pytest.mark.parametrize("cancel", [True, False])
async def test_retry_is_sent_while_client_stays_connected(cancel: bool) -> None:
    async with (
        silent_backend() as a,
        silent_backend() as b,
        proxy(entry("a", a.port), entry("b", b.port), setup=limits(cancel)) as p,
    ):
        client = Client(p)
        client.send(call())
        await until(lambda: len(a.seen) + len(b.seen) == 1)
        attempt_connection(p).data_received(FAILURE)
        await until(lambda: len(a.seen) + len(b.seen) == 2)
        client.socket.close()


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("cancel", [True, False])
async def test_queued_request_is_not_forwarded_after_client_disconnects(
    way: str, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A backend comes free in the very turn in which the client of a held request leaves."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)  # the connection that comes free is taken at once

    async with silent_backend() as b, proxy(entry("b", b.port), setup=limits(cancel)) as p:
        clients: list[Client] = []
        while not p.driver.balancer.requests.queue:
            clients.append(Client(p))
            clients[-1].send(call(request_id=f"r{len(clients)}"))
            await until(lambda: len(p.driver.balancer.requests.requests) == len(clients))
        sent = len(clients) - 1
        await until(lambda: len(b.seen) == sent)
        clients[-1].leave(way)
        attempt_connection(p).data_received(answer(200, b"x"))
        assert not p.driver.balancer.requests.queue  # its turn came
        await until(lambda: len(p.clients.open_connections) == sent)
        await settled()
        assert len(b.seen) == sent == len(p.driver.balancer.requests.in_flight) + 1
        for client in clients[:-1]:
            client.leave("FIN")
        await until(lambda: not p.clients.open_connections)
        if cancel:
            assert nothing_left(p)


LATEST_S = 0.1  # from a client's end to the last attempt that may begin for it
WHERE = ["held", "connecting", "out"]


async def begin(p: Proxy, client: Client, paused: bool) -> ClientConnection:
    """The client's request, and where it pauses so much behind it that the proxy ceases to read."""
    before = set(p.clients.open_connections)
    client.socket.setblocking(False)
    sent = call(request_id="r0") + (call("mark", request_id="behind", body=b"x" * 60_000) if paused else b"")
    await asyncio.get_running_loop().sock_sendall(client.socket, sent)
    await until(lambda: len(p.clients.open_connections - before) == 1)
    [connection] = p.clients.open_connections - before
    await until(
        lambda: connection._request_key is not None and connection.transport.is_reading() is not paused
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

    async with silent_backend() as b, proxy(entry("b", b.port), setup=limits(cancel)) as p:
        p.listener._sweep_timer.cancel()
        gate, clock = Gate(p.pool), SteppedClock()
        crowd: list[Client] = []
        if where != "connecting":
            gate.opened.set()
        if where == "held":
            while not p.driver.balancer.requests.queue:
                crowd.append(Client(p))
                crowd[-1].send(call(request_id=f"c{len(crowd)}"))
                await until(lambda: len(p.driver.balancer.requests.requests) == len(crowd))
            crowd.pop().leave("FIN")
            await until(lambda: not p.driver.balancer.requests.queue)
        client = Client(p)
        connection = await begin(p, client, paused)
        if where == "connecting":
            await until(lambda: gate.waiting == 1)
        elif where == "out":
            await until(lambda: len(b.seen) == 1)
        else:
            assert p.driver.balancer.requests.queue
        key = connection._request_key
        assert key is not None
        client.leave(way)
        await settled()
        if paused:  # the event loop does not see it
            assert connection in p.clients.open_connections
            clock.step(LATEST_S / 2)
            await settled()
        assert connection not in p.clients.open_connections
        assert key not in p.driver.requests
        gate.opened.set()
        for (request, _), attempt in list(p.driver.requests.attempts.in_flight.items()):
            assert attempt.connection is not None
            attempt.connection.data_received(FAILURE if request == key else answer(200, b"x"))
        await settled()
        mine = [headers["req-id"] for _, headers, _ in b.seen if not headers["req-id"].startswith("c")]
        assert mine == (["r0"] if where == "out" else [])
        assert not p.clients.paused_connections
        for other in crowd:
            other.leave("FIN")
        await until(lambda: not p.clients.open_connections)


async def test_only_paused_connections_are_polled_for_a_disconnect(monkeypatch: pytest.MonkeyPatch) -> None:
    """An idle connection costs nothing, nor does one with a request open that is read."""
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)
    asked: list[asyncio.BaseTransport] = []
    hung_up = socket_state.is_closed_by_remote

    def counted(transport: asyncio.BaseTransport) -> bool:
        asked.append(transport)
        return hung_up(transport)

    monkeypatch.setattr(client_connection, "is_closed_by_remote", counted)

    async with silent_backend() as b, proxy(entry("b", b.port)) as p:
        clock, idle, busy = SteppedClock(), Client(p), Client(p)
        busy.send(call(request_id="busy"))
        await until(lambda: len(b.seen) == 1 and len(p.clients.open_connections) == 2)
        asked.clear()
        for _ in range(10):
            clock.step(0.05)
            await settled()
        assert not asked
        assert p.clients._presence_timer is None
        client = Client(p)
        connection = await begin(p, client, True)
        for _ in range(10):
            clock.step(0.05)
            await settled()
        assert len(asked) >= 10
        assert set(asked) == {connection.transport}
        p.driver.end_all_requests()
        await until(lambda: not p.clients.paused_connections)
        for one in (idle, busy, client):
            one.leave("RST")
        await until(lambda: not p.clients.open_connections)
        clock.step(0.05)
        await settled()
        assert p.clients._presence_timer is None


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("paused", [True, False])
async def test_request_behind_an_unread_response_is_not_forwarded_after_client_disconnects(
    way: str, paused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    if paused:
        monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)

    async with silent_backend() as b, proxy(entry("b", b.port)) as p:
        narrow(p)
        client = Client(p, 4096)
        connection = await begin(p, client, paused)
        await until(lambda: len(b.seen) == 1)
        if not paused:
            client.send(call(request_id="behind"))
            await until(lambda: connection._http.received.size_bytes > 0)
        attempt_connection(p).data_received(answer(200, b"x" * 65_536))
        assert connection.is_writing
        assert connection._http.has_unparsed_bytes
        client.leave(way)
        await settled()
        if way == "half":  # it may still read, and what goes on then is the answer alone
            client.socket.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client.socket)
            assert len((await read_message(reader))[2]) == 65_536
            writer.close()
        await until(lambda: connection not in p.clients.open_connections)
        await settled()
        assert len(b.seen) == 1
        assert nothing_left(p)
