"""Sound clients of the soak test, which record each request, and clients that leave."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from benchmarks.soak.endpoints import HEAD_END, response_body
from benchmarks.soak.records import PeerReport, RequestEnd, SentRequest

CONNECT_TIMEOUT_S = 3.0
WAIT_BEYOND_DEADLINE_S = 2.0
LARGE_BODY_BYTES = 64_000
BODY_BYTES = (0, 200, 4_000, 40_000)
SLOW_PIECE_BYTES = 400
SLOW_PIECE_INTERVAL_S = 0.02
LEAVE_AFTER_S = 0.05
RETURN_AFTER_S = 0.02


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A request class as clients use it."""

    name: str
    method: str
    deadline_s: float
    has_key: bool = False


READ = RequestKind("read", "GET", 2.0)
ORDER = RequestKind("order", "POST", 3.0, has_key=True)
PAY = RequestKind("pay", "POST", 3.0)
KINDS = (READ, ORDER, PAY)


def request_bytes(kind: RequestKind, request_id: str, body_size: int) -> bytes:
    """Return a request in the form of the protocol."""
    lines = [
        f"{kind.method} /api HTTP/1.1",
        "Host: origin.svc",
        f"Req-Id: {request_id}",
        f"Req-Kind: {kind.name}",
        f"Req-Deadline: {kind.deadline_s}",
    ]
    if kind.has_key:
        lines.append(f"Idempotency-Key: k{request_id}")
    if kind.method == "POST":
        lines.append(f"Content-Length: {body_size}")
    body = b"b" * body_size if kind.method == "POST" else b""
    return "\r\n".join(lines).encode() + HEAD_END + body


class Connection:
    """One connection of a client, used for one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Initialize with an open connection."""
        self._reader, self.writer = reader, writer
        self.request_count = 0
        writer.transport.set_write_buffer_limits(high=0)  # `drain` then waits for the last byte

    async def write(self, data: bytes, *, slowly: bool = False) -> None:
        """Write all bytes to the connection.

        Raises:
            OSError: The connection has ended.
        """
        size = SLOW_PIECE_BYTES if slowly else len(data)
        for start in range(0, len(data), size):
            self.writer.write(data[start : start + size])
            await self.writer.drain()
            if slowly:
                await asyncio.sleep(SLOW_PIECE_INTERVAL_S)

    async def read_response(self) -> tuple[int, bytes, bool]:
        """Return the status and body of a response, and whether the connection stays open.

        Raises:
            OSError: The connection has ended.
            asyncio.IncompleteReadError: The connection has ended.
        """
        head = await self._reader.readuntil(HEAD_END)
        status = int(head.split(b" ", 2)[1])
        lower = head.lower()
        length = int(lower.partition(b"content-length:")[2].partition(b"\r\n")[0] or 0)
        body = await self._reader.readexactly(length)
        return status, body, b"connection: close" not in lower


@dataclass
class Clients:
    """Clients of one proxy, with a pool of connections.

    Attributes:
        host: The address of the proxy.
        port: The port of the proxy.
        seed: The seed of the requests.
        prefix: The first digits of the ids of this process's requests.
        report: Receives each request.
    """

    host: str
    port: int
    seed: int
    prefix: str
    report: PeerReport
    _idle: list[Connection] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Begin the sequence of ids."""
        self.rng = random.Random(self.seed)
        self._ids = self._new_ids()

    def _new_ids(self) -> Iterator[str]:
        number = 0
        while True:
            number += 1
            yield f"{self.prefix}{number:08x}{self.rng.randrange(256):02x}"

    async def run_steadily(self, rate_per_s: float, stop: asyncio.Event) -> None:
        """Send requests of all classes at a rate until the event is set, then wait for their ends."""
        while not stop.is_set():
            kind = self.rng.choice(KINDS)
            self._start(self.call(kind, self.rng.choice(BODY_BYTES)))
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
        await asyncio.gather(*self._tasks)

    async def run_closed_loop(self, stop: asyncio.Event, *, slowly: bool = False) -> None:
        """Send large requests, one after the other, on a connection of its own, until the event is set."""
        while not stop.is_set():
            kind = self.rng.choice((ORDER, PAY))
            if not await self.call(kind, 4_000 if slowly else LARGE_BODY_BYTES, slowly=slowly):
                await asyncio.sleep(0.2)

    def _start(self, call: object) -> None:
        task = asyncio.ensure_future(call)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self) -> Connection:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return Connection(*await asyncio.open_connection(self.host, self.port))

    async def call(self, kind: RequestKind, body_size: int, *, slowly: bool = False) -> bool:
        """Send a request, once more if the proxy closed a kept connection under it.

        Returns:
            Whether it was served.
        """
        request_id = next(self._ids)
        data = request_bytes(kind, request_id, body_size)
        request = SentRequest(request_id, kind.name, kind.deadline_s, time.monotonic())
        connection: Connection | None = None
        try:
            connection = self._idle.pop() if self._idle else await self._connect()
            was_kept = connection.request_count > 0
            if not await self._exchange(connection, request, data, slowly=slowly) and was_kept:
                request = SentRequest(request_id, kind.name, kind.deadline_s, time.monotonic())
                connection = await self._connect()
                await self._exchange(connection, request, data, slowly=slowly)
        except OSError:
            request.end = RequestEnd.NOT_TAKEN
        request.ended_at_s = time.monotonic()
        self.report.requests.append(request)
        return request.status == 200

    async def _exchange(
        self, connection: Connection, request: SentRequest, data: bytes, *, slowly: bool
    ) -> bool:
        """Send a request and wait for its end; return False if the connection ended without an answer."""
        connection.request_count += 1
        request.end = RequestEnd.NOT_TAKEN
        keeps_open = False
        try:
            try:
                request.sent_at_s = time.monotonic()
                await connection.write(data, slowly=slowly)
                request.sent_at_s = time.monotonic()
            except OSError:
                pass  # the proxy may have answered before it ended the connection
            request.end = RequestEnd.SILENT
            async with asyncio.timeout(request.deadline_s + WAIT_BEYOND_DEADLINE_S):
                request.status, body, keeps_open = await connection.read_response()
            request.end = RequestEnd.ANSWERED
            request.has_own_body = request.status != 200 or body == response_body(request.id)
        except TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            request.end = RequestEnd.CLOSED
        finally:
            if keeps_open:
                self._idle.append(connection)
            else:
                connection.writer.transport.abort()
        return request.end is not RequestEnd.CLOSED

    async def leave_and_return(self, stop: asyncio.Event) -> None:
        """Send unsafe requests, leave soon after each, and send the same id again on a new connection."""
        while not stop.is_set():
            request_id = next(self._ids)
            data = request_bytes(PAY, request_id, self.rng.choice(BODY_BYTES))
            try:
                await self._send_and_leave(request_id, data, self.rng.choice((0.0, LEAVE_AFTER_S)))
                await asyncio.sleep(RETURN_AFTER_S)
                await self._send_and_leave(request_id, data, 2 * PAY.deadline_s)
            except OSError:
                await asyncio.sleep(0.2)

    async def _send_and_leave(self, request_id: str, data: bytes, stay_s: float) -> None:
        """Send a request and leave, after the answer if it comes first."""
        connection = await self._connect()
        await connection.write(data)
        request = SentRequest(request_id, PAY.name, PAY.deadline_s, time.monotonic(), RequestEnd.LEFT)
        try:
            async with asyncio.timeout(stay_s):
                request.status, _, _ = await connection.read_response()
            request.end = RequestEnd.ANSWERED
        except (OSError, asyncio.IncompleteReadError):  # TimeoutError is an OSError
            pass
        connection.writer.transport.abort()
        request.ended_at_s = time.monotonic()
        self.report.requests.append(request)

    async def leave_unread(self, stop: asyncio.Event) -> None:
        """Send many requests at once, and close the connection over them."""
        while not stop.is_set():
            request_ids = [next(self._ids) for _ in range(40)]
            data = b"".join(request_bytes(PAY, request_id, 200) for request_id in request_ids)
            try:
                connection = await self._connect()
                connection.writer.write(data)
                await asyncio.sleep(self.rng.choice((0.0, 0.03)))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            sent_at_s = time.monotonic()
            connection.writer.transport.abort()
            for request_id in request_ids:
                self.report.requests.append(
                    SentRequest(
                        request_id, PAY.name, PAY.deadline_s, sent_at_s, RequestEnd.LEFT, time.monotonic()
                    )
                )
            await asyncio.sleep(0.3)
