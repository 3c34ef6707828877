"""Clients of the proxy on plain sockets: sends and closes take effect without a turn of the event loop."""

from __future__ import annotations

import asyncio
import socket
import struct

from tests.support.http_messages import StreamPair, http_request, read_http_message, response_status
from tests.support.loopback_proxy import LoopbackProxy

SMALL_BUFFER_BYTES = 4096


class SocketClient:
    """A client that is connected when its constructor returns, without a turn of the event loop."""

    def __init__(self, proxy: LoopbackProxy, receive_buffer_bytes: int | None = None) -> None:
        self.socket = socket.socket()
        if receive_buffer_bytes is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.socket.connect(("127.0.0.1", proxy.port))

    def send(self, data: bytes) -> None:
        """Send all bytes before returning."""
        self.socket.sendall(data)

    async def streams(self) -> StreamPair:
        """Return asyncio streams on this client's connection."""
        return await stream_pair(self.socket)

    async def read_statuses(self, count: int) -> list[int]:
        """Read this many responses, disconnect, and return their statuses."""
        reader, writer = await self.streams()
        try:
            return [response_status(await read_http_message(reader)) for _ in range(count)]
        finally:
            writer.close()

    def disconnect(self, how: str) -> None:
        """End the connection.

        Args:
            how: "FIN" to close, "RST" to reset, or "half" to end only the sending direction, which also
            counts as a disconnect.
        """
        if how == "half":
            self.socket.shutdown(socket.SHUT_WR)
            return
        if how == "RST":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


async def connect_paused_client(proxy: LoopbackProxy) -> StreamPair:
    """Connect a client with a small receive buffer that reads nothing until `resume_reading` is called."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, ("127.0.0.1", proxy.port))
    reader, writer = await asyncio.open_connection(sock=client)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    return reader, writer


def queue_request(port: int, request_id: str) -> socket.socket:
    """Connect and send a request; return the connection, which waits in the system's accept queue."""
    client = socket.create_connection(("127.0.0.1", port))
    client.sendall(http_request(request_id=request_id))
    return client


async def stream_pair(client: socket.socket) -> StreamPair:
    """Return asyncio streams on this connection."""
    client.setblocking(False)
    return await asyncio.open_connection(sock=client)


async def read_status_or_end(client: socket.socket) -> int:
    """Return the status of the response, or 0 if the connection ends without one."""
    reader, writer = await stream_pair(client)
    try:
        return response_status(await read_http_message(reader))
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    finally:
        writer.close()
