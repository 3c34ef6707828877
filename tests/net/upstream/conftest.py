"""Connection pool fixtures for the tests in this folder."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest

from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection

# In real time, far longer than a connect on loopback takes on a busy machine. Tests of the timeout itself
# step the clock or create a pool with their own timeout.
CONNECT_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 10

PoolFactory = Callable[[], ConnectionPool]
ConnectionHook = Callable[[UpstreamConnection], None]


@pytest.fixture
async def new_pool() -> AsyncIterator[PoolFactory]:
    """Return a function that creates pools, which are closed at the end of the test."""
    pools: list[ConnectionPool] = []

    def make() -> ConnectionPool:
        pools.append(ConnectionPool(CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, MAX_CONNECTIONS))
        return pools[-1]

    yield make
    for pool in pools:
        pool.close()


@pytest.fixture
async def pool(new_pool: PoolFactory) -> ConnectionPool:
    """Return a pool that is closed at the end of the test."""
    return new_pool()


@pytest.fixture
def on_established(monkeypatch: pytest.MonkeyPatch) -> Callable[[ConnectionHook], None]:
    """Return a function that installs a hook, called with each connection as soon as it is established."""
    connection_made = UpstreamConnection.connection_made

    def install(hook: ConnectionHook) -> None:
        def call_with_hook(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
            connection_made(connection, transport)
            hook(connection)

        monkeypatch.setattr(UpstreamConnection, "connection_made", call_with_hook)

    return install
