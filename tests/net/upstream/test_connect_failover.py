"""When connects to an endpoint stall, the attempt ends in time to fail over to another endpoint."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer import messages
from load_balancer.messages import Outcome
from load_balancer.net.upstream import connection_queue
from load_balancer.net.upstream.connection_pool import ConnectionPool
from tests.support.attempts import (
    LONG_CONNECT_TIMEOUT_S,
    LONG_IDLE_TIMEOUT_S,
    MOSTLY_FAST_CONNECTS_S,
    RecordedAttempts,
)
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.stand_in_server import StandInEndpoint
from tests.support.units import SECOND_US


@pytest.mark.parametrize(
    ("was_active", "expected_outcome"), [(True, Outcome.NOT_SENT), (False, Outcome.NO_CONNECTION)]
)
async def test_attempt_without_a_connection_fails_over_in_time(
    was_active: bool, expected_outcome: Outcome
) -> None:
    """The outcome is "not sent" if the endpoint was recently active, and "no connection" otherwise."""

    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, MOSTLY_FAST_CONNECTS_S)
        if was_active:
            pool.connections.record_activity(attempts.endpoint)
        attempts.start_attempt("a", failover_within_s=LONG_CONNECT_TIMEOUT_S / 2)
        for count in (2, 3):
            await connects.advance(11.0)
            await connects.wait_for_started(count)
        assert not attempts.outcomes
        await connects.advance(11.0)
        await attempts.wait_for_outcomes(a=expected_outcome)
        assert len(connects.gates) == 1 + connection_queue.MAX_SPARE_CONNECTS
        attempts.start_attempt("b")  # a connection established late serves another attempt
        connects.open(0)
        await attempts.wait_for_outcomes(a=expected_outcome, b=Outcome.OK)
        assert endpoint.request_ids == ["b"]
        pool.close()


async def test_attempt_past_its_failover_deadline_waits_for_its_connections() -> None:
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(LONG_CONNECT_TIMEOUT_S, LONG_IDLE_TIMEOUT_S, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, MOSTLY_FAST_CONNECTS_S)
        attempts.start_attempt("a", failover_within_s=500.0)
        await connects.advance(600.0)
        for _ in range(20):
            await connects.advance(50.0)
        assert not attempts.outcomes
        assert len(connects.gates) == 1 + connection_queue.MAX_SPARE_CONNECTS
        connects.open(0)
        await attempts.wait_for_outcomes(a=Outcome.OK)
        pool.close()


async def test_request_fails_over_to_another_endpoint_when_connects_stall() -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as first_endpoint,
        StandInEndpoint(http_response(200, b"x")) as second_endpoint,
        running_proxy(
            endpoint_entry("s-1", first_endpoint.port),
            endpoint_entry("s-2", second_endpoint.port),
            settings=balancer_settings(
                classes=(
                    messages.RequestClass(
                        "read", 5_000 * SECOND_US, 9_000 * SECOND_US, messages.Idempotency.SAFE
                    ),
                ),
                limits=messages.Limits(max_attempts=2, cancel=True),
            ),
            connect_timeout_s=LONG_CONNECT_TIMEOUT_S,
        ) as proxy,
    ):
        connects = ConnectGates(proxy.pool, MOSTLY_FAST_CONNECTS_S)
        for endpoint in list(proxy.pool.idle.reuse_from_s):
            proxy.pool.connections.record_activity(endpoint)
        response_task = asyncio.ensure_future(proxy.send_request(http_request(Req_Deadline="9000")))
        await connects.wait_for_started(1)
        for count in (2, 3, 4):
            await connects.advance(11.0)
            await connects.wait_for_started(count)
        connects.open(3)  # the first connect to the other endpoint
        status_line, _, body = await response_task
        assert (status_line.split()[1], body) == ("200", b"x")
        assert first_endpoint.connection_count + second_endpoint.connection_count == 1


def test_negative_handshake_cost_is_rejected() -> None:
    assert balancer_settings(handshake_cost=0.03).handshake_cost == 0.03
    with pytest.raises(ValueError, match="handshake"):
        balancer_settings(handshake_cost=-1.0)


def test_policy_bounds_the_time_to_fail_over() -> None:
    harness = BalancerHarness(
        balancer_settings(limits=messages.Limits(max_attempts=2, cancel=True)), endpoint_count=2
    )
    first_attempt = actions_of_type(harness.send_request("a"), messages.StartAttempt)[0]
    assert 0 < first_attempt.failover_within_us < first_attempt.timeout_us
    second_attempt = actions_of_type(
        harness.end_attempt(first_attempt, Outcome.NOT_SENT), messages.StartAttempt
    )[0]
    assert second_attempt.endpoint_id != first_attempt.endpoint_id
    assert second_attempt.failover_within_us == 0  # a third attempt is not allowed
    single_endpoint_harness = BalancerHarness(balancer_settings(), endpoint_count=1)
    assert (
        actions_of_type(single_endpoint_harness.send_request("a"), messages.StartAttempt)[
            0
        ].failover_within_us
        == 0
    )


def test_unsent_attempt_is_repeated_though_the_retry_budget_is_spent() -> None:
    harness = BalancerHarness(endpoint_count=4)
    harness.balancer.retry_budget.tokens = 0.0
    first_attempt = actions_of_type(harness.send_request("a"), messages.StartAttempt)[0]
    assert actions_of_type(harness.end_attempt(first_attempt, Outcome.NOT_SENT), messages.StartAttempt)
    other_attempt = actions_of_type(harness.send_request("b"), messages.StartAttempt)[0]
    assert not actions_of_type(
        harness.end_attempt(other_attempt, Outcome.NO_CONNECTION), messages.StartAttempt
    )
