"""An endpoint on plain sockets: each send, end or reset has reached the system when the call returns."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Self

from load_balancer.net.addresses import EndpointAddress
from tests.support.http_messages import HttpMessage, parse_head


class EndpointConnection:
    """The endpoint's side of one connection."""

    def __init__(self, accepted: socket.socket, reading: asyncio.Event) -> None:
        self.socket = accepted
        self.unparsed = b""
        self.has_proxy_closed = False
        self._reading = reading
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        """Send all bytes before returning."""
        self.socket.sendall(data)

    def end_sending(self) -> None:
        """End the sending direction with FIN."""
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Close the connection with RST."""
        asyncio.get_running_loop().remove_reader(self.socket)  # a pending read may have registered it
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    @property
    def is_closed(self) -> bool:
        """Whether the endpoint has closed or reset the connection."""
        return self.socket.fileno() < 0

    async def read_more(self) -> bool:
        """Read available bytes, waiting for some; return False once either side has closed."""
        while True:
            await self._reading.wait()
            if self.is_closed:
                return False
            try:
                data = self.socket.recv(65_536)
            except BlockingIOError:
                await self._wait_until_readable()
                continue
            except OSError:
                data = b""
            self.unparsed += data
            self.has_proxy_closed = not data
            return bool(data)

    async def _wait_until_readable(self) -> None:
        loop = asyncio.get_running_loop()
        readable = asyncio.Event()
        loop.add_reader(self.socket, readable.set)
        try:
            await readable.wait()
        finally:
            if not self.is_closed:
                loop.remove_reader(self.socket)

    async def read_request(self) -> HttpMessage | None:
        """Return the next complete request, or None if the connection ends before."""
        while b"\r\n\r\n" not in self.unparsed:
            if not await self.read_more():
                return None
        head, _, body = self.unparsed.partition(b"\r\n\r\n")
        start_line, headers = parse_head(head)
        length = int(headers.get("content-length", 0))
        while len(body) < length:
            self.unparsed = b""
            if not await self.read_more():
                return None
            body += self.unparsed
        self.unparsed = body[length:]
        return HttpMessage(start_line, headers, body[:length])


ConnectionHandler = Callable[[EndpointConnection, HttpMessage], Awaitable[None]]


class RawEndpoint:
    """An endpoint as an async context manager; its handler is called with each request and its connection.

    Attributes:
        port: The port that it listens on.
        endpoint: Its address in the form used by the connection pool.
        connections: The connections accepted so far, in order.
        accepting: While it is not set, connections stay in the system's accept queue.
        reading: While it is not set, no connection is read.
        received: The requests received so far.
    """

    def __init__(self, handler: ConnectionHandler, *, accepts: bool = True) -> None:
        self.handler = handler
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.socket.setblocking(False)
        self.port: int = self.socket.getsockname()[1]
        self.endpoint = EndpointAddress(1, ("127.0.0.1", self.port))
        self.connections: list[EndpointConnection] = []
        self.accepting = asyncio.Event()
        if accepts:
            self.accepting.set()
        self.reading = asyncio.Event()
        self.reading.set()
        self.received: list[HttpMessage] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def request_ids(self) -> list[str]:
        """The ids of the requests received so far."""
        return [message.headers["req-id"] for message in self.received]

    async def _serve(self, connection: EndpointConnection) -> None:
        while (request := await connection.read_request()) is not None:
            self.received.append(request)
            await self.handler(connection, request)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        await self.accepting.wait()
        while True:
            accepted, _ = await loop.sock_accept(self.socket)
            self.connections.append(EndpointConnection(accepted, self.reading))
            self._tasks.append(loop.create_task(self._serve(self.connections[-1])))

    async def __aenter__(self) -> Self:
        self._tasks.append(asyncio.get_running_loop().create_task(self._accept()))
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close all sockets, and re-raise the exception of a handler: an error in the test itself."""
        exceptions = [task.exception() for task in self._tasks if task.done() and not task.cancelled()]
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for open_socket in (self.socket, *(connection.socket for connection in self.connections)):
            open_socket.close()
        for error in filter(None, exceptions):
            raise error


def respond_with(*steps: bytes | str) -> ConnectionHandler:
    """Return a handler that performs these steps for each request, in one turn of the event loop.

    Args:
        steps: Bytes to send, "end" to end the sending direction, or "reset" to reset the connection.
    """

    async def respond(connection: EndpointConnection, request: HttpMessage) -> None:
        for step in steps:
            if isinstance(step, bytes):
                connection.send(step)
            else:
                {"end": connection.end_sending, "reset": connection.reset}[step]()

    return respond
