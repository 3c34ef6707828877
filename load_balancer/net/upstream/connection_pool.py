"""The connection pool, the interface of the upstream side to the driver.

The pool owns its components: the open connections including the idle ones, the pending connects, and the
waiting attempts. The driver starts attempts here, and enables and disables endpoints.
"""

from __future__ import annotations

import asyncio

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.receive_scheduler import ReceiveScheduler
from load_balancer.net.shared_resources import SharedResources
from load_balancer.net.upstream.connect_pacing import ConnectPacing
from load_balancer.net.upstream.connection_queue import ConnectionQueue
from load_balancer.net.upstream.connection_reuse import ConnectionReuse
from load_balancer.net.upstream.connector import Connector
from load_balancer.net.upstream.idle_connections import IdleConnections
from load_balancer.net.upstream.open_connections import OpenConnections
from load_balancer.net.upstream.pending_connects import PendingConnects
from load_balancer.net.upstream.pool_components import PoolComponents
from load_balancer.net.upstream.response_memory import ResponseMemory
from load_balancer.net.upstream.upstream_attempt import AttemptTimes, UpstreamAttempt
from load_balancer.net.upstream.upstream_messages import OnOutcome, UpstreamRequest
from load_balancer.net.upstream.waiting_attempts import WaitingAttempts


class ConnectionPool:
    """Pool of the connections to all endpoints.

    The driver uses only the methods. The components are public so that tests can inspect their state.

    Attributes:
        loop: The event loop.
        idle: The idle connections.
        connections: The open connections, including the idle ones.
        memory: The memory that responses hold.
        connector: Opens connections.
        pending: The pending connects.
        waiting: The attempts waiting for a connection.
        pacing: Decides whether an extra connect is worth its cost.
        reuse: Assigns idle connections to waiting attempts.
        queue: Starts connects and assigns new connections to waiting attempts.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        idle_limit_s: float,
        max_connections: int,
        handshake_cost: float = 0.0,
        scheduler: ReceiveScheduler | None = None,
        shared: SharedResources | None = None,
    ) -> None:
        """Create an empty pool; requires a running event loop.

        Args:
            connect_timeout_s: The timeout of a connect in seconds.
            idle_limit_s: Seconds after which an endpoint closes an idle connection.
            max_connections: The limit on open and pending connections to all endpoints together.
            handshake_cost: The cost of a new connection, as a share of a request's priority weight.
            scheduler: Decides when the bytes received from endpoints are processed; by default one of the
                pool's own.
            shared: The memory budget and the counters of the process; by default some of the pool's own.
        """
        shared = shared or SharedResources()
        self.loop = asyncio.get_running_loop()
        self.idle = IdleConnections(self.loop, idle_limit_s)
        self.connections = OpenConnections(self.loop, self.idle, max_connections, shared.budget)
        scheduler = scheduler or ReceiveScheduler()
        self.memory = ResponseMemory(shared)
        self.connector = Connector(self.loop, scheduler, self.memory, self.connections, connect_timeout_s)
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
            timeout_s: Seconds after which the attempt ends without a response.
            on_outcome: Called exactly once, when the attempt ends, which may be before this method returns.
            failover_within_s: Seconds within which the attempt may end early, if its connects are late, so
                that another endpoint can be tried.
            decided_at_s: The start of all these periods, by the event loop's clock; None means now.
        """
        if decided_at_s is None:
            decided_at_s = self.loop.time()
        times = AttemptTimes(decided_at_s, timeout_s, failover_within_s)
        attempt = UpstreamAttempt(self._components, endpoint, request, times, on_outcome)
        attempt.begin()
        return attempt

    def close_idle(self, endpoint: EndpointAddress) -> None:
        """Close the idle connections to an endpoint."""
        self.idle.close_all(endpoint)

    def enable_endpoint(self, endpoint: EndpointAddress) -> None:
        """Allow idle connections to an endpoint."""
        self.idle.enable(endpoint)

    def disable_endpoint(self, endpoint: EndpointAddress) -> None:
        """Close an endpoint's idle connections, and end the attempts that wait for a connection to it.

        Called for an endpoint that is draining or removed. Requests in flight continue.
        """
        self.connections.disable(endpoint)
        self.queue.disable(endpoint)

    def close(self) -> None:
        """Close all connections and cancel all pending connects."""
        self.memory.close()
        self.pending.cancel_all()
        self.connections.close()
