"""Which connection an attempt uses, and what happens to the others; tests decide when connects complete."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import count

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.connector import Connector
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.net.upstream.conftest import ConnectionHook
from tests.support.attempts import (
    LONG_CONNECT_TIMEOUT_S,
    LONG_IDLE_TIMEOUT_S,
    MOSTLY_FAST_CONNECTS_S,
    SAFE_REQUEST,
    SLOW_CONNECTS_S,
    RecordedAttempts,
)
from tests.support.connect_gates import ConnectGates
from tests.support.http_messages import http_response
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import wait_until

NON_IDEMPOTENT_REQUEST = replace(SAFE_REQUEST, is_idempotent=False)


async def test_extra_connection_is_opened_for_a_late_one_and_the_first_established_is_used() -> None:
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, MOSTLY_FAST_CONNECTS_S)
        attempts.start_attempt("a")
        await connects.advance(9.0)
        assert len(connects.gates) == 1
        await connects.advance(2.0)
        await connects.wait_for_started(2)
        connects.open(1)
        await attempts.wait_for_outcomes(a=Outcome.OK)
        assert endpoint.connection_count == 1
        assert endpoint.request_ids == ["a"]
        await connects.advance(1000.0)
        attempts.start_attempt("b")  # reuses the connection, which is idle again
        await attempts.wait_for_outcomes(a=Outcome.OK, b=Outcome.OK)
        assert endpoint.connection_count == 1
        assert len(connects.gates) == 2
        connects.open(0)
        await wait_until(lambda: endpoint.connection_count == 2 and not pool.pending.by_endpoint)
        assert len(pool.idle.by_endpoint[attempts.endpoint]) == 1  # the surplus connection is closed
        pool.close()


async def test_surplus_connection_is_reused_by_the_next_attempt() -> None:
    # The first connection used is closed without a response.
    async with StandInEndpoint(None, http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, MOSTLY_FAST_CONNECTS_S)
        attempts.start_attempt("a")
        await connects.advance(11.0)
        await connects.wait_for_started(2)
        connects.open(1)
        await attempts.wait_for_outcomes(a=Outcome.RESET)
        connects.open(0)
        await wait_until(lambda: bool(pool.idle.by_endpoint))
        await connects.advance(idle_connections.SETTLE_S)
        attempts.start_attempt("b")
        await attempts.wait_for_outcomes(a=Outcome.RESET, b=Outcome.OK)
        assert endpoint.connection_count == 2
        assert len(connects.gates) == 2
        pool.close()


async def test_surplus_connections_are_closed() -> None:
    """An endpoint can hold only a limited number of connections."""

    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, MOSTLY_FAST_CONNECTS_S)
        attempts.start_attempt("a")
        for count in (2, 3):
            await connects.advance(11.0)
            await connects.wait_for_started(count)
        connects.open(2)
        await attempts.wait_for_outcomes(a=Outcome.OK)
        connects.open(0, 1)
        await wait_until(lambda: endpoint.connection_count == 3 and not pool.pending.by_endpoint)
        await wait_until(lambda: len(pool.connections.open) == 1)
        pool.close()


@pytest.mark.parametrize(
    ("earlier_connects_s", "handshake_cost"),
    [(SLOW_CONNECTS_S, 0.0), (MOSTLY_FAST_CONNECTS_S, 1.0), ([], 0.0)],
    ids=["all slow", "expensive", "unknown"],
)
async def test_no_extra_connection_is_opened_when_it_saves_too_little(
    earlier_connects_s: list[float], handshake_cost: float
) -> None:
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10, handshake_cost)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, earlier_connects_s)
        attempts.start_attempt("a", failover_within_s=LONG_CONNECT_TIMEOUT_S / 2)
        for _ in range(20):
            await connects.advance(45.0)
        assert len(connects.gates) == 1
        assert not attempts.outcomes
        connects.open(0)
        await attempts.wait_for_outcomes(a=Outcome.OK)
        pool.close()


async def test_waiting_attempt_takes_a_connection_that_falls_idle() -> None:
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, SLOW_CONNECTS_S)
        attempts.start_attempt("a")
        attempts.start_attempt("once", NON_IDEMPOTENT_REQUEST)
        attempts.start_attempt("b")
        await connects.wait_for_started(3)
        connects.open(0)
        await wait_until(lambda: "a" in attempts.outcomes)
        assert set(attempts.outcomes) == {"a"}  # it settles first, as surplus bytes may follow the response
        await connects.advance(idle_connections.SETTLE_S)
        await attempts.wait_for_outcomes(a=Outcome.OK, b=Outcome.OK)
        assert endpoint.connection_count == 1
        assert endpoint.request_ids == ["a", "b"]
        connects.open(1)  # a non-idempotent request waits for a new connection
        await attempts.wait_for_outcomes(a=Outcome.OK, b=Outcome.OK, once=Outcome.OK)
        assert endpoint.connection_count == 2
        pool.close()


async def test_waiting_attempt_takes_a_connection_that_has_settled() -> None:
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, SLOW_CONNECTS_S)
        attempts.start_attempt("a")
        await connects.wait_for_started(1)
        connects.open(0)
        await attempts.wait_for_outcomes(a=Outcome.OK)
        attempts.start_attempt("b")
        await connects.wait_for_started(2)
        await connects.advance(idle_connections.SETTLE_S)
        await attempts.wait_for_outcomes(a=Outcome.OK, b=Outcome.OK)
        assert endpoint.connection_count == 1
        pool.close()


async def test_longest_waiting_attempt_takes_the_first_connection_established() -> None:
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, SLOW_CONNECTS_S)
        attempts.start_attempt("a", NON_IDEMPOTENT_REQUEST)
        attempts.start_attempt("b", NON_IDEMPOTENT_REQUEST)
        await connects.wait_for_started(2)
        connects.open(1)
        await attempts.wait_for_outcomes(a=Outcome.OK)
        connects.open(0)
        await attempts.wait_for_outcomes(a=Outcome.OK, b=Outcome.OK)
        assert endpoint.request_ids == ["a", "b"]
        pool.close()


def refuse_connect(pool: ConnectionPool, refused_number: int) -> None:
    """Make one of the pool's connects, counted from 0, fail as refused once its gate is open."""
    connect, numbers = pool.connector.open, count()

    async def open_or_refuse(endpoint: EndpointAddress) -> UpstreamConnection:
        is_refused = next(numbers) == refused_number
        connection = await connect(endpoint)
        if is_refused:
            connection.close()
            raise ConnectionRefusedError
        return connection

    pool.connector.open = open_or_refuse  # type: ignore[method-assign]


async def test_attempt_ends_only_when_none_of_its_connects_is_pending() -> None:
    """A refusal ends only that connect, and no extra one is opened to the endpoint after it."""
    async with StandInEndpoint(http_response(200)) as stand_in:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, stand_in), ConnectGates(pool, MOSTLY_FAST_CONNECTS_S)
        refuse_connect(pool, 1)
        attempts.start_attempt("a", failover_within_s=LONG_CONNECT_TIMEOUT_S / 2)
        await connects.advance(11.0)
        await connects.wait_for_started(2)
        connects.open(1)
        await wait_until(
            lambda: pool.pending.by_endpoint[attempts.endpoint][0].task is not None
            and bool(pool.pacing.no_extra_connect_until_s)
        )
        for _ in range(20):
            await connects.advance(11.0)
        assert not attempts.outcomes
        assert len(connects.gates) == 2
        connects.open(0)
        await attempts.wait_for_outcomes(a=Outcome.OK)
        pool.close()


def end_attempt(ending: str, pool: ConnectionPool, attempt: UpstreamAttempt) -> None:
    {
        "drain": lambda: pool.disable_endpoint(attempt.endpoint),
        "client gone": attempt.cancel_if_unsent,
        "cancel": attempt.cancel,
        "time out": attempt.time_out,
        "close": pool.close,
    }[ending]()


@pytest.fixture
def end_attempt_once_established(
    on_established: Callable[[ConnectionHook], None],
) -> Callable[[str, ConnectionPool, UpstreamAttempt], list[bool]]:
    """Return a function that ends an attempt one iteration after its two connections are established.

    The returned list then gets one entry: whether both connections were open and the attempt used neither.
    """

    def install(ending: str, pool: ConnectionPool, attempt: UpstreamAttempt) -> list[bool]:
        states_at_end: list[bool] = []

        def end_once() -> None:
            if not states_at_end:  # both gates open at once, and both connects complete in the same iteration
                states_at_end.append(len(pool.connections.open) == 2 and attempt.connection is None)
                end_attempt(ending, pool, attempt)

        # Runs in the next event loop iteration, before the awaiting tasks, which are woken later in this one.
        def established(connection: UpstreamConnection) -> None:
            pool.loop.call_soon(end_once)

        on_established(established)
        return states_at_end

    return install


@pytest.mark.parametrize("is_established", [False, True], ids=["connecting", "just established"])
@pytest.mark.parametrize(
    ("ending", "expected_outcome"),
    [
        ("drain", Outcome.NOT_SENT),
        ("client gone", Outcome.NOT_SENT),
        ("cancel", Outcome.CANCELLED),
        ("time out", Outcome.NO_CONNECTION),
        ("close", None),
    ],
)
async def test_attempt_ended_with_two_pending_connections_leaves_none_open(
    ending: str,
    expected_outcome: Outcome | None,
    is_established: bool,
    end_attempt_once_established: Callable[[str, ConnectionPool, UpstreamAttempt], list[bool]],
) -> None:
    """Also if both are established and the tasks that await them have not run yet."""
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, MOSTLY_FAST_CONNECTS_S)
        attempt = attempts.start_attempt("a")
        await connects.advance(11.0)
        await connects.wait_for_started(2)
        tasks = [pending.task for pending in pool.pending.by_endpoint[attempts.endpoint]]
        if is_established:
            states_at_end = end_attempt_once_established(ending, pool, attempt)
            connects.open(0, 1)
            await wait_until(lambda: bool(states_at_end))
            assert states_at_end == [True]
        else:
            end_attempt(ending, pool, attempt)
        await wait_until(lambda: all(task.done() for task in tasks) and not pool.connections.open)
        assert attempts.outcomes == ({} if expected_outcome is None else {"a": expected_outcome})
        assert not pool.pending.by_endpoint
        assert not pool.idle.by_endpoint
        assert not endpoint.received
        assert not pool.waiting.by_endpoint or ending == "close"
        attempt.cancel_if_unsent()
        pool.close()


async def test_cancelled_attempt_leaves_the_connection_to_another_waiting_attempt() -> None:
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, MOSTLY_FAST_CONNECTS_S)
        attempts.start_attempt("a")
        attempts.start_attempt("b").cancel_if_unsent()
        await connects.wait_for_started(1)
        connects.open(0)
        await attempts.wait_for_outcomes(a=Outcome.OK, b=Outcome.NOT_SENT)
        assert not pool.pending.by_endpoint
        pool.close()


async def test_no_extra_connection_is_opened_at_the_connection_limit() -> None:
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 1)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, MOSTLY_FAST_CONNECTS_S)
        attempts.start_attempt("a")
        for _ in range(5):
            await connects.advance(50.0)
        assert len(connects.gates) == 1
        attempts.start_attempt("b")
        connects.open(0)
        await attempts.wait_for_outcomes(a=Outcome.OK, b=Outcome.NOT_SENT)
        pool.close()


async def test_attempt_waits_no_longer_than_the_connect_timeout_for_any_connection() -> None:
    """The policy relies on this for retries with an idempotency key, which endpoints remember for some time.

    Pending connects continue for other attempts.
    """

    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, MOSTLY_FAST_CONNECTS_S)
        attempts.start_attempt("a", timeout_s=5 * LONG_CONNECT_TIMEOUT_S)
        await connects.advance(59000.0)
        await connects.wait_for_started(2)
        # Past the attempt's connect timeout; its second connect is 1100 s old.
        connects.clock.advance(1100.0)
        await attempts.wait_for_outcomes(a=Outcome.NO_CONNECTION)
        attempts.start_attempt("b")
        connects.open(1)
        await attempts.wait_for_outcomes(a=Outcome.NO_CONNECTION, b=Outcome.OK)
        assert endpoint.request_ids == ["b"]
        pool.close()


async def test_connection_goes_to_the_next_attempt_when_the_first_missed_its_deadline_in_a_stall() -> None:
    """The process stalled past the deadline of the first attempt, whose timer has not fired yet."""

    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, SLOW_CONNECTS_S)
        attempts.start_attempt("a", timeout_s=5 * LONG_CONNECT_TIMEOUT_S)
        await connects.advance(30000.0)
        attempts.start_attempt("b", timeout_s=5 * LONG_CONNECT_TIMEOUT_S)
        await connects.wait_for_started(2)
        connection = await Connector.open(pool.connector, attempts.endpoint)
        pending = pool.pending.by_endpoint[attempts.endpoint][1]
        pending.task.cancel()
        connects.clock.advance(31000.0)
        pool.queue.connect_succeeded(pending, connection)
        assert attempts.outcomes == {"a": Outcome.NO_CONNECTION}
        await attempts.wait_for_outcomes(a=Outcome.NO_CONNECTION, b=Outcome.OK)
        assert endpoint.request_ids == ["b"]
        pool.close()
