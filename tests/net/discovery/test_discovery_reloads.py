"""Discovery that moves with new configurations: the last one is followed in time."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_number
from load_balancer.process.config import ConfigSource
from load_balancer.process.reload import Reloader
from tests.net.discovery.list_server import HeldListServer
from tests.net.discovery.versioned_discovery import ASKED, BOTH, Play, Versions, pass_until, play
from tests.process.process_helpers import descriptor_count
from tests.support.endpoint_lists import (
    endpoint_entry,
    endpoint_list,
)
from tests.support.http_messages import http_request, http_response, send_request_to
from tests.support.loopback_proxy import LoopbackProxy
from tests.support.proxy_process import proxy_config, read_listening_port, running_proxy_process, write_config
from tests.support.stand_in_discovery import running_watch_count
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import wait_until

MOVED_S = 4.0  # what discovery has to tell counts as told this long after SIGHUP


TURN_S = 2.0  # a crowded discovery answers so late


class Reloads:
    """A configuration file, which is reloaded with each discovery that it names."""

    def __init__(self, folder: Path, proxy: LoopbackProxy, port: int) -> None:
        self.folder = folder
        source = ConfigSource(write_config(folder, proxy_config(discovery=f"127.0.0.1:{port}")))
        self.reloader = Reloader(source, source.read(), proxy.driver)

    def name(self, port: int) -> None:
        write_config(self.folder, proxy_config(discovery=f"127.0.0.1:{port}"))
        self.reloader.reload()


def running_watch_tasks() -> list[asyncio.Task[Any]]:
    """Return the tasks of watches that run, whoever still knows of them."""
    return [
        task
        for task in asyncio.all_tasks()
        if "EndpointWatch._run" in str(task.get_coro()) and not task.done()
    ]


@BOTH
async def test_reload_with_the_same_discovery_keeps_the_watch(
    setup: messages.Settings, tmp_path: Path
) -> None:
    async with play(setup) as made:
        await made.follows(made.a)
        reloads = Reloads(tmp_path, made.p, made.ports["a"])
        [watch_task] = running_watch_tasks()
        for _ in range(3):
            reloads.name(made.ports["a"])
            await pass_until(made.clock, lambda: True)
        made.a.change()
        await made.follows(made.a)
        assert running_watch_tasks() == [watch_task]
        assert len(made.a.asked) == made.a.whole == 1


MOODS = ["tells", "silent", "half a list", "half a head", "refuses", "rejects", "ends at once"]


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
        said = {"half a list": whole[:-20], "half a head": whole[:9], "rejects": http_response(503)}
        writer.write(said.get(self.mood, b""))
        if self.mood in ("rejects", "ends at once"):
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
    async with StandInServer(made.handle) as server:
        if mood == "refuses":
            assert server.server is not None
            server.server.close()
        yield made, server


async def pass_seconds(made: Play, seconds: float) -> float:
    began_s = made.clock.advanced_s
    return await pass_until(made.clock, lambda: made.clock.advanced_s >= began_s + seconds)


async def follow_last(made: Play, last: Versions, setup: messages.Settings) -> float:
    """Return the seconds until the last discovery is followed, whose queue is crowded where it is polled."""
    waited = 0.0
    if setup is ASKED:
        waited = await pass_seconds(made, TURN_S)
        last.silent = False
        [writer] = last.open
        writer.write(last.answer(None))
    return waited + await made.follows(last)


@BOTH
@pytest.mark.parametrize("apart_s", [0.0, 0.3], ids=["at once", "0.3 s apart"])
@pytest.mark.parametrize("mood", MOODS)
async def test_last_of_several_reloads_in_a_row_is_followed(
    setup: messages.Settings, mood: str, apart_s: float, tmp_path: Path
) -> None:
    """Whatever the discoveries in between do, their watches end, and the last one is followed in time."""
    async with play(setup) as made, AsyncExitStack() as stack:
        await made.follows(made.a)
        reloads = Reloads(tmp_path, made.p, made.ports["a"])
        on_the_way = [await stack.enter_async_context(moody(name, mood)) for name in "cd"]
        last, last_server = await stack.enter_async_context(moody("e", "tells"))
        last.silent = setup is ASKED  # it is crowded: the call has to wait for its turn there
        for _, server in on_the_way:
            reloads.name(server.port)
            await pass_until(made.clock, lambda: True)
            if apart_s:
                await pass_seconds(made, apart_s)
        reloads.name(last_server.port)
        assert await follow_last(made, last, setup) < MOVED_S
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


def replace_config(folder: Path, content: dict[str, Any]) -> None:
    """Replace the configuration file in one step."""
    part = folder / "part.json"
    part.write_text(json.dumps(content))
    part.replace(folder / "config.json")


async def test_process_follows_the_last_of_three_reloads(tmp_path: Path) -> None:
    """And back: each names another address, two of them never answer; no socket stays behind."""
    silent, other, last = HeldListServer(is_held=True), HeldListServer(is_held=True), HeldListServer()
    async with StandInEndpoint(http_response(200, b"b")) as endpoint, silent, other, last:
        last.present_list = endpoint_list(endpoint_entry("b", endpoint.port), rev=2)
        known = endpoint_list(endpoint_entry("a", 9), rev=1)
        content = proxy_config(discovery=f"127.0.0.1:{silent.port}", known=known)
        async with running_proxy_process(write_config(tmp_path, content)) as process:
            port = await read_listening_port(process)
            await silent.requested.wait()
            descriptors_before = descriptor_count(process)
            for discovery in (other, silent, last):
                discovery.requested.clear()
                replace_config(tmp_path, {**content, "discovery": f"127.0.0.1:{discovery.port}"})
                process.send_signal(signal.SIGHUP)
                await discovery.requested.wait()
            while (await send_request_to(port, http_request())).body != b"b":
                pass
            assert (silent.connection_count, other.connection_count, last.connection_count) == (2, 1, 1)
            while descriptor_count(process) > descriptors_before + 1:  # one to the endpoint
                await asyncio.sleep(0.01)
