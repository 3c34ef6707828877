"""The end of listening: accepted connections are served, and idle ones are closed."""

from __future__ import annotations

import pytest

from tests.support.client_helpers import Client
from tests.support.loopback import SteppedClock, answer, backend, call, entry, proxy, until


async def test_connections_in_the_accept_queue_are_served_after_listening_ends() -> None:
    """With more of them than are taken in at once, their requests sent and none of it read."""

    async with proxy(entry("s-1", 9)) as p:
        clients = [Client(p) for _ in range(40)]
        for client in clients:
            client.send(call(path="/ready"))
        p.listener.stop_listening()
        assert not p.listener.is_drained
        assert [await client.read(1) for client in clients] == [[200]] * 40
        with pytest.raises(ConnectionRefusedError):
            await p.connect()


@pytest.mark.parametrize("fresh", [True, False])
async def test_connection_is_not_closed_at_shutdown_while_its_request_arrives(fresh: bool) -> None:
    """It is answered, and told that it was the last one; until then not all is said and done."""

    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        client, other = Client(p), Client(p)
        await until(lambda: len(p.clients.open_connections) == 2)
        if not fresh:
            client.send(call(request_id="r1"))
            await until(lambda: len(p.clients.idle_connections) == 1)
        clock = SteppedClock()
        clock.step(1.0)  # neither has just come
        client.send(call(request_id="r2"))
        p.listener.close_idle_connections()
        assert not p.listener.is_drained
        await until(lambda: len(p.clients.open_connections) == 1)  # the other one is closed
        assert other.socket.recv(1) == b""
        assert await client.read(1 if fresh else 2) == ([200] if fresh else [200, 200])
        await until(lambda: p.listener.is_drained and not p.clients.open_connections)


async def test_new_connection_is_given_time_for_a_request_at_shutdown() -> None:
    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        clock, client, silent = SteppedClock(), Client(p), Client(p)
        p.listener.stop_listening()
        p.listener.close_idle_connections()
        await until(lambda: len(p.clients.open_connections) == 2)
        p.listener.close_idle_connections()
        assert not p.listener.is_drained
        client.send(call())
        assert await client.read(1) == [200]
        clock.step(1.0)
        p.listener.close_idle_connections()
        await until(lambda: p.listener.is_drained and not p.clients.open_connections)
        assert silent.socket.recv(1) == b""


async def test_shutdown_waits_for_an_incomplete_request() -> None:
    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        client, request = Client(p), call()
        client.send(request[:30])
        await until(lambda: len(p.clients.open_connections) == 1)
        [connection] = p.clients.open_connections
        await until(lambda: not connection.is_idle and not p.listener._admission_tasks)
        p.listener.close_idle_connections()
        assert not p.listener.is_drained
        client.send(request[30:])
        assert await client.read(1) == [200]
        await until(lambda: p.listener.is_drained)
