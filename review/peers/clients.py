"""Sound clients: one request at a time on a connection, and kept connections."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from review.peers.backend import made_body
from review.peers.wire import read_message

ANSWER_SLACK_S = 0.55  # a final answer is due half a second after the time of the request, and 50 ms


@dataclass(slots=True)
class Sent:
    """One request and its end.

    Attributes:
        request_id: The id.
        kind: The class.
        deadline_s: The time that the client waits.
        sent_at_s: The time at which the last byte was written.
        ended_at_s: The time of the last byte of the answer, or of the end.
        end: `answered`, `closed` (without a whole answer), `refused` (no connection), `silent` or `left`.
        status: The status of the answer, or 0.
        is_own: Whether the body of a 200 was made for this request.
        was_kept: Whether the connection had carried a request before.
    """

    request_id: str
    kind: str
    deadline_s: float
    sent_at_s: float = 0.0
    ended_at_s: float = 0.0
    end: str = "refused"
    status: int = 0
    is_own: bool = True
    was_kept: bool = False

    @property
    def is_late(self) -> bool:
        """Whether the end came later than a final answer may."""
        return self.ended_at_s > self.sent_at_s + self.deadline_s + ANSWER_SLACK_S


class Clients:
    """Clients of one proxy, which share kept connections."""

    def __init__(self, port: int, seed: int = 7) -> None:
        """Initialize for a proxy's port."""
        self.port = port
        self.body_sizes: tuple[int, ...] = (100,)
        self.sent: list[Sent] = []
        self.rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._prefix = f"{seed:04x}"
        self._kept: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    def new_id(self) -> str:
        """Return an id that was not used before."""
        return f"{self._prefix}{next(self._numbers):08x}{self.rng.randrange(16**4):04x}"

    def request_bytes(self, sent: Sent, method: str, body: bytes, *, is_keyed: bool) -> bytes:
        """Return a request in the form of the protocol."""
        lines = [
            f"{method} /api?sid={sent.request_id} HTTP/1.1",
            "Host: origin.svc",
            f"Req-Id: {sent.request_id}",
            f"Req-Kind: {sent.kind}",
            f"Req-Deadline: {sent.deadline_s:.3f}",
        ]
        if is_keyed:
            lines.append(f"Idempotency-Key: k{sent.request_id}")
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def call(
        self, kind: str, deadline_s: float, *, is_safe: bool = False, is_keyed: bool = False
    ) -> Sent:
        """Send one request, once more if a kept connection was closed under it, and record its end."""
        sent = Sent(self.new_id(), kind, deadline_s)
        method = "GET" if is_safe else "POST"
        body = b"" if is_safe else b"b" * self.rng.choice(self.body_sizes)
        data = self.request_bytes(sent, method, body, is_keyed=is_keyed)
        sent.was_kept = bool(self._kept)
        await self._exchange(sent, data)
        if sent.end == "closed" and sent.was_kept and not sent.status:
            again = Sent(sent.request_id, kind, deadline_s)
            await self._exchange(again, data)
            sent = again
        self.sent.append(sent)
        return sent

    async def _exchange(self, sent: Sent, data: bytes) -> None:
        try:
            if sent.was_kept:
                reader, writer = self._kept.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            sent.ended_at_s = time.monotonic()
            return
        is_kept = False
        try:
            writer.write(data)
            sent.sent_at_s = time.monotonic()
            async with asyncio.timeout(sent.deadline_s + 2.0):
                message = await read_message(reader)
            sent.end, sent.status = "answered", int(message.line.split(" ")[1])
            sent.is_own = sent.status != 200 or message.body == made_body(sent.request_id, len(message.body))
            is_kept = message.headers.get("connection", "") != "close"
        except TimeoutError:
            sent.end = "silent"
        except (OSError, asyncio.IncompleteReadError):
            sent.end = "closed"
        sent.ended_at_s = time.monotonic()
        if is_kept:
            self._kept.append((reader, writer))
        else:
            writer.transport.abort()

    async def run(self, rate_per_s: float, until_s: float, kinds: list[tuple[str, float, str]]) -> None:
        """Send requests at a rate until a time of the monotonic clock, and wait for their ends.

        Args:
            rate_per_s: The rate.
            until_s: The time.
            kinds: The classes: name, time in seconds, and `safe`, `keyed` or `unsafe`.
        """
        tasks = []
        while time.monotonic() < until_s:
            name, deadline_s, effect = self.rng.choice(kinds)
            call = self.call(name, deadline_s, is_safe=effect == "safe", is_keyed=effect == "keyed")
            tasks.append(asyncio.ensure_future(call))
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
        await asyncio.gather(*tasks)
