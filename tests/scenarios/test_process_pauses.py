"""A proxy that stands still for a moment, as a busy machine makes it: limits count what it missed."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connect_latency import WINDOW_SIZE
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.scenarios.test_deduplication_window import keyed_request
from tests.support.attempts import RecordedAttempts
from tests.support.connect_gates import ConnectGates
from tests.support.http_messages import http_response
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import SteppedClock, wait_until


async def test_keyed_retry_is_not_late_when_the_process_pauses_before_connecting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time for the connection runs from the decision to send, as the module counts it."""

    async with keyed_request(100.0) as request:
        request.clock.advance(70.0)
        begin = request.proxy.pool.start_attempt

        def stands_still(*what: Any) -> UpstreamAttempt:
            out = begin(*what)
            request.clock.advance(40.0)
            return out

        monkeypatch.setattr(request.proxy.pool, "start_attempt", stands_still)
        request.first_connection.reset()
        await request.status()
        first, last = request.received[0], request.received[-1]
        assert last[0] - first[0] <= 100.0


async def test_idle_connection_is_kept_when_the_process_pauses_as_it_is_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The attempt ends as too late; the connection has no timer any more, and none would ever close it."""

    async with StandInEndpoint(http_response(200)) as stand_in:
        pool = ConnectionPool(60.0, 30.0, 10)
        calls, connects = RecordedAttempts(pool, stand_in), ConnectGates(pool, [])
        calls.start_attempt("a")
        await connects.wait_for_started(1)
        connects.open(0)
        await calls.wait_for_outcomes(a=Outcome.OK)
        await connects.advance(idle_connections.SETTLE_S)
        take = pool.idle.take

        def stands_still(endpoint: EndpointAddress) -> UpstreamConnection | None:
            connection = take(endpoint)
            connects.clock.advance(61.0)
            return connection

        with monkeypatch.context() as patched:
            patched.setattr(pool.idle, "take", stands_still)
            calls.start_attempt("b", timeout_s=300.0)
        await calls.wait_for_outcomes(a=Outcome.OK, b=Outcome.NO_CONNECTION)
        assert pool.connections.open == set(pool.idle.by_endpoint.get(calls.endpoint, ()))
        await connects.advance(31.0)
        await wait_until(lambda: not pool.connections.open)
        assert stand_in.request_ids == ["a"]


@pytest.mark.parametrize("turn_s", [0.003, 0.01, 0.05])
@pytest.mark.parametrize("turns", [1, 1000], ids=["one slow turn", "all turns slow"])
async def test_connection_noticed_late_by_the_event_loop_does_not_count_as_late(
    turn_s: float, turns: int
) -> None:
    """It stands at once, and any other one would cost the backend a handshake, and the proxy more turns."""

    async with StandInEndpoint(http_response(200)) as stand_in:
        pool, clock, begun = ConnectionPool(60.0, 30.0, 10), SteppedClock(), 0
        for _ in range(WINDOW_SIZE):
            pool.pacing.latency.add(0.001)
        connect = pool.connector.open

        async def counted(endpoint: EndpointAddress) -> UpstreamConnection:
            nonlocal begun
            begun += 1
            return await connect(endpoint)

        pool.connector.open = counted  # type: ignore[method-assign]
        calls = RecordedAttempts(pool, stand_in)
        calls.start_attempt("a", failover_within_s=30.0)
        slow = turns
        while not calls.outcomes:
            await asyncio.sleep(0)
            if slow:
                clock.advance(turn_s)
                slow -= 1
        assert (calls.outcomes, begun) == ({"a": Outcome.OK}, 1)
        pool.close()
