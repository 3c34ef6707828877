"""Reuse of connections: keeps them idle between requests and assigns them to waiting attempts.

Attempts and the connection queue release unused connections to this module.
"""

from __future__ import annotations

import asyncio

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.idle_connections import IdleConnections
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.waiting_attempts import WaitingAttempts


class ConnectionReuse:
    """Assigns idle connections to waiting attempts once their settling time has passed."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, idle: IdleConnections, waiting: WaitingAttempts
    ) -> None:
        """Create the assignment of idle connections to waiting attempts.

        Args:
            loop: The event loop.
            idle: The idle connections.
            waiting: The attempts waiting for a connection.
        """
        self._loop = loop
        self._idle = idle
        self._waiting = waiting

    def release(self, connection: UpstreamConnection) -> None:
        """Keep an unused connection as idle, or close it if it may not be kept."""
        if self._idle.add(connection) and self._waiting.count(connection.endpoint):
            self._offer_once_settled(connection)

    def offer_all_once_settled(self, endpoint: EndpointAddress) -> None:
        """Offer each idle connection to the endpoint's waiting attempts once its settling time has passed."""
        for connection in self._idle.by_endpoint.get(endpoint, ()):
            self._offer_once_settled(connection)

    def _offer_once_settled(self, connection: UpstreamConnection) -> None:
        self._loop.call_at(self._idle.settled_at_s(connection), self._offer, connection.endpoint)

    def _offer(self, endpoint: EndpointAddress) -> None:
        """Assign an endpoint's settled idle connections to its waiting attempts with idempotent requests."""
        for attempt in self._waiting.for_endpoint(endpoint):
            if not attempt.request.is_idempotent or attempt.is_over:
                continue
            connection = self._idle.take(endpoint)
            if connection is None:
                return
            if not attempt.send_on(connection):
                self.release(connection)
