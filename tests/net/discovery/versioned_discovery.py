"""Stand-in discovery with versioned lists, and a proxy that follows it on a stepped clock."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid
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
from tests.support.stepped_clock import FrozenClock, SteppedClock, advance_until
from tests.support.units import SECOND_US

STEP_S = 0.05

RULES = messages.Rules(0.4, 5 * SECOND_US, 3.0, SECOND_US, max_poll_interval_us=3_600 * SECOND_US)
POLLED_SETTINGS = balancer_settings(must_subscribe=True, rules=RULES)
PUSHED_SETTINGS = balancer_settings(rules=RULES)
EACH_SUBSCRIPTION = pytest.mark.parametrize(
    "settings", [POLLED_SETTINGS, PUSHED_SETTINGS], ids=["polled", "pushed"]
)


class VersionedDiscovery(StandInServer):
    """Stand-in discovery that sends the changes since a watch's version, or the complete list.

    It sends the complete list to a watch without a version or with one that it does not know.

    Attributes:
        name: The prefix of the endpoints' uids.
        rev: The current version.
        request_targets: The request target of each watch.
        complete_list_count: The number of complete lists sent.
        is_silent: Whether watches get no response.
        open_writers: The writers of the open watches.
    """

    def __init__(self, name: str, rev: int = 1) -> None:
        super().__init__(self.serve)
        self.name, self.rev = name, rev
        self.request_targets: list[str] = []
        self.complete_list_count = 0
        self.is_silent = False
        self.open_writers: list[asyncio.StreamWriter] = []
        self._first_rev = rev

    @property
    def uid(self) -> str:
        """The uid of the only endpoint; it differs in each version."""
        return f"{self.name}-{self.rev}"

    def complete_list(self) -> dict[str, object]:
        """Return the current list."""
        return endpoint_list(endpoint_entry(self.uid, 9), rev=self.rev)

    def changes(self, since: int) -> dict[str, object]:
        """Return the changes since this version."""
        removed_entries = [
            endpoint_entry(f"{self.name}-{rev}", 9, "terminated") for rev in range(since, self.rev)
        ]
        return endpoint_list(*removed_entries, endpoint_entry(self.uid, 9), rev=self.rev, is_complete=False)

    def publish_change(self) -> None:
        """Create a new version, and send its changes to all open watches."""
        self.rev += 1
        for writer in self.open_writers:
            writer.write(endpoint_list_chunk(self.changes(self.rev - 1)))

    def response(self, since: int | None) -> bytes:
        """Return the response to a watch that resumes from this version, or from none."""
        if since is None or not self._first_rev <= since <= self.rev:
            self.complete_list_count += 1
            return WATCH_RESPONSE_HEAD + endpoint_list_chunk(self.complete_list())
        return WATCH_RESPONSE_HEAD + (
            endpoint_list_chunk(self.changes(since)) if since < self.rev else http_chunk("\n")
        )

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to one watch, and keep it open."""
        target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
        self.request_targets.append(target)
        since_match = re.search(r"since=(\d+)", target)
        if not self.is_silent:
            writer.write(self.response(int(since_match[1]) if since_match else None))
        await self.keep_open(reader, writer)

    async def keep_open(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Keep the watch in `open_writers` until the proxy closes it."""
        self.open_writers.append(writer)
        try:
            await reader.read()
        finally:
            self.open_writers.remove(writer)


async def advance_clock_until(clock: SteppedClock, condition: Callable[[], bool]) -> float:
    """Step time until the condition holds, for at most 20 s, and return the seconds stepped."""
    return await advance_until(clock, condition, 20.0, step_s=STEP_S, must_hold=True)


@dataclass
class FollowingProxy:
    """A proxy on a stepped clock, the discovery that it first follows, and a second discovery."""

    proxy: LoopbackProxy
    clock: SteppedClock
    first: VersionedDiscovery
    second: VersionedDiscovery

    def is_following(self, discovery: VersionedDiscovery) -> bool:
        """Return whether the proxy holds the list of this discovery and has a watch on it open."""
        states = self.proxy.driver.balancer.endpoints.states
        return set(states) == {endpoint_id_from_uid(discovery.uid)} and bool(discovery.open_writers)

    async def wait_until_followed(self, discovery: VersionedDiscovery) -> float:
        """Step time until the proxy follows the discovery, and return the seconds stepped."""
        return await advance_clock_until(self.clock, lambda: self.is_following(discovery))

    def change_discovery(self, discovery: VersionedDiscovery) -> None:
        """Change the discovery address of the proxy."""
        self.proxy.driver.change_discovery_address(("127.0.0.1", discovery.port))


@asynccontextmanager
async def following_proxy(
    settings: messages.Settings, *known: dict[str, object]
) -> AsyncIterator[FollowingProxy]:
    """Run a proxy that follows the first of two discoveries; its cached list has these entries."""
    first, second = VersionedDiscovery("a", 1), VersionedDiscovery("b", 3)
    if known:
        first.rev = 2
    clock = FrozenClock()
    async with (
        first,
        second,
        running_proxy(*known, settings=settings, discovery_port=first.port) as proxy,
    ):
        proxy.link_policy_clock(clock)
        yield FollowingProxy(proxy, clock, first, second)
