"""Detects clients that disconnect while reading from their connection is paused.

The event loop detects a disconnect only on connections that it reads from. `client_registry` owns one poller
for all connections.
"""

from __future__ import annotations

import asyncio
from typing import Generic, Protocol, TypeVar

from load_balancer.net.client import client_limits as limits


class PolledConnection(Protocol):
    """Interface that the poller requires of a connection."""

    def is_client_connected(self) -> bool:
        """Return whether the client is still connected; abort the connection if it is not."""


PolledT = TypeVar("PolledT", bound=PolledConnection)


class DisconnectPoller(Generic[PolledT]):
    """Polls connections that have an open request and whose reading is paused.

    Attributes:
        connections: The connections that are polled.
    """

    def __init__(self) -> None:
        """Create a poller without connections. Requires a running event loop."""
        self.connections: set[PolledT] = set()
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_scheduled(self) -> bool:
        """Whether another poll is scheduled."""
        return self._timer is not None

    def start_polling(self, connection: PolledT) -> None:
        """Start polling a connection."""
        self.connections.add(connection)
        if self._timer is None:
            self._timer = self._loop.call_later(limits.DISCONNECT_POLL_INTERVAL_S, self._poll)

    def stop_polling(self, connection: PolledT) -> None:
        """Stop polling a connection: its reading has resumed, or its request is no longer open."""
        self.connections.discard(connection)

    def close(self) -> None:
        """Cancel the next poll."""
        if self._timer is not None:
            self._timer.cancel()

    def _poll(self) -> None:
        self._timer = None
        for connection in list(self.connections):
            if connection.is_client_connected():
                self.start_polling(connection)
