"""A partially received request gets an error response, whatever closes its connection."""

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
from tests.net.client.test_stalled_clients import PARTIAL_REQUESTS
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

STATUS_BY_REASON = {"timeout": 408, "eviction": 503, "shutdown": 503}


async def send_and_wait_until_read(
    proxy: LoopbackProxy, client: SocketClient, sent: bytes
) -> ClientConnection:
    """Send the bytes, and return the connection of the client once it has a pending request."""
    client.send(sent)
    name = client.socket.getsockname()

    def matching_connections() -> list[ClientConnection]:
        return [
            client_connection
            for client_connection in proxy.clients.open_connections
            if client_connection.transport.get_extra_info("peername") == name
        ]

    await wait_until(lambda: bool(matching_connections()))
    [connection] = matching_connections()
    await wait_until(lambda: connection.has_pending_request)
    return connection


async def close_connection(
    reason: str, proxy: LoopbackProxy, clock: SteppedClock, connection: ClientConnection
) -> SocketClient | None:
    """Close the connection for the given reason. For an eviction, return the client that caused it."""
    new_client = None
    if reason == "timeout":
        clock.advance(client_limits.REQUEST_TIMEOUT_S + client_limits.SWEEP_INTERVAL_S)
    elif reason == "eviction":
        new_client = SocketClient(proxy)
    else:
        proxy.listener.close()
    await wait_until(lambda: connection.transport.is_closing())
    await run_loop_turns()
    return new_client


async def read_final_response(reader: asyncio.StreamReader) -> HttpMessage:
    """Return the next response that is not an interim response."""
    response = await read_http_message(reader)
    return await read_http_message(reader) if response_status(response) == 100 else response


@pytest.mark.parametrize("stop_position", PARTIAL_REQUESTS)
@pytest.mark.parametrize("reason", STATUS_BY_REASON)
async def test_partial_request_gets_an_error_when_its_connection_is_closed(
    stop_position: str, reason: str
) -> None:
    """The client can read the response although it goes on sending."""
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=1) as proxy,
    ):
        clock, client = FrozenClock(), SocketClient(proxy)
        connection = await send_and_wait_until_read(proxy, client, PARTIAL_REQUESTS[stop_position])
        new_client = await close_connection(reason, proxy, clock, connection)
        with contextlib.suppress(ConnectionError):
            client.send(b"x")
            client.send(b"x")
        reader, writer = await client.streams()
        response = await read_final_response(reader)
        assert response_status(response) == STATUS_BY_REASON[reason]
        assert closes_connection(response)
        writer.close()
        if new_client is not None:
            new_client.disconnect("RST")
        await wait_until(lambda: not proxy.clients.open_connections)
        assert not endpoint.received
        assert proxy.driver.is_idle
        assert not proxy.clients.open_request_ids
        assert proxy.clients.descriptor_count == 0


async def test_unused_connection_is_evicted_before_one_with_a_partial_request() -> None:
    """This holds although the connection with the partial request is the older one."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=2) as proxy,
    ):
        partial_client, unused_client = SocketClient(proxy), SocketClient(proxy)
        request = http_request()
        partial_connection = await send_and_wait_until_read(proxy, partial_client, request[:40])
        await wait_until(lambda: len(proxy.clients.open_connections) == 2)
        [unused_connection] = proxy.clients.open_connections - {partial_connection}
        assert response_status(await proxy.send_request(http_request(request_id="other"))) == 200
        assert partial_connection in proxy.clients.open_connections
        assert unused_connection not in proxy.clients.open_connections
        partial_client.send(request[40:])
        reader, writer = await partial_client.streams()
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
        unused_client.socket.close()


@pytest.mark.parametrize("stop_position", PARTIAL_REQUESTS)
async def test_connection_with_a_later_partial_request_is_not_evicted(stop_position: str) -> None:
    """The connection has served a complete request before the partial one."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=1) as proxy,
    ):
        client = SocketClient(proxy)
        await send_and_wait_until_read(proxy, client, http_request(request_id="first"))
        await wait_until(lambda: bool(proxy.clients.idle_connections))
        [connection] = proxy.clients.open_connections
        client.send(PARTIAL_REQUESTS[stop_position])
        await wait_until(lambda: connection.has_pending_request)
        assert response_status(await proxy.send_request(http_request(request_id="other"))) == 503
        assert connection in proxy.clients.open_connections
        assert not connection.transport.is_closing()
        client.socket.close()
        await wait_until(lambda: not proxy.clients.open_connections)


async def test_open_request_does_not_get_503_at_shutdown() -> None:
    """The open request may have run. A partial request gets a 503, as nothing of it was forwarded."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        busy, partial_client = SocketClient(proxy), SocketClient(proxy)
        await send_and_wait_until_read(proxy, busy, http_request(request_id="open"))
        await wait_until(lambda: len(endpoint.received) == 1)
        await send_and_wait_until_read(proxy, partial_client, http_request()[:40])
        proxy.listener.close()
        await wait_until(lambda: not proxy.clients.open_connections)
        reader, writer = await busy.streams()
        assert await reader.read() == b""
        writer.close()
        reader, writer = await partial_client.streams()
        assert response_status(await read_http_message(reader)) == 503
        writer.close()


@contextmanager
def raising_fault(fault_position: str, proxy: LoopbackProxy, connection: ClientConnection) -> Iterator[None]:
    """Raise an exception while a request is parsed, when it is complete or after the driver accepted it."""
    accept_request = proxy.driver.accept_request

    def fail(*requests: ClientRequest) -> str:
        if fault_position == "accepted":
            accept_request(*requests)
        raise KeyError("fault in a request")

    with pytest.MonkeyPatch.context() as patch:
        if fault_position == "parsing":
            patch.setattr(connection.http, "next_event", fail)
        else:
            patch.setattr(proxy.driver, "accept_request", fail)
        yield


async def respond_to_latest_attempt(proxy: LoopbackProxy, endpoint: StandInServer) -> None:
    await wait_until(lambda: len(endpoint.received) == 2)
    connection = list(proxy.driver.requests.attempts.in_flight.values())[1].connection
    assert connection is not None
    connection.data_received(http_response(200))


@pytest.mark.parametrize("fault_position", ["parsing", "complete", "accepted"])
async def test_request_whose_processing_raises_gets_500_without_affecting_others(
    fault_position: str, caplog: pytest.LogCaptureFixture
) -> None:
    """The status is 500 and not 503, because the exception may be raised after an attempt has begun."""
    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        other, client = SocketClient(proxy), SocketClient(proxy)
        await send_and_wait_until_read(proxy, other, http_request(request_id="other"))
        await wait_until(lambda: len(endpoint.received) == 1)
        request = http_request("mark", request_id="faulty", body=b"xx")
        connection = await send_and_wait_until_read(proxy, client, request[:-2])
        with raising_fault(fault_position, proxy, connection):
            client.send(request[-2:])
            await wait_until(lambda: connection.is_lingering or connection.transport.is_closing())
        reader, writer = await client.streams()
        response = await read_http_message(reader)
        assert response_status(response) == 500
        assert closes_connection(response)
        if fault_position == "accepted":
            await respond_to_latest_attempt(proxy, endpoint)  # this response arrives after the final response
        assert await reader.read() == b""
        writer.close()
        assert caplog.text.count("Traceback") == 1
        assert proxy.clients.open_request_ids == {b"other"}
        proxy.oldest_attempt_connection().data_received(http_response(200, b"x"))
        assert await other.read_statuses(1) == [200]
        await wait_until(lambda: not proxy.clients.open_connections)
        assert proxy.driver.is_idle


async def test_request_completed_after_the_shutdown_deadline_gets_503() -> None:
    """The shutdown has ended all requests by then, and no time remains for a new one."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        client, request = SocketClient(proxy), http_request(request_id="late")
        await send_and_wait_until_read(proxy, client, request[:40])
        proxy.listener.stop_listening()
        proxy.listener.close_idle_connections()
        proxy.driver.limit_deadlines(0.0)
        proxy.driver.end_all_requests()
        client.send(request[40:])
        reader, writer = await client.streams()
        response = await read_http_message(reader)
        assert response_status(response) == 503
        assert closes_connection(response)
        assert await reader.read() == b""
        writer.close()
        await wait_until(lambda: proxy.listener.is_drained)
        assert not endpoint.received
        assert not endpoint.connection_count
        assert proxy.driver.is_idle


async def test_eviction_examines_a_bounded_number_of_partial_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Examining all of them for each new connection would block the event loop during a flood.

    There can be as many connections as descriptors, and as many new ones each second.
    """
    connection_limit = 2 * client_limits.MAX_SILENT_CANDIDATES
    examined_count = 0
    has_pending_request = ClientConnection.has_pending_request.fget  # type: ignore[attr-defined]

    def count_and_check(connection: ClientConnection) -> bool:
        nonlocal examined_count
        examined_count += 1
        return bool(has_pending_request(connection))

    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=connection_limit) as proxy,
    ):
        clients = [SocketClient(proxy) for _ in range(connection_limit)]
        for client in clients:
            await send_and_wait_until_read(proxy, client, http_request()[:40])
        monkeypatch.setattr(ClientConnection, "has_pending_request", property(count_and_check))
        new_client = SocketClient(proxy)
        await wait_until(
            lambda: len(proxy.clients.open_connections) == connection_limit
            and proxy.clients.descriptor_count == connection_limit
        )
        await wait_until(lambda: examined_count > 0)
        assert examined_count <= client_limits.MAX_SILENT_CANDIDATES + 1  # and the evicted connection
        for client in [*clients, new_client]:
            client.disconnect("RST")
        await wait_until(lambda: not proxy.clients.open_connections)


@pytest.mark.parametrize("stop_position", ["in the request line", "in the body", "between chunks"])
async def test_partial_request_gets_an_error_when_the_process_is_terminated(
    stop_position: str, tmp_path: Path
) -> None:
    async with StandInEndpoint(http_response(200, b"x")) as endpoint:
        lane = {"name": "mark", "idempotency": "keyed", "onTimeUs": 200_000, "deadlineUs": 300_000}
        settings = raw_settings(lanes=[{**lane, "repeatWindowUs": 100_000}], limits=LIMITS)
        env = write_config(
            tmp_path, proxy_config(known=endpoint_list(endpoint_entry("a", endpoint.port)), settings=settings)
        )
        async with running_proxy_process(env) as process:
            reader, writer = await asyncio.open_connection("127.0.0.1", await read_listening_port(process))
            writer.write(PARTIAL_REQUESTS[stop_position])
            process.terminate()
            response = await read_http_message(reader)
            assert response_status(response) in (408, 503)
            assert closes_connection(response)
            assert await reader.read() == b""
            writer.close()
            assert await process.wait() == 0
            assert not endpoint.received
