"""The process is paused, as on a busy machine: time limits include the pause."""

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
    """The connect time limit starts at the policy's decision to send the attempt."""

    async with keyed_request(100.0) as request:
        request.clock.advance(70.0)
        start_attempt = request.proxy.pool.start_attempt

        def call_and_pause(*arguments: Any) -> UpstreamAttempt:
            attempt = start_attempt(*arguments)
            request.clock.advance(40.0)
            return attempt

        monkeypatch.setattr(request.proxy.pool, "start_attempt", call_and_pause)
        request.first_connection.reset()
        await request.status()
        first, last = request.received[0], request.received[-1]
        assert last[0] - first[0] <= 100.0


async def test_idle_connection_is_kept_when_the_process_pauses_while_it_is_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The pause exceeds the connect time-out, so the attempt ends without being sent.

    Its connection becomes idle again; otherwise no timer would close it.
    """

    async with StandInEndpoint(http_response(200)) as stand_in_endpoint:
        pool = ConnectionPool(60.0, 30.0, 10)
        attempts, connects = RecordedAttempts(pool, stand_in_endpoint), ConnectGates(pool, [])
        attempts.start_attempt("a")
        await connects.wait_for_started(1)
        connects.open(0)
        await attempts.wait_for_outcomes(a=Outcome.OK)
        await connects.advance(idle_connections.SETTLE_S)
        take = pool.idle.take

        def call_and_pause(endpoint: EndpointAddress) -> UpstreamConnection | None:
            connection = take(endpoint)
            connects.clock.advance(61.0)
            return connection

        with monkeypatch.context() as patch:
            patch.setattr(pool.idle, "take", call_and_pause)
            attempts.start_attempt("b", timeout_s=300.0)
        await attempts.wait_for_outcomes(a=Outcome.OK, b=Outcome.NO_CONNECTION)
        assert pool.connections.open == set(pool.idle.by_endpoint.get(attempts.endpoint, ()))
        await connects.advance(31.0)
        await wait_until(lambda: not pool.connections.open)
        assert stand_in_endpoint.request_ids == ["a"]


@pytest.mark.parametrize("turn_duration_s", [0.003, 0.01, 0.05])
@pytest.mark.parametrize("slow_turns", [1, 1000], ids=["one slow turn", "all turns slow"])
async def test_connection_reported_late_by_the_event_loop_does_not_count_as_late(
    turn_duration_s: float, slow_turns: int
) -> None:
    """It is established at once; another one would cost the endpoint a handshake and the proxy more turns."""

    async with StandInEndpoint(http_response(200)) as stand_in_endpoint:
        pool, clock, connect_count = ConnectionPool(60.0, 30.0, 10), SteppedClock(), 0
        for _ in range(WINDOW_SIZE):
            pool.pacing.latency.add(0.001)
        connect = pool.connector.open

        async def count_and_connect(endpoint: EndpointAddress) -> UpstreamConnection:
            nonlocal connect_count
            connect_count += 1
            return await connect(endpoint)

        pool.connector.open = count_and_connect  # type: ignore[method-assign]
        attempts = RecordedAttempts(pool, stand_in_endpoint)
        attempts.start_attempt("a", failover_within_s=30.0)
        slow_turns_remaining = slow_turns
        while not attempts.outcomes:
            await asyncio.sleep(0)
            if slow_turns_remaining:
                clock.advance(turn_duration_s)
                slow_turns_remaining -= 1
        assert (attempts.outcomes, connect_count) == ({"a": Outcome.OK}, 1)
        pool.close()
