"""Holds connections to endpoints before they are made, until a test lets them come up."""

from __future__ import annotations

import asyncio

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection


class ConnectGate:
    """Holds all connections of a pool just before they are made, until `opened` is set."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.opened = asyncio.Event()
        self.waiting_count = 0  # connections that have been begun
        connect = pool.connector.open

        async def connect_once_opened(endpoint: EndpointAddress) -> UpstreamConnection:
            self.waiting_count += 1
            await self.opened.wait()
            return await connect(endpoint)

        pool.connector.open = connect_once_opened  # type: ignore[method-assign]
