"""asyncio protocol of a client connection: passes transport events to the request processor."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from load_balancer import messages
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.client_registry import ClientRegistry
from load_balancer.net.client.http_server_protocol import HttpServerProtocol
from load_balancer.net.client.request_processor import RequestProcessor
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.receive_scheduler import ReceiveScheduler


class ClientProtocol(asyncio.BufferedProtocol):
    """asyncio protocol of one client connection.

    The connection and its request processor are created in `connection_made`, which the event loop calls
    before any other callback.
    """

    _connection: ClientConnection
    _processor: RequestProcessor

    def __init__(
        self,
        clients: ClientRegistry[ClientConnection],
        driver: EventLoopDriver,
        classes: Mapping[str, messages.RequestClass],
        scheduler: ReceiveScheduler,
    ) -> None:
        """Record the time of the accept.

        Args:
            clients: The registry of open connections; `connection_made` adds this one.
            driver: The driver that requests are forwarded to.
            classes: The request classes of the settings, by name.
            scheduler: Decides when received bytes are processed.
        """
        self._clients = clients
        self._driver = driver
        self._classes = classes
        self._scheduler = scheduler
        self._connected_at_s = asyncio.get_running_loop().time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; abort it if the hard connection limit is exceeded."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)  # resume_writing then means an empty write buffer
        http = HttpServerProtocol(self._clients.buffered_total, self._connected_at_s)
        self._connection = ClientConnection(transport, http, self._clients, self._connected_at_s)
        self._processor = RequestProcessor(
            self._connection, self._clients, self._driver, self._classes, self._scheduler
        )
        if self._clients.is_over_hard_limit:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the resources of the connection and cancel its open request."""
        self._clients.descriptor_count -= 1  # the transport closes its socket right after this callback
        self._clients.remove(self._connection)
        self._connection.http.received.clear()
        self._connection.unsent_account.set(0)
        self._processor.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        if self._processor.may_read_fully:
            return self._clients.read_buffer
        return self._clients.small_read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes that were read to the request processor."""
        self._processor.receive(self._clients.read_buffer[:nbytes])

    def resume_writing(self) -> None:
        """Continue processing, now that the write buffer is empty."""
        self._connection.unsent_account.set(0)
        if self._connection.is_lingering:
            self._connection.last_progress_at_s = asyncio.get_running_loop().time()
        self._processor.resume()
