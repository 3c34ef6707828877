"""The open connections to endpoints, and the time of the last activity of each endpoint.

Connections report their events to this module. It does not depend on the modules that assign connections to
attempts.
"""

from __future__ import annotations

import asyncio
import math

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.memory_budget import MemoryBudget, MemoryOwner
from load_balancer.net.upstream.idle_connections import IdleConnections
from load_balancer.net.upstream.upstream_connection import UpstreamConnection

# Memory of the transport, parser and state of a connection, as charged to the memory budget.
ENDPOINT_CONNECTION_BYTES = 6 * 1024
READ_SIZE_BYTES = 64 * 1024  # maximum size of one read; a body of the protocol's maximum size takes two


class OpenConnections:
    """The open connections to all endpoints, idle and in use.

    Attributes:
        idle: The idle connections.
        open: All open connections.
        max_connections: The limit on open and pending connections to all endpoints together.
        read_buffer: The buffer that all connections read into. Each copies its bytes before the next read.
        last_activity_at_s: The last time at which a connection to each enabled endpoint was established or
            received bytes, by the event loop's clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        idle: IdleConnections,
        max_connections: int,
        budget: MemoryBudget,
    ) -> None:
        """Start without connections.

        Args:
            loop: The event loop, used for its clock.
            idle: The idle connections.
            max_connections: The limit on open and pending connections to all endpoints together.
            budget: The memory budget, which each open connection is charged to.
        """
        self._loop = loop
        self._budget = budget
        self.idle = idle
        self.max_connections = max_connections
        self.open: set[UpstreamConnection] = set()
        self.read_buffer = memoryview(bytearray(READ_SIZE_BYTES))
        self.last_activity_at_s: dict[EndpointAddress, float] = {}

    def has_capacity(self, pending_count: int) -> bool:
        """Return whether another connection may be opened with this number of pending connects."""
        return len(self.open) + pending_count < self.max_connections

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Add an established connection."""
        self.open.add(connection)
        self._budget.change(MemoryOwner.ENDPOINT_CONNECTIONS, ENDPOINT_CONNECTION_BYTES)
        self.record_activity(connection.endpoint)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
        if connection in self.open:
            self.open.remove(connection)
            self._budget.change(MemoryOwner.ENDPOINT_CONNECTIONS, -ENDPOINT_CONNECTION_BYTES)
        self.idle.remove(connection)

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the idle ones so that it is not reused."""
        self.idle.remove(connection)

    def suspend_reuse(self, endpoint: EndpointAddress) -> None:
        """Suspend reuse of connections to an endpoint that closed one without responding to a request."""
        self.idle.suspend(endpoint)

    def record_activity(self, endpoint: EndpointAddress) -> None:
        """Record that an enabled endpoint is alive: a connection to it was established or received bytes."""
        if self.idle.is_enabled(endpoint):
            self.last_activity_at_s[endpoint] = self._loop.time()

    def was_active_since(self, endpoint: EndpointAddress, since_s: float) -> bool:
        """Return whether an endpoint showed activity at or after a time of the event loop's clock."""
        return self.last_activity_at_s.get(endpoint, -math.inf) >= since_s

    def close_silent_idle(self, endpoint: EndpointAddress, since_s: float) -> None:
        """Close the idle connections to an endpoint if it has shown no activity since a given time.

        A connection whose state the endpoint has lost without closing it accepts a request but never delivers
        a response. Each remaining idle connection in that state would fail another request.

        Args:
            endpoint: The endpoint.
            since_s: The time, by the event loop's clock.
        """
        if not self.was_active_since(endpoint, since_s):
            self.idle.close_all(endpoint)

    def disable(self, endpoint: EndpointAddress) -> None:
        """Close the idle connections to an endpoint that is draining or removed, and allow no new ones."""
        self.last_activity_at_s.pop(endpoint, None)
        self.idle.disable(endpoint)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.open):
            connection.close()
