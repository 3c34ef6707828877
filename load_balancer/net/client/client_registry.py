"""Which client connections are open, which of them may be closed to make room, and what they share.

The registry owns what concerns several connections: the limit on their number, the ids of the open requests,
the bytes that all of them have buffered, and the poller of those that are not read. `client_listener`
creates it; each connection reports its own changes to it.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, islice
from typing import Generic, Protocol, TypeVar

from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.disconnect_poller import DisconnectPoller, PolledConnection
from load_balancer.net.client.http_response import SERVICE_UNAVAILABLE
from load_balancer.net.client.receive_buffer import BufferedTotal
from load_balancer.net.driver.client_messages import ClientResponse


class TrackedConnection(PolledConnection, Protocol):
    """What the registry needs of a connection."""

    @property
    def has_pending_request(self) -> bool:
        """Whether a part of a request has come that has no response yet."""

    @property
    def has_unprocessed_bytes(self) -> bool:
        """Whether more of a request has come, from a client that is still there."""

    @property
    def is_writing(self) -> bool:
        """Whether the system has not taken all of a response yet."""

    def abort(self, response: ClientResponse) -> None:
        """Close the connection at once; an incomplete request gets this response."""


ConnectionT = TypeVar("ConnectionT", bound=TrackedConnection)


class ClientRegistry(Generic[ConnectionT]):
    """All connections of clients.

    Attributes:
        max_connections: The limit on open connections; a request on any further one is answered with 503.
        open_connections: All that are open.
        unused_connections: Those that may be closed to make room and that have not sent a complete request
            yet or were rejected, the longest waiting first.
        idle_connections: Those that may be closed to make room and that have got a response and may send
            another request, the longest waiting first.
        disconnect_poller: Polls those that have a request open and are not read, so that the event loop does not see
            their client leave.
        open_request_ids: The ids of the requests that have no response yet.
        buffered_total: The bytes in the receive buffers of all connections.
        read_buffer: Where each connection reads into; it copies what it has got before the next one reads.
        descriptor_count: The descriptors of connections, each from its accept to its close.
        is_shutting_down: Whether the process ends, so that it is not ready any more.
        is_draining: Whether each connection is closed as it falls idle.
    """

    def __init__(self, max_connections: int) -> None:
        """Start with no connection. To be made in a running event loop.

        Args:
            max_connections: The limit on open connections.
        """
        self.max_connections = max_connections
        self.open_connections: set[ConnectionT] = set()
        # Dictionaries, as these keep the order in which connections were put in.
        self.unused_connections: dict[ConnectionT, None] = {}
        self.idle_connections: dict[ConnectionT, None] = {}
        self.disconnect_poller: DisconnectPoller[ConnectionT] = DisconnectPoller()
        self.open_request_ids: set[bytes] = set()
        self.buffered_total = BufferedTotal()
        self.read_buffer = memoryview(bytearray(limits.READ_SIZE_BYTES))
        self.descriptor_count = 0
        self.is_shutting_down = False
        self.is_draining = False

    @property
    def free_descriptor_count(self) -> int:
        """How many more connections may be accepted."""
        return self.max_connections + limits.MAX_CONNECTIONS_OVER_LIMIT - self.descriptor_count

    @property
    def is_over_hard_limit(self) -> bool:
        """Whether so many connections are open that another one is closed without a response."""
        return len(self.open_connections) > self.max_connections + limits.MAX_CONNECTIONS_OVER_LIMIT

    def add(self, connection: ConnectionT) -> bool:
        """Add a connection, and close another one to make room where there is none.

        Returns:
            Whether the newcomer is over the limit, as no other one could be closed.
        """
        if len(self.open_connections) >= self.max_connections:
            self._evict_connection()
        self.open_connections.add(connection)
        self.unused_connections[connection] = None
        return len(self.open_connections) > self.max_connections

    def _evict_connection(self) -> None:
        for connection in self._eviction_candidates():
            if not (connection.has_unprocessed_bytes or connection.is_writing):
                self.remove(connection)
                connection.abort(SERVICE_UNAVAILABLE)
                return

    def _eviction_candidates(self) -> Iterator[ConnectionT]:
        """Return the connections that may be closed to make room, the first to close first.

        Once unused connections take half of the room, they are a flood, which closes its own and not those of
        usual clients. Below that, one that has just come is left the time to send its request.
        """
        silent = (
            connection
            for connection in islice(self.unused_connections, limits.MAX_SILENT_CANDIDATES)
            if not connection.has_pending_request
        )
        unused = chain(silent, self.unused_connections)
        is_flood = 2 * len(self.unused_connections) >= self.max_connections
        return chain(unused, self.idle_connections) if is_flood else chain(self.idle_connections, unused)

    def remove(self, connection: ConnectionT) -> None:
        """Forget a connection that is closed."""
        self.open_connections.discard(connection)
        self.disconnect_poller.stop_polling(connection)
        self.mark_active(connection)

    def mark_active(self, connection: ConnectionT) -> None:
        """Keep a connection from being closed to make room: it has a request open, or is closed already."""
        self.unused_connections.pop(connection, None)
        self.idle_connections.pop(connection, None)

    def mark_idle(self, connection: ConnectionT) -> None:
        """Let a connection that has got a response be closed to make room, as the last of its kind."""
        self.mark_active(connection)
        if connection in self.open_connections:
            self.idle_connections[connection] = None

    def mark_unused(self, connection: ConnectionT) -> None:
        """Let a connection that lingers be closed to make room, as the last of its kind."""
        self.mark_active(connection)
        if connection in self.open_connections:
            self.unused_connections[connection] = None

    def abort_all(self) -> None:
        """Close all connections at once; an incomplete request gets a 503."""
        self.disconnect_poller.close()
        for connection in list(self.open_connections):
            connection.abort(SERVICE_UNAVAILABLE)
