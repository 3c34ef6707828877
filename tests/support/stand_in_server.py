"""Stand-in servers on loopback for endpoints and discovery, controlled by the test."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Self

from tests.support.http_messages import HttpMessage, read_http_message

StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StandInServer:
    """A server on a port chosen by the system, as an async context manager.

    The handler is called with each connection, which is closed when the handler returns. The handler may
    append the requests that it reads to `received`.
    """

    def __init__(self, handler: StreamHandler) -> None:
        self.handler = handler
        self.port = 0  # set when the server listens
        self.connection_count = 0  # number of connections accepted so far
        self.received: list[HttpMessage] = []
        self.writers: list[asyncio.StreamWriter] = []  # of all connections accepted so far
        self.server: asyncio.Server | None = None

    @property
    def request_ids(self) -> list[str]:
        """The ids of the requests received so far."""
        return [message.headers["req-id"] for message in self.received]

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the handler on one connection, then close the connection."""
        self.connection_count += 1
        self.writers.append(writer)
        try:
            await self.handler(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def start(self, listening_socket: socket.socket | None = None) -> None:
        """Listen on this bound socket, or on a port chosen by the system."""
        if listening_socket is not None:
            self.server = await asyncio.start_server(self.accept, sock=listening_socket)
        else:
            self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse new connections; established ones stay open."""
        assert self.server is not None
        self.server.close()

    async def listen_again(self) -> None:
        """Listen on the same port as before."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        self.stop_listening()
        for writer in self.writers:
            writer.transport.abort()

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.stop()


class StandInEndpoint(StandInServer):
    """Sends the next of the given responses to each request, repeating the last one.

    None closes the connection without a response.
    """

    def __init__(self, *responses: bytes | None) -> None:
        super().__init__(self._respond)
        self._remaining = list(responses)

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            self.received.append(await read_http_message(reader))
            response = self._remaining.pop(0) if len(self._remaining) > 1 else self._remaining[0]
            if response is None:
                return
            writer.write(response)


class SilentEndpoint(StandInServer):
    """Reads requests without responding; a test can send responses through `writers`."""

    def __init__(self) -> None:
        super().__init__(self._receive)

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            self.received.append(await read_http_message(reader))
