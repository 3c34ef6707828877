"""Connection pools for the tests of this folder."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest

from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection

# Real time: far more than a connect on loopback takes on a busy machine. Tests of the limit itself step the
# clock, or make a pool with a limit of their own.
CONNECT_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 10

PoolFactory = Callable[[], ConnectionPool]
ConnectionHook = Callable[[UpstreamConnection], None]


@pytest.fixture
async def new_pool() -> AsyncIterator[PoolFactory]:
    """Return what makes pools, each of which is closed as the test ends."""
    pools: list[ConnectionPool] = []

    def make() -> ConnectionPool:
        pools.append(ConnectionPool(CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, MAX_CONNECTIONS))
        return pools[-1]

    yield make
    for pool in pools:
        pool.close()


@pytest.fixture
async def pool(new_pool: PoolFactory) -> ConnectionPool:
    """Return a pool that is closed as the test ends."""
    return new_pool()


@pytest.fixture
def on_established(monkeypatch: pytest.MonkeyPatch) -> Callable[[ConnectionHook], None]:
    """Return what has a function called with each connection, in the turn in which it is established."""
    connection_made = UpstreamConnection.connection_made

    def install(hook: ConnectionHook) -> None:
        def record_and_call(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
            connection_made(connection, transport)
            hook(connection)

        monkeypatch.setattr(UpstreamConnection, "connection_made", record_and_call)

    return install
