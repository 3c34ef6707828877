"""Clocks that tests move by hand, and a driver on them that takes lists by hand."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from load_balancer import messages
from load_balancer.net.clock import Clock
from load_balancer.net.discovery.endpoint_list_json import EndpointListMessage, endpoint_number, read_list
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.upstream.connection_pool import ConnectionPool
from tests.support.balancer_harness import settings
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.simulated_fleet import S

HOUR = 3600 * S
UNIX = 1_800_000_000 * S
STEPS = pytest.mark.parametrize("step", [HOUR, -HOUR, 5 * S, -5 * S], ids=["+1h", "-1h", "+5s", "-5s"])
COLD = messages.Rules(0.2, 4 * S, 3.0, 1 * S)


@dataclass
class Times:
    """Both clocks of a machine, moved by hand."""

    monotonic: int = 1000 * S
    ahead: int = UNIX  # of the wall clock

    def wall(self) -> int:
        return self.monotonic + self.ahead

    def clock(self) -> Clock:
        return Clock(self.wall, lambda: self.monotonic)

    def advance(self, us: int) -> None:
        self.monotonic += us

    def step(self, us: int) -> None:
        self.ahead += us


class HandFedDriver:
    """A driver that is fed lists by hand, on clocks moved by hand."""

    def __init__(self, known: EndpointListMessage | None = None, times: Times | None = None) -> None:
        self.times = times or Times()
        self.driver = EventLoopDriver(
            settings(rules=COLD), 1, ConnectionPool(0.25, 30.0, 10), ("127.0.0.1", 1), self.times.clock()
        )
        self.driver.endpoint_list.watch.start = lambda: None  # type: ignore[method-assign]
        self.driver.start(known)
        self.rev = 1

    def list(self, *starts: tuple[str, int], full: bool = False) -> None:
        self.rev += 1
        self.driver.endpoint_list.receive(lists(*starts, full=full, rev=self.rev))

    def beat(self) -> None:
        self.driver.endpoint_list.watch._has_list = True  # a list has come
        self.driver.endpoint_list.watch._apply_messages([], heartbeat=True)

    def gone(self, uid: str) -> None:
        self.rev += 1
        self.driver.endpoint_list.receive(
            read_list(endpoint_list(endpoint_entry(uid, 9, "terminated"), rev=self.rev, full=False))
        )

    def age(self, uid: str) -> int:
        server = self.driver.balancer.endpoints.states[endpoint_number(uid)]
        return self.driver.clock.now_us() - server.started_us

    def capacity(self, uid: str) -> float:
        server = self.driver.balancer.endpoints.states[endpoint_number(uid)]
        return self.driver.balancer.slow_start.capacity(self.driver.clock.now_us(), server)


def lists(*starts: tuple[str, int], full: bool = True, rev: int = 1) -> EndpointListMessage:
    """A list of backends and their starts in Unix time, microseconds."""
    return read_list(
        endpoint_list(*(endpoint_entry(u, 9, boot_ms=at // 1000) for u, at in starts), rev=rev, full=full)
    )
