"""A request that was read in part gets an error response, whatever ends its connection."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from load_balancer.net.client import client_limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.driver.client_messages import ClientRequest
from tests.net.client.test_stalled_clients import STOPS
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.http_messages import (
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
from tests.support.stand_in_server import SilentEndpoint, StandInEndpoint
from tests.support.stepped_clock import SteppedClock, run_loop_turns, wait_until

REASONS = {"time": 408, "room": 503, "exit": 503}


async def came(p: LoopbackProxy, client: SocketClient, sent: bytes) -> ClientConnection:
    """The connection of a client, once what it sent has been read."""
    client.send(sent)
    name = client.socket.getsockname()

    def its_own() -> list[ClientConnection]:
        return [c for c in p.clients.open_connections if c.transport.get_extra_info("peername") == name]

    await wait_until(lambda: bool(its_own()))
    [connection] = its_own()
    await wait_until(lambda: connection.has_unanswered_request)
    return connection


@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("reason", REASONS)
async def test_partial_request_gets_an_error_when_its_connection_is_closed(stop: str, reason: str) -> None:
    """Its client can read it though it goes on sending."""

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port), max_connections=1) as p:
        clock, client = SteppedClock(), SocketClient(p)
        connection = await came(p, client, STOPS[stop])
        if reason == "time":
            clock.advance(client_limits.REQUEST_TIMEOUT_S + client_limits.SWEEP_INTERVAL_S)
        elif reason == "room":
            newcomer = SocketClient(p)
        else:
            p.listener.close()
        await wait_until(lambda: connection.transport.is_closing())
        await run_loop_turns()
        with contextlib.suppress(ConnectionError):
            client.send(b"x")
            client.send(b"x")
        reader, writer = await client.streams()
        got = await read_http_message(reader)
        if got[0].split()[1] == "100":
            got = await read_http_message(reader)
        assert response_status(got) == REASONS[reason]
        assert closes_connection(got)
        writer.close()
        if reason == "room":
            newcomer.disconnect("RST")
        await wait_until(lambda: not p.clients.open_connections)
        assert not b.received
        assert p.driver.is_idle
        assert not p.clients.open_request_ids
        assert p.clients.descriptor_count == 0


async def test_unused_connection_is_evicted_before_one_with_a_partial_request() -> None:
    """Before those that have brought a part of a request, though these came earlier."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port), max_connections=2) as p,
    ):
        half, nothing = SocketClient(p), SocketClient(p)
        request = http_request()
        begun = await came(p, half, request[:40])
        await wait_until(lambda: len(p.clients.open_connections) == 2)
        [idle] = p.clients.open_connections - {begun}
        assert response_status(await p.send_request(http_request(request_id="other"))) == 200
        assert begun in p.clients.open_connections
        assert idle not in p.clients.open_connections
        half.send(request[40:])
        reader, writer = await half.streams()
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
        nothing.socket.close()


@pytest.mark.parametrize("stop", STOPS)
async def test_connection_with_a_later_partial_request_is_not_evicted(stop: str) -> None:
    """Its connection has served its client before."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port), max_connections=1) as p,
    ):
        client = SocketClient(p)
        await came(p, client, http_request(request_id="first"))
        await wait_until(lambda: bool(p.clients.idle_connections))
        [connection] = p.clients.open_connections
        client.send(STOPS[stop])
        await wait_until(lambda: connection.has_unanswered_request)
        assert response_status(await p.send_request(http_request(request_id="other"))) == 503
        assert connection in p.clients.open_connections
        assert not connection.transport.is_closing()
        client.socket.close()
        await wait_until(lambda: not p.clients.open_connections)


async def test_open_request_is_not_answered_503_at_exit() -> None:
    """It may have run. One whose client still writes is: nothing of it was sent on."""

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port)) as p:
        busy, half = SocketClient(p), SocketClient(p)
        await came(p, busy, http_request(request_id="open"))
        await wait_until(lambda: len(b.received) == 1)
        await came(p, half, http_request()[:40])
        p.listener.close()
        await wait_until(lambda: not p.clients.open_connections)
        reader, writer = await busy.streams()
        assert await reader.read() == b""
        writer.close()
        reader, writer = await half.streams()
        assert response_status(await read_http_message(reader)) == 503
        writer.close()


@pytest.mark.parametrize("where", ["read", "whole", "taken over"])
async def test_exception_over_a_request_is_answered_500_and_spares_other_requests(
    where: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The error promises nothing, as the fault may have come after an attempt began."""

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port)) as p:
        other, client = SocketClient(p), SocketClient(p)
        await came(p, other, http_request(request_id="other"))
        await wait_until(lambda: len(b.received) == 1)

        take_over = p.driver.accept_request

        def fails(*args: ClientRequest) -> str:
            if where == "taken over":
                take_over(*args)
            raise KeyError("a fault")

        request = http_request("mark", request_id="faulty", body=b"xx")
        connection = await came(p, client, request[:-2])
        with monkeypatch.context() as patch:
            if where == "read":
                patch.setattr(connection.http, "next_event", fails)
            else:
                patch.setattr(p.driver, "accept_request", fails)
            client.send(request[-2:])
            await wait_until(lambda: connection.is_lingering or connection.transport.is_closing())
        reader, writer = await client.streams()
        got = await read_http_message(reader)
        assert response_status(got) == 500
        assert closes_connection(got)
        if where == "taken over":  # a backend's answer comes too late for it
            await wait_until(lambda: len(b.received) == 2)
            late = list(p.driver.requests.attempts.in_flight.values())[1].connection
            assert late is not None
            late.data_received(http_response(200))
        assert await reader.read() == b""
        writer.close()
        assert caplog.text.count("Traceback") == 1
        assert p.clients.open_request_ids == {b"other"}
        p.oldest_attempt_connection().data_received(http_response(200, b"x"))
        reader, writer = await other.streams()
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
        await wait_until(lambda: not p.clients.open_connections)
        assert p.driver.is_idle


async def test_request_completed_after_the_shutdown_deadline_is_answered_503() -> None:
    """The shutdown has ended all requests by then; there is no time left for one more."""

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port)) as p:
        client, request = SocketClient(p), http_request(request_id="late")
        await came(p, client, request[:40])
        p.listener.stop_listening()
        p.listener.close_idle_connections()
        p.driver.limit_deadlines(0.0)
        p.driver.end_all_requests()
        client.send(request[40:])
        reader, writer = await client.streams()
        got = await read_http_message(reader)
        assert response_status(got) == 503
        assert closes_connection(got)
        assert await reader.read() == b""
        writer.close()
        await wait_until(lambda: p.listener.is_drained)
        assert not b.received
        assert not b.connection_count
        assert p.driver.is_idle


async def test_eviction_examines_a_bounded_number_of_partial_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its connections are as many as there are descriptors, and newcomers may be as many a second."""
    crowd = 2 * client_limits.MAX_SILENT_CANDIDATES
    looked_at = 0
    began = ClientConnection.has_unanswered_request.fget  # type: ignore[attr-defined]

    def counted(connection: ClientConnection) -> bool:
        nonlocal looked_at
        looked_at += 1
        return bool(began(connection))

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port), max_connections=crowd) as p:
        clients = [SocketClient(p) for _ in range(crowd)]
        for client in clients:
            await came(p, client, http_request()[:40])
        monkeypatch.setattr(ClientConnection, "has_unanswered_request", property(counted))
        newcomer = SocketClient(p)
        await wait_until(
            lambda: len(p.clients.open_connections) == crowd and p.clients.descriptor_count == crowd
        )
        await wait_until(lambda: looked_at > 0)
        assert looked_at <= client_limits.MAX_SILENT_CANDIDATES + 1  # and the one that makes room
        for client in [*clients, newcomer]:
            client.disconnect("RST")
        await wait_until(lambda: not p.clients.open_connections)


@pytest.mark.parametrize("stop", ["in the first line", "in the body", "between chunks"])
async def test_partial_request_gets_an_error_when_the_process_is_terminated(
    stop: str, tmp_path: Path
) -> None:
    async with StandInEndpoint(http_response(200, b"x")) as b:
        lane = {"name": "mark", "idempotency": "keyed", "onTimeUs": 200_000, "deadlineUs": 300_000}
        told = raw_settings(lanes=[{**lane, "repeatWindowUs": 100_000}], limits=LIMITS)
        env = write_config(
            tmp_path, proxy_config(known=endpoint_list(endpoint_entry("a", b.port)), settings=told)
        )
        async with running_proxy_process(env) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", await read_listening_port(made))
            writer.write(STOPS[stop])
            made.terminate()
            got = await read_http_message(reader)
            assert response_status(got) in (408, 503)
            assert closes_connection(got)
            assert await reader.read() == b""
            writer.close()
            assert await made.wait() == 0
            assert not b.received
