"""HTTP on a connection to an endpoint: the outcome that follows from each response."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.upstream import idle_connections, upstream_connection
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_messages import UpstreamResponse
from tests.net.upstream.conftest import PoolFactory
from tests.support.attempts import UNSAFE_REQUEST, run_attempt
from tests.support.connect_gates import ConnectGates
from tests.support.http_messages import http_response, read_http_message
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import FrozenClock, wait_until


@pytest.mark.parametrize(
    ("response_bytes", "outcome"),
    [
        (http_response(200, b"ok"), Outcome.OK),
        (b"HTTP/1.1 200 x\r\n\r\nuntil the end", Outcome.RESET),  # no length, and a body over the limit
        (http_response(500), Outcome.ERROR),
        (http_response(503, Srv_Declined="1"), Outcome.REJECTED),
        (http_response(504, Srv_Declined="1"), Outcome.REJECTED),
        (http_response(503), Outcome.ERROR),
        (http_response(504), Outcome.ERROR),
        (http_response(500, Srv_Declined="1"), Outcome.ERROR),
        (http_response(503, Srv_Declined="0"), Outcome.ERROR),
        (http_response(404), Outcome.UNUSABLE),
        (http_response(400), Outcome.UNUSABLE),
        (None, Outcome.RESET),
        (b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf", Outcome.TIMEOUT),
        (b"not http\r\n\r\n", Outcome.RESET),
        (http_response(200, b"x" * 65537), Outcome.RESET),
    ],
)
async def test_response_determines_the_outcome(
    pool: ConnectionPool, response_bytes: bytes | None, outcome: Outcome
) -> None:
    excess_bytes = b"x" * 70_000 if response_bytes and b"until" in response_bytes else b""
    async with StandInEndpoint(
        response_bytes + excess_bytes if response_bytes else response_bytes
    ) as endpoint:
        actual_outcome, response = await run_attempt(
            pool, ("127.0.0.1", endpoint.port), timeout_s=0.5 if outcome is Outcome.TIMEOUT else 60.0
        )
        assert actual_outcome is outcome
        assert actual_outcome is not Outcome.OK or (response and response.body == b"ok")
        assert len(endpoint.received) == 1  # not sent again: the policy decides on retries


@pytest.mark.parametrize(
    "response_bytes",
    [
        b"\x8f noise without the end of a line",
        b"HTTP/1.1 200 x\r\nX-Pad: " + b"p" * 20_000,
        b"HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\nabc",
        b"HTTP/1.1 200 x\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\nabc",
        b"HTTP/1.1 200 x\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        b"HTTP/1.1 100 x\r\n\r\n" * 100,
        b"HTTP/1.1 101 x\r\nUpgrade: y\r\n\r\n",
        b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
async def test_invalid_response_is_detected_at_once_on_an_open_connection(
    pool: ConnectionPool, response_bytes: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_connection, "RESPONSE_COMPLETION_TIMEOUT_S", 60.0)

    async with StandInEndpoint(response_bytes) as endpoint:
        assert await run_attempt(pool, ("127.0.0.1", endpoint.port), timeout_s=60.0) == (Outcome.RESET, None)
        assert not pool.idle.by_endpoint


async def test_response_that_does_not_complete_times_out(
    pool: ConnectionPool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_connection, "RESPONSE_COMPLETION_TIMEOUT_S", 0.05)

    async with StandInEndpoint(b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf") as endpoint:
        assert (await run_attempt(pool, ("127.0.0.1", endpoint.port), timeout_s=60.0))[0] is Outcome.RESET


async def test_surplus_bytes_after_a_response_prevent_reuse(new_pool: PoolFactory) -> None:
    valid_response = http_response(200, b"ok", Srv_Load="inflight=?,,=;util")
    for response_bytes in (
        valid_response,
        valid_response + valid_response,
        valid_response + b"noise",
        b"HTTP/1.1 103 x\r\n\r\n" + valid_response,
    ):
        async with StandInEndpoint(response_bytes) as endpoint:
            pool = new_pool()
            actual_outcome, response = await run_attempt(pool, ("127.0.0.1", endpoint.port))
            assert actual_outcome is Outcome.OK
            assert response
            assert response.body == b"ok"
            assert bool(pool.idle.by_endpoint) is (
                response_bytes.endswith(b"ok") and response_bytes.count(b"ok") == 1
            )
            pool.close()


async def test_late_copy_of_a_response_is_not_the_next_response(
    pool: ConnectionPool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The copy arrives just after the connection became idle; it must settle before it is reused."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", 60.0)

    may_send_copy = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        endpoint.received.append(await read_http_message(reader))
        writer.write(http_response(200, b"%d" % len(endpoint.received)))
        await may_send_copy.wait()
        writer.write(http_response(200, b"1"))
        await reader.read()

    async with StandInServer(handle) as endpoint:
        address = ("127.0.0.1", endpoint.port)
        assert (await run_attempt(pool, address))[1] == UpstreamResponse(
            200, [(b"content-length", b"1")], b"1"
        )
        result_task = asyncio.ensure_future(run_attempt(pool, address))
        await asyncio.sleep(0)
        may_send_copy.set()
        actual_outcome, response = await result_task
        assert actual_outcome is Outcome.OK
        assert response
        assert response.body == b"2"
        while any(pool.idle.by_endpoint.values()):
            await asyncio.sleep(0)


async def test_response_before_the_request_is_written_ends_as_no_connection(pool: ConnectionPool) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(http_response(200, b"ok"))
        await asyncio.Event().wait()

    async with StandInServer(handle) as endpoint:
        body = b"x" * 30_000_000
        large_request = replace(
            UNSAFE_REQUEST, headers=[(b"host", b"x"), (b"content-length", b"%d" % len(body))], body=body
        )
        assert await run_attempt(pool, ("127.0.0.1", endpoint.port), large_request) == (
            Outcome.NO_CONNECTION,
            None,
        )


async def test_deadline_header_holds_the_time_remaining_when_the_request_is_written() -> None:
    """The connection may be established long after the attempt started."""

    clock = FrozenClock()
    async with StandInEndpoint(http_response(200, b"ok")) as endpoint:
        pool = ConnectionPool(60.0, 30.0, 10)
        gate = ConnectGates(pool)
        result_task = asyncio.ensure_future(run_attempt(pool, ("127.0.0.1", endpoint.port), timeout_s=4.0))
        await wait_until(lambda: gate.started_count == 1)
        clock.advance(1.5)
        gate.open_all()
        assert (await result_task)[0] is Outcome.OK
        assert 2.0 < float(endpoint.received[0][1]["req-deadline"]) <= 2.5
        pool.close()
