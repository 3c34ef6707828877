"""Clients that a test moves by hand, on real sockets, and backends that answer when the test does."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.loopback import Peer, Proxy, Streams, peer, read_message


class Client:
    """A client whose bytes and whose end are with the system at once, before the loop turns."""

    def __init__(self, p: Proxy, takes: int | None = None) -> None:
        self.socket = socket.socket()
        if takes is not None:  # bytes at once
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, takes)
        self.socket.connect(("127.0.0.1", p.port))

    def send(self, sent: bytes) -> None:
        self.socket.sendall(sent)

    async def read(self, answers: int) -> list[int]:
        """The status of each of these, and then it leaves."""
        reader, writer = await streams(self)
        try:
            return [status(await read_message(reader)) for _ in range(answers)]
        finally:
            writer.close()

    def leave(self, way: str) -> None:
        """By an end, by an end of its sending alone, which counts as leaving too, or by a reset."""
        if way == "half":
            self.socket.shutdown(socket.SHUT_WR)
            return
        if way == "RST":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


@asynccontextmanager
async def silent_backend() -> AsyncIterator[Peer]:
    """A backend that takes requests and answers none: a test answers in its place, when it likes."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            made.seen.append(await read_message(reader))

    async with peer(handle) as made:
        yield made


def attempt_connection(p: Proxy) -> UpstreamConnection:
    """The connection of the longest open attempt."""
    attempt = next(iter(p.driver.requests.attempts.in_flight.values()))
    assert attempt.connection is not None
    return attempt.connection


async def settled() -> None:
    for _ in range(50):
        await asyncio.sleep(0)


async def streams(client: Client) -> Streams:
    client.socket.setblocking(False)
    return await asyncio.open_connection(sock=client.socket)


def closes(got: tuple[str, dict[str, str], bytes]) -> bool:
    return got[1].get("connection") == "close"


def status(got: tuple[str, dict[str, str], bytes]) -> int:
    return int(got[0].split()[1])


def narrow(p: Proxy, bytes_each: int = 4096) -> None:
    """Connections from now on take little at once, so that answers have to wait for their client to read."""
    p.listener._listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, bytes_each)


async def slow_reader(p: Proxy) -> Streams:
    """A client that reads nothing until it is let to."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, ("127.0.0.1", p.port))
    reader, writer = await asyncio.open_connection(sock=raw)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    return reader, writer
