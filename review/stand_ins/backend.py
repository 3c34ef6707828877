"""A backend: answers each request with a body that names the request, after its work."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass

from stand_ins.messages import Message, Sent, body_for, read_message, response
from stand_ins.record import Record


@dataclass
class Received:
    """One request that a backend has received."""

    request_id: str
    kind: str
    first_byte_s: float
    last_byte_s: float
    is_answered: bool = False


class Backend:
    """One backend on a loopback port."""

    def __init__(self, uid: str, zone: str, record: Record, work_s: float) -> None:
        """Create a backend that does not listen yet."""
        self.uid = uid
        self.zone = zone
        self.work_s = work_s
        self.port = 0
        self.boot_ms = 0
        self.received: list[Received] = []
        self.record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """End as a killed process does: the listener is closed and all connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def entry(self, state: str) -> dict[str, object]:
        """Return the entry of discovery's list for this backend."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": "front-mid",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    def got_nothing_after(self, limit_s: float, sent: Iterable[Sent]) -> bool:
        """Return whether no request began to arrive after a time; record what became of those that did."""
        late = [received for received in self.received if received.first_byte_s > limit_s]
        for received in late:
            self.record.line(f"LATE: {received.kind} {received.request_id} at {received.first_byte_s:.3f}")
        cut_off = {received.request_id for received in late if not received.is_answered}
        failed = [one for one in sent if one.request_id in cut_off and one.status not in (200, 429, 503)]
        self.record.say(f"{self.uid} got {len(self.received)} requests, {len(late)} after {limit_s:.3f}")
        self.record.say(f"of these its end cut off {len(cut_off)}; {len(failed)} failed at the client")
        for one in failed:
            self.record.say(f"{one.kind} {one.request_id} failed with {one.status or 'no answer'}")
        return not late

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Do the work and answer."""
        await asyncio.sleep(self.work_s)
        writer.write(response(200, body_for(message.headers["req-id"]), "Srv-Load: inflight=1,latency_ms=50"))
        await writer.drain()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while first := await reader.read(1):
                first_byte_s = self.record.now_s()
                message = await read_message(reader, first)
                received = Received(
                    message.headers.get("req-id", "-"),
                    message.start_line.split("kind=")[-1].split()[0],
                    first_byte_s,
                    self.record.now_s(),
                )
                self.received.append(received)
                self.record.line(f"{self.uid} gets {received.request_id} {received.kind}")
                await self.answer(message, writer)
                received.is_answered = True
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # a cancellation comes at the end of the case alone
        finally:
            self._writers.discard(writer)
            writer.close()
