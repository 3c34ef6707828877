"""The end of listening: accepted connections are served, and idle ones are closed."""

from __future__ import annotations

import pytest

from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import SteppedClock, wait_until


async def test_connections_in_the_accept_queue_are_served_after_listening_ends() -> None:
    """With more of them than are taken in at once, their requests sent and none of it read."""

    async with running_proxy(endpoint_entry("s-1", 9)) as p:
        clients = [SocketClient(p) for _ in range(40)]
        for client in clients:
            client.send(http_request(path="/ready"))
        p.listener.stop_listening()
        assert not p.listener.is_drained
        assert [await client.read_statuses(1) for client in clients] == [[200]] * 40
        with pytest.raises(ConnectionRefusedError):
            await p.connect()


@pytest.mark.parametrize("fresh", [True, False])
async def test_connection_is_not_closed_at_shutdown_while_its_request_arrives(fresh: bool) -> None:
    """It is answered, and told that it was the last one; until then not all is said and done."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("s-1", b.port)) as p,
    ):
        client, other = SocketClient(p), SocketClient(p)
        await wait_until(lambda: len(p.clients.open_connections) == 2)
        if not fresh:
            client.send(http_request(request_id="r1"))
            await wait_until(lambda: len(p.clients.idle_connections) == 1)
        clock = SteppedClock()
        clock.advance(1.0)  # neither has just come
        client.send(http_request(request_id="r2"))
        p.listener.close_idle_connections()
        assert not p.listener.is_drained
        await wait_until(lambda: len(p.clients.open_connections) == 1)  # the other one is closed
        assert other.socket.recv(1) == b""
        assert await client.read_statuses(1 if fresh else 2) == ([200] if fresh else [200, 200])
        await wait_until(lambda: p.listener.is_drained and not p.clients.open_connections)


async def test_new_connection_is_given_time_for_a_request_at_shutdown() -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("s-1", b.port)) as p,
    ):
        clock, client, silent = SteppedClock(), SocketClient(p), SocketClient(p)
        p.listener.stop_listening()
        p.listener.close_idle_connections()
        await wait_until(lambda: len(p.clients.open_connections) == 2)
        p.listener.close_idle_connections()
        assert not p.listener.is_drained
        client.send(http_request())
        assert await client.read_statuses(1) == [200]
        clock.advance(1.0)
        p.listener.close_idle_connections()
        await wait_until(lambda: p.listener.is_drained and not p.clients.open_connections)
        assert silent.socket.recv(1) == b""


async def test_shutdown_waits_for_an_incomplete_request() -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("s-1", b.port)) as p,
    ):
        client, request = SocketClient(p), http_request()
        client.send(request[:30])
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        [connection] = p.clients.open_connections
        await wait_until(lambda: not connection.is_idle and not p.listener.acceptor.admission_tasks)
        p.listener.close_idle_connections()
        assert not p.listener.is_drained
        client.send(request[30:])
        assert await client.read_statuses(1) == [200]
        await wait_until(lambda: p.listener.is_drained)
