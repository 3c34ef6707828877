"""Reloads that change the discovery address: the last discovery is followed in time."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
import socket
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid
from load_balancer.process.config import ConfigSource
from load_balancer.process.reload import Reloader
from tests.net.discovery.list_server import HeldListServer
from tests.net.discovery.versioned_discovery import (
    EACH_SUBSCRIPTION,
    POLLED_SETTINGS,
    FollowingProxy,
    VersionedDiscovery,
    advance_clock_until,
    following_proxy,
)
from tests.process.process_helpers import descriptor_count
from tests.support.endpoint_lists import (
    endpoint_entry,
    endpoint_list,
)
from tests.support.http_messages import http_request, http_response, send_request_to
from tests.support.loopback_proxy import LoopbackProxy
from tests.support.proxy_process import proxy_config, read_listening_port, running_proxy_process, write_config
from tests.support.stand_in_discovery import running_watch_count
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import wait_until

RELOAD_DEADLINE_S = 4.0  # by the protocol, the list must be applied within this time after SIGHUP
POLL_QUEUE_S = 2.0  # wait of a poll at an overloaded discovery


class Reloads:
    """Configuration file that is reloaded with changed discovery addresses."""

    def __init__(self, folder: Path, proxy: LoopbackProxy, port: int) -> None:
        self.folder = folder
        source = ConfigSource(write_config(folder, proxy_config(discovery=f"127.0.0.1:{port}")))
        self.reloader = Reloader(source, source.read(), proxy.driver)

    def reload_with(self, port: int) -> None:
        write_config(self.folder, proxy_config(discovery=f"127.0.0.1:{port}"))
        self.reloader.reload()


def running_watch_tasks() -> list[asyncio.Task[Any]]:
    """Return the running watch tasks, including those that nothing refers to any more."""
    return [
        task
        for task in asyncio.all_tasks()
        if "EndpointWatch._run" in str(task.get_coro()) and not task.done()
    ]


@EACH_SUBSCRIPTION
async def test_reload_with_the_same_discovery_keeps_the_watch(
    settings: messages.Settings, tmp_path: Path
) -> None:
    async with following_proxy(settings) as following:
        await following.wait_until_followed(following.first)
        reloads = Reloads(tmp_path, following.proxy, following.first.port)
        [watch_task] = running_watch_tasks()
        for _ in range(3):
            reloads.reload_with(following.first.port)
            await advance_clock_until(following.clock, lambda: True)
        following.first.publish_change()
        await following.wait_until_followed(following.first)
        assert running_watch_tasks() == [watch_task]
        assert len(following.first.request_targets) == following.first.complete_list_count == 1


BEHAVIORS = ["responds", "silent", "truncated list", "truncated head", "refuses", "rejects", "closes at once"]


class FaultyDiscovery(VersionedDiscovery):
    """Stand-in discovery that treats requests in one of the `BEHAVIORS`."""

    def __init__(self, name: str, behavior: str) -> None:
        super().__init__(name)
        self.behavior = behavior
        self._reserved_socket = socket.socket()

    async def start(self, listening_socket: socket.socket | None = None) -> None:
        """Listen, or only reserve the port if connections are to be refused."""
        if self.behavior == "refuses":
            # Without this socket the system may give the port to the next discovery of the test.
            self._reserved_socket.bind(("127.0.0.1", 0))
            self.port = self._reserved_socket.getsockname()[1]
        else:
            await super().start(listening_socket)

    def stop(self) -> None:
        """Free the port, and reset all connections."""
        self._reserved_socket.close()
        if self.server is not None:
            super().stop()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.behavior == "responds":
            await super().serve(reader, writer)
            return
        await reader.readuntil(b"\r\n\r\n")
        self.request_targets.append("")
        complete_response = self.response(None)
        responses = {
            "truncated list": complete_response[:-20],
            "truncated head": complete_response[:9],
            "rejects": http_response(503),
        }
        writer.write(responses.get(self.behavior, b""))
        if self.behavior not in ("rejects", "closes at once"):
            await self.keep_open(reader, writer)


async def advance_seconds(following: FollowingProxy, seconds: float) -> float:
    started_at_s = following.clock.advanced_s
    return await advance_clock_until(
        following.clock, lambda: following.clock.advanced_s >= started_at_s + seconds
    )


async def wait_until_last_followed(
    following: FollowingProxy, last: VersionedDiscovery, settings: messages.Settings
) -> float:
    """Return the seconds until the last discovery is followed; a poll first waits in its queue."""
    waited_s = 0.0
    if settings is POLLED_SETTINGS:
        waited_s = await advance_seconds(following, POLL_QUEUE_S)
        last.is_silent = False
        [writer] = last.open_writers
        writer.write(last.response(None))
    return waited_s + await following.wait_until_followed(last)


async def reload_with_each(
    reloads: Reloads, following: FollowingProxy, discoveries: list[FaultyDiscovery], interval_s: float
) -> None:
    """Reload with one discovery after another, at this interval."""
    for discovery in discoveries:
        reloads.reload_with(discovery.port)
        await advance_clock_until(following.clock, lambda: True)
        if interval_s:
            await advance_seconds(following, interval_s)


@EACH_SUBSCRIPTION
@pytest.mark.parametrize("interval_s", [0.0, 0.3], ids=["at once", "0.3 s apart"])
@pytest.mark.parametrize("behavior", BEHAVIORS)
async def test_last_of_several_reloads_in_a_row_is_followed(
    settings: messages.Settings, behavior: str, interval_s: float, tmp_path: Path
) -> None:
    """Whatever the intermediate discoveries do, their watches end, and the last one is followed in time."""
    async with following_proxy(settings) as following, AsyncExitStack() as stack:
        await following.wait_until_followed(following.first)
        reloads = Reloads(tmp_path, following.proxy, following.first.port)
        intermediate = [await stack.enter_async_context(FaultyDiscovery(name, behavior)) for name in "cd"]
        last = await stack.enter_async_context(FaultyDiscovery("e", "responds"))
        last.is_silent = settings is POLLED_SETTINGS  # the poll waits in its queue
        await reload_with_each(reloads, following, intermediate, interval_s)
        reloads.reload_with(last.port)
        assert await wait_until_last_followed(following, last, settings) < RELOAD_DEADLINE_S
        assert last.complete_list_count == 1
        assert len(last.request_targets) == 1
        # The proxy closes its connections to the other discoveries, so that no more of their lists are read.
        await wait_until(
            lambda: not following.first.open_writers and not any(other.open_writers for other in intermediate)
        )
        assert running_watch_count() == 1
        assert following.proxy.driver.endpoint_list.watch.is_running
        request_counts = (
            [len(other.request_targets) for other in intermediate],
            len(following.first.request_targets),
        )
        # After 3 s without a heartbeat the last discovery gets another request; the others get none.
        await advance_clock_until(following.clock, lambda: len(last.request_targets) == 2)
        assert request_counts == (
            [len(other.request_targets) for other in intermediate],
            len(following.first.request_targets),
        )


@EACH_SUBSCRIPTION
async def test_late_list_of_the_previous_discovery_is_not_applied(
    settings: messages.Settings, caplog: pytest.LogCaptureFixture
) -> None:
    """The list is in the system's buffer when the address changes; it belongs to the previous address."""

    async with following_proxy(settings) as following:
        await following.wait_until_followed(following.first)
        caplog.set_level(logging.INFO)
        following.second.is_silent = True
        following.first.publish_change()  # written, but not yet read by the proxy
        following.change_discovery(following.second)
        stale_id = endpoint_id_from_uid(following.first.uid)
        await advance_clock_until(following.clock, lambda: len(following.second.request_targets) == 2)
        assert stale_id not in following.proxy.driver.balancer.endpoints.states
        following.second.is_silent = False
        await following.wait_until_followed(following.second)
        assert stale_id not in following.proxy.driver.endpoint_list.endpoints.by_id
        assert not any(following.first.uid in record.getMessage() for record in caplog.records)


def replace_config(folder: Path, content: dict[str, Any]) -> None:
    """Replace the configuration file atomically."""
    temporary_file = folder / "part.json"
    temporary_file.write_text(json.dumps(content))
    temporary_file.replace(folder / "config.json")


async def test_process_follows_the_last_of_three_reloads(tmp_path: Path) -> None:
    """Each reload names another address, once returning to an earlier one; two discoveries never respond.

    No socket is left open.
    """
    silent, other, last = HeldListServer(is_held=True), HeldListServer(is_held=True), HeldListServer()
    async with StandInEndpoint(http_response(200, b"b")) as endpoint, silent, other, last:
        last.current_list = endpoint_list(endpoint_entry("b", endpoint.port), rev=2)
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
            while descriptor_count(process) > descriptors_before + 1:  # one connection to the endpoint
                await asyncio.sleep(0.01)
