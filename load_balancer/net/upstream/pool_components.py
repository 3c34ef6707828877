"""The components of the connection pool that attempts use, in one record shared by all attempts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from load_balancer.net.upstream.connect_pacing import ConnectPacing
from load_balancer.net.upstream.connection_queue import ConnectionQueue
from load_balancer.net.upstream.connection_reuse import ConnectionReuse
from load_balancer.net.upstream.open_connections import OpenConnections


@dataclass(frozen=True, slots=True)
class PoolComponents:
    """Components of the connection pool with which attempts acquire and release connections.

    Attributes:
        loop: The event loop.
        connections: The open connections, including the idle ones.
        reuse: Takes released connections.
        queue: Queues waiting attempts, and starts connects for them.
        pacing: Has the connect timeout and the time after which a connect is late.
    """

    loop: asyncio.AbstractEventLoop
    connections: OpenConnections
    reuse: ConnectionReuse
    queue: ConnectionQueue
    pacing: ConnectPacing
