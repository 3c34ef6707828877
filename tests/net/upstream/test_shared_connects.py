"""An attempt waits for connections opened for other attempts, and all of these connects fail."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.connection_queue import MAX_SPARE_CONNECTS
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.attempts import RecordedAttempts
from tests.support.connect_gates import ConnectGates
from tests.support.http_messages import http_response
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import wait_until

SHARED_CONNECTS = 1 + MAX_SPARE_CONNECTS


class FailingConnects:
    """Makes the first connects of a pool fail once their gates are open."""

    def __init__(self, pool: ConnectionPool, failing_count: int, error: type[OSError]) -> None:
        self.failing_count, self.error = failing_count, error
        self._open = pool.connector.open
        pool.connector.open = self.open  # type: ignore[method-assign]

    async def open(self, endpoint: EndpointAddress) -> UpstreamConnection:
        fails = self.failing_count > 0
        self.failing_count -= 1
        connection = await self._open(endpoint)
        if fails:
            connection.close()
            raise self.error
        return connection


@pytest.mark.parametrize("refused", [False, True])
async def test_attempt_opens_its_own_connection_when_shared_ones_fail(refused: bool) -> None:
    """It opens none if the endpoint refuses connections, as another one would be refused as well."""
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(600.0, 300.0, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, [])
        FailingConnects(pool, SHARED_CONNECTS, ConnectionRefusedError if refused else TimeoutError)
        earlier_attempts = [attempts.start_attempt(f"x{number}") for number in range(SHARED_CONNECTS)]
        await connects.wait_for_started(SHARED_CONNECTS)
        for attempt in earlier_attempts:  # they end, and their connects continue for other attempts
            attempt.finish(Outcome.NOT_SENT, keep_connecting=True)
        attempts.start_attempt("late")
        await asyncio.sleep(0)
        assert len(connects.gates) == SHARED_CONNECTS  # the maximum number of connects is pending
        connects.open(*range(SHARED_CONNECTS))
        if refused:
            await wait_until(lambda: "late" in attempts.outcomes)
            assert attempts.outcomes["late"] is Outcome.NO_CONNECTION
            assert len(connects.gates) == SHARED_CONNECTS
        else:
            await connects.wait_for_started(SHARED_CONNECTS + 1)
            connects.open(SHARED_CONNECTS)
            await wait_until(lambda: "late" in attempts.outcomes)
            assert attempts.outcomes["late"] is Outcome.OK
            assert endpoint.request_ids == ["late"]
        pool.close()
