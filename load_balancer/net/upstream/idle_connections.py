"""The idle connections to all backends, and which backends may have any.

The pool adds a connection that nothing uses any more and takes it for the next request. Used last in, first
out, so that spare ones age and are closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import math

from load_balancer.net import socket_state
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.upstream_connection import UpstreamConnection

SETTLE_S = 0.01  # a connection rests for this long, so that surplus bytes of its last response show
NO_REUSE_S = 10.0  # a backend that broke an idle connection under a request gets new ones for this long
IDLE_MARGIN_SHARE = 0.1  # share of the idle limit by which we close before the backend does
# And this at least: the process may be held up for 0.15 s between looking at its clock and writing, and the
# request has a way to go.
MIN_IDLE_MARGIN_S = 0.2


class IdleConnections:
    """Idle connections by backend.

    Attributes:
        by_endpoint: The idle connections of each backend that has any, the longest idle first.
        reuse_from: The backends that may have idle connections, and from when on.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, idle_limit_s: float) -> None:
        """Starts with none.

        Args:
            loop: The event loop, whose clock counts.
            idle_limit_s: Seconds after which a backend closes an idle connection.
        """
        self._loop = loop
        margin_s = max(IDLE_MARGIN_SHARE * idle_limit_s, MIN_IDLE_MARGIN_S)
        self._limit_s = max(0.0, idle_limit_s - margin_s)
        self.by_endpoint: dict[EndpointAddress, list[UpstreamConnection]] = {}
        self.reuse_from: dict[EndpointAddress, float] = {}

    def enable(self, endpoint: EndpointAddress) -> None:
        """Lets a backend have idle connections from now on."""
        self.reuse_from.setdefault(endpoint, 0.0)

    def disable(self, endpoint: EndpointAddress) -> None:
        """Lets a backend have none, and closes those that it has."""
        self.reuse_from.pop(endpoint, None)
        self.close_all(endpoint)

    def is_enabled(self, endpoint: EndpointAddress) -> bool:
        """Whether a backend may have idle connections, be it after a while."""
        return endpoint in self.reuse_from

    def suspend(self, endpoint: EndpointAddress) -> None:
        """Keeps no idle connections to a backend for a while.

        One that closes idle connections as it likes breaks requests on them, which then may have run;
        a new connection costs it less than that.
        """
        if endpoint in self.reuse_from:
            self.reuse_from[endpoint] = self._loop.time() + NO_REUSE_S
            self.close_all(endpoint)

    def count(self, endpoint: EndpointAddress) -> int:
        """The number of idle connections to a backend."""
        return len(self.by_endpoint.get(endpoint, ()))

    def take(self, endpoint: EndpointAddress) -> UpstreamConnection | None:
        """Takes an idle connection that has settled and looks alive."""
        settled = self._loop.time() - SETTLE_S
        for connection in reversed(self.by_endpoint.get(endpoint, [])[:]):
            if connection.idle_since > settled:
                continue
            self.remove(connection)
            if self._is_usable(connection):
                return connection
            connection.close()
        return None

    def _is_usable(self, connection: UpstreamConnection) -> bool:
        # The timer that closes it is late itself where the process was held up: the backend may have closed
        # it, with the end still on its way.
        if self._loop.time() >= connection.idle_since + self._limit_s:
            return False
        # Its end, or more than its last response, may have come and not been read yet: the next request would
        # be lost, or get a response that isn't its own.
        return not connection.transport.is_closing() and not socket_state.has_unread_bytes(
            connection.transport
        )

    def add(self, connection: UpstreamConnection) -> bool:
        """Keeps a connection that nothing uses any more; closes it and returns false where it may not."""
        reuse_from = self.reuse_from.get(connection.endpoint, math.inf)
        if connection.transport.is_closing() or self._loop.time() < reuse_from:
            connection.close()
            return False
        self.by_endpoint.setdefault(connection.endpoint, []).append(connection)
        connection.was_idle, connection.idle_since = True, self._loop.time()
        connection.idle_timer = self._loop.call_later(self._limit_s, self._close, connection)
        return True

    def settled_at(self, connection: UpstreamConnection) -> float:
        """When an idle connection can be used again, by the event loop's clock."""
        return connection.idle_since + SETTLE_S

    def remove(self, connection: UpstreamConnection) -> None:
        """Makes sure that a connection is not used again."""
        if connection.idle_timer is not None:
            connection.idle_timer.cancel()
        idle = self.by_endpoint.get(connection.endpoint, [])
        with contextlib.suppress(ValueError):
            idle.remove(connection)
        if not idle:
            self.by_endpoint.pop(connection.endpoint, None)

    def _close(self, connection: UpstreamConnection) -> None:
        self.remove(connection)
        connection.close()

    def close_oldest(self, endpoint: EndpointAddress) -> None:
        """Closes the connection to a backend that has been idle for longest."""
        if endpoint in self.by_endpoint:
            self._close(self.by_endpoint[endpoint][0])

    def close_oldest_of_all(self) -> bool:
        """Closes the connection that has been idle for longest; false where there is none."""
        oldest_by_endpoint = [idle[0] for idle in self.by_endpoint.values() if idle]
        if not oldest_by_endpoint:
            return False
        self._close(min(oldest_by_endpoint, key=_closes_at))
        return True

    def close_all(self, endpoint: EndpointAddress) -> None:
        """Closes all idle connections to a backend."""
        for connection in list(self.by_endpoint.get(endpoint, [])):
            self._close(connection)


def _closes_at(connection: UpstreamConnection) -> float:
    return connection.idle_timer.when() if connection.idle_timer else 0.0
