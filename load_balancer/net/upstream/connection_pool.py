"""The connections to all endpoints, as the driver sees them.

The pool owns its parts: the open connections with the idle ones among them, the pending connects, and the
attempts that wait. The driver starts attempts here, and enables and disables endpoints.
"""

from __future__ import annotations

import asyncio

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connect_pacing import ConnectPacing
from load_balancer.net.upstream.connection_queue import ConnectionQueue
from load_balancer.net.upstream.connection_reuse import ConnectionReuse
from load_balancer.net.upstream.connector import Connector
from load_balancer.net.upstream.idle_connections import IdleConnections
from load_balancer.net.upstream.open_connections import OpenConnections
from load_balancer.net.upstream.pending_connects import PendingConnects
from load_balancer.net.upstream.pool_components import PoolComponents
from load_balancer.net.upstream.upstream_attempt import AttemptTimes, UpstreamAttempt
from load_balancer.net.upstream.upstream_messages import OnOutcome, UpstreamRequest
from load_balancer.net.upstream.waiting_attempts import WaitingAttempts


class ConnectionPool:
    """The connections to all endpoints.

    The driver uses the methods alone. The parts are public so that tests can look at their state.

    Attributes:
        loop: The event loop.
        idle: The idle connections.
        connections: The open connections, the idle ones among them.
        connector: Opens connections.
        pending: The pending connects.
        waiting: The attempts that wait for a connection.
        pacing: Decides when one more connect is worth its cost.
        reuse: Hands idle connections to attempts that wait.
        queue: Hands new connections to attempts that wait.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        idle_limit_s: float,
        max_connections: int,
        handshake_cost: float = 0.0,
    ) -> None:
        """Start with no connections; needs a running event loop.

        Args:
            connect_timeout_s: Seconds after which a connect is given up.
            idle_limit_s: Seconds after which an endpoint closes an idle connection.
            max_connections: The limit on open and pending connections to all endpoints together.
            handshake_cost: The price of a new connection, as a share of a request's priority weight.
        """
        self.loop = asyncio.get_running_loop()
        self.idle = IdleConnections(self.loop, idle_limit_s)
        self.connections = OpenConnections(self.loop, self.idle, max_connections)
        self.connector = Connector(self.loop, self.connections, connect_timeout_s)
        self.pending = PendingConnects(self.loop, self.connector)
        self.waiting = WaitingAttempts()
        self.pacing = ConnectPacing(self.loop, connect_timeout_s, handshake_cost)
        self.reuse = ConnectionReuse(self.loop, self.idle, self.waiting)
        self.queue = ConnectionQueue(self.connections, self.pending, self.waiting, self.reuse, self.pacing)
        self._components = PoolComponents(self.loop, self.connections, self.reuse, self.queue, self.pacing)

    def start_attempt(
        self,
        endpoint: EndpointAddress,
        request: UpstreamRequest,
        timeout_s: float,
        on_outcome: OnOutcome,
        failover_within_s: float = 0.0,
        decided_at_s: float | None = None,
    ) -> UpstreamAttempt:
        """Start an attempt, which ends after `timeout_s` seconds at the latest.

        Args:
            endpoint: The endpoint.
            request: The request.
            timeout_s: Seconds until it ends without a response.
            on_outcome: Is called exactly once, at the end, which may come before this returns.
            failover_within_s: Seconds within which it may end, if its connections do not come up, so that
                another endpoint is tried.
            decided_at_s: From when on all times count, by the event loop's clock; None counts from now.
        """
        if decided_at_s is None:
            decided_at_s = self.loop.time()
        times = AttemptTimes(decided_at_s, timeout_s, failover_within_s)
        attempt = UpstreamAttempt(self._components, endpoint, request, times, on_outcome)
        attempt.begin()
        return attempt

    def close_idle(self, endpoint: EndpointAddress) -> None:
        """Close the connections to an endpoint that nothing uses now."""
        self.idle.close_all(endpoint)

    def enable_endpoint(self, endpoint: EndpointAddress) -> None:
        """Keep idle connections to an endpoint from now on."""
        self.idle.enable(endpoint)

    def disable_endpoint(self, endpoint: EndpointAddress) -> None:
        """Send nothing more to an endpoint that drains or is gone; what it has been sent goes on."""
        self.connections.disable(endpoint)
        self.queue.disable(endpoint)

    def close(self) -> None:
        """Close all connections, and cancel the connects."""
        self.pending.cancel_all()
        self.connections.close()
