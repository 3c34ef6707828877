"""A restarted process is ready soon, whatever discovery does and whatever list it was given."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from snowvalve.__main__ import Source, attend
from tests.net_helpers import (
    WATCH_HEAD,
    SteppedClock,
    answer,
    backend,
    call,
    chunk,
    chunk_list,
    entry,
    listing,
    read_message,
    run,
)
from tests.test_benchlink import raw_settings
from tests.test_process import LIMITS, config, free_port, write

READY_S = 10.0  # by the terms, for nine in ten
STEP_S = 0.05
TURNS = 40  # of the event loop between two steps

SPOILT: dict[str, tuple[object, str]] = {
    "a number": (5, "known.targets"),
    "a text": ("list", "known.targets"),
    "no targets": ({"rev": 1, "all": True}, "known.targets"),
    "an entry without a uid": ({"rev": 1, "all": True, "targets": [{}]}, "known.targets[0].uid"),
    "an odd state": (listing(entry("a", 9, "odd")), "known.targets[0].state"),
    "an odd address": (listing(entry("a", 0)), "known.targets[0].endpoint"),
    "a start that cannot be": (listing(entry("a", 9, boot_ms=1e300)), "known.targets[0].boot_ms"),
    "a rev that cannot be": ({**listing(entry("a", 9)), "rev": 10**400}, "known.rev"),
}


@pytest.mark.parametrize(("known", "named"), SPOILT.values(), ids=SPOILT.keys())
def test_a_spoilt_list_in_the_configuration_is_dropped_with_a_line_that_names_the_field(
    tmp_path: Path, known: object, named: str, caplog: pytest.LogCaptureFixture
) -> None:
    told = Source(write(tmp_path, config(known=known))).read()
    assert told.known is None and told.discovery == ("127.0.0.1", 1)
    [line] = caplog.records
    assert f"field {named}" in line.getMessage() and not line.exc_info


class Moody:
    """Discovery that is down in one of several ways, and may come back."""

    def __init__(self, mood: str) -> None:
        self.mood, self.news = mood, b""
        self.port = free_port()
        self.taken: list[socket.socket] = []
        self.server: asyncio.Server | None = None

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if self.mood == "answers":
            writer.write(WATCH_HEAD + self.news)
        elif self.mood == "refuses":
            writer.write(answer(503))
        elif self.mood == "only beats":
            writer.write(WATCH_HEAD)
            while self.mood == "only beats":
                writer.write(chunk("\n"))
                await asyncio.sleep(1.0)
            writer.write(self.news)
        elif self.mood == "says half":
            writer.write(WATCH_HEAD + chunk('{"rev":'))
        await reader.read()

    async def start(self) -> None:
        if self.mood == "unreachable":  # its queue is full: what comes is dropped
            listener = socket.create_server(("127.0.0.1", self.port), backlog=0)
            self.taken.append(listener)
            for _ in range(4):
                made = socket.socket()
                made.setblocking(False)
                made.connect_ex(("127.0.0.1", self.port))
                self.taken.append(made)
        elif self.mood == "not there":
            held = socket.socket()  # the address is taken, and nobody listens
            held.bind(("127.0.0.1", self.port))
            self.taken.append(held)
        else:
            self.server = await asyncio.start_server(self.handle, "127.0.0.1", self.port)

    async def come_back(self, news: dict[str, object]) -> None:
        for made in self.taken:
            made.close()
        self.taken.clear()
        self.mood, self.news = "answers", chunk_list(news)
        if self.server is None:
            await self.start()

    def stop(self) -> None:
        for made in self.taken:
            made.close()
        if self.server is not None:
            self.server.close()


@asynccontextmanager
async def moody(mood: str) -> AsyncIterator[Moody]:
    made = Moody(mood)
    await made.start()
    try:
        yield made
    finally:
        made.stop()


async def ready(port: int) -> bool:
    """What the front sees."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionRefusedError:
        return False
    try:
        writer.write(call(path="/ready"))
        return (await read_message(reader))[0].split()[1] == "200"
    finally:
        writer.close()


async def step_until_ready(clock: SteppedClock, port: int, most_s: float) -> float:
    began = clock.ahead
    while clock.ahead - began < most_s and not await ready(port):
        clock.step(STEP_S)
        for _ in range(TURNS):
            await asyncio.sleep(0)
    return clock.ahead - began


@asynccontextmanager
async def attended(folder: Path, port: int, told: dict[str, Any]) -> AsyncIterator[SteppedClock]:
    """A proxy in this process, as it starts, on a stepped clock."""
    source = Source(write(folder, {**told, "listen": f"127.0.0.1:{port}"}))
    clock = SteppedClock()
    attending = asyncio.ensure_future(attend(source.read(), source))
    await asyncio.sleep(0)
    try:
        yield clock
    finally:
        os.kill(os.getpid(), signal.SIGTERM)
        while not attending.done():
            clock.step(STEP_S)
            await asyncio.sleep(0)
        await attending


def told(mode: str, discovery: int, known: object) -> dict[str, Any]:
    return config(
        discovery=f"127.0.0.1:{discovery}",
        known=known,
        settings=raw_settings(limits=LIMITS, registryMode=mode),
    )


MODES = pytest.mark.parametrize("mode", ["subscribe", "automatic"], ids=["asked", "pushed"])
MOODS = pytest.mark.parametrize(
    "mood", ["silent", "refuses", "not there", "unreachable", "only beats", "says half"]
)


@MODES
@MOODS
def test_with_an_old_list_it_is_ready_though_discovery_is_down(tmp_path: Path, mode: str, mood: str) -> None:
    """Where lists are pushed it first waits for discovery's word, as that counts from the first moment on."""

    async def test() -> None:
        async with moody(mood) as d, backend(answer(200, b"x")) as b:
            port = free_port()
            async with attended(tmp_path, port, told(mode, d.port, listing(entry("a", b.port)))) as clock:
                took = await step_until_ready(clock, port, READY_S)
                assert took <= (0.2 if mode == "subscribe" else 2.8 if mood == "only beats" else 1.3)

    run(test)


@MODES
@MOODS
@pytest.mark.parametrize("known", [None, SPOILT["an odd state"][0]], ids=["none", "spoilt"])
def test_with_no_list_it_is_ready_soon_after_discovery_is_back(
    tmp_path: Path, mode: str, mood: str, known: object
) -> None:
    """A call that hangs may be given up first, and a wait follows; the last call failed just before."""

    async def test() -> None:
        async with moody(mood) as d, backend(answer(200, b"x")) as b:
            port = free_port()
            async with attended(tmp_path, port, told(mode, d.port, known)) as clock:
                assert await step_until_ready(clock, port, 15.0) >= 15.0 - STEP_S  # nothing to send to
                await d.come_back(listing(entry("a", b.port)))
                assert await step_until_ready(clock, port, READY_S) <= 4.5

    run(test)
