"""A request that was read in part gets an error response, whatever ends its connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from load_balancer.net.client import client_limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.driver.client_messages import ClientRequest
from tests.net.client.test_stalled_clients import STOPS
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.http_messages import (
    HttpMessage,
    closes_connection,
    http_request,
    http_response,
    read_http_message,
    response_status,
)
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.proxy_process import (
    LIMITS,
    proxy_config,
    raw_settings,
    read_listening_port,
    running_proxy_process,
    write_config,
)
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint, StandInEndpoint, StandInServer
from tests.support.stepped_clock import FrozenClock, SteppedClock, run_loop_turns, wait_until

REASONS = {"time": 408, "room": 503, "exit": 503}


async def came(proxy: LoopbackProxy, client: SocketClient, sent: bytes) -> ClientConnection:
    """Send the bytes, and return the client's connection once they have been read."""
    client.send(sent)
    name = client.socket.getsockname()

    def its_own() -> list[ClientConnection]:
        return [
            client_connection
            for client_connection in proxy.clients.open_connections
            if client_connection.transport.get_extra_info("peername") == name
        ]

    await wait_until(lambda: bool(its_own()))
    [connection] = its_own()
    await wait_until(lambda: connection.has_pending_request)
    return connection


async def close_for(
    reason: str, proxy: LoopbackProxy, clock: SteppedClock, connection: ClientConnection
) -> SocketClient | None:
    """Have the connection closed for this reason, and return the client that it makes room for."""
    newcomer = None
    if reason == "time":
        clock.advance(client_limits.REQUEST_TIMEOUT_S + client_limits.SWEEP_INTERVAL_S)
    elif reason == "room":
        newcomer = SocketClient(proxy)
    else:
        proxy.listener.close()
    await wait_until(lambda: connection.transport.is_closing())
    await run_loop_turns()
    return newcomer


async def read_final_response(reader: asyncio.StreamReader) -> HttpMessage:
    """Return the next response that is not an interim one."""
    got = await read_http_message(reader)
    return await read_http_message(reader) if response_status(got) == 100 else got


@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("reason", REASONS)
async def test_partial_request_gets_an_error_when_its_connection_is_closed(stop: str, reason: str) -> None:
    """The client can read the response although it goes on sending."""
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=1) as proxy,
    ):
        clock, client = FrozenClock(), SocketClient(proxy)
        connection = await came(proxy, client, STOPS[stop])
        newcomer = await close_for(reason, proxy, clock, connection)
        with contextlib.suppress(ConnectionError):
            client.send(b"x")
            client.send(b"x")
        reader, writer = await client.streams()
        got = await read_final_response(reader)
        assert response_status(got) == REASONS[reason]
        assert closes_connection(got)
        writer.close()
        if newcomer is not None:
            newcomer.disconnect("RST")
        await wait_until(lambda: not proxy.clients.open_connections)
        assert not endpoint.received
        assert proxy.driver.is_idle
        assert not proxy.clients.open_request_ids
        assert proxy.clients.descriptor_count == 0


async def test_unused_connection_is_evicted_before_one_with_a_partial_request() -> None:
    """Although the connection with the partial request is the older one."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=2) as proxy,
    ):
        half, nothing = SocketClient(proxy), SocketClient(proxy)
        request = http_request()
        begun = await came(proxy, half, request[:40])
        await wait_until(lambda: len(proxy.clients.open_connections) == 2)
        [idle] = proxy.clients.open_connections - {begun}
        assert response_status(await proxy.send_request(http_request(request_id="other"))) == 200
        assert begun in proxy.clients.open_connections
        assert idle not in proxy.clients.open_connections
        half.send(request[40:])
        reader, writer = await half.streams()
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
        nothing.socket.close()


@pytest.mark.parametrize("stop", STOPS)
async def test_connection_with_a_later_partial_request_is_not_evicted(stop: str) -> None:
    """The connection has served a complete request before."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=1) as proxy,
    ):
        client = SocketClient(proxy)
        await came(proxy, client, http_request(request_id="first"))
        await wait_until(lambda: bool(proxy.clients.idle_connections))
        [connection] = proxy.clients.open_connections
        client.send(STOPS[stop])
        await wait_until(lambda: connection.has_pending_request)
        assert response_status(await proxy.send_request(http_request(request_id="other"))) == 503
        assert connection in proxy.clients.open_connections
        assert not connection.transport.is_closing()
        client.socket.close()
        await wait_until(lambda: not proxy.clients.open_connections)


async def test_open_request_is_not_answered_503_at_exit() -> None:
    """It may have run. An incomplete request is answered 503, as nothing of it was forwarded."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        busy, half = SocketClient(proxy), SocketClient(proxy)
        await came(proxy, busy, http_request(request_id="open"))
        await wait_until(lambda: len(endpoint.received) == 1)
        await came(proxy, half, http_request()[:40])
        proxy.listener.close()
        await wait_until(lambda: not proxy.clients.open_connections)
        reader, writer = await busy.streams()
        assert await reader.read() == b""
        writer.close()
        reader, writer = await half.streams()
        assert response_status(await read_http_message(reader)) == 503
        writer.close()


@contextmanager
def faulty(where: str, proxy: LoopbackProxy, connection: ClientConnection) -> Iterator[None]:
    """Have an exception raised as a request is parsed, as it is complete or once the driver has it."""
    accept_request = proxy.driver.accept_request

    def fail(*requests: ClientRequest) -> str:
        if where == "taken over":
            accept_request(*requests)
        raise KeyError("a fault")

    with pytest.MonkeyPatch.context() as patch:
        if where == "read":
            patch.setattr(connection.http, "next_event", fail)
        else:
            patch.setattr(proxy.driver, "accept_request", fail)
        yield


async def respond_to_latest_attempt(proxy: LoopbackProxy, endpoint: StandInServer) -> None:
    await wait_until(lambda: len(endpoint.received) == 2)
    connection = list(proxy.driver.requests.attempts.in_flight.values())[1].connection
    assert connection is not None
    connection.data_received(http_response(200))


@pytest.mark.parametrize("where", ["read", "whole", "taken over"])
async def test_exception_over_a_request_is_answered_500_and_spares_other_requests(
    where: str, caplog: pytest.LogCaptureFixture
) -> None:
    """The status is 500 and not 503, as the exception may come after an attempt has begun."""
    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        other, client = SocketClient(proxy), SocketClient(proxy)
        await came(proxy, other, http_request(request_id="other"))
        await wait_until(lambda: len(endpoint.received) == 1)
        request = http_request("mark", request_id="faulty", body=b"xx")
        connection = await came(proxy, client, request[:-2])
        with faulty(where, proxy, connection):
            client.send(request[-2:])
            await wait_until(lambda: connection.is_lingering or connection.transport.is_closing())
        reader, writer = await client.streams()
        got = await read_http_message(reader)
        assert response_status(got) == 500
        assert closes_connection(got)
        if where == "taken over":
            await respond_to_latest_attempt(proxy, endpoint)  # it comes too late
        assert await reader.read() == b""
        writer.close()
        assert caplog.text.count("Traceback") == 1
        assert proxy.clients.open_request_ids == {b"other"}
        proxy.oldest_attempt_connection().data_received(http_response(200, b"x"))
        assert await other.read_statuses(1) == [200]
        await wait_until(lambda: not proxy.clients.open_connections)
        assert proxy.driver.is_idle


async def test_request_completed_after_the_shutdown_deadline_is_answered_503() -> None:
    """The shutdown has ended all requests by then, and no time is left for another."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        client, request = SocketClient(proxy), http_request(request_id="late")
        await came(proxy, client, request[:40])
        proxy.listener.stop_listening()
        proxy.listener.close_idle_connections()
        proxy.driver.limit_deadlines(0.0)
        proxy.driver.end_all_requests()
        client.send(request[40:])
        reader, writer = await client.streams()
        got = await read_http_message(reader)
        assert response_status(got) == 503
        assert closes_connection(got)
        assert await reader.read() == b""
        writer.close()
        await wait_until(lambda: proxy.listener.is_drained)
        assert not endpoint.received
        assert not endpoint.connection_count
        assert proxy.driver.is_idle


async def test_eviction_examines_a_bounded_number_of_partial_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """There may be as many connections as descriptors, and as many new ones in a second."""
    crowd = 2 * client_limits.MAX_SILENT_CANDIDATES
    looked_at = 0
    began = ClientConnection.has_pending_request.fget  # type: ignore[attr-defined]

    def counted(connection: ClientConnection) -> bool:
        nonlocal looked_at
        looked_at += 1
        return bool(began(connection))

    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=crowd) as proxy,
    ):
        clients = [SocketClient(proxy) for _ in range(crowd)]
        for client in clients:
            await came(proxy, client, http_request()[:40])
        monkeypatch.setattr(ClientConnection, "has_pending_request", property(counted))
        newcomer = SocketClient(proxy)
        await wait_until(
            lambda: len(proxy.clients.open_connections) == crowd and proxy.clients.descriptor_count == crowd
        )
        await wait_until(lambda: looked_at > 0)
        assert looked_at <= client_limits.MAX_SILENT_CANDIDATES + 1  # and the one that makes room
        for client in [*clients, newcomer]:
            client.disconnect("RST")
        await wait_until(lambda: not proxy.clients.open_connections)


@pytest.mark.parametrize("stop", ["in the first line", "in the body", "between chunks"])
async def test_partial_request_gets_an_error_when_the_process_is_terminated(
    stop: str, tmp_path: Path
) -> None:
    async with StandInEndpoint(http_response(200, b"x")) as endpoint:
        lane = {"name": "mark", "idempotency": "keyed", "onTimeUs": 200_000, "deadlineUs": 300_000}
        told = raw_settings(lanes=[{**lane, "repeatWindowUs": 100_000}], limits=LIMITS)
        env = write_config(
            tmp_path, proxy_config(known=endpoint_list(endpoint_entry("a", endpoint.port)), settings=told)
        )
        async with running_proxy_process(env) as process:
            reader, writer = await asyncio.open_connection("127.0.0.1", await read_listening_port(process))
            writer.write(STOPS[stop])
            process.terminate()
            got = await read_http_message(reader)
            assert response_status(got) in (408, 503)
            assert closes_connection(got)
            assert await reader.read() == b""
            writer.close()
            assert await process.wait() == 0
            assert not endpoint.received
