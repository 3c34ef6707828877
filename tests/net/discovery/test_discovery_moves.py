"""Discovery that moves by new configurations, and when the complete list is requested again."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import re
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from pathlib import Path

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_number
from load_balancer.process.config import ConfigSource
from load_balancer.process.reload import Reloader
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import http_chunk, http_request, http_response, read_http_message
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.proxy_process import proxy_config, read_listening_port, running_proxy_process, write_config
from tests.support.stand_in_discovery import running_watch_count
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import SteppedClock, wait_until
from tests.support.units import SECOND_US

MOVED_S = 4.0  # what discovery has to tell counts as told this long after SIGHUP
TURN_S = 2.0  # a crowded discovery answers so late
STEP_S = 0.05
TURNS = 40  # of the event loop between two steps: far more than a call and its answer take on loopback

RULES = messages.Rules(0.4, 5 * SECOND_US, 3.0, SECOND_US, max_poll_interval_us=3_600 * SECOND_US)
ASKED = balancer_settings(must_subscribe=True, rules=RULES)
PUSHED = balancer_settings(rules=RULES)
BOTH = pytest.mark.parametrize("setup", [ASKED, PUSHED], ids=["asked", "pushed"])

Event = Callable[["Play"], Awaitable[None]]


class Versions:
    """A discovery that numbers its versions: a watch gets what changed since, or else the whole list."""

    def __init__(self, name: str, rev: int = 1) -> None:
        self.name, self.rev, self.first = name, rev, rev
        self.asked: list[str] = []  # what each call asked for
        self.whole = 0  # whole lists that were sent
        self.silent = False  # calls get no answer
        self.ended = 0  # calls whose connection the proxy has ended
        self.open: list[asyncio.StreamWriter] = []

    @property
    def uid(self) -> str:
        """The one backend, another with each version."""
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
    """Moves time on until something holds; the seconds that it took."""
    began = clock.advanced_s
    while not holds():
        assert clock.advanced_s - began < most_s, "it never came"
        clock.advance(STEP_S)
        for _ in range(TURNS):
            await asyncio.sleep(0)
    return clock.advanced_s - began


@contextmanager
def one_clock(clock: SteppedClock, p: LoopbackProxy) -> Iterator[None]:
    """The module's clock goes with the event loop's."""
    real = p.driver.clock.now_us
    p.driver.clock.now_us = lambda: real() + round(clock.advanced_s * 1e6)  # type: ignore[method-assign]
    yield


class Play:
    """A proxy, the discovery that it follows, and another one."""

    def __init__(self, p: LoopbackProxy, clock: SteppedClock, a: Versions, b: Versions) -> None:
        self.p, self.clock, self.a, self.b = p, clock, a, b
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
    clock, a, b = SteppedClock(), Versions("a", 1), Versions("b", 3)
    if known:
        a.rev = 2
    async with (
        StandInServer(a.handle) as pa,
        StandInServer(b.handle) as pb,
        running_proxy(*known, settings=setup, discovery_port=pa.port) as p,
    ):
        with one_clock(clock, p):
            made = Play(p, clock, a, b)
            made.ports = {"a": pa.port, "b": pb.port}
            yield made


async def nothing(play: Play) -> None:
    pass


async def changes(play: Play) -> None:
    for _ in range(3):
        play.a.change()
    await play.follows(play.a)


async def end(play: Play) -> None:
    play.a.open[0].write(b"0\r\n\r\n")
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def reset(play: Play) -> None:
    play.a.open[0].transport.abort()
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def silence(play: Play) -> None:
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def silent_twice(play: Play) -> None:
    play.a.silent = True
    await pass_until(play.clock, lambda: len(play.a.asked) == 3)
    play.a.silent = False
    await pass_until(play.clock, lambda: len(play.a.asked) == 4)


async def spoilt(play: Play) -> None:
    play.a.open[0].write(http_chunk('{"rev":42,"all":false,"targets":[{"uid":"x","state":"odd"}]}\n'))
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def half_a_list(play: Play) -> None:
    play.a.open[0].write(http_chunk('{"rev":42,"all":true,"targets":['))
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def moved(play: Play) -> None:
    play.move(play.b)
    await play.follows(play.b)


async def moved_and_back_at_once(play: Play) -> None:
    for to in (play.b, play.a, play.b, play.a):
        play.move(to)
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def moved_and_back_from_a_silent_one(play: Play) -> None:
    play.b.silent = True
    play.move(play.b)
    await pass_until(play.clock, lambda: len(play.b.asked) == 2)
    play.a.change()
    play.move(play.a)
    await play.follows(play.a)


async def moved_and_back_from_one_that_told(play: Play) -> None:
    play.move(play.b)
    await play.follows(play.b)
    play.a.rev = play.b.rev + 1  # it knows the version that we hold, which is another one of that number
    play.move(play.a)
    await play.follows(play.a)


EVENTS: list[tuple[Event, int]] = [  # and the whole lists that it may cost
    (nothing, 0),
    (changes, 0),
    (end, 0),
    (reset, 0),
    (silence, 0),
    (silent_twice, 0),
    (spoilt, 0),
    (half_a_list, 0),
    (moved, 1),  # another discovery's versions tell nothing of what we hold
    (moved_and_back_at_once, 0),
    (moved_and_back_from_a_silent_one, 0),
    (moved_and_back_from_one_that_told, 2),
]


@BOTH
@pytest.mark.parametrize(("event", "whole"), EVENTS, ids=[event.__name__ for event, _ in EVENTS])
async def test_complete_list_is_requested_only_when_no_version_can_be_resumed(
    setup: messages.Settings, event: Event, whole: int
) -> None:
    """At 3,200 backends it has half a megabyte."""

    async with play(setup) as made:
        await made.follows(made.a)
        assert made.a.whole == 1
        await event(made)
        await made.follows(made.b if event is moved else made.a)
        assert made.a.whole + made.b.whole - 1 == whole


@BOTH
async def test_watch_resumes_from_a_cached_list_at_the_start(setup: messages.Settings) -> None:
    async with play(setup, endpoint_entry("a-1", 9)) as made:
        await made.follows(made.a)
        assert made.a.whole == 0
        assert made.a.asked == ["/v1/endpoints?follow=1&since=1"]


class Reloads:
    """A configuration file, and a SIGHUP for each discovery that it comes to name."""

    def __init__(self, folder: Path, p: LoopbackProxy, port: int) -> None:
        self.folder = folder
        source = ConfigSource(write_config(folder, proxy_config(discovery=f"127.0.0.1:{port}")))
        self.reloader = Reloader(source, source.read(), p.driver)

    def name(self, port: int) -> None:
        write_config(self.folder, proxy_config(discovery=f"127.0.0.1:{port}"))
        self.reloader.reload()


@BOTH
async def test_reload_with_the_same_discovery_keeps_the_watch(
    setup: messages.Settings, tmp_path: Path
) -> None:
    async with play(setup) as made:
        await made.follows(made.a)
        reloads, task = Reloads(tmp_path, made.p, made.ports["a"]), made.p.driver.endpoint_list.watch._task
        for _ in range(3):
            reloads.name(made.ports["a"])
            await pass_until(made.clock, lambda: True)
        made.a.change()
        await made.follows(made.a)
        assert made.p.driver.endpoint_list.watch._task is task
        assert len(made.a.asked) == made.a.whole == 1


MOODS = ["tells", "silent", "half a list", "half a head", "refuses", "turns away", "ends at once"]


class Moody(Versions):
    """A discovery that meets its calls in one of these ways."""

    def __init__(self, name: str, mood: str) -> None:
        super().__init__(name)
        self.mood = mood

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mood == "tells":
            await super().handle(reader, writer)
            return
        await reader.readuntil(b"\r\n\r\n")
        self.asked.append("")
        whole = self.answer(None)
        said = {"half a list": whole[:-20], "half a head": whole[:9], "turns away": http_response(503)}
        writer.write(said.get(self.mood, b""))
        if self.mood in ("turns away", "ends at once"):
            return
        self.open.append(writer)
        try:
            await reader.read()
        finally:
            self.open.remove(writer)
            self.ended += 1


@asynccontextmanager
async def moody(name: str, mood: str) -> AsyncIterator[tuple[Moody, StandInServer]]:
    made = Moody(name, mood)
    async with StandInServer(made.handle) as p:
        if mood == "refuses":
            assert p.server is not None
            p.server.close()
        yield made, p


@BOTH
@pytest.mark.parametrize("apart_s", [0.0, 0.3], ids=["at once", "0.3 s apart"])
@pytest.mark.parametrize("mood", MOODS)
async def test_last_of_several_reloads_in_a_row_is_followed(
    setup: messages.Settings, mood: str, apart_s: float, tmp_path: Path
) -> None:
    """Whatever the discoveries on the way do, the last one is followed in time and they are left."""

    async with play(setup) as made, AsyncExitStack() as stack:
        await made.follows(made.a)
        reloads = Reloads(tmp_path, made.p, made.ports["a"])
        on_the_way = [await stack.enter_async_context(moody(name, mood)) for name in "cd"]
        last, last_peer = await stack.enter_async_context(moody("e", "tells"))
        last.silent = setup is ASKED  # it is crowded: the call has to wait for its turn there
        for _, port in on_the_way:
            reloads.name(port.port)
            await pass_until(made.clock, lambda: True)
            if apart_s:
                began = made.clock.advanced_s
                await pass_until(made.clock, lambda began=began: made.clock.advanced_s >= began + apart_s)  # type: ignore[misc]
        reloads.name(last_peer.port)
        waited = 0.0
        if setup is ASKED:
            began = made.clock.advanced_s
            waited = await pass_until(made.clock, lambda: made.clock.advanced_s >= began + TURN_S)
            last.silent = False
            [writer] = last.open
            writer.write(last.answer(None))
        waited += await made.follows(last)
        assert waited < MOVED_S
        assert last.whole == 1
        assert len(last.asked) == 1
        # What the others say by now, be it on a connection that they still hold, is nobody's news.
        await wait_until(lambda: not made.a.open and not any(left.open for left, _ in on_the_way))
        assert running_watch_count() == 1
        assert made.p.driver.endpoint_list.watch.is_running
        calls = [len(left.asked) for left, _ in on_the_way], len(made.a.asked)
        await pass_until(made.clock, lambda: len(last.asked) == 2)  # it has been silent for 3 s since
        assert calls == ([len(left.asked) for left, _ in on_the_way], len(made.a.asked))


@BOTH
async def test_late_list_of_the_previous_discovery_is_not_applied(
    setup: messages.Settings, caplog: pytest.LogCaptureFixture
) -> None:
    """Its bytes are with the system as the move comes: they came from an address that counts no more."""

    async with play(setup) as made:
        await made.follows(made.a)
        caplog.set_level(logging.INFO)
        made.b.silent = True
        made.a.change()  # written at once, and not read yet
        made.move(made.b)
        left = endpoint_number(made.a.uid)
        await pass_until(made.clock, lambda: len(made.b.asked) == 2)
        assert left not in made.p.driver.balancer.endpoints.states
        made.b.silent = False
        await made.follows(made.b)
        assert left not in made.p.driver.endpoint_list.endpoints.by_id
        assert not any(made.a.uid in record.getMessage() for record in caplog.records)


async def test_process_follows_the_last_of_three_reloads(tmp_path: Path) -> None:
    """And back: each names another address, two of them never answer; no socket stays behind."""

    async def never(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        asked.set()
        await reader.read()

    async def tell(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("b", b.port), rev=2))
        )
        told.set()
        await reader.read()

    asked, told = asyncio.Event(), asyncio.Event()
    async with (
        StandInEndpoint(http_response(200, b"b")) as b,
        StandInServer(never) as c,
        StandInServer(never) as d,
        StandInServer(tell) as e,
    ):
        known = endpoint_list(endpoint_entry("a", 9), rev=1)
        file = proxy_config(discovery=f"127.0.0.1:{c.port}", known=known)
        async with running_proxy_process(write_config(tmp_path, file)) as made:
            port = await read_listening_port(made)
            await asked.wait()
            descriptors = len(os.listdir(f"/proc/{made.pid}/fd"))
            for to, got in ((d, asked), (c, asked), (e, told)):
                got.clear()
                part = tmp_path / "part.json"
                part.write_text(json.dumps({**file, "discovery": f"127.0.0.1:{to.port}"}))
                part.replace(tmp_path / "config.json")
                made.send_signal(signal.SIGHUP)
                await got.wait()
            status = b""
            while status != b"b":
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(http_request())
                status = (await read_http_message(reader))[2]
                writer.close()
            assert (c.connection_count, d.connection_count, e.connection_count) == (2, 1, 1)
            while len(os.listdir(f"/proc/{made.pid}/fd")) > descriptors + 1:  # one to the backend
                await asyncio.sleep(0.01)
