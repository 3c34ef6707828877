"""Backends: they run requests as the protocol says, and record each of them."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from review.peers.wire import Message, answer, read_message


def made_body(request_id: str, size: int = 200) -> bytes:
    """Return the body that a backend makes for a request."""
    unit = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (unit * (size // len(unit) + 1))[:size]


@dataclass(slots=True)
class Run:
    """One attempt whose last byte has come to a backend.

    Attributes:
        at_s: The time of its last byte.
        backend: The name of the backend.
        request_id: The id of the request.
        kind: The class of the request, if the proxy passed it on, else the method.
        key: The idempotency key, or an empty text.
        is_effective: Whether it took effect: False if it was turned away or dropped as a repeat.
        deadline_s: The time that the backend was told.
    """

    at_s: float
    backend: str
    request_id: str
    kind: str
    key: str
    is_effective: bool
    deadline_s: float


Handler = Callable[["Backend", Message, Run, asyncio.StreamWriter], Awaitable[bool]]


async def serve_at_once(backend: Backend, message: Message, run: Run, writer: asyncio.StreamWriter) -> bool:
    """Work for the usual time, answer, and keep the connection open."""
    await asyncio.sleep(backend.work_s)
    writer.write(answer(200, made_body(run.request_id), Srv_Load="inflight=1,latency_ms=20"))
    return True


class Backend:
    """One backend on a port of its own."""

    def __init__(self, name: str, zone: str, runs: list[Run], handler: Handler = serve_at_once) -> None:
        """Initialize; `start` listens.

        Args:
            name: Its uid.
            zone: Its machine room.
            runs: Receives each attempt.
            handler: Answers a request, and returns whether the connection stays open.
        """
        self.name, self.zone, self.runs, self.handler = name, zone, runs, handler
        self.work_s = 0.02
        self.port = 0
        self.connection_count = 0
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the entry of discovery's list."""
        return {
            "uid": self.name,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": "front-fast",
            "pod_group": 1,
            "state": "in_service",
            "capacity_hint": 1.0,
            "boot_ms": 0,
            **changes,
        }

    async def start(self) -> None:
        """Listen on a free port, or again on the one of before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening, and reset all connections, as at the end of a process."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        self.connection_count += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            stays = True
            while stays:
                message = await read_message(reader)
                headers = message.headers
                run = Run(
                    time.monotonic(),
                    self.name,
                    headers.get("req-id", ""),
                    message.line.split(" ", 1)[0],
                    headers.get("idempotency-key", ""),
                    is_effective=True,
                    deadline_s=float(headers.get("req-deadline", "0")),
                )
                self.runs.append(run)
                stays = await self.handler(self, message, run, writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()
