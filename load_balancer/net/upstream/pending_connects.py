"""The pending connects to endpoints, and the tasks that run them.

The connection queue starts the connects and is notified of the result of each.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connector import Connector
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.waiting_attempts import WaitingAttempt

log = logging.getLogger(__name__)


class ConnectObserver(Protocol):
    """Observer of a pending connect; receives exactly one call unless the connect is cancelled."""

    def connect_succeeded(self, pending: PendingConnect, connection: UpstreamConnection) -> None:
        """Use an established connection."""

    def connect_failed(self, pending: PendingConnect, error: OSError) -> None:
        """Handle a connect that failed with an error of the operating system or a timeout."""

    def connect_crashed(self, pending: PendingConnect) -> None:
        """Handle a connect that ended with an unexpected exception."""


class PendingConnect:
    """One pending connect.

    Attributes:
        attempt: The attempt for which the connect was started; any attempt on the same endpoint may get the
            connection.
        endpoint: The endpoint.
        started_at_s: The start time, by the event loop's clock.
        task: The task that runs the connect.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connector: Connector,
        attempt: WaitingAttempt,
        observer: ConnectObserver,
    ) -> None:
        """Start the connect in a new task.

        Args:
            loop: The event loop.
            connector: Opens the connection.
            attempt: The attempt for which the connection is opened.
            observer: Called once, when the connect has ended.
        """
        self.attempt = attempt
        self.endpoint = attempt.endpoint
        self.started_at_s = loop.time()
        self._connector = connector
        self._observer = observer
        self.task: asyncio.Task[None] = loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            connection = await self._connector.open(self.endpoint)
        except OSError as error:
            self._observer.connect_failed(self, error)
        except Exception:
            # Any other exception, such as for a host name that cannot be encoded, would end this task
            # unnoticed: the attempt would wait until it times out, and the connect would stay pending
            # forever.
            log.exception(
                "connect to endpoint %d at %s:%d raised an unexpected exception; treating it as failed",
                self.endpoint.id,
                *self.endpoint.address,
            )
            self._observer.connect_crashed(self)
        else:
            self._observer.connect_succeeded(self, connection)


class PendingConnects:
    """The pending connects to all endpoints.

    Attributes:
        by_endpoint: The pending connects to each endpoint, the oldest first.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, connector: Connector) -> None:
        """Start without pending connects.

        Args:
            loop: The event loop.
            connector: Opens the connections.
        """
        self._loop = loop
        self._connector = connector
        self.by_endpoint: dict[EndpointAddress, list[PendingConnect]] = {}

    @property
    def total_count(self) -> int:
        """The number of pending connects to all endpoints together."""
        return sum(map(len, self.by_endpoint.values()))

    def count(self, endpoint: EndpointAddress) -> int:
        """Return the number of pending connects to an endpoint."""
        return len(self.by_endpoint.get(endpoint, ()))

    def start(self, attempt: WaitingAttempt, observer: ConnectObserver) -> None:
        """Start a connect for an attempt; `observer` is called when it has ended."""
        pending = PendingConnect(self._loop, self._connector, attempt, observer)
        self.by_endpoint.setdefault(attempt.endpoint, []).append(pending)

    def remove(self, pending: PendingConnect) -> None:
        """Remove a connect that has ended or was cancelled."""
        others = self.by_endpoint[pending.endpoint]
        others.remove(pending)
        if not others:
            del self.by_endpoint[pending.endpoint]

    def age_s(self, pending: PendingConnect) -> float:
        """Return the seconds since the start of a connect."""
        return self._loop.time() - pending.started_at_s

    def ages_s(self, endpoint: EndpointAddress) -> list[float]:
        """Return the seconds since the start of each pending connect to an endpoint, the oldest first."""
        now_s = self._loop.time()
        return [now_s - pending.started_at_s for pending in self.by_endpoint.get(endpoint, ())]

    def cancel_all(self) -> None:
        """Cancel all pending connects."""
        for all_pending in list(self.by_endpoint.values()):
            for pending in all_pending:
                pending.task.cancel()
        self.by_endpoint.clear()
