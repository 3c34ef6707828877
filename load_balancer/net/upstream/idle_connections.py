"""The idle connections to all endpoints, and the endpoints that may have idle connections.

An unused connection is added here and taken for a later request. The order is last in, first out, so that
surplus connections reach the idle limit and are closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import math

from load_balancer.net import socket_state
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.upstream_connection import UpstreamConnection

SETTLE_S = 0.01  # minimum idle time before reuse, so that surplus bytes after the last response are detected
# Time without reuse after an endpoint closed a reused connection that carried a request.
REUSE_SUSPENSION_S = 10.0
# Share of the idle limit by which the pool closes an idle connection before the endpoint does.
IDLE_MARGIN_SHARE = 0.1
# Lower bound of that margin: the process may stall for 0.15 s between reading the clock and writing the
# request, and the request takes time to reach the endpoint.
MIN_IDLE_MARGIN_S = 0.2


class IdleConnections:
    """The idle connections to all endpoints.

    Attributes:
        by_endpoint: The idle connections to each endpoint that has any, the longest idle first.
        reuse_from_s: The endpoints that may have idle connections, each with the earliest time for adding
            one, by the event loop's clock.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, idle_limit_s: float) -> None:
        """Start without idle connections.

        Args:
            loop: The event loop.
            idle_limit_s: Seconds after which an endpoint closes an idle connection.
        """
        self._loop = loop
        margin_s = max(IDLE_MARGIN_SHARE * idle_limit_s, MIN_IDLE_MARGIN_S)
        self._limit_s = max(0.0, idle_limit_s - margin_s)
        self.by_endpoint: dict[EndpointAddress, list[UpstreamConnection]] = {}
        self.reuse_from_s: dict[EndpointAddress, float] = {}
        self._close_timers: dict[UpstreamConnection, asyncio.TimerHandle] = {}  # one for each idle connection

    def enable(self, endpoint: EndpointAddress) -> None:
        """Allow idle connections to an endpoint."""
        self.reuse_from_s.setdefault(endpoint, 0.0)

    def disable(self, endpoint: EndpointAddress) -> None:
        """Disallow idle connections to an endpoint, and close the existing ones."""
        self.reuse_from_s.pop(endpoint, None)
        self.close_all(endpoint)

    def is_enabled(self, endpoint: EndpointAddress) -> bool:
        """Return whether an endpoint may have idle connections, now or after a suspension."""
        return endpoint in self.reuse_from_s

    def suspend(self, endpoint: EndpointAddress) -> None:
        """Close the idle connections to an endpoint, and keep none for `REUSE_SUSPENSION_S`.

        An endpoint that closes idle connections early breaks requests sent on them, and it is then unknown
        whether they ran. That costs more than opening new connections.
        """
        if endpoint in self.reuse_from_s:
            self.reuse_from_s[endpoint] = self._loop.time() + REUSE_SUSPENSION_S
            self.close_all(endpoint)

    def count(self, endpoint: EndpointAddress) -> int:
        """Return the number of idle connections to an endpoint."""
        return len(self.by_endpoint.get(endpoint, ()))

    def take(self, endpoint: EndpointAddress) -> UpstreamConnection | None:
        """Remove and return a settled idle connection that appears usable, or None; close unusable ones."""
        settled_since_s = self._loop.time() - SETTLE_S
        for connection in reversed(self.by_endpoint.get(endpoint, [])[:]):
            if connection.idle_since_s > settled_since_s:
                continue
            self.remove(connection)
            if self._is_usable(connection):
                return connection
            connection.close()
        return None

    def _is_usable(self, connection: UpstreamConnection) -> bool:
        """Return whether an idle connection is within its idle limit, open, and without unread bytes."""
        # After a stall of the process the timer that closes the connection may not have run yet: the endpoint
        # may have closed the connection, with the end of the stream still in transit.
        if self._loop.time() >= connection.idle_since_s + self._limit_s:
            return False
        # The end of the stream, or surplus bytes after the last response, may have arrived without being read
        # yet: the next request would be lost, or get a response that is not its own.
        transport = connection.transport
        return not transport.is_closing() and not socket_state.has_unread_bytes(transport)

    def add(self, connection: UpstreamConnection) -> bool:
        """Keep an unused connection as idle; close it and return False if it may not be kept."""
        reuse_from_s = self.reuse_from_s.get(connection.endpoint, math.inf)
        if connection.transport.is_closing() or self._loop.time() < reuse_from_s:
            connection.close()
            return False
        self.by_endpoint.setdefault(connection.endpoint, []).append(connection)
        connection.mark_idle()
        self._close_timers[connection] = self._loop.call_later(self._limit_s, self._close, connection)
        return True

    def settled_at_s(self, connection: UpstreamConnection) -> float:
        """Return the time at which an idle connection may be reused, by the event loop's clock."""
        return connection.idle_since_s + SETTLE_S

    def closes_at_s(self, connection: UpstreamConnection) -> float:
        """Return the time at which an unused idle connection will be closed, by the event loop's clock."""
        return self._close_timers[connection].when()

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection so that it is not reused; do nothing if it is not idle."""
        timer = self._close_timers.pop(connection, None)
        if timer is not None:
            timer.cancel()
        idle = self.by_endpoint.get(connection.endpoint, [])
        with contextlib.suppress(ValueError):
            idle.remove(connection)
        if not idle:
            self.by_endpoint.pop(connection.endpoint, None)

    def _close(self, connection: UpstreamConnection) -> None:
        self.remove(connection)
        connection.close()

    def close_oldest(self, endpoint: EndpointAddress) -> None:
        """Close the longest idle connection to an endpoint; do nothing if there is none."""
        if endpoint in self.by_endpoint:
            self._close(self.by_endpoint[endpoint][0])

    def close_oldest_of_all(self) -> bool:
        """Close the longest idle connection of all endpoints; return False if there is none."""
        oldest_by_endpoint = [idle[0] for idle in self.by_endpoint.values() if idle]
        if not oldest_by_endpoint:
            return False
        self._close(min(oldest_by_endpoint, key=self.closes_at_s))
        return True

    def close_all(self, endpoint: EndpointAddress) -> None:
        """Close all idle connections to an endpoint."""
        for connection in list(self.by_endpoint.get(endpoint, [])):
            self._close(connection)
