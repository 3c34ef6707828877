"""Endpoints that record each request they run, and a fault proxy in front of each.

The endpoint's address in discovery's list is that of its fault proxy. Both live in the process of the run.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from dataclasses import dataclass, field
from enum import Enum, auto

from benchmarks.soak.plan import ConnectionFault, Plan
from benchmarks.soak.records import Execution

HEAD_END = b"\r\n\r\n"
BODY_SIZES = (20, 400, 6_000, 60_000)
LATE_S = (0.1, 1.5)
TRICKLE_PIECE_BYTES = 200
TRICKLE_INTERVAL_S = 0.002
STALL_AFTER_BYTES = 30
MANY_FIELDS_HEAD = b"HTTP/1.1 200 OK\r\n" + b"".join(b"a%d: b\r\n" % n for n in range(1_500))
GARBAGE = b"\x00\xff no response \r\n" * 40
ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_CHUNK = b"1\r\nx\r\n" * 200


def response_body(request_id: str) -> bytes:
    """Return the body that endpoints make for a request, which begins with its id."""
    size = BODY_SIZES[int(request_id[-2:], 16) % len(BODY_SIZES)]
    return f"{request_id}:".encode().ljust(size, b".")


class EndpointConnection(asyncio.Protocol):
    """Connection of an endpoint, which answers one request after the other."""

    def __init__(self, work_s: float, executions: list[Execution], relays: Relays) -> None:
        """Initialize a connection.

        Args:
            work_s: The time from a request's last byte to its response.
            executions: Receives a record of each complete request.
            relays: The relays of the fault proxies.
        """
        self._work_s = work_s
        self._executions = executions
        self._relays = relays
        self._received = bytearray()
        self._began_at_s: float | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Collect bytes, and run each request once it is complete."""
        if self._began_at_s is None:
            self._began_at_s = time.monotonic()
        self._received += data
        while (size := self._request_size()) is not None and len(self._received) >= size:
            head = bytes(self._received[:size]).partition(HEAD_END)[0]
            del self._received[:size]
            self._run(_header(head, b"req-id").decode())

    def _request_size(self) -> int | None:
        end = self._received.find(HEAD_END)
        if end < 0:
            return None
        length = _header(bytes(self._received[:end]), b"content-length")
        return end + len(HEAD_END) + int(length or 0)

    def _run(self, request_id: str) -> None:
        relay = self._relays.get(self._transport.get_extra_info("peername"))
        began_at_s = self._began_at_s if relay is None else relay.request_began_at_s
        self._began_at_s = None
        self._executions.append(Execution(request_id, began_at_s or time.monotonic(), time.monotonic()))
        asyncio.get_running_loop().call_later(self._work_s, self._respond, response_body(request_id))

    def _respond(self, body: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


Relays = dict[tuple[str, int], "Relay"]


class _Side(Enum):
    """The end of a relayed connection that a half of the relay talks to."""

    PROXY = auto()
    ENDPOINT = auto()


class Relay:
    """One relayed connection, with its fault."""

    def __init__(self, fault: ConnectionFault, delay_s: float, relays: Relays) -> None:
        """Initialize an unconnected relay.

        Args:
            fault: The fault of the connection.
            delay_s: The time after which a late connection is relayed.
            relays: Receives this relay, by its address at the endpoint.
        """
        self._relays = relays
        self.request_began_at_s: float | None = None
        self._fault = fault
        self._delay_s = delay_s
        self._to_endpoint: asyncio.Transport | None = None
        self._to_proxy: asyncio.Transport | None = None
        self._waiting = bytearray()  # from the proxy, until the endpoint is connected
        self._trickle = bytearray()
        self._response_bytes = 0

    async def connect(self, to_proxy: asyncio.Transport, host: str, port: int) -> None:
        """Connect to the endpoint, late if that is the fault."""
        self._to_proxy = to_proxy
        if self._fault is ConnectionFault.LATE:
            await asyncio.sleep(self._delay_s)
        try:
            transport, _ = await asyncio.get_running_loop().create_connection(
                lambda: _Half(self, _Side.ENDPOINT), host, port
            )
        except OSError:
            to_proxy.abort()
            return
        if to_proxy.is_closing():  # the proxy has taken its request back
            transport.abort()
            return
        self._to_endpoint = transport
        self._relays[transport.get_extra_info("sockname")] = self
        transport.write(bytes(self._waiting))

    def relay_request(self, data: bytes) -> None:
        """Pass on bytes of the proxy."""
        if self.request_began_at_s is None:
            self.request_began_at_s = time.monotonic()
        if self._to_endpoint is None:
            self._waiting += data
        else:
            self._to_endpoint.write(data)

    def relay_response(self, data: bytes) -> None:
        """Pass on bytes of the endpoint, changed by the fault."""
        to_proxy = self._to_proxy
        if to_proxy is None or to_proxy.is_closing():
            return
        self.request_began_at_s = None  # the next request begins after this response
        is_first = self._response_bytes == 0
        self._response_bytes += len(data)
        match self._fault:
            case ConnectionFault.RESET:
                to_proxy.write(data[: len(data) // 2])
                reset(to_proxy)
            case ConnectionFault.STALL:
                to_proxy.write(data[:STALL_AFTER_BYTES] if is_first else b"")
            case ConnectionFault.TRICKLE:
                self._trickle += data
                self._send_trickle()
            case ConnectionFault.GARBAGE:
                to_proxy.write(GARBAGE)
            case ConnectionFault.MANY_FIELDS:
                to_proxy.write(data.replace(b"HTTP/1.1 200 OK\r\n", MANY_FIELDS_HEAD) if is_first else data)
            case ConnectionFault.ENDLESS:
                to_proxy.write(ENDLESS_HEAD if is_first else b"")
                self._send_endless()
            case _:
                to_proxy.write(data)

    def _send_trickle(self) -> None:
        if self._to_proxy is None or self._to_proxy.is_closing() or not self._trickle:
            return
        self._to_proxy.write(bytes(self._trickle[:TRICKLE_PIECE_BYTES]))
        del self._trickle[:TRICKLE_PIECE_BYTES]
        asyncio.get_running_loop().call_later(TRICKLE_INTERVAL_S, self._send_trickle)

    def _send_endless(self) -> None:
        if self._to_proxy is None or self._to_proxy.is_closing():
            return
        if self._to_proxy.get_write_buffer_size() == 0:
            self._to_proxy.write(ENDLESS_CHUNK)
        asyncio.get_running_loop().call_later(TRICKLE_INTERVAL_S, self._send_endless)

    def ended(self, side: _Side) -> None:
        """End the other side as well."""
        other = self._to_endpoint if side is _Side.PROXY else self._to_proxy
        if other is not None:
            other.close()
        if self._to_endpoint is not None:
            self._relays.pop(self._to_endpoint.get_extra_info("sockname"), None)


class _Half(asyncio.Protocol):
    """One half of a relay."""

    def __init__(self, relay: Relay, side: _Side) -> None:
        self._relay = relay
        self._side = side

    def data_received(self, data: bytes) -> None:
        if self._side is _Side.PROXY:
            self._relay.relay_request(data)
        else:
            self._relay.relay_response(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._relay.ended(self._side)


class _AcceptedHalf(_Half):
    """The half towards the proxy, which begins the relay."""

    def __init__(self, relay: Relay, tasks: set[asyncio.Task[None]], host: str, port: int) -> None:
        super().__init__(relay, _Side.PROXY)
        self._new_relay, self._tasks, self._host, self._port = relay, tasks, host, port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        task = asyncio.get_running_loop().create_task(
            self._new_relay.connect(transport, self._host, self._port)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@dataclass
class Endpoints:
    """All endpoints of a run, each behind its fault proxy.

    Attributes:
        plan: The plan of the run.
        network: The first two octets of the addresses to listen on.
        executions: The requests that the endpoints have run.
    """

    plan: Plan
    network: str
    executions: list[Execution] = field(default_factory=list)
    _servers: list[asyncio.Server] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _relays: Relays = field(default_factory=dict)

    async def start(self) -> list[str]:
        """Start the endpoints, and return the addresses of their fault proxies.

        Raises:
            OSError: One of them cannot listen.
        """
        self._rng = random.Random(self.plan.seed + 1)
        return [await self._start_one(number) for number in range(1, self.plan.endpoint_count + 1)]

    async def _start_one(self, number: int) -> str:
        loop = asyncio.get_running_loop()
        endpoint_host, proxy_host = f"{self.network}.2.{number}", f"{self.network}.3.{number}"
        endpoint = await loop.create_server(
            lambda: EndpointConnection(self.plan.work_s, self.executions, self._relays), endpoint_host, 9000
        )
        fault_proxy = await loop.create_server(
            lambda: _AcceptedHalf(self._new_relay(), self._tasks, endpoint_host, 9000), proxy_host, 9000
        )
        self._servers += [endpoint, fault_proxy]
        return f"{proxy_host}:9000"

    def _new_relay(self) -> Relay:
        draw = self._rng.random()
        for fault, share in self.plan.fault_shares.items():
            if draw < share:
                return Relay(fault, self._rng.uniform(*LATE_S), self._relays)
            draw -= share
        return Relay(ConnectionFault.NONE, 0.0, self._relays)

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
