"""Outcomes of attempts that are not sent, or not sent completely."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import replace

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.net.upstream.conftest import ConnectionHook
from tests.support.attempts import KEYED_REQUEST, UNSAFE_REQUEST, run_attempt
from tests.support.http_messages import http_response, read_http_message
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import wait_until


async def test_refused_connect_ends_as_no_connection(pool: ConnectionPool) -> None:
    with socket.socket() as unused_socket:
        unused_socket.bind(("127.0.0.1", 0))
        outcome, _ = await run_attempt(pool, unused_socket.getsockname())
        assert outcome is Outcome.NO_CONNECTION


async def test_connect_that_never_completes_ends_as_no_connection() -> None:
    with socket.socket() as full_listener:
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:  # fill the accept queue, after which the system ignores connects
            filler.setblocking(False)
            filler.connect_ex(full_listener.getsockname())
        outcome, _ = await run_attempt(ConnectionPool(0.1, 30.0, 10), full_listener.getsockname())
        assert outcome is Outcome.NO_CONNECTION
        for filler in fillers:
            filler.close()


async def test_reset_before_the_request_is_written_ends_as_no_connection(pool: ConnectionPool) -> None:
    large_request = replace(
        UNSAFE_REQUEST, headers=[(b"host", b"x"), (b"content-length", b"30000000")], body=b"x" * 30_000_000
    )

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(10)
        writer.transport.abort()

    async with StandInServer(handle) as endpoint:
        outcome, _ = await run_attempt(pool, ("127.0.0.1", endpoint.port), large_request)
        assert outcome is Outcome.NO_CONNECTION


async def test_timeout_before_the_request_is_written_ends_as_no_connection(pool: ConnectionPool) -> None:
    large_request = replace(
        UNSAFE_REQUEST, headers=[(b"host", b"x"), (b"content-length", b"30000000")], body=b"x" * 30_000_000
    )

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await may_end.wait()

    may_end = asyncio.Event()
    async with StandInServer(handle) as endpoint:
        outcome, _ = await run_attempt(pool, ("127.0.0.1", endpoint.port), large_request, timeout_s=0.2)
        assert outcome is Outcome.NO_CONNECTION
        may_end.set()


@pytest.mark.parametrize("is_written", [False, True])
async def test_cancel_if_unsent_ends_only_an_incompletely_written_attempt(
    pool: ConnectionPool, is_written: bool
) -> None:
    size = 2 if is_written else 30_000_000
    headers = [(b"host", b"x"), (b"content-length", b"%d" % size)]

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        request_received.set()
        await may_respond.wait()
        writer.write(http_response(200, b"ok"))

    request_received, may_respond = asyncio.Event(), asyncio.Event()
    ended_with: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
    async with StandInServer(handle) as endpoint:
        attempt = pool.start_attempt(
            EndpointAddress(1, ("127.0.0.1", endpoint.port)),
            replace(UNSAFE_REQUEST, headers=headers, body=b"x" * size),
            5.0,
            lambda outcome, _: ended_with.set_result(outcome),
        )
        await request_received.wait()
        attempt.cancel_if_unsent()
        assert attempt.is_over is not is_written
        may_respond.set()
        assert await ended_with is (Outcome.OK if is_written else Outcome.NOT_SENT)


def end_attempt(ending: str, pool: ConnectionPool, attempt: UpstreamAttempt) -> None:
    assert attempt.connection is None
    assert not attempt.is_over
    assert pool.connections.open
    {
        "cancel": attempt.cancel,
        "cancel if unsent": attempt.cancel_if_unsent,
        "disable": lambda: pool.disable_endpoint(attempt.endpoint),
        "time out": attempt.time_out,
    }[ending]()


@pytest.mark.parametrize("ending", ["cancel", "cancel if unsent", "disable", "time out"])
async def test_attempt_ended_as_its_connection_is_established_leaves_none_open(
    pool: ConnectionPool, ending: str, on_established: Callable[[ConnectionHook], None]
) -> None:
    """The connection is established, and the task that awaits it has been woken but has not run yet."""
    async with StandInEndpoint(http_response(200, b"ok")) as stand_in:
        endpoint = EndpointAddress(1, ("127.0.0.1", stand_in.port))
        outcomes: list[Outcome] = []

        def established(connection: UpstreamConnection) -> None:
            # Runs in the next loop iteration, before the awaiting task, which is woken later in this one.
            pool.loop.call_soon(lambda: end_attempt(ending, pool, attempt))

        on_established(established)
        attempt = pool.start_attempt(
            endpoint, KEYED_REQUEST, 5.0, lambda outcome, _: outcomes.append(outcome)
        )
        await wait_until(
            lambda: stand_in.connection_count == 1
            and not pool.connections.open
            and not pool.pending.by_endpoint
        )
        assert len(outcomes) == 1
        assert not pool.idle.by_endpoint
        assert not pool.waiting.by_endpoint
        assert stand_in.received == []


async def test_cancel_closes_the_connection(pool: ConnectionPool) -> None:
    request_received, closed_event = asyncio.Event(), asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        request_received.set()
        assert await reader.read() == b""
        closed_event.set()

    async with StandInServer(handle) as endpoint:
        outcomes = []
        attempt = pool.start_attempt(
            EndpointAddress(1, ("127.0.0.1", endpoint.port)),
            KEYED_REQUEST,
            5.0,
            lambda outcome, _: outcomes.append(outcome),
        )
        await request_received.wait()
        attempt.cancel()
        attempt.cancel()
        assert outcomes == [Outcome.CANCELLED]
        await closed_event.wait()


async def test_descriptor_shortage_ends_as_not_sent(
    pool: ConnectionPool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def connect(endpoint: EndpointAddress) -> None:
        raise OSError(24, "Too many open files")

    monkeypatch.setattr(pool.connector, "open", connect)
    assert (await run_attempt(pool, ("127.0.0.1", 1)))[0] is Outcome.NOT_SENT
