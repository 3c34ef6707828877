"""Backends on bare sockets, attempts on them, and connections that come up when a test says so."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.addresses import Address, EndpointAddress
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse
from tests.support.balancer_harness import S
from tests.support.loopback import Peer, Proxy, SteppedClock, answer, until

REQUEST = UpstreamRequest(
    b"POST",
    b"/api",
    [(b"host", b"x"), (b"idempotency-key", b"k"), (b"content-length", b"2")],
    b"hi",
    is_idempotent=True,
)
ONCE = replace(REQUEST, is_idempotent=False)
HEAD = b"HTTP/1.1 200 x\r\n\r\n"  # of an answer that says nothing of its length
OK = UpstreamResponse(200, [(b"content-length", b"2")], b"ok")
SAFE = UpstreamRequest(b"GET", b"/api", [(b"host", b"x")], b"", is_idempotent=True)
# Times in seconds that no busy machine comes near by itself: all that passes is stepped.
MOSTLY_QUICK = [5.0] * 10 + [1_000.0] * 5
SLOW = [1_000.0, 1_010.0, 1_020.0] * 5
LIMIT_S = 60_000.0
IDLE_S = 1e6

KINDS = ["read", "write", "mark", "pay"]

Message = tuple[str, dict[str, str], bytes]


class Wire:
    """A backend's end of one connection: what it does is with the system before the call returns."""

    def __init__(self, accepted: socket.socket, reads: asyncio.Event) -> None:
        self.socket = accepted
        self.read = b""
        self.ended = False  # the other side has
        self.reads = reads
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def say(self, said: bytes) -> None:
        self.socket.sendall(said)

    def end(self) -> None:
        """A proper end of what it has to say."""
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        asyncio.get_running_loop().remove_reader(self.socket)  # it may be waiting for more
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    @property
    def closed(self) -> bool:
        return self.socket.fileno() < 0

    async def more(self) -> bool:
        """Reads on; false at the other side's end, or ours."""
        while True:
            await self.reads.wait()
            if self.closed:
                return False
            try:
                data = self.socket.recv(65_536)
            except BlockingIOError:
                await self._readable()
                continue
            except OSError:
                data = b""
            self.read += data
            self.ended = not data
            return bool(data)

    async def _readable(self) -> None:
        loop = asyncio.get_running_loop()
        readable = asyncio.Event()
        loop.add_reader(self.socket, readable.set)
        try:
            await readable.wait()
        finally:
            if not self.closed:
                loop.remove_reader(self.socket)

    async def request(self) -> Message | None:
        """The next request, once it has come whole; none at the end."""
        while b"\r\n\r\n" not in self.read:
            if not await self.more():
                return None
        text, _, rest = self.read.partition(b"\r\n\r\n")
        first, *lines = text.decode().split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        length = int(headers.get("content-length", 0))
        while len(rest) < length:
            self.read = b""
            if not await self.more():
                return None
            rest += self.read
        self.read = rest[length:]
        return first, headers, rest[:length]


class Bare:
    """A backend. Its handler gets each request with the connection that it came on."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.socket.setblocking(False)
        self.port: int = self.socket.getsockname()[1]
        self.endpoint = EndpointAddress(1, ("127.0.0.1", self.port))
        self.wires: list[Wire] = []
        self.accepts = asyncio.Event()  # until then its connections wait in the system
        self.reads = asyncio.Event()  # it reads nothing while this is not set
        self.reads.set()
        self.seen: list[Message] = []

    @property
    def ids(self) -> list[str]:
        return [headers["req-id"] for _, headers, _ in self.seen]


Handle = Callable[[Wire, Message], Awaitable[None]]


@asynccontextmanager
async def bare(handle: Handle, accepts: bool = True) -> AsyncIterator[Bare]:
    made, loop = Bare(), asyncio.get_running_loop()
    if accepts:
        made.accepts.set()
    tasks: list[asyncio.Task[None]] = []

    async def serve(wire: Wire) -> None:
        while (got := await wire.request()) is not None:
            made.seen.append(got)
            await handle(wire, got)

    async def accept() -> None:
        await made.accepts.wait()
        while True:
            accepted, _ = await loop.sock_accept(made.socket)
            made.wires.append(Wire(accepted, made.reads))
            tasks.append(loop.create_task(serve(made.wires[-1])))

    tasks.append(loop.create_task(accept()))
    try:
        yield made
    finally:
        failed = [t.exception() for t in tasks if t.done() and not t.cancelled()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for closing in (made.socket, *(w.socket for w in made.wires)):
            closing.close()
        for fault in filter(None, failed):
            raise fault


def says(*steps: bytes | str) -> Handle:
    """A backend that says and does this at each request, all in one turn: "end", "reset"."""

    async def handle(wire: Wire, got: Message) -> None:
        for step in steps:
            if isinstance(step, bytes):
                wire.say(step)
            else:
                {"end": wire.end, "reset": wire.reset}[step]()

    return handle


class Out:
    """An attempt and how it ended."""

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint: EndpointAddress,
        request: UpstreamRequest = REQUEST,
        timeout_s: float = 60.0,
    ) -> None:
        self.ends: list[tuple[Outcome, UpstreamResponse | None]] = []
        pool.enable_endpoint(endpoint)
        self.attempt = pool.start_attempt(endpoint, request, timeout_s, lambda *how: self.ends.append(how))

    async def end(self) -> tuple[Outcome, UpstreamResponse | None]:
        await until(lambda: bool(self.ends))
        for _ in range(5):  # whatever would follow
            await asyncio.sleep(0)
        [end] = self.ends
        return end


@pytest.fixture
def read(monkeypatch: pytest.MonkeyPatch) -> bytearray:
    """All that has been read from backends."""
    come = bytearray()
    received = UpstreamConnection.data_received

    def data_received(connection: UpstreamConnection, data: bytes) -> None:
        come.extend(data)
        received(connection, data)

    monkeypatch.setattr(UpstreamConnection, "data_received", data_received)
    return come


INVALID_RESPONSES = [
    b"\x8f noise without the end of a line",
    b"not http\r\n\r\n",
    b"HTTP/1.1 200 x\r\nno colon here\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    b"HTTP/1.1 200 x\r\nContent-Length: 65537\r\n\r\nok",
    b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 100 x\r\n\r\n" * 100 + answer(200, b"ok"),
    b"HTTP/1.1 101 x\r\nUpgrade: y\r\n\r\n",
]


class Held:
    """Connections to backends come up no sooner than a test says; the limits on that run meanwhile."""

    def __init__(self) -> None:
        self.opened, self.waiting = asyncio.Event(), 0
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def held(make: Callable[[], asyncio.Protocol], host: str, port: int) -> object:
            self.waiting += 1
            await self.opened.wait()
            return await connect(make, host, port)

        loop.create_connection = held  # type: ignore[method-assign, assignment]


def stepped(p: Proxy) -> SteppedClock:
    """A hand on the loop's clock and the module's."""
    clock, now_us = SteppedClock(), p.driver.clock.now_us
    p.driver.clock.now_us = lambda: now_us() + round(clock.ahead * S)  # type: ignore[method-assign]
    return clock


async def attempt(
    pool: ConnectionPool,
    address: Address,
    request: UpstreamRequest = REQUEST,
    timeout_s: float = 5.0,
    number: int = 1,
) -> tuple[Outcome, UpstreamResponse | None]:
    ended: asyncio.Future[tuple[Outcome, UpstreamResponse | None]] = (
        asyncio.get_running_loop().create_future()
    )
    endpoint = EndpointAddress(number, address)
    pool.enable_endpoint(endpoint)
    pool.start_attempt(endpoint, request, timeout_s, lambda *how: ended.set_result(how))
    return await ended


class Connects:
    """Holds each connection of a pool just before it is made."""

    def __init__(self, pool: ConnectionPool, usual: list[float]) -> None:
        self.gates: list[asyncio.Event] = []
        self.clock = SteppedClock()
        for seconds in usual:
            pool.pacing.latency.add(seconds)
        connect = pool.connector.open

        async def held(endpoint: EndpointAddress) -> UpstreamConnection:
            gate = asyncio.Event()
            self.gates.append(gate)
            await gate.wait()
            return await connect(endpoint)

        pool.connector.open = held  # type: ignore[method-assign]

    async def begun(self, count: int) -> None:
        await until(lambda: len(self.gates) == count)

    def let(self, *numbers: int) -> None:
        for number in numbers:
            self.gates[number].set()

    async def step(self, seconds: float) -> None:
        """Lets time pass, and all that falls due then run."""
        self.clock.step(seconds)
        for _ in range(12):
            await asyncio.sleep(0)


class Calls:
    """Attempts on one backend, and how they ended."""

    def __init__(self, pool: ConnectionPool, made: Peer) -> None:
        self.pool, self.endpoint = pool, EndpointAddress(1, ("127.0.0.1", made.port))
        self.ended: dict[str, Outcome] = {}
        pool.enable_endpoint(self.endpoint)

    def begin(
        self,
        request_id: str,
        request: UpstreamRequest = SAFE,
        timeout_s: float = LIMIT_S / 2,
        failover_within_s: float = 0.0,
    ) -> UpstreamAttempt:
        request = replace(request, headers=[*request.headers, (b"req-id", request_id.encode())])
        return self.pool.start_attempt(
            self.endpoint,
            request,
            timeout_s,
            lambda how, _: self.ended.update({request_id: how}),
            failover_within_s,
        )

    async def until(self, **ended: Outcome) -> None:
        await until(lambda: self.ended == ended)


def ids(made: Peer) -> list[str]:
    return [headers["req-id"] for _, headers, _ in made.seen]
