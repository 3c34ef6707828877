"""The whole proxy between faulty endpoints and clients that disconnect, checked from outside.

How an endpoint treats a request depends on the seed and the request alone. Times are long, and the test steps
the clock whenever nothing else happens: the real time that passes does not matter.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import pytest

from load_balancer import messages
from load_balancer.net.upstream import idle_connections
from tests.support.attempts import HEAD_WITHOUT_LENGTH, INVALID_RESPONSES
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import (
    HttpMessage,
    StreamPair,
    closes_connection,
    http_request,
    http_response,
    read_http_message,
    response_status,
)
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.raw_endpoint import ConnectionHandler, EndpointConnection, RawEndpoint
from tests.support.stepped_clock import SteppedClock, run_loop_turns
from tests.support.units import SECOND_US

STEP_S = 5.0
WINDOW_S = 60.0
CONNECT_S = 5.0
TURNS = 40  # of the loop without any news: then all wait for the clock
MOST = 3  # attempts
CLASSES = (
    messages.RequestClass("read", 200 * SECOND_US, 500 * SECOND_US, messages.Idempotency.SAFE),
    messages.RequestClass(
        "write",
        200 * SECOND_US,
        500 * SECOND_US,
        messages.Idempotency.KEYED,
        messages.KeyScope.CELL,
        round(WINDOW_S * SECOND_US),
    ),
    messages.RequestClass(
        "mark",
        200 * SECOND_US,
        500 * SECOND_US,
        messages.Idempotency.KEYED,
        messages.KeyScope.ALL,
        round(WINDOW_S * SECOND_US),
    ),
    messages.RequestClass("pay", 200 * SECOND_US, 500 * SECOND_US),
)
WAYS = {
    "answer": 12,
    "answer twice": 2,
    "answer, late again": 2,
    "answer, then end": 2,
    "answer after a while": 3,
    "no length, end": 3,
    "no length, reset": 2,
    "500": 2,
    "503": 1,
    "declined": 3,
    "cut, end": 2,
    "cut, reset": 2,
    "invalid": 2,
    "reset": 2,
    "end": 2,
    "silent": 2,
    "silent, then reset": 2,
}


@dataclass
class Visit:
    """An attempt as its endpoint received it."""

    at: float
    step: int
    cell: int
    way: str
    wire: EndpointConnection
    over: bool = False  # the endpoint has said its last word on it

    @property
    def open(self) -> bool:
        """Is it still out, on a connection that is still open?"""
        if self.over or self.wire.is_closed:
            return False
        try:
            return self.wire.socket.recv(1, socket.MSG_PEEK) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False


@dataclass
class Asked:
    """A request that a client sent, and what came of it."""

    kind: str
    visits: list[Visit] = field(default_factory=list)
    status: int = 0  # of its answer
    ended: int | None = None  # the step in which it was answered or its client left


class World:
    def __init__(self, seed: int, proxy: LoopbackProxy) -> None:
        self.seed, self.p = seed, proxy
        self.clock: SteppedClock = proxy.use_stepped_clock()
        self.step = 0
        self.news = 0  # counts whatever happens
        self.late = 0  # second answers that are still to come
        self.asked: dict[str, Asked] = {}
        self.faults: list[str] = []

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    # Endpoints

    def endpoint_handler(self, cell: int) -> ConnectionHandler:
        async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
            self.news += 1
            request_id = got[1].get("req-id", "none")
            asked = self.asked.get(request_id)
            if asked is None:
                self.faults.append(f"{request_id}: no client sent this")
                return
            rng = random.Random(f"{self.seed} {request_id} {len(asked.visits)}")
            [way] = rng.choices([*WAYS], [*WAYS.values()])
            visit = Visit(self.now(), self.step, cell, way, wire)
            self.check(request_id, asked, visit)
            asked.visits.append(visit)
            with contextlib.suppress(OSError):  # the proxy may have left
                await self.respond(rng, visit, http_response(200, request_id.encode()), request_id)
            self.news += 1

        return handle

    async def respond(self, rng: random.Random, visit: Visit, good: bytes, request_id: str) -> None:
        way = visit.way
        if way in ("answer after a while", "silent, then reset"):
            until_step = self.step + rng.randrange(1, 12)
            while self.step < until_step and visit.open:
                await asyncio.sleep(0)
            if not visit.open:
                return
        visit.over = way != "silent"
        if way.startswith("answer"):
            await self.respond_well(rng, visit, good)
        else:
            self.respond_badly(rng, visit, good, HEAD_WITHOUT_LENGTH + request_id.encode())

    async def respond_well(self, rng: random.Random, visit: Visit, good: bytes) -> None:
        wire = visit.wire
        match visit.way:
            case "answer" | "answer after a while":
                wire.send(good)
            case "answer twice":
                wire.send(good + good)
            case "answer, late again":
                wire.send(good)
                self.late += 1
                for _ in range(rng.randrange(TURNS)):
                    await asyncio.sleep(0)
                self.late -= 1
                wire.send(good)
            case "answer, then end":
                wire.send(good)
                wire.end_sending()

    def respond_badly(self, rng: random.Random, visit: Visit, good: bytes, without_length: bytes) -> None:
        wire, way = visit.wire, visit.way
        match way:
            case "no length, end":
                wire.send(without_length)
                wire.end_sending()
            case "no length, reset":
                wire.send(without_length)
                wire.reset()
            case "500" | "503":
                wire.send(http_response(int(way), b"x"))
            case "declined":
                wire.send(http_response(rng.choice((503, 504)), Srv_Declined="1"))
            case "cut, end" | "cut, reset":
                wire.send(good[: rng.randrange(1, len(good))])
                wire.end_sending() if way == "cut, end" else wire.reset()
            case "invalid":
                wire.send(rng.choice(INVALID_RESPONSES))
            case "reset" | "silent, then reset":
                wire.reset()
            case "end":
                wire.end_sending()

    def check(self, request_id: str, asked: Asked, visit: Visit) -> None:
        """The rules, as a further attempt comes in."""
        before = asked.visits
        if asked.ended is not None and visit.step > asked.ended:
            self.faults.append(f"{request_id}: sent after its end")
        if any(visit.open for visit in before):
            self.faults.append(
                f"{request_id}: a second copy, the first being {[visit.way for visit in before]}"
            )
        if len(before) >= MOST:
            self.faults.append(f"{request_id}: too many attempts")
        ran = [visit for visit in before if visit.way != "declined"]
        if ran and asked.kind == "pay":
            self.faults.append(f"{request_id}: unsafe, and sent again after {ran[0].way}")
        if ran and asked.kind in ("write", "mark") and visit.at - ran[0].at > WINDOW_S:
            self.faults.append(f"{request_id}: sent again after its window")
        if ran and asked.kind == "write" and visit.cell != ran[0].cell:
            self.faults.append(f"{request_id}: sent again in another cell")

    # Clients

    async def client(self, number: int, requests: int) -> None:
        """Send requests one after another, on a new connection wherever the last one is over."""
        rng = random.Random(f"{self.seed} client {number}")
        streams = None
        for index in range(requests):
            streams = streams or await self.p.connect()
            kind = rng.choice([request_class.name for request_class in CLASSES])
            if not await self.request(rng, f"r{number}-{index}", kind, streams):
                streams = None
        if streams is not None:
            streams[1].close()

    async def request(self, rng: random.Random, request_id: str, kind: str, streams: StreamPair) -> bool:
        """Send one request and check its response, or leave; return whether the connection goes on."""
        reader, writer = streams
        body = b"" if kind == "read" else b"b" * rng.randrange(2000)
        leaves_after = rng.randrange(30) if rng.random() < 0.2 else None
        asked = self.asked[request_id] = Asked(kind)
        writer.write(http_request(kind, request_id=request_id, body=body, Req_Deadline="500"))
        got = asyncio.ensure_future(read_http_message(reader))
        if leaves_after is not None:
            await run_loop_turns(leaves_after)
            if not got.done():
                got.cancel()
                writer.transport.abort()
                asked.ended = self.step
                self.news += 1
                return False
        try:
            response = await got
        except (asyncio.IncompleteReadError, ConnectionError):
            self.faults.append(f"{request_id}: lost")
            return False
        self.news += 1
        asked.ended, asked.status = self.step, response_status(response)
        self.judge(request_id, asked, response.body)
        return not closes_connection(response)

    def judge(self, request_id: str, asked: Asked, said: bytes) -> None:
        """The rules, as the final answer comes in. A second one would be taken for the next request's."""
        made = {"answer", "answer twice", "answer, late again", "answer, then end", "answer after a while"}
        ran = [visit for visit in asked.visits if visit.way != "declined"]
        match asked.status:
            case 200:
                if said != request_id.encode() or not any(
                    visit.way in {*made, "no length, end"} for visit in asked.visits
                ):
                    self.faults.append(f"{request_id}: served with {said!r}, which no endpoint made for it")
            case 503:
                if ran and asked.kind in ("write", "pay"):
                    self.faults.append(f"{request_id}: refused, though it may have run by {ran[0].way}")
            case 502:
                pass
            case other:
                self.faults.append(f"{request_id}: answered {other}")

    async def play(self, clients: int, requests: int) -> None:
        tasks = [asyncio.ensure_future(self.client(index, requests)) for index in range(clients)]
        while not all(task.done() for task in tasks):
            seen, still = self.news, 0
            while still < TURNS:
                await asyncio.sleep(0)
                still = still + 1 if self.news == seen and not self.late else 0
                seen = self.news
            self.step += 1
            self.clock.advance(STEP_S)
        for task in tasks:
            task.result()


def world_settings(seed: int) -> messages.Settings:
    limits = messages.Limits(
        max_attempts=MOST, cancel=seed % 2 == 0, connect_timeout_us=round(CONNECT_S * SECOND_US)
    )
    return balancer_settings(classes=CLASSES, limits=limits)


@asynccontextmanager
async def running_world(seed: int) -> AsyncIterator[World]:
    """Run a proxy before six endpoints that are as faulty as the seed says, and one that refuses connects."""
    worlds: list[World] = []

    def handler(cell: int) -> ConnectionHandler:
        async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
            await worlds[0].endpoint_handler(cell)(wire, got)

        return handle

    async with AsyncExitStack() as stack:
        closed = stack.enter_context(socket.socket())
        closed.bind(("127.0.0.1", 0))
        entries = [endpoint_entry("s-closed", closed.getsockname()[1])]
        for number in range(6):
            endpoint = await stack.enter_async_context(RawEndpoint(handler(number % 2)))
            entries.insert(number, endpoint_entry(f"s-{number}", endpoint.port, pod_group=number % 2))
        proxy = await stack.enter_async_context(
            running_proxy(
                *entries,
                settings=world_settings(seed),
                connect_timeout_s=CONNECT_S,
                idle_timeout_s=9000.0,
            )
        )
        worlds.append(World(seed, proxy))
        yield worlds[0]


@pytest.mark.parametrize("seed", range(12))
async def test_each_request_gets_one_response_and_no_forbidden_retry(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", 4 * STEP_S)
    async with running_world(seed) as world:
        await world.play(clients=8, requests=25)
        assert world.faults == []
        # The world does reach what it is to check.
        every = world.asked.values()
        assert len(every) == 200
        assert sum(request.status == 200 for request in every) > 40
        assert sum(len(request.visits) > 1 for request in every) > 5
        assert sum(request.ended is not None and not request.status for request in every) > 5
        assert len(Counter(visit.way for request in every for visit in request.visits)) > 12
