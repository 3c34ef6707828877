"""A discovery that numbers its versions, and a proxy that follows it on a stepped clock."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_number
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import http_chunk
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import FrozenClock, SteppedClock
from tests.support.units import SECOND_US

STEP_S = 0.05


TURNS = 40  # of the event loop between two steps: far more than a call and its answer take on loopback


RULES = messages.Rules(0.4, 5 * SECOND_US, 3.0, SECOND_US, max_poll_interval_us=3_600 * SECOND_US)


ASKED = balancer_settings(must_subscribe=True, rules=RULES)


PUSHED = balancer_settings(rules=RULES)


BOTH = pytest.mark.parametrize("setup", [ASKED, PUSHED], ids=["asked", "pushed"])


class Versions:
    """A discovery that numbers its versions: a watch gets the changes since then, or the complete list."""

    def __init__(self, name: str, rev: int = 1) -> None:
        self.name, self.rev, self.first = name, rev, rev
        self.asked: list[str] = []  # what each call asked for
        self.whole = 0  # whole lists that were sent
        self.silent = False  # calls get no answer
        self.ended = 0  # calls whose connection the proxy has ended
        self.open: list[asyncio.StreamWriter] = []

    @property
    def uid(self) -> str:
        """The one endpoint, another with each version."""
        return f"{self.name}-{self.rev}"

    def list_now(self) -> dict[str, object]:
        return endpoint_list(endpoint_entry(self.uid, 9), rev=self.rev)

    def changes(self, since: int) -> dict[str, object]:
        gone = [endpoint_entry(f"{self.name}-{rev}", 9, "terminated") for rev in range(since, self.rev)]
        return endpoint_list(*gone, endpoint_entry(self.uid, 9), rev=self.rev, full=False)

    def change(self) -> None:
        """Tells a new version on the watches that stand."""
        self.rev += 1
        for writer in self.open:
            writer.write(endpoint_list_chunk(self.changes(self.rev - 1)))

    def answer(self, since: int | None) -> bytes:
        if since is None or not self.first <= since <= self.rev:
            self.whole += 1
            return WATCH_RESPONSE_HEAD + endpoint_list_chunk(self.list_now())
        return WATCH_RESPONSE_HEAD + (
            endpoint_list_chunk(self.changes(since)) if since < self.rev else http_chunk("\n")
        )

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
        self.asked.append(target)
        found = re.search(r"since=(\d+)", target)
        if not self.silent:
            writer.write(self.answer(int(found[1]) if found else None))
        self.open.append(writer)
        try:
            await reader.read()
        finally:
            self.open.remove(writer)
            self.ended += 1


async def pass_until(clock: SteppedClock, holds: Callable[[], bool], most_s: float = 20.0) -> float:
    """Step time until the condition holds, and return the seconds that it took."""
    began = clock.advanced_s
    while not holds():
        assert clock.advanced_s - began < most_s, "it never came"
        clock.advance(STEP_S)
        for _ in range(TURNS):
            await asyncio.sleep(0)
    return clock.advanced_s - began


@contextmanager
def one_clock(clock: SteppedClock, proxy: LoopbackProxy) -> Iterator[None]:
    """Step the policy's clock together with the event loop's."""
    started_at_us = proxy.driver.clock.now_us()
    proxy.driver.clock.now_us = lambda: started_at_us + round(clock.advanced_s * 1e6)  # type: ignore[method-assign]
    yield


class Play:
    """A proxy, the discovery that it follows, and another discovery."""

    def __init__(self, proxy: LoopbackProxy, clock: SteppedClock, a: Versions, b: Versions) -> None:
        self.p, self.clock, self.a, self.b = proxy, clock, a, b
        self.ports: dict[str, int] = {}

    def holds(self, on: Versions) -> bool:
        """Is the list that of this discovery, and a watch on it open?"""
        return set(self.p.driver.balancer.endpoints.states) == {endpoint_number(on.uid)} and bool(on.open)

    async def follows(self, on: Versions) -> float:
        return await pass_until(self.clock, lambda: self.holds(on))

    def move(self, to: Versions) -> None:
        self.p.driver.move_discovery(("127.0.0.1", self.ports[to.name]))


@asynccontextmanager
async def play(setup: messages.Settings, *known: dict[str, object]) -> AsyncIterator[Play]:
    clock, a, b = FrozenClock(), Versions("a", 1), Versions("b", 3)
    if known:
        a.rev = 2
    async with (
        StandInServer(a.handle) as pa,
        StandInServer(b.handle) as pb,
        running_proxy(*known, settings=setup, discovery_port=pa.port) as proxy,
    ):
        with one_clock(clock, proxy):
            made = Play(proxy, clock, a, b)
            made.ports = {"a": pa.port, "b": pb.port}
            yield made
