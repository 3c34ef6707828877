"""What the event loop calls for one client's connection, handed on to the parts that serve it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from load_balancer import messages
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.client_registry import ClientRegistry
from load_balancer.net.client.http_server_protocol import HttpServerProtocol
from load_balancer.net.client.request_processor import RequestProcessor
from load_balancer.net.driver.event_loop_driver import EventLoopDriver


class ClientProtocol(asyncio.BufferedProtocol):
    """The event loop's side of one client's connection.

    The connection and its request processor are made once the event loop has a transport for them, which is
    before it calls anything else.
    """

    _connection: ClientConnection
    _processor: RequestProcessor

    def __init__(
        self,
        clients: ClientRegistry[ClientConnection],
        driver: EventLoopDriver,
        classes: Mapping[str, messages.RequestClass],
    ) -> None:
        """Note the time of the connect.

        Args:
            clients: All open connections; this one is added as soon as it has a transport.
            driver: Takes the requests.
            classes: The request classes of the settings, by name.
        """
        self._clients = clients
        self._driver = driver
        self._classes = classes
        self._connected_at_s = asyncio.get_running_loop().time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or close it where there are far too many."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)  # so that resume_writing tells when all is written
        http = HttpServerProtocol(self._clients.buffered_total, self._connected_at_s)
        self._connection = ClientConnection(transport, http, self._clients, self._connected_at_s)
        self._processor = RequestProcessor(self._connection, self._clients, self._driver, self._classes)
        if self._clients.is_over_hard_limit:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Free what the connection holds, and withdraw its request from the driver."""
        self._clients.descriptor_count -= 1  # the transport closes its socket right after this
        self._clients.remove(self._connection)
        self._connection.http.received.clear()
        self._processor.cancel_open_request()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are read into."""
        return self._clients.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that have been read."""
        self._processor.receive(self._clients.read_buffer[:nbytes])

    def resume_writing(self) -> None:
        """Go on, as the system has taken all that was written."""
        if self._connection.is_lingering:
            self._connection.last_progress_at_s = asyncio.get_running_loop().time()
        self._processor.process()
