"""Stand-in servers for discovery, and a proxy that watches one on a stepped clock."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from load_balancer import messages
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import FrozenClock, SteppedClock, advance_until
from tests.support.units import SECOND_US

# Limits of the discovery protocol: the time within which a change must be applied, and the longest time that
# a poll may wait in discovery's queue.
LIST_DEADLINE_S = 6.0
POLL_QUEUE_S = 2.0

POLLED_SETTINGS = balancer_settings(
    must_subscribe=True,
    rules=messages.Rules(0.4, 5 * SECOND_US, 3.0, SECOND_US, max_poll_interval_us=3_600 * SECOND_US),
)
PUSHED_SETTINGS = balancer_settings(
    rules=messages.Rules(0.4, 5 * SECOND_US, 3.0, SECOND_US, max_poll_interval_us=3_600 * SECOND_US)
)
EACH_SUBSCRIPTION = pytest.mark.parametrize(
    "settings", [POLLED_SETTINGS, PUSHED_SETTINGS], ids=["asked", "pushed"]
)


def list_chunk_of_version(rev: int) -> bytes:
    """Return a watch response chunk with a complete list of this version that has one endpoint."""
    return endpoint_list_chunk(endpoint_list(endpoint_entry(f"s-{rev}", 9), rev=rev))


class StandInListServer(StandInServer):
    """Sends the next of the given lists to each watch, repeating the last one, and keeps the watch open."""

    def __init__(self, *lists: dict[str, object]) -> None:
        super().__init__(self._send_list)
        self._remaining = list(lists)

    async def _send_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        message = self._remaining.pop(0) if len(self._remaining) > 1 else self._remaining[0]
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(message))
        await reader.read()


@dataclass
class DiscoveryRequest:
    """One request to discovery, open until the test or the proxy closes the connection."""

    received_at_s: float  # in the stepped time of the clock
    writer: asyncio.StreamWriter
    closed_by_proxy: asyncio.Event = field(default_factory=asyncio.Event)

    def send(self, data: bytes, end: bool = False) -> None:
        """Send the bytes, then close the connection if `end` is true."""
        self.writer.write(data)
        if end:
            self.writer.close()


class StandInDiscovery:
    """Discovery that passes each request to `on_request` and leaves the response to the test.

    Attributes:
        requests: All requests so far, in order.
        on_request: Called with each request when it arrives.
        server: The server that receives the requests.
    """

    def __init__(self, clock: SteppedClock) -> None:
        self.clock = clock
        self.requests: list[DiscoveryRequest] = []
        self.on_request: Callable[[DiscoveryRequest], None] = lambda request: None
        self.server = StandInServer(self.handle)

    @property
    def open_request_count(self) -> int:
        """The number of requests whose connection the proxy has not closed."""
        return sum(not request.closed_by_proxy.is_set() for request in self.requests)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Receive one request, and set `closed_by_proxy` when the proxy closes the connection."""
        await reader.readuntil(b"\r\n\r\n")
        request = DiscoveryRequest(self.clock.advanced_s, writer)
        self.requests.append(request)
        self.on_request(request)
        try:
            await reader.read()
        finally:
            request.closed_by_proxy.set()


@asynccontextmanager
async def watching_proxy(
    settings: messages.Settings,
) -> AsyncIterator[tuple[StandInDiscovery, LoopbackProxy, SteppedClock]]:
    """Run a proxy that watches a stand-in discovery, on one frozen clock and with the maximum jitter."""
    discovery = StandInDiscovery(FrozenClock())
    async with (
        discovery.server,
        running_proxy(settings=settings, discovery_port=discovery.server.port) as proxy,
    ):
        proxy.link_policy_clock(discovery.clock)
        proxy.driver.balancer.subscription.jitter.uniform = lambda a, b: b  # type: ignore[method-assign]
        yield discovery, proxy, discovery.clock


def record_watch_starts(proxy: LoopbackProxy) -> list[float]:
    """Return a list that collects the start time of each later watch, even if discovery does not listen."""
    started_at_s: list[float] = []
    watch = proxy.driver.endpoint_list.watch
    start = watch.start

    def record_and_start() -> None:
        started_at_s.append(asyncio.get_running_loop().time())
        start()

    watch.start = record_and_start  # type: ignore[method-assign]
    return started_at_s


async def advance_to_next_request(discovery: StandInDiscovery, clock: SteppedClock) -> float:
    """Step time until the next request arrives, and return the seconds stepped."""
    request_count_before = len(discovery.requests)
    return await advance_until(clock, lambda: len(discovery.requests) > request_count_before)


async def respond_to_latest_request(
    discovery: StandInDiscovery, proxy: LoopbackProxy, clock: SteppedClock, settings: messages.Settings
) -> float:
    """Respond to the latest request with a list of version 7; to a poll after its longest wait in the queue.

    Returns:
        The seconds stepped until the proxy has applied the list.
    """
    waited_s = 0.0
    if settings is POLLED_SETTINGS:
        waited_s = await advance_until(clock, discovery.requests[-1].closed_by_proxy.is_set, POLL_QUEUE_S)
    discovery.requests[-1].send(WATCH_RESPONSE_HEAD + list_chunk_of_version(7))
    waited_s += await advance_until(clock, lambda: proxy.driver.endpoint_list.watch.version == 7, 1.0)
    assert proxy.driver.endpoint_list.watch.version == 7
    return waited_s


def running_watch_count() -> int:
    """Return how many watch tasks are running, including those that nothing refers to any more."""
    return sum(
        "EndpointWatch._run" in str(task.get_coro()) for task in asyncio.all_tasks() if not task.done()
    )
