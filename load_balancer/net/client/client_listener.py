"""Accepts clients' connections, checks their time limits, and closes them as the process ends.

The listener owns the listening socket and its place among the descriptors: it accepts no more than
`client_registry` has room for, and backs off while the system has no descriptor left. The entry module
creates it and takes it through the phases of a graceful shutdown: `is_shutting_down`, `stop_listening`,
`close_idle_connections` until `is_drained`, `close`.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Mapping

from load_balancer import messages
from load_balancer.net.addresses import Address
from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.client_registry import ClientRegistry
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.repeated_log_lines import repeated_fault
from load_balancer.net.socket_state import DESCRIPTOR_SHORTAGE_ERRNOS

log = logging.getLogger(__name__)

# Failures of an accept that concern the one connection at the head of the queue, by accept(2): what the
# network had to say of it while it stood there, and what a firewall or a signal has.
LOST_CONNECTION_ERRNOS = (
    errno.ECONNABORTED,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.EINTR,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
    errno.ETIMEDOUT,
)


class ClientListener:
    """The listening socket and the connections accepted from it.

    Attributes:
        loop: The event loop, whose time the limits are measured in.
        clients: The open connections.
    """

    def __init__(
        self, driver: EventLoopDriver, classes: Mapping[str, messages.RequestClass], max_connections: int
    ) -> None:
        """Starts to check time limits; accepts nothing before `listen`.

        Args:
            driver: Takes the requests.
            classes: The request classes of the settings, by name.
            max_connections: The limit on open connections.
        """
        self.loop = asyncio.get_running_loop()
        self.clients: ClientRegistry[ClientConnection] = ClientRegistry(max_connections)
        self._driver = driver
        self._classes = classes
        self._admission_tasks: set[asyncio.Task[None]] = set()
        self._descriptor_faults = repeated_fault(log, "no descriptor for a connection")
        self._lost_connection_faults = repeated_fault(log, "a connection was lost as it came")
        self._accept_faults = repeated_fault(log, "no connection can be taken in")
        self._listening_socket: socket.socket
        self._is_stopping = False  # the socket is closed once the system's queue is empty
        self._accept_retry_timer: asyncio.TimerHandle | None = None  # set while none can be accepted
        self._sweep_timer = self.loop.call_later(limits.SWEEP_INTERVAL_S, self._sweep)

    def listen(self, address: Address) -> Address:
        """Accepts connections from now on.

        This does without asyncio's server: where it has no descriptor, that logs hundreds of tracebacks at
        once and then accepts nothing for a second.

        Args:
            address: Host and port; port 0 stands for any free one.

        Returns:
            The host and port of the listening socket.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._listening_socket = socket.create_server(address, family=family, backlog=limits.ACCEPT_BACKLOG)
        self._listening_socket.setblocking(False)
        self.loop.add_reader(self._listening_socket, self._accept_ready)
        host, port = self._listening_socket.getsockname()[:2]
        return host, port

    def stop_listening(self) -> None:
        """Accepts the connections in the system's queue, and then no more: a close would reset those.

        Where they cannot all be accepted now, this goes on as others are closed, until `close` at the latest.
        """
        if self._listening_socket.fileno() < 0:
            return
        self._is_stopping = True
        if self._accept_up_to(min(limits.ACCEPT_BACKLOG + 1, self.clients.free_descriptors)):
            self._close_socket()
        else:
            self._pause_accepting()

    def close_idle_connections(self) -> None:
        """Closes connections from now on, each once its request has been answered.

        The caller repeats this until `is_drained`: a request may just be on its way on any connection.
        """
        self.clients.is_draining = True
        now_s = self.loop.time()
        for connection in [*self.clients.unused_connections, *self.clients.idle_connections]:
            if connection.can_be_closed(now_s):
                connection.transport.close()

    @property
    def is_drained(self) -> bool:
        """Whether every request has its response, all is written, and no connection waits to be accepted."""
        has_queue = self._is_stopping and self._listening_socket.fileno() >= 0
        if has_queue or self._admission_tasks:
            return False
        return all(connection.is_finished for connection in self.clients.open_connections)

    def close(self) -> None:
        """Closes the socket and all connections at once; an incomplete request gets a 503."""
        self._close_socket()
        self._sweep_timer.cancel()
        self.clients.abort_all()

    def _close_socket(self) -> None:
        if self._accept_retry_timer is not None:
            self._accept_retry_timer.cancel()
        if self._listening_socket.fileno() >= 0:
            self.loop.remove_reader(self._listening_socket)
            self._listening_socket.close()

    def _accept_ready(self) -> None:
        # A connection takes some turns of the event loop from its accept until it is registered, and so does
        # the close of the one that makes room for it. Without a bound, a flood would take all descriptors of
        # the process in between.
        self._accept_up_to(min(limits.MAX_ACCEPTS_PER_TURN, max(1, self.clients.free_descriptors)))

    def _accept_up_to(self, count: int) -> bool:
        """Accepts up to `count` connections, and returns whether the system's queue is empty now.

        Never raises: the event loop would write a traceback for each failed accept, and the shutdown end.
        """
        has_accepted = False
        try:
            for _ in range(count):
                has_accepted |= self._accept_one()
        except BlockingIOError:
            return True
        except OSError as error:
            faults = (
                self._descriptor_faults if error.errno in DESCRIPTOR_SHORTAGE_ERRNOS else self._accept_faults
            )
            faults.record(self.loop.time(), error)
            has_accepted = False
        if not has_accepted:  # the socket may stay readable: the event loop would come back here at once
            self._pause_accepting()
        return False

    def _accept_one(self) -> bool:
        """Accepts one connection, and returns whether it was not lost. Raises OSError where none can be."""
        try:
            accepted, _ = self._listening_socket.accept()
        except OSError as error:
            if error.errno not in LOST_CONNECTION_ERRNOS:
                raise
            self._lost_connection_faults.record(self.loop.time(), error)
            return False
        self.clients.descriptor_count += 1
        task = self.loop.create_task(self._admit(accepted))
        self._admission_tasks.add(task)
        task.add_done_callback(self._admission_tasks.discard)
        return True

    def _pause_accepting(self) -> None:
        self.loop.remove_reader(self._listening_socket)
        if self._accept_retry_timer is None:
            self._accept_retry_timer = self.loop.call_later(
                limits.ACCEPT_RETRY_DELAY_S, self._resume_accepting
            )

    def _resume_accepting(self) -> None:
        self._accept_retry_timer = None
        if self._is_stopping:
            self.stop_listening()
        else:
            self.loop.add_reader(self._listening_socket, self._accept_ready)

    async def _admit(self, accepted: socket.socket) -> None:
        try:
            # asyncio sets this only where it made the socket itself, as it does for endpoints.
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(self._make_connection, accepted)
        except OSError as error:
            self._lost_connection_faults.record(self.loop.time(), error)
            accepted.close()
            self.clients.descriptor_count -= 1

    def _make_connection(self) -> ClientConnection:
        return ClientConnection(self.clients, self._driver, self._classes)

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(limits.SWEEP_INTERVAL_S, self._sweep)
        now_s = self.loop.time()
        for faults in (self._descriptor_faults, self._lost_connection_faults, self._accept_faults):
            faults.end_if_quiet(now_s)
        for connection in list(self.clients.open_connections):
            connection.check_time_limits(now_s)
