"""The two clocks of a machine as a test moves them, and a driver on them that is given lists directly."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from load_balancer import messages
from load_balancer.net.clock import Clock
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid, read_list
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.upstream.connection_pool import ConnectionPool
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.units import HOUR_US, SECOND_US

START_UNIX_US = 1_800_000_000 * SECOND_US
EACH_CLOCK_STEP = pytest.mark.parametrize(
    "step", [HOUR_US, -HOUR_US, 5 * SECOND_US, -5 * SECOND_US], ids=["+1h", "-1h", "+5s", "-5s"]
)
COLD_START_RULES = messages.Rules(0.2, 4 * SECOND_US, 3.0, 1 * SECOND_US)


@dataclass
class ManualClocks:
    """The monotonic clock and the wall clock of a machine."""

    monotonic_us: int = 1000 * SECOND_US
    wall_offset_us: int = START_UNIX_US  # how far the wall clock is ahead

    def wall_us(self) -> int:
        """Return the time of the wall clock."""
        return self.monotonic_us + self.wall_offset_us

    def clock(self) -> Clock:
        """Return the product's clock on these two."""
        return Clock(self.wall_us, lambda: self.monotonic_us)

    def advance(self, duration_us: int) -> None:
        """Let time pass on both clocks."""
        self.monotonic_us += duration_us

    def step_wall(self, by_us: int) -> None:
        """Set the wall clock to another time."""
        self.wall_offset_us += by_us


class ManualDriver:
    """A driver that a test gives endpoint lists to, on clocks that the test moves."""

    def __init__(self, known: EndpointListMessage | None = None, clocks: ManualClocks | None = None) -> None:
        self.clocks = clocks or ManualClocks()
        self.driver = EventLoopDriver(
            balancer_settings(rules=COLD_START_RULES),
            1,
            ConnectionPool(0.25, 30.0, 10),
            ("127.0.0.1", 1),
            self.clocks.clock(),
        )
        self.driver.endpoint_list.watch.start = lambda: None  # type: ignore[method-assign]
        self.driver.start(known)
        self.version = 1

    def apply_list(self, *starts: tuple[str, int], full: bool = False) -> None:
        """Apply a list, or changes to it, of endpoints with these starts in Unix time, microseconds."""
        self.version += 1
        self.driver.endpoint_list.receive(list_with_starts(*starts, full=full, rev=self.version))

    def receive_heartbeat(self) -> None:
        """Do what the watch does at a heartbeat that follows a list."""
        self.driver.endpoint_list.start_times.confirm()

    def terminate(self, uid: str) -> None:
        """Apply a change by which this endpoint is gone."""
        self.version += 1
        entry = endpoint_entry(uid, 9, "terminated")
        self.driver.endpoint_list.receive(read_list(endpoint_list(entry, rev=self.version, full=False)))

    def age_us(self, uid: str) -> int:
        """Return for how long the endpoint has run, as the policy sees it."""
        state = self.driver.balancer.endpoints.states[endpoint_id_from_uid(uid)]
        return self.driver.clock.now_us() - state.started_us

    def capacity(self, uid: str) -> float:
        """Return the share of its full capacity that the policy gives the endpoint."""
        state = self.driver.balancer.endpoints.states[endpoint_id_from_uid(uid)]
        return self.driver.balancer.slow_start.capacity(self.driver.clock.now_us(), state)


def list_with_starts(*starts: tuple[str, int], full: bool = True, rev: int = 1) -> EndpointListMessage:
    """Return a list of endpoints with these starts in Unix time, microseconds."""
    entries = (endpoint_entry(uid, 9, boot_ms=start_us // 1000) for uid, start_us in starts)
    return read_list(endpoint_list(*entries, rev=rev, full=full))
