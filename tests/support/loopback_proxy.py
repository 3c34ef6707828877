"""The proxy's network side in the test's own process and event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from load_balancer import messages
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.client_listener import ClientListener
from load_balancer.net.client.client_registry import ClientRegistry
from load_balancer.net.clock import Clock, monotonic_us
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.memory_budget import DEFAULT_LIMITS, MemoryBudget, MemoryLimits
from load_balancer.net.receive_scheduler import ReceiveScheduler
from load_balancer.net.shared_resources import SharedResources
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import parsed_endpoint_list
from tests.support.http_messages import HttpMessage, StreamPair, send_request_to
from tests.support.stepped_clock import FrozenClock, SteppedClock
from tests.support.units import SECOND_US

NO_DISCOVERY_PORT = 1  # nothing listens on this port


class PolicyClockOffset:
    """Offset that keeps the policy's clock in step with the event loop's stepped clock."""

    def __init__(self) -> None:
        self.stepped_clock: SteppedClock | None = None
        self._frozen_at_us: int | None = None

    def follow(self, clock: SteppedClock) -> None:
        """Follow this clock from now on; real time is added unless the clock is frozen."""
        self.stepped_clock = clock
        self._frozen_at_us = monotonic_us() if isinstance(clock, FrozenClock) else None

    def clock(self) -> Clock:
        """Return a clock for the policy that advances with the followed clock."""
        return Clock(monotonic_us=self._now_us)

    def _now_us(self) -> int:
        advanced_s = self.stepped_clock.advanced_s if self.stepped_clock is not None else 0.0
        base_us = monotonic_us() if self._frozen_at_us is None else self._frozen_at_us
        return base_us + round(advanced_s * SECOND_US)


@dataclass
class LoopbackProxy:
    """A proxy that listens on a port chosen by the system; `running_proxy` creates and closes it."""

    driver: EventLoopDriver
    listener: ClientListener
    pool: ConnectionPool
    port: int
    shared: SharedResources
    _policy_clock_offset: PolicyClockOffset

    @property
    def clients(self) -> ClientRegistry[ClientConnection]:
        """The registry of client connections."""
        return self.listener.clients

    def use_stepped_clock(self) -> SteppedClock:
        """Install and return a clock that steps the event loop's time and the policy's time together."""
        clock = SteppedClock()
        self.link_policy_clock(clock)
        return clock

    def link_policy_clock(self, clock: SteppedClock) -> None:
        """Make the policy's clock follow this clock of the event loop."""
        self._policy_clock_offset.follow(clock)

    async def connect(self) -> StreamPair:
        """Open a client connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def send_request(self, request: bytes) -> HttpMessage:
        """Send one request on a new connection, and return the response."""
        return await send_request_to(self.port, request)

    def oldest_attempt_connection(self) -> UpstreamConnection:
        """Return the connection of the attempt in flight that was started first."""
        attempt = next(iter(self.driver.requests.attempts.in_flight.values()))
        assert attempt.connection is not None
        return attempt.connection

    def limit_send_buffers(self, size_bytes: int = 4096) -> None:
        """Shrink the send buffers of later client connections, so that unread responses stay in the proxy."""
        self.listener.acceptor.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes)


@asynccontextmanager
async def running_proxy(
    *endpoint_entries: dict[str, object],
    settings: messages.Settings | None = None,
    discovery_port: int = NO_DISCOVERY_PORT,
    idle_timeout_s: float = 30.0,
    max_connections: int = 100,
    connect_timeout_s: float = 5.0,
    memory: MemoryLimits = DEFAULT_LIMITS,
) -> AsyncIterator[LoopbackProxy]:
    """Run a proxy with these endpoints in its cached list; it watches discovery if a port is given."""
    settings = settings or balancer_settings()
    scheduler = ReceiveScheduler()
    shared = SharedResources(MemoryBudget(memory))
    pool = ConnectionPool(
        connect_timeout_s, idle_timeout_s, max_connections, scheduler=scheduler, shared=shared
    )
    clock_offset = PolicyClockOffset()
    discovery = ("127.0.0.1", discovery_port)
    driver = EventLoopDriver(settings, 1, pool, discovery, clock_offset.clock())
    classes = {request_class.name: request_class for request_class in settings.classes}
    listener = ClientListener(driver, classes, max_connections, scheduler, shared)
    _, port = listener.listen(("127.0.0.1", 0))
    if discovery_port == NO_DISCOVERY_PORT:  # without discovery, the cached list stays unchanged
        driver.endpoint_list.watch.start = lambda: None  # type: ignore[method-assign]
    driver.start(parsed_endpoint_list(*endpoint_entries) if endpoint_entries else None)
    try:
        yield LoopbackProxy(driver, listener, pool, port, shared, clock_offset)
    finally:
        listener.stop_listening()
        listener.close()
        driver.close()
        for connection in list(listener.clients.open_connections):
            connection.transport.abort()
