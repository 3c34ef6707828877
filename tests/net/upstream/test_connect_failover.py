"""When connects to an endpoint stall, its attempt ends in time to fail over to another endpoint."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer import messages
from load_balancer.messages import Outcome
from load_balancer.net.upstream import connection_queue
from load_balancer.net.upstream.connection_pool import ConnectionPool
from tests.support.balancer_harness import BalancerHarness, S, only, settings
from tests.support.loopback import answer, backend, call, entry, proxy
from tests.support.upstream_helpers import (
    IDLE_S,
    LIMIT_S,
    MOSTLY_QUICK,
    Calls,
    Connects,
    ids,
)


@pytest.mark.parametrize(("heard", "ends"), [(True, Outcome.NOT_SENT), (False, Outcome.NO_CONNECTION)])
async def test_attempt_without_a_connection_fails_over_in_time(heard: bool, ends: Outcome) -> None:
    """As not sent where the backend is known to be there, as one that can't be reached otherwise."""

    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, MOSTLY_QUICK)
        if heard:
            pool.connections.record_activity(calls.endpoint)
        calls.begin("a", failover_within_s=LIMIT_S / 2)
        for count in (2, 3):
            await connects.step(11.0)
            await connects.begun(count)
        assert not calls.ended
        await connects.step(11.0)
        await calls.until(a=ends)
        assert len(connects.gates) == 1 + connection_queue.MAX_SPARE_CONNECTS
        calls.begin("b")  # what comes up late is there for another
        connects.let(0)
        await calls.until(a=ends, b=Outcome.OK)
        assert ids(b) == ["b"]
        pool.close()


async def test_attempt_without_another_endpoint_waits_for_its_connections() -> None:
    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, MOSTLY_QUICK)
        calls.begin("a", failover_within_s=500.0)
        await connects.step(600.0)
        for _ in range(20):
            await connects.step(50.0)
        assert not calls.ended
        assert len(connects.gates) == 1 + connection_queue.MAX_SPARE_CONNECTS
        connects.let(0)
        await calls.until(a=Outcome.OK)
        pool.close()


async def test_request_fails_over_to_another_endpoint_when_connects_stall() -> None:
    async with (
        backend(answer(200, b"x")) as a,
        backend(answer(200, b"x")) as b,
        proxy(
            entry("s-1", a.port),
            entry("s-2", b.port),
            setup=settings(
                classes=(messages.RequestClass("read", 5_000 * S, 9_000 * S, messages.Idempotency.SAFE),),
                limits=messages.Limits(max_attempts=2, cancel=True),
            ),
            connect_s=LIMIT_S,
        ) as p,
    ):
        connects = Connects(p.pool, MOSTLY_QUICK)
        for endpoint in list(p.pool.idle.reuse_from_s):
            p.pool.connections.record_activity(endpoint)
        asked = asyncio.ensure_future(p.ask(call(Req_Deadline="9000")))
        await connects.begun(1)
        for count in (2, 3, 4):
            await connects.step(11.0)
            await connects.begun(count)
        connects.let(3)  # the first to the other backend
        first, _, body = await asked
        assert (first.split()[1], body) == ("200", b"x")
        assert a.connections + b.connections == 1


def test_negative_handshake_price_is_rejected() -> None:
    assert settings(handshake_price=0.03).handshake_price == 0.03
    with pytest.raises(ValueError, match="handshake"):
        settings(handshake_price=-1.0)


def test_policy_bounds_the_time_to_fail_over() -> None:
    harness = BalancerHarness(settings(limits=messages.Limits(max_attempts=2, cancel=True)), backends=2)
    send = only(harness.request("a"), messages.StartAttempt)[0]
    assert 0 < send.relocate_within_us < send.timeout_us
    further = only(harness.end(send, Outcome.NOT_SENT), messages.StartAttempt)[0]
    assert further.endpoint_id != send.endpoint_id
    assert further.relocate_within_us == 0  # no third attempt is allowed
    alone = BalancerHarness(settings(), backends=1)
    assert only(alone.request("a"), messages.StartAttempt)[0].relocate_within_us == 0


def test_unsent_attempt_is_repeated_though_the_retry_budget_is_spent() -> None:
    harness = BalancerHarness(backends=4)
    harness.balancer.retry_budget.tokens = 0.0
    send = only(harness.request("a"), messages.StartAttempt)[0]
    assert only(harness.end(send, Outcome.NOT_SENT), messages.StartAttempt)
    other = only(harness.request("b"), messages.StartAttempt)[0]
    assert not only(harness.end(other, Outcome.NO_CONNECTION), messages.StartAttempt)
