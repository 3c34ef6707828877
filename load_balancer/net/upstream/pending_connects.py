"""The connections that are being opened, and the tasks that open them.

The connection queue starts them and learns how each of them ended.
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
    """What a pending connect reports to whoever started it; exactly one call unless it is cancelled."""

    def connect_succeeded(self, pending: PendingConnect, connection: UpstreamConnection) -> None:
        """Use a connection that has come up."""

    def connect_failed(self, pending: PendingConnect, error: OSError) -> None:
        """Handle a connect that the system refused or that took too long."""

    def connect_crashed(self, pending: PendingConnect) -> None:
        """Handle a connect that ended by a fault of this program."""


class PendingConnect:
    """One connection that is being opened.

    Attributes:
        attempt: The attempt for which it was started; any attempt on the same endpoint may get it.
        endpoint: The endpoint.
        started_at_s: When it began, by the event loop's clock.
        task: The task that connects.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connector: Connector,
        attempt: WaitingAttempt,
        observer: ConnectObserver,
    ) -> None:
        """Begin to connect, in a task of its own.

        Args:
            loop: The event loop.
            connector: Opens the connection.
            attempt: The attempt for which it is opened.
            observer: Is called once, when the connect has ended.
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
            # Any other error, as of a host name that cannot be encoded, would end this task unseen: the
            # attempt would wait until it times out, and the connect would count as pending for good.
            log.exception("connect to endpoint %d at %s:%d failed", self.endpoint.id, *self.endpoint.address)
            self._observer.connect_crashed(self)
        else:
            self._observer.connect_succeeded(self, connection)


class PendingConnects:
    """The pending connects to all endpoints.

    Attributes:
        by_endpoint: The pending connects to each endpoint, the oldest first.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, connector: Connector) -> None:
        """Start with none.

        Args:
            loop: The event loop, whose clock counts.
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
        """Begin one more connect for an attempt; `observer` is called at its end."""
        pending = PendingConnect(self._loop, self._connector, attempt, observer)
        self.by_endpoint.setdefault(attempt.endpoint, []).append(pending)

    def remove(self, pending: PendingConnect) -> None:
        """Remove a connect that has ended or is cancelled."""
        others = self.by_endpoint[pending.endpoint]
        others.remove(pending)
        if not others:
            del self.by_endpoint[pending.endpoint]

    def age_s(self, pending: PendingConnect) -> float:
        """Return for how many seconds a connect has been pending."""
        return self._loop.time() - pending.started_at_s

    def ages_s(self, endpoint: EndpointAddress) -> list[float]:
        """Return for how many seconds each connect to an endpoint has been pending, the oldest first."""
        now_s = self._loop.time()
        return [now_s - pending.started_at_s for pending in self.by_endpoint.get(endpoint, ())]

    def cancel_all(self) -> None:
        """Cancel the connects to all endpoints."""
        for all_pending in list(self.by_endpoint.values()):
            for pending in all_pending:
                pending.task.cancel()
        self.by_endpoint.clear()
