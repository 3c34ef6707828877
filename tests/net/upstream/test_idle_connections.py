"""Which idle connections are reused, and when they are closed."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connection_pool import ConnectionPool
from tests.net.upstream.conftest import CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S
from tests.support.attempts import UNSAFE_REQUEST, run_attempt
from tests.support.http_messages import http_response, read_http_message
from tests.support.stand_in_server import StandInEndpoint, StandInServer


async def test_endpoint_that_closes_a_reused_connection_gets_new_connections_for_a_while(
    pool: ConnectionPool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        endpoint.received.append(await read_http_message(reader))
        writer.write(http_response(200, b"ok"))
        endpoint.received.append(await read_http_message(reader))  # then close without a response

    async with StandInServer(handle) as endpoint:
        address = ("127.0.0.1", endpoint.port)
        outcomes = [(await run_attempt(pool, address))[0] for _ in range(4)]
        assert outcomes == [Outcome.OK, Outcome.RESET, Outcome.OK, Outcome.OK]
        assert endpoint.connection_count == 3
        assert not pool.idle.by_endpoint
        # As if the suspension of reuse had ended.
        pool.idle.reuse_from_s[EndpointAddress(1, address)] -= idle_connections.REUSE_SUSPENSION_S
        assert (await run_attempt(pool, address))[0] is Outcome.OK
        assert pool.idle.by_endpoint


async def test_non_idempotent_request_is_sent_on_a_new_connection(
    pool: ConnectionPool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An idle connection may be stale. Each new connection replaces an idle one, so that none accumulate."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        endpoint.received.append(await read_http_message(reader))
        writer.write(http_response(200, b"ok"))
        await read_http_message(reader)  # then close without a response

    async with StandInServer(handle) as endpoint:
        address = ("127.0.0.1", endpoint.port)
        for _ in range(4):
            assert (await run_attempt(pool, address, UNSAFE_REQUEST))[0] is Outcome.OK
            assert len(pool.idle.by_endpoint[EndpointAddress(1, address)]) == 1
        assert endpoint.connection_count == 4
        # An idempotent request reuses a connection.
        assert (await run_attempt(pool, address))[0] is Outcome.RESET


@pytest.mark.parametrize(
    "invalid_response",
    [b"not http\r\n\r\n", b"HTTP/1.1 200 x\r\nno colon here\r\nContent-Length: 2\r\n\r\nok"],
)
async def test_invalid_response_on_a_reused_connection_does_not_suspend_reuse(
    pool: ConnectionPool, invalid_response: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only the end of a connection shows that the endpoint closes idle ones."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    valid_response = http_response(200, b"ok")
    async with StandInEndpoint(valid_response, invalid_response, valid_response) as endpoint:
        address = ("127.0.0.1", endpoint.port)
        outcomes = [(await run_attempt(pool, address))[0] for _ in range(4)]
        assert outcomes == [Outcome.OK, Outcome.RESET, Outcome.OK, Outcome.OK]
        assert endpoint.connection_count == 2
        assert pool.idle.by_endpoint


async def test_new_endpoint_at_an_old_address_does_not_reuse_old_connections(pool: ConnectionPool) -> None:
    async with StandInEndpoint(http_response(200, b"ok")) as endpoint:
        address = ("127.0.0.1", endpoint.port)
        assert (await run_attempt(pool, address, endpoint_id=1))[0] is Outcome.OK
        assert (await run_attempt(pool, address, endpoint_id=2))[0] is Outcome.OK
        assert endpoint.connection_count == 2
        pool.disable_endpoint(EndpointAddress(1, address))  # the new endpoint keeps its connections
        assert not pool.idle.by_endpoint.get(EndpointAddress(1, address))
        assert len(pool.idle.by_endpoint[EndpointAddress(2, address)]) == 1


async def test_connection_to_a_removed_endpoint_is_not_reused(pool: ConnectionPool) -> None:
    may_respond = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        endpoint.received.append(await read_http_message(reader))
        await may_respond.wait()
        writer.write(http_response(200, b"ok"))
        await reader.read()

    async with StandInServer(handle) as endpoint:
        address = ("127.0.0.1", endpoint.port)
        result_task = asyncio.ensure_future(run_attempt(pool, address))
        while not endpoint.received:
            await asyncio.sleep(0)
        pool.disable_endpoint(EndpointAddress(1, address))
        may_respond.set()
        assert (await result_task)[0] is Outcome.OK
        assert not pool.idle.by_endpoint
        assert not pool.idle.reuse_from_s


async def test_connection_that_ended_while_idle_is_not_reused(pool: ConnectionPool) -> None:
    ended = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        endpoint.received.append(await read_http_message(reader))
        writer.write(http_response(200, b"ok"))
        if endpoint.connection_count == 1:
            writer.close()
            ended.set()
        else:
            await reader.read()

    async with StandInServer(handle) as endpoint:
        address = ("127.0.0.1", endpoint.port)
        assert (await run_attempt(pool, address))[0] is Outcome.OK
        await ended.wait()
        assert (await run_attempt(pool, address))[0] is Outcome.OK
        assert endpoint.connection_count == 2
        assert len(endpoint.received) == 2


async def test_idle_connection_is_closed_before_the_idle_timeout_of_the_endpoint() -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        writer.write(http_response(200, b"ok"))
        assert await reader.read() == b""
        closed.set()

    closed = asyncio.Event()
    async with StandInServer(handle) as endpoint:
        pool, address = ConnectionPool(CONNECT_TIMEOUT_S, 0.5, 10), ("127.0.0.1", endpoint.port)
        assert (await run_attempt(pool, address))[0] is Outcome.OK
        [connection] = pool.idle.by_endpoint[EndpointAddress(1, address)]
        assert pool.idle.closes_at_s(connection) - pool.loop.time() <= 0.45
        await closed.wait()


async def test_full_pool_closes_its_longest_idle_connection_or_sends_nothing() -> None:
    async with (
        StandInEndpoint(http_response(200, b"ok")) as first_endpoint,
        StandInEndpoint(http_response(200, b"ok")) as second_endpoint,
    ):
        pool = ConnectionPool(CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, 1)
        assert (await run_attempt(pool, ("127.0.0.1", first_endpoint.port)))[0] is Outcome.OK
        assert (await run_attempt(pool, ("127.0.0.1", second_endpoint.port)))[0] is Outcome.OK
        assert not pool.idle.by_endpoint.get(EndpointAddress(1, ("127.0.0.1", first_endpoint.port)))
        pool.connections.max_connections = 0
        pool.disable_endpoint(EndpointAddress(1, ("127.0.0.1", second_endpoint.port)))
        assert (await run_attempt(pool, ("127.0.0.1", second_endpoint.port)))[0] is Outcome.NOT_SENT
        pool.close()
