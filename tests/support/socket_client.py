"""Clients of the proxy on plain sockets: their bytes and their end are with the system at once."""

from __future__ import annotations

import asyncio
import socket
import struct

from tests.support.http_messages import StreamPair, http_request, read_http_message, response_status
from tests.support.loopback_proxy import LoopbackProxy

SMALL_BUFFER_BYTES = 4096


class SocketClient:
    """A client that is connected once constructed, before the event loop turns again."""

    def __init__(self, proxy: LoopbackProxy, receive_buffer_bytes: int | None = None) -> None:
        self.socket = socket.socket()
        if receive_buffer_bytes is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.socket.connect(("127.0.0.1", proxy.port))

    def send(self, data: bytes) -> None:
        """Hand the bytes to the system."""
        self.socket.sendall(data)

    async def streams(self) -> StreamPair:
        """Return streams of the event loop on this client's connection."""
        return await stream_pair(self.socket)

    async def read_statuses(self, count: int) -> list[int]:
        """Return the status of each of so many responses, and disconnect."""
        reader, writer = await self.streams()
        try:
            return [response_status(await read_http_message(reader)) for _ in range(count)]
        finally:
            writer.close()

    def disconnect(self, how: str) -> None:
        """End the connection.

        Args:
            how: "FIN", "RST" for a reset, or "half" for the end of sending alone, which counts as well.
        """
        if how == "half":
            self.socket.shutdown(socket.SHUT_WR)
            return
        if how == "RST":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


async def connect_paused_client(proxy: LoopbackProxy) -> StreamPair:
    """Connect a client that reads nothing until its transport's `resume_reading`, and buffers little."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, ("127.0.0.1", proxy.port))
    reader, writer = await asyncio.open_connection(sock=client)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    return reader, writer


def queue_request(port: int, request_id: str) -> socket.socket:
    """Return a connection in the system's queue of accepted ones, with a request on it."""
    client = socket.create_connection(("127.0.0.1", port))
    client.sendall(http_request(request_id=request_id))
    return client


async def stream_pair(client: socket.socket) -> StreamPair:
    """Return streams of the event loop on this connection."""
    client.setblocking(False)
    return await asyncio.open_connection(sock=client)


async def read_status_or_end(client: socket.socket) -> int:
    """Return the status of the response; 0 where the connection ends without one."""
    reader, writer = await stream_pair(client)
    try:
        return response_status(await read_http_message(reader))
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    finally:
        writer.close()
