"""Opens connections to endpoints. It holds no state."""

from __future__ import annotations

import asyncio
import errno

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.socket_state import has_never_connected
from load_balancer.net.upstream.upstream_connection import ConnectionOwner, UpstreamConnection


class Connector:
    """Opens connections that report to one owner."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, owner: ConnectionOwner, connect_timeout_s: float
    ) -> None:
        """Prepare to open connections.

        Args:
            loop: The event loop.
            owner: The owner of the connections.
            connect_timeout_s: Seconds after which a connect is given up.
        """
        self._loop = loop
        self._owner = owner
        self._connect_timeout_s = connect_timeout_s

    async def open(self, endpoint: EndpointAddress) -> UpstreamConnection:
        """Open a connection to an endpoint and return it.

        Raises:
            OSError: The connect failed; TimeoutError if it took too long.
        """
        async with asyncio.timeout(self._connect_timeout_s):
            transport, connection = await self._loop.create_connection(
                lambda: UpstreamConnection(self._loop, self._owner, endpoint), *endpoint.address
            )
        if has_never_connected(transport):
            connection.close()
            raise BlockingIOError(errno.EAGAIN, "the system has no resources for a connection")
        return connection
