"""Choice of the connection that is evicted at the connection limit."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.net.client import client_limits
from load_balancer.net.client.client_connection import ClientConnection
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message, response_status
from tests.support.loopback_proxy import running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import wait_until


async def test_unused_connections_are_evicted_before_idle_ones() -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), max_connections=8) as proxy,
    ):
        idle_clients = [await proxy.connect() for _ in range(4)]
        for number, (reader, writer) in enumerate(idle_clients):
            writer.write(http_request(request_id=f"u{number}"))
            assert response_status(await read_http_message(reader)) == 200
        unused_clients = [await proxy.connect() for _ in range(50)]
        while len(proxy.clients.unused_connections) > 4 or len(proxy.clients.open_connections) > 8:
            await asyncio.sleep(0)
        for number, (reader, writer) in enumerate(idle_clients):
            writer.write(http_request(request_id=f"v{number}"))
            assert response_status(await read_http_message(reader)) == 200
        for _, writer in (*unused_clients, *idle_clients):
            writer.close()


async def test_new_connection_is_not_evicted_by_the_next_one() -> None:
    """Idle connections fill the limit. They are evicted before a new connection, whose request may arrive."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), max_connections=8) as proxy,
    ):
        idle_clients = [await proxy.connect() for _ in range(8)]
        for number, (reader, writer) in enumerate(idle_clients):
            writer.write(http_request(request_id=f"s{number}"))
            assert response_status(await read_http_message(reader)) == 200
        new_clients = [await proxy.connect() for _ in range(3)]
        while len(proxy.clients.unused_connections) < 3:
            await asyncio.sleep(0)
        for number, (reader, writer) in enumerate(new_clients):
            writer.write(http_request(request_id=f"n{number}"))
            assert response_status(await read_http_message(reader)) == 200
        for _, writer in (*idle_clients, *new_clients):
            writer.close()


async def test_oldest_unused_connection_is_evicted_and_one_over_the_limit_gets_503() -> None:
    may_respond = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        await may_respond.wait()
        writer.write(http_response(200, b"late"))

    async with (
        StandInServer(handle) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), max_connections=2) as proxy,
    ):
        unused_reader, _ = await proxy.connect()
        reader_a, writer_a = await proxy.connect()
        writer_a.write(http_request(request_id="a"))
        reader_b, writer_b = await proxy.connect()  # evicts the unused connection
        assert await unused_reader.read() == b""
        writer_b.write(http_request(request_id="b"))
        while endpoint.connection_count < 2:
            await asyncio.sleep(0)
        # Both connections are busy.
        assert response_status(await proxy.send_request(http_request(request_id="c"))) == 503
        may_respond.set()
        assert response_status(await read_http_message(reader_a)) == 200
        assert response_status(await read_http_message(reader_b)) == 200


@pytest.mark.parametrize("is_first_request", [True, False])
async def test_connection_is_not_evicted_while_its_request_arrives(
    is_first_request: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No other connection can be evicted, so the request on the new connection gets a 503."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), max_connections=1) as proxy,
    ):
        client = SocketClient(proxy)
        await wait_until(lambda: len(proxy.clients.open_connections) == 1)
        [connection] = proxy.clients.open_connections
        if not is_first_request:
            client.send(http_request(request_id="r1"))
            await wait_until(lambda: connection in proxy.clients.idle_connections)
        add = proxy.clients.add

        def send_and_add(new_connection: ClientConnection) -> bool:
            client.send(http_request(request_id="r2"))
            return add(new_connection)

        monkeypatch.setattr(proxy.clients, "add", send_and_add)
        assert response_status(await proxy.send_request(http_request(request_id="r3"))) == 503
        assert await client.read_statuses(1 if is_first_request else 2) == (
            [200] if is_first_request else [200, 200]
        )


async def test_connection_is_evicted_when_its_client_has_just_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The unread request of the disconnected client is not forwarded."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), max_connections=1) as proxy,
    ):
        client = SocketClient(proxy)
        await wait_until(lambda: len(proxy.clients.open_connections) == 1)
        add = proxy.clients.add

        def send_disconnect_and_add(new_connection: ClientConnection) -> bool:
            client.send(http_request(request_id="r1"))
            client.socket.close()
            return add(new_connection)

        monkeypatch.setattr(proxy.clients, "add", send_disconnect_and_add)
        assert response_status(await proxy.send_request(http_request(request_id="r2"))) == 200
        assert len(endpoint.received) == 1


async def test_slow_request_is_evicted_at_the_limit_although_its_bytes_keep_arriving() -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), max_connections=1) as proxy,
    ):
        slow = SocketClient(proxy)
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        while loop.time() < began_at_s + client_limits.SLOW_REQUEST_S + 0.1:
            slow.send(b"GET /" if loop.time() == began_at_s else b"a")
            await asyncio.sleep(0.005)
        slow.send(b"a")
        assert response_status(await proxy.send_request(http_request())) == 200
        slow.disconnect("RST")


async def test_idle_connections_of_regular_clients_outlast_a_flood_of_slow_requests() -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), max_connections=4) as proxy,
    ):
        regular = SocketClient(proxy)
        reader, writer = await regular.streams()
        writer.write(http_request(request_id="r1"))
        assert response_status(await read_http_message(reader)) == 200
        slow_clients = [SocketClient(proxy) for _ in range(3)]
        loop = asyncio.get_running_loop()
        full_at_s = loop.time() + client_limits.SLOW_REQUEST_S + 0.1
        while loop.time() < full_at_s:
            for client in slow_clients:
                client.send(b"G")
            await asyncio.sleep(0.005)
        add = proxy.clients.add

        def send_and_add(connection: ClientConnection) -> bool:
            for client in slow_clients:
                client.send(b"G")
            return add(connection)

        proxy.clients.add = send_and_add  # type: ignore[method-assign]
        assert response_status(await proxy.send_request(http_request(request_id="n1"))) == 200
        writer.write(http_request(request_id="r2"))
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
        for client in slow_clients:
            client.disconnect("RST")
