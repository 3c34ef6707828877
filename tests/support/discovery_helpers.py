"""A discovery that tests answer by hand, and the steps of its clock."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from load_balancer import messages
from tests.support.balancer_harness import S, settings
from tests.support.loopback import (
    WATCH_HEAD,
    Peer,
    Proxy,
    SteppedClock,
    chunk_list,
    entry,
    listing,
    peer,
    proxy,
)

LIST_DEADLINE_S, TURN_S = 6.0, 2.0  # by the protocol
STEP_S = 0.02
TURNS = 40  # of the event loop between two steps: far more than a call and its answer take on loopback

ASKED = settings(
    must_subscribe=True, rules=messages.Rules(0.4, 5 * S, 3.0, S, max_poll_interval_us=3_600 * S)
)
PUSHED = settings(rules=messages.Rules(0.4, 5 * S, 3.0, S, max_poll_interval_us=3_600 * S))
BOTH = pytest.mark.parametrize("setup", [ASKED, PUSHED], ids=["asked", "pushed"])


def list_of(rev: int) -> bytes:
    return chunk_list(listing(entry(f"s-{rev}", 9), rev=rev))


@dataclass
class Call:
    """One call to discovery, held open until the test ends it."""

    at: float  # stepped seconds
    writer: asyncio.StreamWriter
    over: asyncio.Event = field(default_factory=asyncio.Event)  # the proxy has given it up

    def say(self, said: bytes, end: bool = False) -> None:
        self.writer.write(said)
        if end:
            self.writer.close()


class Discovery:
    """Says to each call what the test tells it to, at stepped times; waits always last their longest."""

    def __init__(self, clock: SteppedClock) -> None:
        self.clock, self.calls = clock, list[Call]()
        self.meet: Callable[[Call], None] = lambda call: None
        self.peer: Peer | None = None

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        call = Call(self.clock.ahead, writer)
        self.calls.append(call)
        self.meet(call)
        try:
            await reader.read()
        finally:
            call.over.set()


@asynccontextmanager
async def watched(setup: messages.Settings) -> AsyncIterator[tuple[Discovery, Proxy, SteppedClock]]:
    """A proxy on a discovery, on one stepped clock: the event loop's and the module's."""
    clock = SteppedClock()
    discovery = Discovery(clock)
    async with peer(discovery.handle) as d:
        discovery.peer = d
        async with proxy(setup=setup, discovery=d.port) as p:
            real = p.driver.clock.now_us
            p.driver.clock.now_us = lambda: real() + round(clock.ahead * 1e6)  # type: ignore[method-assign]
            p.driver.balancer.subscription.jitter.uniform = lambda a, b: b  # type: ignore[method-assign]
            yield discovery, p, clock


def watch_starts(p: Proxy) -> list[float]:
    """Grows with each call that is begun from now on, whether or not anybody is there."""
    tried: list[float] = []
    start = p.driver.endpoint_list.watch.start

    def noted() -> None:
        tried.append(asyncio.get_running_loop().time())
        start()

    p.driver.endpoint_list.watch.start = noted  # type: ignore[method-assign]
    return tried


async def step(clock: SteppedClock, holds: Callable[[], bool], most_s: float = 60.0) -> float:
    """Moves time on until something holds, or for that long; the seconds that it took."""
    began = clock.ahead
    while not holds() and clock.ahead - began < most_s:
        clock.step(STEP_S)
        for _ in range(TURNS):
            await asyncio.sleep(0)
    return clock.ahead - began


async def next_call(d: Discovery, clock: SteppedClock) -> float:
    """The seconds until a further call comes."""
    before = len(d.calls)
    return await step(clock, lambda: len(d.calls) > before)


async def served(d: Discovery, p: Proxy, clock: SteppedClock, setup: messages.Settings) -> float:
    """Has the present call served after its longest time in the queue; the seconds until it is told."""
    waited = 0.0
    if setup is ASKED:
        waited = await step(clock, lambda: d.calls[-1].over.is_set(), TURN_S)
    d.calls[-1].say(WATCH_HEAD + list_of(7))
    waited += await step(clock, lambda: p.driver.endpoint_list.watch.version == 7, 1.0)
    assert p.driver.endpoint_list.watch.version == 7
    return waited


def watch_tasks() -> int:
    """Watches that run, whoever still knows of them."""
    return sum(
        "EndpointWatch._run" in str(task.get_coro()) for task in asyncio.all_tasks() if not task.done()
    )
