"""Keeps connections between requests and hands them to attempts that wait for one.

Attempts and the connection queue give connections back here once nothing uses them.
"""

from __future__ import annotations

import asyncio

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.idle_connections import IdleConnections
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.waiting_attempts import WaitingAttempts


class ConnectionReuse:
    """Offers idle connections to waiting attempts as soon as they may be used again."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, idle: IdleConnections, waiting: WaitingAttempts
    ) -> None:
        """Prepare to hand out idle connections.

        Args:
            loop: The event loop, whose clock counts.
            idle: The idle connections.
            waiting: The attempts that wait for a connection.
        """
        self._loop = loop
        self._idle = idle
        self._waiting = waiting

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection that nothing uses any more, or close it if it may not be kept."""
        if self._idle.add(connection) and self._waiting.count(connection.endpoint):
            self._offer_once_settled(connection)

    def offer_all_once_settled(self, endpoint: EndpointAddress) -> None:
        """Offer each idle connection to an endpoint to those that wait, once it may be used again."""
        for connection in self._idle.by_endpoint.get(endpoint, ()):
            self._offer_once_settled(connection)

    def _offer_once_settled(self, connection: UpstreamConnection) -> None:
        self._loop.call_at(self._idle.settled_at_s(connection), self._offer, connection.endpoint)

    def _offer(self, endpoint: EndpointAddress) -> None:
        """Hand the idle connections to an endpoint that have settled to attempts that wait for one."""
        for attempt in self._waiting.for_endpoint(endpoint):
            if not attempt.request.is_idempotent or attempt.is_over:
                continue
            connection = self._idle.take(endpoint)
            if connection is None:
                return
            if not attempt.send_on(connection):
                self.release(connection)
