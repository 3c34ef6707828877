"""Accepts clients' connections from one listening socket, within the descriptors that there are for them.

`client_listener` makes the acceptor once the socket listens, and stops it as the process ends. This does
without asyncio's server: where it has no descriptor, that logs hundreds of tracebacks at once and then
accepts nothing for a second.
"""

from __future__ import annotations

import asyncio
import enum
import errno
import logging
import socket
from collections.abc import Callable

from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.client_registry import ClientRegistry
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


class AcceptorState(enum.Enum):
    """What the acceptor does with connections that come. A state is only ever followed by a later one."""

    ACCEPTING = enum.auto()
    """Accepts them."""
    STOPPING = enum.auto()
    """Accepts them until the system's queue is empty, and then closes."""
    CLOSED = enum.auto()
    """The listening socket is closed."""


class ConnectionAcceptor:
    """A listening socket whose connections are accepted one by one.

    Attributes:
        listening_socket: The socket.
        registration_tasks: One for each connection that has been accepted and is not registered yet.
        descriptor_faults: The log lines on connections that could not be accepted for want of a descriptor.
    """

    def __init__(
        self,
        listening_socket: socket.socket,
        clients: ClientRegistry[ClientConnection],
        make_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Accept connections from now on.

        Args:
            listening_socket: The socket, which listens and does not block. The acceptor closes it.
            clients: Knows how many descriptors are left for connections.
            make_protocol: Makes the protocol of an accepted connection.
        """
        self.listening_socket = listening_socket
        self.registration_tasks: set[asyncio.Task[None]] = set()
        self.descriptor_faults = repeated_fault(log, "no descriptor for a connection")
        self._lost_connection_faults = repeated_fault(log, "a connection was lost while it was accepted")
        self._accept_faults = repeated_fault(log, "no connection can be accepted")
        self._clients = clients
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._state = AcceptorState.ACCEPTING
        self._retry_timer: asyncio.TimerHandle | None = None  # set while none can be accepted
        self._loop.add_reader(listening_socket, self._accept_ready)

    @property
    def has_pending_connections(self) -> bool:
        """Whether the end of the queue is not reached yet, or a connection is not registered yet."""
        return self._state is AcceptorState.STOPPING or bool(self.registration_tasks)

    def stop(self) -> None:
        """Accept the connections in the system's queue, and then no more: a close would reset those.

        Where they cannot all be accepted now, this goes on as others are closed, until `close` at the latest.
        """
        if self._state is AcceptorState.CLOSED:
            return
        self._state = AcceptorState.STOPPING
        if self._accept_up_to(min(limits.ACCEPT_BACKLOG + 1, self._clients.free_descriptor_count)):
            self.close()
        else:
            self._pause()

    def close(self) -> None:
        """Close the listening socket; do nothing where it is closed."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if self._state is not AcceptorState.CLOSED:
            self._state = AcceptorState.CLOSED
            self._loop.remove_reader(self.listening_socket)
            self.listening_socket.close()

    def log_ended_faults(self, now_s: float) -> None:
        """Log the count of each kind of fault that has not come again for a while.

        Args:
            now_s: The event loop's time.
        """
        for faults in (self.descriptor_faults, self._lost_connection_faults, self._accept_faults):
            faults.end_if_quiet(now_s)

    def _accept_ready(self) -> None:
        # A connection takes some turns of the event loop from its accept until it is registered, and so does
        # the close of the one that makes room for it. Without a bound, a flood would take all descriptors of
        # the process in between.
        self._accept_up_to(min(limits.MAX_ACCEPTS_PER_TURN, max(1, self._clients.free_descriptor_count)))

    def _accept_up_to(self, count: int) -> bool:
        """Accept up to `count` connections, and return whether the system's queue is empty now.

        This raises nothing: the event loop would write a traceback for each failed accept, and the shutdown
        would end.
        """
        has_accepted = False
        try:
            for _ in range(count):
                has_accepted |= self._accept_one()
        except BlockingIOError:
            return True
        except OSError as error:
            faults = (
                self.descriptor_faults if error.errno in DESCRIPTOR_SHORTAGE_ERRNOS else self._accept_faults
            )
            faults.record(self._loop.time(), error)
            has_accepted = False
        if not has_accepted:  # the socket may stay readable: the event loop would come back here at once
            self._pause()
        return False

    def _accept_one(self) -> bool:
        """Accept one connection, and return whether it was not lost. Raise OSError where none can be."""
        try:
            accepted, _ = self.listening_socket.accept()
        except OSError as error:
            if error.errno not in LOST_CONNECTION_ERRNOS:
                raise
            self._lost_connection_faults.record(self._loop.time(), error)
            return False
        self._clients.descriptor_count += 1
        task = self._loop.create_task(self.register_connection(accepted))
        self.registration_tasks.add(task)
        task.add_done_callback(self.registration_tasks.discard)
        return True

    def _pause(self) -> None:
        self._loop.remove_reader(self.listening_socket)
        if self._retry_timer is None:
            self._retry_timer = self._loop.call_later(limits.ACCEPT_RETRY_DELAY_S, self.resume)

    def resume(self) -> None:
        """Accept again after a pause."""
        self._retry_timer = None
        if self._state is AcceptorState.STOPPING:
            self.stop()
        else:
            self._loop.add_reader(self.listening_socket, self._accept_ready)

    async def register_connection(self, accepted: socket.socket) -> None:
        """Give an accepted connection its protocol, which registers it."""
        try:
            # asyncio sets this only where it made the socket itself, as it does for endpoints.
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(self._make_protocol, accepted)
        except OSError as error:
            self._lost_connection_faults.record(self._loop.time(), error)
            accepted.close()
            self._clients.descriptor_count -= 1
