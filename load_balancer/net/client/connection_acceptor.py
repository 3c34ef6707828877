"""Accepts client connections from a listening socket, within the limit on their descriptors.

`client_listener` creates the acceptor for its listening socket and stops it at shutdown. asyncio's server is
not used: when no descriptor is available, it logs hundreds of tracebacks at once and then accepts nothing for
a second.
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

# Errors of accept(2) that concern only the connection at the head of the listen queue: network errors that
# were pending on it, a firewall that forbids it, or a signal.
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
    """State of the acceptor. Transitions only go forward, in the order of definition."""

    ACCEPTING = enum.auto()
    """New connections are accepted."""
    STOPPING = enum.auto()
    """Connections in the listen queue are still accepted; then the listening socket is closed."""
    CLOSED = enum.auto()
    """The listening socket is closed."""


class ConnectionAcceptor:
    """Accepts connections from a listening socket and registers them.

    Attributes:
        listening_socket: The listening socket.
        registration_tasks: One task for each connection that has been accepted and is not registered yet.
        descriptor_faults: Logs the first accept that failed for lack of a descriptor or memory, then a count.
    """

    def __init__(
        self,
        listening_socket: socket.socket,
        clients: ClientRegistry[ClientConnection],
        make_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Start accepting connections.

        Args:
            listening_socket: A non-blocking listening socket. The acceptor closes it.
            clients: The registry of open connections, which limits the number of descriptors.
            make_protocol: Creates the protocol of an accepted connection.
        """
        self.listening_socket = listening_socket
        self.registration_tasks: set[asyncio.Task[None]] = set()
        self.descriptor_faults = repeated_fault(log, "no descriptor for a connection")
        self._lost_connection_faults = repeated_fault(log, "a connection was lost while it was accepted")
        self._accept_faults = repeated_fault(log, "accepting a client connection failed")
        self._clients = clients
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._state = AcceptorState.ACCEPTING
        self._retry_timer: asyncio.TimerHandle | None = None  # set while accepting is paused
        self._loop.add_reader(listening_socket, self._accept_ready)

    @property
    def has_pending_connections(self) -> bool:
        """Whether the listen queue is not drained yet after `stop`, or a registration is in progress."""
        return self._state is AcceptorState.STOPPING or bool(self.registration_tasks)

    def stop(self) -> None:
        """Accept the connections in the listen queue, then close the socket.

        Closing the socket resets the connections that are still in the queue. If they cannot all be accepted
        now, accepting continues as descriptors become free, until `close` at the latest.
        """
        if self._state is AcceptorState.CLOSED:
            return
        self._state = AcceptorState.STOPPING
        # Accepting the whole queue in one iteration of the event loop would make the shutdown late.
        batch_size = min(self._batch_size, self._clients.free_descriptor_count)
        if self._accept_up_to(batch_size):
            self.close()
        else:
            self._pause(limits.ACCEPT_RETRY_DELAY_S if batch_size <= 0 else limits.STOP_ACCEPT_INTERVAL_S)

    def close(self) -> None:
        """Close the listening socket. Do nothing if it is already closed."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if self._state is not AcceptorState.CLOSED:
            self._state = AcceptorState.CLOSED
            self._loop.remove_reader(self.listening_socket)
            self.listening_socket.close()

    def log_ended_faults(self, now_s: float) -> None:
        """Log a summary of each kind of fault that has stopped occurring.

        Args:
            now_s: Event loop time.
        """
        for faults in (self.descriptor_faults, self._lost_connection_faults, self._accept_faults):
            faults.end_if_quiet(now_s)

    def _accept_ready(self) -> None:
        # Registering an accepted connection takes several iterations of the event loop, and so does closing
        # the connection that is evicted for it. Without a bound, a flood of connections would use up all
        # descriptors of the process in the meantime.
        self._accept_up_to(min(self._batch_size, max(1, self._clients.free_descriptor_count)))

    @property
    def _batch_size(self) -> int:
        """Number of connections to accept at once.

        Connections that have not been read yet are not evicted. If all of them were new, the next one would
        exceed the limit.
        """
        share = int(limits.MAX_ACCEPTED_SHARE * self._clients.max_connections)
        return max(1, min(limits.MAX_ACCEPTS_PER_ITERATION, share))

    def _accept_up_to(self, count: int) -> bool:
        """Accept up to `count` connections, and return whether the listen queue is empty.

        OSError is logged and not raised: from a reader callback the event loop would log a traceback for each
        failed accept, and from `stop` it would end the shutdown.
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
        if not has_accepted:  # the socket may stay readable, and the event loop would call again at once
            self._pause()
        return False

    def _accept_one(self) -> bool:
        """Accept one connection and return True, or False if it was lost. Raise OSError on other failures."""
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

    def _pause(self, delay_s: float = limits.ACCEPT_RETRY_DELAY_S) -> None:
        self._loop.remove_reader(self.listening_socket)
        if self._retry_timer is None:
            self._retry_timer = self._loop.call_later(delay_s, self.resume)

    def resume(self) -> None:
        """Resume accepting after a pause."""
        self._retry_timer = None
        if self._state is AcceptorState.STOPPING:
            self.stop()
        else:
            self._loop.add_reader(self.listening_socket, self._accept_ready)

    async def register_connection(self, accepted: socket.socket) -> None:
        """Create the protocol of an accepted connection, which adds it to the registry."""
        try:
            # asyncio sets TCP_NODELAY only on sockets that it creates itself, such as those to endpoints.
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(self._make_protocol, accepted)
        except OSError as error:
            self._lost_connection_faults.record(self._loop.time(), error)
            accepted.close()
            self._clients.descriptor_count -= 1
