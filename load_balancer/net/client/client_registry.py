"""Registry of open client connections: enforces the connection limit and holds shared state.

The shared state consists of the ids of the open requests, the total of buffered bytes, the read buffer and
the disconnect poller. `client_listener` creates the registry; each connection reports its own state changes.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, islice
from typing import Generic, Protocol, TypeVar

from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.disconnect_poller import DisconnectPoller, PolledConnection
from load_balancer.net.client.http_response import SERVICE_UNAVAILABLE
from load_balancer.net.client.read_pacer import ReadPacer
from load_balancer.net.client.receive_buffer import BufferedTotal
from load_balancer.net.client.request_memory import RequestMemory
from load_balancer.net.driver.client_messages import ClientResponse
from load_balancer.net.event_counters import EventKind
from load_balancer.net.memory_budget import MemoryOwner
from load_balancer.net.shared_resources import SharedResources


class TrackedConnection(PolledConnection, Protocol):
    """Interface that the registry requires of a connection."""

    @property
    def has_pending_request(self) -> bool:
        """Whether a request has been received, at least in part, and has no response yet."""

    @property
    def has_unprocessed_bytes(self) -> bool:
        """Whether bytes of a request wait to be parsed or read, and the client is still connected."""

    @property
    def is_writing(self) -> bool:
        """Whether a part of a response has not been written to the socket yet."""

    @property
    def has_slow_request(self) -> bool:
        """Whether a request has been incomplete for longer than a sound client takes to send one."""

    def abort(self, response: ClientResponse) -> None:
        """Close the connection immediately; an incomplete request gets this response."""


ConnectionT = TypeVar("ConnectionT", bound=TrackedConnection)


class ClientRegistry(Generic[ConnectionT]):
    """Registry of open client connections.

    Attributes:
        counters: Counts why connections and requests are ended.
        memory: The memory that the requests of all connections hold.
        read_pacer: Limits how often connections that send tiny pieces are read.
        max_connections: The limit on open connections; requests on connections above the limit get a 503.
        open_connections: All open connections.
        unused_connections: Evictable connections that have not sent a complete request yet or are lingering,
            oldest entry first.
        idle_connections: Evictable keep-alive connections that have received a response and have no open
            request, oldest entry first.
        disconnect_poller: Polls the connections that have an open request and whose reading is paused, as the
            event loop does not detect a disconnect on those.
        open_request_ids: The ids of the forwarded requests that have no response yet.
        buffered_total: The total number of bytes in the receive buffers of all connections.
        read_buffer: The buffer that all connections read into. Each copies its bytes before the next read.
        small_read_buffer: The part of it that is used while memory is short.
        descriptor_count: The number of descriptors of client connections, counted from accept to close.
        is_shutting_down: Whether the process is shutting down, so that the readiness check fails.
        is_draining: Whether each connection is closed as soon as it has no open request.
    """

    def __init__(
        self,
        max_connections: int,
        shared: SharedResources | None = None,
        max_descriptors: int | None = None,
    ) -> None:
        """Create an empty registry. Requires a running event loop.

        Args:
            max_connections: The limit on open connections.
            shared: The memory budget and the counters of the process; by default some of the registry's own.
            max_descriptors: The limit on descriptors of connections that are open, closing or being accepted;
                by default what the limit on connections needs.
        """
        shared = shared or SharedResources()
        self.counters = shared.counters
        self.memory = RequestMemory(shared.budget, shared.counters)
        self.read_pacer = ReadPacer()
        self._max_descriptors = max(max_descriptors or 0, max_connections) + limits.MAX_CONNECTIONS_OVER_LIMIT
        self.max_connections = max_connections
        self.open_connections: set[ConnectionT] = set()
        # Dictionaries serve as ordered sets.
        self.unused_connections: dict[ConnectionT, None] = {}
        self.idle_connections: dict[ConnectionT, None] = {}
        self.disconnect_poller: DisconnectPoller[ConnectionT] = DisconnectPoller()
        self.open_request_ids: set[bytes] = set()
        self.buffered_total = BufferedTotal(self.memory.budget)
        self.read_buffer = memoryview(bytearray(limits.READ_SIZE_BYTES))
        self.small_read_buffer = self.read_buffer[: limits.SMALL_READ_SIZE_BYTES]
        self.descriptor_count = 0
        self.is_shutting_down = False
        self.is_draining = False

    @property
    def free_descriptor_count(self) -> int:
        """Number of connections that may still be accepted."""
        return self._max_descriptors - self.descriptor_count

    @property
    def is_over_hard_limit(self) -> bool:
        """Whether so many connections exceed the limit that a new one is closed without a response."""
        return len(self.open_connections) > self.max_connections + limits.MAX_CONNECTIONS_OVER_LIMIT

    def add(self, connection: ConnectionT) -> bool:
        """Add a connection; at the connection limit, evict another one first if possible.

        Returns:
            Whether the added connection exceeds the limit, because no other one could be evicted.
        """
        if len(self.open_connections) >= self.max_connections:
            self._evict_connection()
        self.open_connections.add(connection)
        self.memory.budget.change(MemoryOwner.CLIENT_CONNECTIONS, limits.CLIENT_CONNECTION_BYTES)
        self.unused_connections[connection] = None
        is_over_limit = len(self.open_connections) > self.max_connections
        if is_over_limit:
            self.counters.count(EventKind.CONNECTION_OVER_LIMIT)
        return is_over_limit

    def _evict_connection(self) -> None:
        evicted = next(self._eviction_candidates(), None)
        if evicted is not None:
            self.counters.count(EventKind.CONNECTION_EVICTED)
            self.remove(evicted)
            evicted.abort(SERVICE_UNAVAILABLE)

    def _eviction_candidates(self) -> Iterator[ConnectionT]:
        """Return the connections that may be evicted, in order of eviction.

        When unused connections make up half of the connection limit or more, they are taken for a flood and
        are evicted before the idle connections of regular clients. Otherwise idle connections are evicted
        first, so that a new connection has time to send its request.
        """
        idle = filter(_is_quiet, self.idle_connections)
        is_flood = 2 * len(self.unused_connections) >= self.max_connections
        return chain(self._unused_candidates(), idle) if is_flood else chain(idle, self._unused_candidates())

    def _unused_candidates(self) -> Iterator[ConnectionT]:
        """Return unused connections: silent ones, other quiet ones, then those whose request is slow."""
        oldest = list(islice(self.unused_connections, limits.MAX_SILENT_CANDIDATES))
        silent = (connection for connection in oldest if not connection.has_pending_request)
        slow = (connection for connection in oldest if connection.has_slow_request)
        return chain(filter(_is_quiet, chain(silent, self.unused_connections)), slow)

    def remove(self, connection: ConnectionT) -> None:
        """Remove a closed connection; do nothing if it has been removed."""
        if connection in self.open_connections:
            self.open_connections.remove(connection)
            self.memory.budget.change(MemoryOwner.CLIENT_CONNECTIONS, -limits.CLIENT_CONNECTION_BYTES)
        self.disconnect_poller.stop_polling(connection)
        self.mark_active(connection)

    def mark_active(self, connection: ConnectionT) -> None:
        """Exempt a connection from eviction: a request is in progress on it, or it is already closed."""
        self.unused_connections.pop(connection, None)
        self.idle_connections.pop(connection, None)

    def mark_idle(self, connection: ConnectionT) -> None:
        """Make a connection that has received a response evictable, after all other idle connections."""
        self.mark_active(connection)
        if connection in self.open_connections:
            self.idle_connections[connection] = None

    def mark_unused(self, connection: ConnectionT) -> None:
        """Make a lingering connection evictable, after all other unused connections."""
        self.mark_active(connection)
        if connection in self.open_connections:
            self.unused_connections[connection] = None

    def abort_all(self) -> None:
        """Close all connections immediately; incomplete requests get a 503."""
        self.disconnect_poller.close()
        self.memory.close()
        self.read_pacer.close()
        for connection in list(self.open_connections):
            connection.abort(SERVICE_UNAVAILABLE)


def _is_quiet(connection: TrackedConnection) -> bool:
    """Return whether no bytes wait to be read from or written to a connection."""
    return not (connection.has_unprocessed_bytes or connection.is_writing)
