"""The parts of the pool that attempts use. The pool makes one record of them for all attempts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from load_balancer.net.upstream.connect_pacing import ConnectPacing
from load_balancer.net.upstream.connection_queue import ConnectionQueue
from load_balancer.net.upstream.connection_reuse import ConnectionReuse
from load_balancer.net.upstream.open_connections import OpenConnections


@dataclass(frozen=True, slots=True)
class PoolComponents:
    """Where attempts get connections from and give them back to.

    Attributes:
        loop: The event loop, whose clock counts.
        connections: The open connections, the idle ones among them.
        reuse: Takes connections back.
        queue: Lets attempts wait, and opens further connections.
        pacing: Says how long connects usually take, and after how many seconds they are given up.
    """

    loop: asyncio.AbstractEventLoop
    connections: OpenConnections
    reuse: ConnectionReuse
    queue: ConnectionQueue
    pacing: ConnectPacing
