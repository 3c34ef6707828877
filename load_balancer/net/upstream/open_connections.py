"""The connections that are open, and when each endpoint last showed activity.

Connections report to it what happens to them; it calls none of the parts that hand connections out.
"""

from __future__ import annotations

import asyncio
import math

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.idle_connections import IdleConnections
from load_balancer.net.upstream.upstream_connection import UpstreamConnection


class OpenConnections:
    """The open connections to all endpoints, idle and in use.

    Attributes:
        idle: Those among them that no attempt uses.
        open: All of them.
        max_connections: The limit on open and pending connections together.
        last_activity_at_s: When a connection to each endpoint last came up or received something, by the
            event loop's clock.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, idle: IdleConnections, max_connections: int) -> None:
        """Start with no connection.

        Args:
            loop: The event loop, whose clock counts.
            idle: The idle connections.
            max_connections: The limit on open and pending connections to all endpoints together.
        """
        self._loop = loop
        self.idle = idle
        self.max_connections = max_connections
        self.open: set[UpstreamConnection] = set()
        self.last_activity_at_s: dict[EndpointAddress, float] = {}

    def has_capacity(self, pending_count: int) -> bool:
        """Return whether one more connection may be opened beside this number of pending ones."""
        return len(self.open) + pending_count < self.max_connections

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Add a connection that has come up."""
        self.open.add(connection)
        self.record_activity(connection.endpoint)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that is closed."""
        self.open.discard(connection)
        self.idle.remove(connection)

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Make sure that a connection is not used again."""
        self.idle.remove(connection)

    def suspend_reuse(self, endpoint: EndpointAddress) -> None:
        """Keep no idle connections to an endpoint for a while, as it broke one under a request."""
        self.idle.suspend(endpoint)

    def record_activity(self, endpoint: EndpointAddress) -> None:
        """Record that an endpoint is alive: a connection to it came up, or received something."""
        if self.idle.is_enabled(endpoint):
            self.last_activity_at_s[endpoint] = self._loop.time()

    def was_active_since(self, endpoint: EndpointAddress, since_s: float) -> bool:
        """Return whether an endpoint showed activity at this moment of the event loop's clock or later."""
        return self.last_activity_at_s.get(endpoint, -math.inf) >= since_s

    def close_silent_idle(self, endpoint: EndpointAddress, since_s: float) -> None:
        """Close the idle connections to an endpoint that has been silent since a moment.

        A connection that the endpoint has forgotten without a word takes a request and brings no response.
        Each of those that are left would cost a request of its own.

        Args:
            endpoint: The endpoint.
            since_s: The moment, by the event loop's clock.
        """
        if not self.was_active_since(endpoint, since_s):
            self.idle.close_all(endpoint)

    def disable(self, endpoint: EndpointAddress) -> None:
        """Close the idle connections to an endpoint that drains or is gone, and keep no more of them."""
        self.last_activity_at_s.pop(endpoint, None)
        self.idle.disable(endpoint)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.open):
            connection.close()
