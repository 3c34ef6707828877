"""Listens for client connections, enforces their time limits and closes them at shutdown.

The `server` module creates the listener. `graceful_shutdown` calls it in its phases: `stop_listening`,
`close_idle_connections` until `is_drained`, `close`. The listener owns the registry of open connections and
the acceptor of new ones.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping

from load_balancer import messages
from load_balancer.errors import LoadBalancerError
from load_balancer.net.addresses import Address
from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.client_protocol import ClientProtocol
from load_balancer.net.client.client_registry import ClientRegistry
from load_balancer.net.client.connection_acceptor import ConnectionAcceptor
from load_balancer.net.client.connection_time_limits import ConnectionTimeLimits
from load_balancer.net.client.http_response import SERVICE_UNAVAILABLE
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.event_counters import EventKind
from load_balancer.net.receive_scheduler import ReceiveScheduler
from load_balancer.net.shared_resources import SharedResources


class NotListeningError(LoadBalancerError):
    """The acceptor was accessed before `listen` created it."""


class ClientListener:
    """Listening socket and the client connections accepted from it.

    Attributes:
        loop: The event loop, whose clock the time limits use.
        clients: The registry of open connections.
        time_limits: Closes connections whose time limit has expired.
        sweep_timer: The timer of the next `sweep`.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        classes: Mapping[str, messages.RequestClass],
        max_connections: int,
        scheduler: ReceiveScheduler,
        shared: SharedResources | None = None,
        max_descriptors: int | None = None,
    ) -> None:
        """Start checking time limits. Connections are accepted only after `listen`.

        Args:
            driver: The driver that requests are forwarded to.
            classes: The request classes of the settings, by name.
            max_connections: The limit on open connections.
            scheduler: Decides when received bytes are processed.
            shared: The memory budget and the counters of the process; by default some of the listener's own.
            max_descriptors: The limit on descriptors of client connections; by default by `max_connections`.
        """
        shared = shared or SharedResources()
        self.loop = asyncio.get_running_loop()
        self.clients: ClientRegistry[ClientConnection] = ClientRegistry(
            max_connections, shared, max_descriptors
        )
        self.time_limits = ConnectionTimeLimits(shared.counters)
        self._driver = driver
        self._classes = classes
        self._scheduler = scheduler
        self._acceptor: ConnectionAcceptor | None = None  # None until listen() is called
        self.sweep_timer = self.loop.call_later(limits.SWEEP_INTERVAL_S, self.sweep)

    @property
    def acceptor(self) -> ConnectionAcceptor:
        """The acceptor of new connections.

        Raises:
            NotListeningError: `listen` has not been called.
        """
        if self._acceptor is None:
            raise NotListeningError
        return self._acceptor

    def listen(self, address: Address) -> Address:
        """Create the listening socket and start accepting connections.

        Args:
            address: Host and port; port 0 selects any free port.

        Returns:
            The host and port of the listening socket.

        Raises:
            OSError: The address cannot be listened on.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listening_socket = socket.create_server(address, family=family, backlog=limits.ACCEPT_BACKLOG)
        listening_socket.settimeout(0.0)  # non-blocking
        self._acceptor = ConnectionAcceptor(listening_socket, self.clients, self._make_protocol)
        host, port = listening_socket.getsockname()[:2]
        return host, port

    def stop_listening(self) -> None:
        """Accept the connections already in the listen queue, then close the listening socket."""
        self.acceptor.stop()

    def close_idle_connections(self) -> None:
        """Start draining: close idle connections now, and each other one after its response.

        The graceful shutdown calls this repeatedly until `is_drained`, because a request may be in transit on
        any connection.
        """
        self.clients.is_draining = True
        now_s = self.loop.time()
        for connection in [*self.clients.unused_connections, *self.clients.idle_connections]:
            if self.time_limits.can_be_closed(connection, now_s):
                connection.transport.close()

    def refuse_incomplete_requests(self) -> None:
        """Respond to incomplete requests with 503. Otherwise the shutdown would wait for the rest of them."""
        for connection in list(self.clients.open_connections):
            if connection.has_pending_request and not connection.is_waiting_for_response:
                connection.reject(SERVICE_UNAVAILABLE)

    @property
    def is_drained(self) -> bool:
        """Whether all open connections have finished, and none waits to be accepted or registered."""
        if self._acceptor is not None and self._acceptor.has_pending_connections:
            return False
        return all(connection.is_finished for connection in self.clients.open_connections)

    def close(self) -> None:
        """Close the listening socket and all connections immediately; incomplete requests get a 503."""
        self.acceptor.close()
        self.sweep_timer.cancel()
        self.clients.counters.log_totals(f"KiB held: {self.clients.memory.budget.describe()}")
        self.clients.abort_all()

    def sweep(self) -> None:
        """Check the time limits of all connections and schedule the next sweep."""
        self.sweep_timer = self.loop.call_later(limits.SWEEP_INTERVAL_S, self.sweep)
        now_s = self.loop.time()
        if self._acceptor is not None:
            self._acceptor.log_ended_faults(now_s)
        for connection in list(self.clients.open_connections):
            self.time_limits.check(connection, now_s)
        self._close_clients_that_do_not_read(now_s)
        self.clients.counters.log_if_due(now_s, f"KiB held: {self.clients.memory.budget.describe()}")

    def _close_clients_that_do_not_read(self, now_s: float) -> None:
        """Close those that have read nothing for longest, while responses lack the memory that they hold."""
        budget = self.clients.memory.budget
        if budget.free_response_bytes >= limits.RESPONSE_ROOM_BYTES:
            return
        writing = [connection for connection in self.clients.open_connections if connection.is_writing]
        for connection in sorted(writing, key=lambda connection: connection.last_progress_at_s):
            unread_s = now_s - connection.last_progress_at_s
            if budget.free_response_bytes >= limits.RESPONSE_ROOM_BYTES:
                return
            if unread_s < limits.UNREAD_RESPONSE_GRACE_S:
                return
            self.clients.counters.count(EventKind.CLIENT_CLOSED_FOR_MEMORY)
            connection.unsent_account.set(0)
            connection.transport.abort()

    def _make_protocol(self) -> ClientProtocol:
        return ClientProtocol(self.clients, self._driver, self._classes, self._scheduler)
