"""Responses that take long to parse delay neither the event loop nor other attempts, and arrive whole."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from load_balancer.messages import Outcome
from load_balancer.net import receive_scheduler
from load_balancer.net.http_messages import MAX_BODY_BYTES
from load_balancer.net.receive_scheduler import ReceiveScheduler
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import RESPONSE_COMPLETION_TIMEOUT_S
from tests.net.upstream.conftest import PoolFactory
from tests.support.attempts import RecordedAttempt, run_attempt
from tests.support.http_messages import http_response
from tests.support.parsing_clock import EVENT_COST_S, MAX_ITERATION_S, ParsingClock
from tests.support.raw_endpoint import RawEndpoint, respond_with
from tests.support.receivers import StandInReceiver
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import run_loop_turns, wait_until

BUSY_ITERATIONS = 500
SHORT_LINES = b"a:\r\n" * 3_900  # in a head of 16 KiB, just below the limit
CHUNKED_HEAD = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY_CHUNK = b"1\r\na\r\n"
MANY_LINES = b"\n" * 60_000

EXPENSIVE_RESPONSES = {
    "head of thousands of lines": b"HTTP/1.1 200 x\r\nContent-Length: 1\r\n" + SHORT_LINES + b"\r\na",
    "interim responses": (b"HTTP/1.1 103 x\r\n" + SHORT_LINES + b"\r\n") * 15 + http_response(200, b"a"),
    "trailers": CHUNKED_HEAD + TINY_CHUNK + b"0\r\n" + SHORT_LINES + b"\r\n",
    "tiny chunks": CHUNKED_HEAD + TINY_CHUNK * 10_000 + b"0\r\n\r\n",
    "tiny chunks without end": CHUNKED_HEAD + TINY_CHUNK * 70_000,
}
BODY_SIZES = {"tiny chunks": 10_000}  # of the others 1 byte


@pytest.fixture
async def clock(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[ParsingClock]:
    parsing_clock = ParsingClock(monkeypatch)
    yield parsing_clock
    parsing_clock.stop()


@pytest.mark.time_limit_s(60.0)  # parses up to 8 MB, which takes seconds beside busy processes
@pytest.mark.parametrize("kind", EXPENSIVE_RESPONSES)
async def test_expensive_responses_do_not_delay_other_attempts(
    new_pool: PoolFactory, clock: ParsingClock, kind: str
) -> None:
    """Guards against review case 1: all chunks of one read were handled in one iteration, for a second."""
    pool = new_pool()
    async with (
        StandInEndpoint(EXPENSIVE_RESPONSES[kind]) as expensive,
        StandInEndpoint(http_response(200, b"ok")) as other,
    ):
        attempts = [
            asyncio.ensure_future(run_attempt(pool, ("127.0.0.1", expensive.port), timeout_s=600.0))
            for _ in range(pool.connections.max_connections - 1)
        ]
        await wait_until(lambda: len(expensive.received) == len(attempts))
        for _ in range(5):
            started_at_s = clock.advanced_s
            outcome, _ = await run_attempt(pool, ("127.0.0.1", other.port), endpoint_id=2)
            assert outcome is Outcome.OK
            assert clock.advanced_s - started_at_s < 0.5
        for outcome, response in await asyncio.gather(*attempts):
            is_complete = "without end" not in kind
            assert outcome is (Outcome.OK if is_complete else Outcome.RESET)
            assert not response or response.body == b"a" * BODY_SIZES.get(kind, 1)
        assert clock.longest_iteration_s <= MAX_ITERATION_S


async def test_response_is_not_cut_off_while_its_bytes_wait_to_be_processed(
    pool: ConnectionPool, clock: ParsingClock
) -> None:
    """Parsing the largest body in the smallest chunks takes longer than an endpoint may take to send it."""
    assert MAX_BODY_BYTES * EVENT_COST_S > 0.9 * RESPONSE_COMPLETION_TIMEOUT_S
    response_bytes = CHUNKED_HEAD + TINY_CHUNK * MAX_BODY_BYTES + b"0\r\n\r\n"
    async with StandInEndpoint(response_bytes) as endpoint:
        outcome, response = await run_attempt(pool, ("127.0.0.1", endpoint.port), timeout_s=600.0)
        assert clock.advanced_s > RESPONSE_COMPLETION_TIMEOUT_S
        assert outcome is Outcome.OK
        assert response
        assert response.body == b"a" * MAX_BODY_BYTES


@pytest.fixture
async def busy_pool(clock: ParsingClock, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[ConnectionPool]:
    """A pool whose scheduler runs no long step for `BUSY_ITERATIONS`."""
    monkeypatch.setattr(receive_scheduler, "ITERATIONS_BETWEEN_LONG_STEPS", BUSY_ITERATIONS)
    scheduler = ReceiveScheduler()
    scheduler.submit(StandInReceiver(clock, 1, expected_step_s=1.0, step_s=1.0))
    pool = ConnectionPool(60.0, 30.0, 10, scheduler=scheduler)
    yield pool
    pool.close()


@pytest.mark.parametrize("has_length", [True, False])
async def test_end_of_the_stream_is_processed_after_the_bytes_before_it(
    busy_pool: ConnectionPool, has_length: bool
) -> None:
    """The response is complete although its endpoint closes the connection before it is processed."""
    head = b"HTTP/1.1 200 x\r\n" + b"Content-Length: %d\r\n" % len(MANY_LINES) * has_length + b"\r\n"
    async with RawEndpoint(respond_with(head + MANY_LINES, "end")) as endpoint:
        recorded = RecordedAttempt(busy_pool, endpoint.endpoint)
        await wait_until(lambda: bool(endpoint.received))
        await run_loop_turns()
        assert not recorded.results
        outcome, response = await recorded.result()
        assert outcome is Outcome.OK
        assert response
        assert response.body == MANY_LINES
        await wait_until(lambda: not busy_pool.connections.open)


async def test_end_of_the_stream_is_processed_although_no_time_is_left_when_it_is_read(
    clock: ParsingClock,
) -> None:
    scheduler = ReceiveScheduler()
    pool = ConnectionPool(60.0, 30.0, 10, scheduler=scheduler)
    async with RawEndpoint(respond_with(b"HTTP/1.1 200 x\r\n\r\nok")) as endpoint:
        recorded = RecordedAttempt(pool, endpoint.endpoint)
        await wait_until(lambda: bool(endpoint.received))
        await run_loop_turns()
        endpoint.connections[0].end_sending()
        # Its first step runs now, the second before the end of the stream is read, and the third after it.
        scheduler.submit(StandInReceiver(clock, 3, step_s=10 * receive_scheduler.ITERATION_BUDGET_S))
        outcome, response = await recorded.result()
        assert outcome is Outcome.OK
        assert response
        assert response.body == b"ok"
        await wait_until(lambda: not pool.connections.open)


async def test_attempt_times_out_while_its_response_waits_to_be_processed(
    busy_pool: ConnectionPool, clock: ParsingClock
) -> None:
    async with RawEndpoint(respond_with(http_response(200, MANY_LINES))) as endpoint:
        recorded = RecordedAttempt(busy_pool, endpoint.endpoint, timeout_s=60.0)
        await wait_until(lambda: bool(endpoint.received))
        await run_loop_turns()
        [connection] = busy_pool.connections.open
        assert not connection.transport.is_reading()  # its unprocessed bytes are bounded by one read
        clock.advance(60.0)
        assert await recorded.result() == (Outcome.TIMEOUT, None)
        await run_loop_turns(2 * BUSY_ITERATIONS)
        assert not busy_pool.connections.open
        assert len(recorded.results) == 1


async def test_connection_is_reused_after_a_response_that_had_to_wait(
    pool: ConnectionPool, clock: ParsingClock
) -> None:
    async with StandInEndpoint(http_response(200, MANY_LINES)) as endpoint:
        for _ in range(3):
            outcome, response = await run_attempt(pool, ("127.0.0.1", endpoint.port), timeout_s=600.0)
            assert outcome is Outcome.OK
            assert response
            assert response.body == MANY_LINES
            clock.advance(1.0)  # the connection settles
        assert endpoint.connection_count == 1
