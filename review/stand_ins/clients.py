"""Clients: send requests at random times, one at a time on each connection, and keep the connections."""

from __future__ import annotations

import asyncio
import itertools
import random

from stand_ins.messages import Message, Sent, read_message
from stand_ins.record import Record

METHODS = {"quote": "GET", "schedule": "POST", "settle": "POST"}
DEADLINES_S = {"quote": 1.2, "schedule": 1.2, "settle": 2.4}  # 40% of the time after which a client gives up


class Clients:
    """The clients of one proxy."""

    def __init__(self, port: int, record: Record, seed: int, shares: dict[str, float]) -> None:
        """Create clients that send nothing yet.

        Args:
            port: The port of the proxy.
            record: The record of the case.
            seed: The seed of the random numbers.
            shares: The share of each class.
        """
        self.sent: list[Sent] = []
        self._port = port
        self._record = record
        self._random = random.Random(seed)
        self._shares = shares
        self._numbers = itertools.count(1)
        self._free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._longest_lag_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    def all_answered_in_time(self) -> bool:
        """Return whether each request got its final answer within its time and 0.5 s; record the others."""
        late = [sent for sent in self.sent if not sent.is_answered_in_time]
        for sent in late:
            when = f"{sent.status} after {sent.took_s:.3f} s" if sent.status else "no answer"
            self._record.line(f"LOST: {sent.kind} {sent.request_id} with {sent.deadline_s} s left: {when}")
        served = sum(sent.status == 200 for sent in self.sent)
        longest_s = max(sent.took_s for sent in self.sent)
        self._record.say(f"requests: {len(self.sent)}, served: {served}, longest: {longest_s:.3f} s")
        self._record.say(f"without a final answer by their time and 0.5 s: {len(late)}")
        self._record.say(f"longest delay of the stand-ins' own loop: {self._longest_lag_s:.3f} s")
        return not late

    async def run(self, rate_per_s: float, duration_s: float) -> None:
        """Send requests at a mean rate for a while, then wait for the last answers."""
        lag_task = asyncio.create_task(self._measure_lag())
        until_s = self._record.now_s() + duration_s
        while self._record.now_s() < until_s:
            await asyncio.sleep(self._random.expovariate(rate_per_s))
            kind = self._random.choices(list(self._shares), list(self._shares.values()))[0]
            task = asyncio.create_task(self._send(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=10)
        lag_task.cancel()
        for _, writer in self._free:
            writer.close()

    async def _measure_lag(self) -> None:
        while True:
            before_s = self._record.now_s()
            await asyncio.sleep(0.02)
            self._longest_lag_s = max(self._longest_lag_s, self._record.now_s() - before_s - 0.02)

    async def _send(self, kind: str) -> None:
        request_id = f"{self._random.getrandbits(48):012x}{next(self._numbers):04x}"
        deadline_s = DEADLINES_S[kind]
        sent = Sent(request_id, kind, deadline_s)
        self.sent.append(sent)
        lines = [
            f"{METHODS[kind]} /api?kind={kind} HTTP/1.1",
            "Host: origin.svc",
            f"Req-Id: {request_id}",
            f"Req-Kind: {kind}",
            f"Req-Deadline: {deadline_s:.3f}",
        ]
        if kind == "schedule":
            lines.append(f"Idempotency-Key: {self._random.getrandbits(128):032x}")
        body = b"" if kind == "quote" else b"premium " * 16
        if body:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        sent.sent_s = self._record.now_s()
        try:
            async with asyncio.timeout(deadline_s + 3.0):
                message = await self._exchange(data)
        except (OSError, asyncio.IncompleteReadError) as error:
            self._record.line(f"client {request_id} {kind}: no answer ({type(error).__name__})")
            return
        sent.answered_s, sent.status, sent.body = self._record.now_s(), message.status, message.body
        self._record.line(f"client {request_id} {kind}: {message.status} {message.body[:80]!r}")

    async def _exchange(self, data: bytes) -> Message:
        while True:
            is_kept = bool(self._free)
            pair = self._free.pop() if is_kept else await asyncio.open_connection("127.0.0.1", self._port)
            reader, writer = pair
            try:
                writer.write(data)
                message = await read_message(reader)
            except (OSError, asyncio.IncompleteReadError):
                writer.close()
                if is_kept:  # the proxy closed it between requests: once more, on a new connection
                    self._free.clear()
                    continue
                raise
            except asyncio.CancelledError:
                writer.close()
                raise
            if message.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self._free.append(pair)
            return message
