"""An attempt that waits for connections opened for other attempts, all of which fail."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.connection_queue import MAX_SPARE_CONNECTS
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.loopback import answer, backend, until
from tests.support.upstream_helpers import Calls, Connects, ids

OTHERS = 1 + MAX_SPARE_CONNECTS


@pytest.mark.parametrize("refused", [False, True])
async def test_attempt_opens_its_own_connection_when_shared_ones_fail(
    refused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Unless the backend refuses, where one more would say nothing new."""

    async with backend(answer(200)) as b:
        pool = ConnectionPool(600.0, 300.0, 10)
        calls, connects = Calls(pool, b), Connects(pool, [])
        gates, number = pool.connector.open, iter(range(99))

        async def first_fail(endpoint: EndpointAddress) -> UpstreamConnection:
            fails = next(number) < OTHERS
            connection = await gates(endpoint)
            if fails:
                connection.close()
                raise ConnectionRefusedError if refused else TimeoutError
            return connection

        monkeypatch.setattr(pool.connector, "open", first_fail)
        before = [calls.begin(f"x{n}") for n in range(OTHERS)]
        await connects.begun(OTHERS)
        for attempt in before:  # they move on, and what is coming goes on for others to use
            attempt.finish(Outcome.NOT_SENT, keep_connecting=True)
        calls.begin("late")
        await asyncio.sleep(0)
        assert len(connects.gates) == OTHERS  # as many as may are coming
        connects.let(*range(OTHERS))
        if refused:
            await until(lambda: "late" in calls.ended)
            assert calls.ended["late"] is Outcome.NO_CONNECTION
            assert len(connects.gates) == OTHERS
        else:
            await connects.begun(OTHERS + 1)
            connects.let(OTHERS)
            await until(lambda: "late" in calls.ended)
            assert calls.ended["late"] is Outcome.OK
            assert ids(b) == ["late"]
        pool.close()
