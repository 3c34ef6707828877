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
from tests.support.client_helpers import (
    Client,
    attempt_connection,
    closes,
    settled,
    silent_backend,
    status,
    streams,
)
from tests.support.loopback import (
    Proxy,
    SteppedClock,
    answer,
    backend,
    call,
    entry,
    listing,
    proxy,
    read_message,
    until,
)
from tests.support.proxy_process import LIMITS, config, port_of, process, raw_settings, write

REASONS = {"time": 408, "room": 503, "exit": 503}


async def came(p: Proxy, client: Client, sent: bytes) -> ClientConnection:
    """The connection of a client, once what it sent has been read."""
    client.send(sent)
    name = client.socket.getsockname()

    def its_own() -> list[ClientConnection]:
        return [c for c in p.clients.open_connections if c.transport.get_extra_info("peername") == name]

    await until(lambda: bool(its_own()))
    [connection] = its_own()
    await until(lambda: connection.has_unanswered_request)
    return connection


@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("reason", REASONS)
async def test_partial_request_gets_an_error_when_its_connection_is_closed(stop: str, reason: str) -> None:
    """Its client can read it though it goes on sending."""

    async with silent_backend() as b, proxy(entry("b", b.port), most=1) as p:
        clock, client = SteppedClock(), Client(p)
        connection = await came(p, client, STOPS[stop])
        if reason == "time":
            clock.step(client_limits.REQUEST_TIMEOUT_S + client_limits.SWEEP_INTERVAL_S)
        elif reason == "room":
            newcomer = Client(p)
        else:
            p.listener.close()
        await until(lambda: connection.transport.is_closing())
        await settled()
        with contextlib.suppress(ConnectionError):
            client.send(b"x")
            client.send(b"x")
        reader, writer = await streams(client)
        got = await read_message(reader)
        if got[0].split()[1] == "100":
            got = await read_message(reader)
        assert status(got) == REASONS[reason]
        assert closes(got)
        writer.close()
        if reason == "room":
            newcomer.leave("RST")
        await until(lambda: not p.clients.open_connections)
        assert not b.seen
        assert p.driver.is_idle
        assert not p.clients.open_request_ids
        assert p.clients.descriptor_count == 0


async def test_unused_connection_is_evicted_before_one_with_a_partial_request() -> None:
    """Before those that have brought a part of a request, though these came earlier."""

    async with backend(answer(200, b"x")) as b, proxy(entry("b", b.port), most=2) as p:
        half, nothing = Client(p), Client(p)
        request = call()
        begun = await came(p, half, request[:40])
        await until(lambda: len(p.clients.open_connections) == 2)
        [idle] = p.clients.open_connections - {begun}
        assert status(await p.ask(call(request_id="other"))) == 200
        assert begun in p.clients.open_connections
        assert idle not in p.clients.open_connections
        half.send(request[40:])
        reader, writer = await streams(half)
        assert status(await read_message(reader)) == 200
        writer.close()
        nothing.socket.close()


@pytest.mark.parametrize("stop", STOPS)
async def test_connection_with_a_later_partial_request_is_not_evicted(stop: str) -> None:
    """Its connection has served its client before."""

    async with backend(answer(200, b"x")) as b, proxy(entry("b", b.port), most=1) as p:
        client = Client(p)
        await came(p, client, call(request_id="first"))
        await until(lambda: bool(p.clients.idle_connections))
        [connection] = p.clients.open_connections
        client.send(STOPS[stop])
        await until(lambda: connection.has_unanswered_request)
        assert status(await p.ask(call(request_id="other"))) == 503
        assert connection in p.clients.open_connections
        assert not connection.transport.is_closing()
        client.socket.close()
        await until(lambda: not p.clients.open_connections)


async def test_open_request_is_not_answered_503_at_exit() -> None:
    """It may have run. One whose client still writes is: nothing of it was sent on."""

    async with silent_backend() as b, proxy(entry("b", b.port)) as p:
        busy, half = Client(p), Client(p)
        await came(p, busy, call(request_id="open"))
        await until(lambda: len(b.seen) == 1)
        await came(p, half, call()[:40])
        p.listener.close()
        await until(lambda: not p.clients.open_connections)
        reader, writer = await streams(busy)
        assert await reader.read() == b""
        writer.close()
        reader, writer = await streams(half)
        assert status(await read_message(reader)) == 503
        writer.close()


@pytest.mark.parametrize("where", ["read", "whole", "taken over"])
async def test_exception_over_a_request_is_answered_500_and_spares_other_requests(
    where: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The error promises nothing, as the fault may have come after an attempt began."""

    async with silent_backend() as b, proxy(entry("b", b.port)) as p:
        other, client = Client(p), Client(p)
        await came(p, other, call(request_id="other"))
        await until(lambda: len(b.seen) == 1)

        take_over = p.driver.accept_request

        def fails(*args: ClientRequest) -> str:
            if where == "taken over":
                take_over(*args)
            raise KeyError("a fault")

        request = call("mark", request_id="faulty", body=b"xx")
        connection = await came(p, client, request[:-2])
        with monkeypatch.context() as patch:
            if where == "read":
                patch.setattr(connection._http, "next_event", fails)
            else:
                patch.setattr(p.driver, "accept_request", fails)
            client.send(request[-2:])
            await until(lambda: connection._is_lingering or connection.transport.is_closing())
        reader, writer = await streams(client)
        got = await read_message(reader)
        assert status(got) == 500
        assert closes(got)
        if where == "taken over":  # a backend's answer comes too late for it
            await until(lambda: len(b.seen) == 2)
            late = list(p.driver.requests.attempts.in_flight.values())[1].connection
            assert late is not None
            late.data_received(answer(200))
        assert await reader.read() == b""
        writer.close()
        assert caplog.text.count("Traceback") == 1
        assert p.clients.open_request_ids == {b"other"}
        attempt_connection(p).data_received(answer(200, b"x"))
        reader, writer = await streams(other)
        assert status(await read_message(reader)) == 200
        writer.close()
        await until(lambda: not p.clients.open_connections)
        assert p.driver.is_idle


async def test_request_completed_after_the_shutdown_deadline_is_answered_503() -> None:
    """The shutdown has ended all requests by then; there is no time left for one more."""

    async with silent_backend() as b, proxy(entry("b", b.port)) as p:
        client, request = Client(p), call(request_id="late")
        await came(p, client, request[:40])
        p.listener.stop_listening()
        p.listener.close_idle_connections()
        p.driver.limit_deadlines(0.0)
        p.driver.end_all_requests()
        client.send(request[40:])
        reader, writer = await streams(client)
        got = await read_message(reader)
        assert status(got) == 503
        assert closes(got)
        assert await reader.read() == b""
        writer.close()
        await until(lambda: p.listener.is_drained)
        assert not b.seen
        assert not b.connections
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

    async with silent_backend() as b, proxy(entry("b", b.port), most=crowd) as p:
        clients = [Client(p) for _ in range(crowd)]
        for client in clients:
            await came(p, client, call()[:40])
        monkeypatch.setattr(ClientConnection, "has_unanswered_request", property(counted))
        newcomer = Client(p)
        await until(lambda: len(p.clients.open_connections) == crowd and p.clients.descriptor_count == crowd)
        await until(lambda: looked_at > 0)
        assert looked_at <= client_limits.MAX_SILENT_CANDIDATES + 1  # and the one that makes room
        for client in [*clients, newcomer]:
            client.leave("RST")
        await until(lambda: not p.clients.open_connections)


@pytest.mark.parametrize("stop", ["in the first line", "in the body", "between chunks"])
async def test_partial_request_gets_an_error_when_the_process_is_terminated(
    stop: str, tmp_path: Path
) -> None:
    async with backend(answer(200, b"x")) as b:
        lane = {"name": "mark", "idempotency": "keyed", "onTimeUs": 200_000, "deadlineUs": 300_000}
        told = raw_settings(lanes=[{**lane, "repeatWindowUs": 100_000}], limits=LIMITS)
        env = write(tmp_path, config(known=listing(entry("a", b.port)), settings=told))
        async with process(env) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", await port_of(made))
            writer.write(STOPS[stop])
            made.terminate()
            got = await read_message(reader)
            assert status(got) in (408, 503)
            assert closes(got)
            assert await reader.read() == b""
            writer.close()
            assert await made.wait() == 0
            assert not b.seen
