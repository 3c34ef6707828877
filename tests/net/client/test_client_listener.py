"""Shutdown of the client listener: accepted connections are served, and idle ones are closed."""

from __future__ import annotations

import pytest

from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stepped_clock import FrozenClock, wait_until


async def test_connections_in_the_accept_queue_are_served_after_listening_ends() -> None:
    """The queue holds more connections than are accepted in one iteration, each with an unread request."""

    async with running_proxy(endpoint_entry("s-1", 9)) as proxy:
        clients = [SocketClient(proxy) for _ in range(40)]
        for client in clients:
            client.send(http_request(path="/ready"))
        proxy.listener.stop_listening()
        assert not proxy.listener.is_drained
        assert [await client.read_statuses(1) for client in clients] == [[200]] * 40
        with pytest.raises(ConnectionRefusedError):
            await proxy.connect()


@pytest.mark.parametrize("is_first_request", [True, False])
async def test_connection_is_not_closed_at_shutdown_while_its_request_arrives(
    proxy: LoopbackProxy, is_first_request: bool
) -> None:
    """The connection is closed after the response. The listener is not drained before that."""

    client, other = SocketClient(proxy), SocketClient(proxy)
    await wait_until(lambda: len(proxy.clients.open_connections) == 2)
    if not is_first_request:
        client.send(http_request(request_id="r1"))
        await wait_until(lambda: len(proxy.clients.idle_connections) == 1)
    clock = FrozenClock()
    clock.advance(1.0)  # both connections are past the grace time for a first request
    client.send(http_request(request_id="r2"))
    proxy.listener.close_idle_connections()
    assert not proxy.listener.is_drained
    await wait_until(lambda: len(proxy.clients.open_connections) == 1)  # the idle connection is closed
    assert other.socket.recv(1) == b""
    assert await client.read_statuses(1 if is_first_request else 2) == (
        [200] if is_first_request else [200, 200]
    )
    await wait_until(lambda: proxy.listener.is_drained and not proxy.clients.open_connections)


async def test_new_connection_is_given_time_for_a_request_at_shutdown(proxy: LoopbackProxy) -> None:
    clock, client, silent = FrozenClock(), SocketClient(proxy), SocketClient(proxy)
    proxy.listener.stop_listening()
    proxy.listener.close_idle_connections()
    await wait_until(lambda: len(proxy.clients.open_connections) == 2)
    proxy.listener.close_idle_connections()
    assert not proxy.listener.is_drained
    client.send(http_request())
    assert await client.read_statuses(1) == [200]
    clock.advance(1.0)
    proxy.listener.close_idle_connections()
    await wait_until(lambda: proxy.listener.is_drained and not proxy.clients.open_connections)
    assert silent.socket.recv(1) == b""


async def test_shutdown_waits_for_an_incomplete_request(proxy: LoopbackProxy) -> None:
    client, request = SocketClient(proxy), http_request()
    client.send(request[:30])
    await wait_until(lambda: len(proxy.clients.open_connections) == 1)
    [connection] = proxy.clients.open_connections
    await wait_until(lambda: not connection.is_idle and not proxy.listener.acceptor.registration_tasks)
    proxy.listener.close_idle_connections()
    assert not proxy.listener.is_drained
    client.send(request[30:])
    assert await client.read_statuses(1) == [200]
    await wait_until(lambda: proxy.listener.is_drained)
