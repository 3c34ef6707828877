"""Polls whether the clients of connections that are not read are still there.

The event loop sees a client leave only where it reads. `client_registry` owns one poller for all connections.
"""

from __future__ import annotations

import asyncio
from typing import Generic, Protocol, TypeVar

from load_balancer.net.client import client_limits as limits


class PolledConnection(Protocol):
    """What the poller needs of a connection."""

    def is_client_connected(self) -> bool:
        """Return whether the client is still there; close the connection of one that is not."""


PolledT = TypeVar("PolledT", bound=PolledConnection)


class DisconnectPoller(Generic[PolledT]):
    """The connections that have a request open and are not read.

    Attributes:
        connections: Those that are polled.
    """

    def __init__(self) -> None:
        """Start with no connection. To be made in a running event loop."""
        self.connections: set[PolledT] = set()
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_scheduled(self) -> bool:
        """Whether another poll is on its way."""
        return self._timer is not None

    def start_polling(self, connection: PolledT) -> None:
        """Poll a connection from now on."""
        self.connections.add(connection)
        if self._timer is None:
            self._timer = self._loop.call_later(limits.DISCONNECT_POLL_INTERVAL_S, self._poll)

    def stop_polling(self, connection: PolledT) -> None:
        """End the polling of a connection: it is read again, or its request is no longer open."""
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
