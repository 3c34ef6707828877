"""Which connection an attempt uses, and what becomes of the others; the test completes each connect."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.connector import Connector
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.loopback import answer, backend, until
from tests.support.upstream_helpers import IDLE_S, LIMIT_S, MOSTLY_QUICK, SAFE, SLOW, Calls, Connects, ids

ONCE = replace(SAFE, is_idempotent=False)


async def test_extra_connection_is_opened_for_a_late_one_and_the_first_established_is_used() -> None:
    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, MOSTLY_QUICK)
        calls.begin("a")
        await connects.step(9.0)
        assert len(connects.gates) == 1
        await connects.step(2.0)
        await connects.begun(2)
        connects.let(1)
        await calls.until(a=Outcome.OK)
        assert b.connections == 1
        assert ids(b) == ["a"]
        await connects.step(1000.0)
        calls.begin("b")  # the one that was used is idle again
        await calls.until(a=Outcome.OK, b=Outcome.OK)
        assert b.connections == 1
        assert len(connects.gates) == 2
        connects.let(0)
        await until(lambda: b.connections == 2 and not pool.pending.by_endpoint)
        assert len(pool.idle.by_endpoint[calls.endpoint]) == 1  # the other one is not needed
        pool.close()


async def test_surplus_connection_is_reused_by_the_next_attempt() -> None:
    async with backend(None, answer(200)) as b:  # the first that is used breaks
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, MOSTLY_QUICK)
        calls.begin("a")
        await connects.step(11.0)
        await connects.begun(2)
        connects.let(1)
        await calls.until(a=Outcome.RESET)
        connects.let(0)
        await until(lambda: bool(pool.idle.by_endpoint))
        await connects.step(idle_connections.SETTLE_S)
        calls.begin("b")
        await calls.until(a=Outcome.RESET, b=Outcome.OK)
        assert b.connections == 2
        assert len(connects.gates) == 2
        pool.close()


async def test_surplus_connections_are_closed() -> None:
    """Backends hold only so many."""

    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, MOSTLY_QUICK)
        calls.begin("a")
        for count in (2, 3):
            await connects.step(11.0)
            await connects.begun(count)
        connects.let(2)
        await calls.until(a=Outcome.OK)
        connects.let(0, 1)
        await until(lambda: b.connections == 3 and not pool.pending.by_endpoint)
        await until(lambda: len(pool.connections.open) == 1)
        pool.close()


@pytest.mark.parametrize(
    ("usual", "price"), [(SLOW, 0.0), (MOSTLY_QUICK, 1.0), ([], 0.0)], ids=["all slow", "dear", "unknown"]
)
async def test_no_extra_connection_is_opened_when_it_saves_too_little(
    usual: list[float], price: float
) -> None:
    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10, price)
        calls, connects = Calls(pool, b), Connects(pool, usual)
        calls.begin("a", failover_within_s=LIMIT_S / 2)
        for _ in range(20):
            await connects.step(45.0)
        assert len(connects.gates) == 1
        assert not calls.ended
        connects.let(0)
        await calls.until(a=Outcome.OK)
        pool.close()


async def test_waiting_attempt_takes_a_connection_that_falls_idle() -> None:
    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, SLOW)
        calls.begin("a")
        calls.begin("once", ONCE)
        calls.begin("b")
        await connects.begun(3)
        connects.let(0)
        await until(lambda: "a" in calls.ended)
        assert set(calls.ended) == {"a"}  # it rests first: more than its answer may be under way
        await connects.step(idle_connections.SETTLE_S)
        await calls.until(a=Outcome.OK, b=Outcome.OK)
        assert b.connections == 1
        assert ids(b) == ["a", "b"]
        connects.let(1)  # what must not run twice waits for one of its own
        await calls.until(a=Outcome.OK, b=Outcome.OK, once=Outcome.OK)
        assert b.connections == 2
        pool.close()


async def test_waiting_attempt_takes_a_connection_that_has_settled() -> None:
    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, SLOW)
        calls.begin("a")
        await connects.begun(1)
        connects.let(0)
        await calls.until(a=Outcome.OK)
        calls.begin("b")
        await connects.begun(2)
        await connects.step(idle_connections.SETTLE_S)
        await calls.until(a=Outcome.OK, b=Outcome.OK)
        assert b.connections == 1
        pool.close()


async def test_longest_waiting_attempt_takes_the_first_connection_established() -> None:
    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, SLOW)
        calls.begin("a", ONCE)
        calls.begin("b", ONCE)
        await connects.begun(2)
        connects.let(1)
        await calls.until(a=Outcome.OK)
        connects.let(0)
        await calls.until(a=Outcome.OK, b=Outcome.OK)
        assert ids(b) == ["a", "b"]
        pool.close()


async def test_attempt_ends_only_when_none_of_its_connects_is_pending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A refusal ends that connection alone, and no more are opened where one was refused."""

    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, MOSTLY_QUICK)
        made, number = pool.connector.open, iter(range(9))

        async def refused_second(endpoint: EndpointAddress) -> UpstreamConnection:
            second = next(number) == 1
            connection = await made(endpoint)
            if second:
                connection.close()
                raise ConnectionRefusedError
            return connection

        monkeypatch.setattr(pool.connector, "open", refused_second)
        calls.begin("a", failover_within_s=LIMIT_S / 2)
        await connects.step(11.0)
        await connects.begun(2)
        connects.let(1)
        await until(
            lambda: pool.pending.by_endpoint[calls.endpoint][0].task is not None
            and bool(pool.pacing.no_extra_until_s)
        )
        for _ in range(20):
            await connects.step(11.0)
        assert not calls.ended
        assert len(connects.gates) == 2
        connects.let(0)
        await calls.until(a=Outcome.OK)
        pool.close()


@pytest.mark.parametrize("up", [False, True], ids=["coming", "just up"])
@pytest.mark.parametrize(
    ("how", "ends"),
    [
        ("drain", Outcome.NOT_SENT),
        ("client gone", Outcome.NOT_SENT),
        ("cancel", Outcome.CANCELLED),
        ("time-out", Outcome.NO_CONNECTION),
        ("end", None),
    ],
)
async def test_attempt_given_up_with_two_pending_connections_leaves_none_open(
    how: str, ends: Outcome | None, up: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also where both stand, and the tasks that waited for them have been woken and have not run yet."""

    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, MOSTLY_QUICK)
        out = calls.begin("a")
        await connects.step(11.0)
        await connects.begun(2)
        give_up = {
            "drain": lambda: pool.disable_endpoint(calls.endpoint),
            "client gone": out.cancel_if_unsent,
            "cancel": out.cancel,
            "time-out": out.time_out,
            "end": pool.close,
        }[how]
        tasks = [pending.task for pending in pool.pending.by_endpoint[calls.endpoint]]
        if up:
            crossed: list[bool] = []
            make = UpstreamConnection.connection_made

            def made(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
                make(connection, transport)
                pool.loop.call_soon(cross)  # in the next turn, before the tasks, which this one wakes later

            def cross() -> None:
                if not crossed:  # they were let at once and go on in step
                    crossed.append(len(pool.connections.open) == 2 and out.connection is None)
                    give_up()

            monkeypatch.setattr(UpstreamConnection, "connection_made", made)
            connects.let(0, 1)
            await until(lambda: bool(crossed))
            assert crossed == [True]
        else:
            give_up()
        await until(lambda: all(task.done() for task in tasks) and not pool.connections.open)
        assert calls.ended == ({} if ends is None else {"a": ends})
        assert not pool.pending.by_endpoint
        assert not pool.idle.by_endpoint
        assert not b.seen
        assert not pool.waiting.by_endpoint or how == "end"
        out.cancel_if_unsent()
        pool.close()


async def test_cancelled_attempt_leaves_the_connection_to_another_waiting_attempt() -> None:
    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, MOSTLY_QUICK)
        calls.begin("a")
        calls.begin("b").cancel_if_unsent()
        await connects.begun(1)
        connects.let(0)
        await calls.until(a=Outcome.OK, b=Outcome.NOT_SENT)
        assert not pool.pending.by_endpoint
        pool.close()


async def test_no_extra_connection_is_opened_at_the_connection_limit() -> None:
    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 1)
        calls, connects = Calls(pool, b), Connects(pool, MOSTLY_QUICK)
        calls.begin("a")
        for _ in range(5):
            await connects.step(50.0)
        assert len(connects.gates) == 1
        calls.begin("b")
        connects.let(0)
        await calls.until(a=Outcome.OK, b=Outcome.NOT_SENT)
        pool.close()


async def test_attempt_waits_no_longer_than_the_connect_timeout_for_any_connection() -> None:
    """The module counts on it for repeats within a window; what is coming goes on for others."""

    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, MOSTLY_QUICK)
        calls.begin("a", timeout_s=5 * LIMIT_S)
        await connects.step(59000.0)
        await connects.begun(2)
        connects.clock.step(1100.0)  # the first is given up by its own limit, the second is a second old
        await calls.until(a=Outcome.NO_CONNECTION)
        calls.begin("b")
        connects.let(1)
        await calls.until(a=Outcome.NO_CONNECTION, b=Outcome.OK)
        assert ids(b) == ["b"]
        pool.close()


async def test_connection_goes_to_the_next_attempt_when_the_first_missed_its_deadline_in_a_stall() -> None:
    """The process stood still past the time of one, so that its timer has not fired yet."""

    async with backend(answer(200)) as b:
        pool = ConnectionPool(LIMIT_S, IDLE_S, 10)
        calls, connects = Calls(pool, b), Connects(pool, SLOW)
        calls.begin("a", timeout_s=5 * LIMIT_S)
        await connects.step(30000.0)
        calls.begin("b", timeout_s=5 * LIMIT_S)
        await connects.begun(2)
        connection = await Connector.open(pool.connector, calls.endpoint)
        pending = pool.pending.by_endpoint[calls.endpoint][1]
        pending.task.cancel()
        connects.clock.step(31000.0)
        pool.queue.connect_succeeded(pending, connection)
        assert calls.ended == {"a": Outcome.NO_CONNECTION}
        await calls.until(a=Outcome.NO_CONNECTION, b=Outcome.OK)
        assert ids(b) == ["b"]
        pool.close()
