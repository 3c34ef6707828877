"""Peers that send no complete request, or more than they may, and record whether they got their due."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable

from benchmarks.soak.clients import PAY, READ, request_bytes
from benchmarks.soak.plan import PeerKind
from benchmarks.soak.records import PeerReport, PeerStay

MANY_FIELDS = b"".join(b"a%d:\r\n" % n for n in range(2_300))  # nearly 16 KiB of head
POST_HEAD = b"POST /api HTTP/1.1\r\nHost: a\r\nReq-Id: %b\r\nReq-Kind: pay\r\nContent-Length: 64000\r\n"
CHUNKED_HEAD = (
    b"POST /api HTTP/1.1\r\nHost: a\r\nReq-Id: %b\r\nReq-Kind: pay\r\nTransfer-Encoding: chunked\r\n\r\n"
)
FLOOD_BYTES = 60_000_000
FLOOD_LIMIT_S = 6.0
STAY_S = 7.0
PAUSE_S = 0.1
# Without a pause, peers that are turned away would overflow the system's queue of connections.
RETURN_AFTER_S = 0.5
SMALL_RECEIVE_BUFFER_BYTES = 4_096

Play = Callable[["Peer"], Awaitable[None]]


class Peer:
    """One connection of a peer."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        """Initialize with an open connection.

        Args:
            reader: The connection's reader.
            writer: The connection's writer.
            name: An id that no other peer uses.
        """
        self.reader, self.writer, self.name = reader, writer, name
        writer.transport.set_write_buffer_limits(high=65_536)

    async def send(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            OSError: The connection has ended.
        """
        self.writer.write(data)
        await self.writer.drain()

    async def send_slowly(self, data: bytes, piece_bytes: int, interval_s: float) -> None:
        """Send bytes piece by piece.

        Raises:
            OSError: The connection has ended.
        """
        for start in range(0, len(data), piece_bytes):
            await self.send(data[start : start + piece_bytes])
            await asyncio.sleep(interval_s)


async def half_body(peer: Peer) -> None:
    """Send half of a large request."""
    await peer.send(POST_HEAD % peer.name + b"\r\n" + b"x" * 32_000)


async def slow_body(peer: Peer) -> None:
    """Send a large request in pieces that take a minute."""
    await peer.send(POST_HEAD % peer.name + b"\r\n")
    await peer.send_slowly(b"x" * 63_000, 600, 0.05)


async def many_fields(peer: Peer) -> None:
    """Send a head of thousands of fields without its end."""
    await peer.send(b"GET /api HTTP/1.1\r\n" + MANY_FIELDS)


async def whole_fields(peer: Peer) -> None:
    """Send a complete head of thousands of fields that is no valid request."""
    await peer.send(b"GET /api HTTP/1.1\r\nHost: a\r\n" + MANY_FIELDS[: len(MANY_FIELDS) - 300] + b"\r\n\r\n")


async def tiny_pieces(peer: Peer) -> None:
    """Send a head byte by byte."""
    await peer.send_slowly(b"GET /api HTTP/1.1\r\nHost: " + b"a" * 4_000, 1, 0.01)


async def tiny_chunks(peer: Peer) -> None:
    """Send a body in chunks of one byte that never ends."""
    await peer.send(CHUNKED_HEAD % peer.name)
    await peer.send_slowly(b"1\r\nx\r\n" * 50_000, 1_200, 0.02)


async def sends_ahead(peer: Peer) -> None:
    """Send a complete request, and a megabyte of tiny pieces behind it."""
    await peer.send(request_bytes(PAY, peer.name.decode(), 100))
    await peer.send_slowly(b"GET / HTTP/1.1\r\nA: " + b"y" * 1_000_000, 20, 0.0)


async def idle(peer: Peer) -> None:
    """Send nothing."""


async def flood(peer: Peer) -> None:
    """Send much that is no HTTP."""
    for _ in range(FLOOD_BYTES // 60_000):
        await peer.send(b"\x00z" * 30_000)


async def expects(peer: Peer) -> None:
    """Ask for a 100 response, and send no body."""
    await peer.send(POST_HEAD % peer.name + b"Expect: 100-continue\r\n\r\n")


async def unsound(peer: Peer) -> None:
    """Send invalid requests under ever new names, as many as the connection takes."""
    for number in range(100_000):
        await peer.send(
            b"GET /api HTTP/1.1\r\nHost: a\r\nReq-Id: u%d\r\nReq-Kind: k%d\r\n\r\n" % (number, number)
        )


async def checks(peer: Peer) -> None:
    """Send readiness checks, as many as the connection takes."""
    for _ in range(20_000):
        await peer.send(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n" * 20)


async def does_not_read(peer: Peer) -> None:
    """Send requests, and never read the responses."""
    assert isinstance(peer.writer.transport, asyncio.Transport)
    peer.writer.transport.pause_reading()
    for number in range(40):
        await peer.send(request_bytes(READ, f"{peer.name.decode()}{number:02x}03", 0))


PLAYS: dict[PeerKind, Play] = {
    PeerKind.HALF_BODY: half_body,
    PeerKind.SLOW_BODY: slow_body,
    PeerKind.MANY_FIELDS: many_fields,
    PeerKind.WHOLE_FIELDS: whole_fields,
    PeerKind.TINY_PIECES: tiny_pieces,
    PeerKind.TINY_CHUNKS: tiny_chunks,
    PeerKind.SENDS_AHEAD: sends_ahead,
    PeerKind.IDLE: idle,
    PeerKind.FLOOD: flood,
    PeerKind.EXPECTS: expects,
    PeerKind.UNSOUND: unsound,
    PeerKind.CHECKS: checks,
    PeerKind.DOES_NOT_READ: does_not_read,
}
# These peers send whole requests as well, or checks that are answered, so that no time limit is owed to them.
NOTHING_OWED = (PeerKind.SENDS_AHEAD, PeerKind.CHECKS, PeerKind.DOES_NOT_READ)


async def repeat_stays(
    kind: PeerKind, address: tuple[str, int], name: bytes, stop: asyncio.Event, report: PeerReport
) -> None:
    """Connect again and again, play the kind each time, and record when the proxy ends the stay."""
    number = 0
    while not stop.is_set():
        number += 1
        try:
            async with asyncio.timeout(STAY_S):
                reader, writer = await _connect(kind, address)
        except OSError:
            await asyncio.sleep(PAUSE_S)
            continue
        stay = PeerStay(kind, time.monotonic(), limit_s=FLOOD_LIMIT_S if kind is PeerKind.FLOOD else 3.0)
        peer = Peer(reader, writer, name + b"%06x" % number)
        playing = asyncio.ensure_future(_play(kind, peer))
        await _wait_for_end(kind, peer, stay, stop)
        playing.cancel()
        writer.transport.abort()
        with contextlib.suppress(asyncio.CancelledError):
            await playing
        if kind not in NOTHING_OWED:
            report.stays.append(stay)
        await asyncio.sleep(RETURN_AFTER_S)


async def _connect(
    kind: PeerKind, address: tuple[str, int]
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    if kind is not PeerKind.DOES_NOT_READ:
        return await asyncio.open_connection(*address)
    small = socket.socket()
    small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
    small.settimeout(0.0)  # non-blocking
    await asyncio.get_running_loop().sock_connect(small, address)
    return await asyncio.open_connection(sock=small)


async def _play(kind: PeerKind, peer: Peer) -> None:
    with contextlib.suppress(OSError):
        await PLAYS[kind](peer)


async def _wait_for_end(kind: PeerKind, peer: Peer, stay: PeerStay, stop: asyncio.Event) -> None:
    """Wait until the stay ends: by the proxy, by its time or by the stop of all peers."""
    stopping = asyncio.ensure_future(stop.wait())
    ending = asyncio.ensure_future(_ended_by_proxy(kind, peer))
    await asyncio.wait((stopping, ending), timeout=STAY_S, return_when=asyncio.FIRST_COMPLETED)
    if ending.done():
        stay.ended_at_s = time.monotonic()
    for task in (stopping, ending):
        task.cancel()


async def _ended_by_proxy(kind: PeerKind, peer: Peer) -> None:
    """Return once the proxy has sent an error response or ended the connection."""
    with contextlib.suppress(OSError):
        while data := await peer.reader.read(65_536):
            if kind not in NOTHING_OWED and not data.startswith(b"HTTP/1.1 1"):
                return
