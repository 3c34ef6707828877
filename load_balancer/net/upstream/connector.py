"""Opens connections to endpoints."""

from __future__ import annotations

import asyncio
import errno

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.receive_scheduler import ReceiveScheduler
from load_balancer.net.socket_state import has_never_connected
from load_balancer.net.upstream.response_memory import ResponseMemory
from load_balancer.net.upstream.upstream_connection import ConnectionOwner, UpstreamConnection


class Connector:
    """Opens connections that all report to the same owner."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        scheduler: ReceiveScheduler,
        memory: ResponseMemory,
        owner: ConnectionOwner,
        connect_timeout_s: float,
    ) -> None:
        """Create a connector.

        Args:
            loop: The event loop.
            scheduler: Decides when the bytes received on the connections are processed.
            memory: The memory that responses on the connections hold.
            owner: The owner of the connections.
            connect_timeout_s: The timeout of a connect in seconds.
        """
        self._loop = loop
        self._scheduler = scheduler
        self._memory = memory
        self._owner = owner
        self._connect_timeout_s = connect_timeout_s

    async def open(self, endpoint: EndpointAddress) -> UpstreamConnection:
        """Open a connection to an endpoint and return it.

        Raises:
            OSError: The connect failed; TimeoutError if it exceeded the connect timeout.
        """
        async with asyncio.timeout(self._connect_timeout_s):
            transport, connection = await self._loop.create_connection(
                lambda: UpstreamConnection(self._loop, self._scheduler, self._memory, self._owner, endpoint),
                *endpoint.address,
            )
        if has_never_connected(transport):
            connection.close()
            raise BlockingIOError(errno.EAGAIN, "connect failed: no system resources for a new connection")
        return connection
