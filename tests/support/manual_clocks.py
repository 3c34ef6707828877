"""Monotonic and wall clock controlled by a test, and a driver on them that gets endpoint lists directly."""

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
    """The monotonic clock and the wall clock of a machine, moved by the test."""

    monotonic_us: int = 1000 * SECOND_US
    wall_offset_us: int = START_UNIX_US  # wall clock minus monotonic clock

    def wall_us(self) -> int:
        """Return the time of the wall clock."""
        return self.monotonic_us + self.wall_offset_us

    def clock(self) -> Clock:
        """Return a product clock that reads these two."""
        return Clock(self.wall_us, lambda: self.monotonic_us)

    def advance(self, duration_us: int) -> None:
        """Advance both clocks."""
        self.monotonic_us += duration_us

    def step_wall_clock(self, step_us: int) -> None:
        """Step the wall clock by this much; the monotonic clock stays."""
        self.wall_offset_us += step_us


class ManualDriver:
    """A driver on manual clocks, whose endpoint lists come from the test in place of discovery."""

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

    def apply_list(self, *start_times: tuple[str, int], is_complete: bool = False) -> None:
        """Apply changes or a complete list; its endpoints started at these Unix times in microseconds."""
        self.version += 1
        self.driver.endpoint_list.receive(
            list_with_start_times(*start_times, is_complete=is_complete, rev=self.version)
        )

    def receive_heartbeat(self) -> None:
        """Process a heartbeat after a list, as the watch does."""
        self.driver.endpoint_list.start_times.confirm()

    def terminate(self, uid: str) -> None:
        """Apply a change in which this endpoint is terminated."""
        self.version += 1
        entry = endpoint_entry(uid, 9, "terminated")
        self.driver.endpoint_list.receive(
            read_list(endpoint_list(entry, rev=self.version, is_complete=False))
        )

    def age_us(self, uid: str) -> int:
        """Return the time since the endpoint's start, as the policy knows it."""
        state = self.driver.balancer.endpoints.states[endpoint_id_from_uid(uid)]
        return self.driver.clock.now_us() - state.started_us

    def capacity(self, uid: str) -> float:
        """Return the share of full capacity that the policy assumes for the endpoint."""
        state = self.driver.balancer.endpoints.states[endpoint_id_from_uid(uid)]
        return self.driver.balancer.slow_start.capacity(self.driver.clock.now_us(), state)


def list_with_start_times(
    *start_times: tuple[str, int], is_complete: bool = True, rev: int = 1
) -> EndpointListMessage:
    """Return a list of endpoints that started at these Unix times in microseconds."""
    entries = (endpoint_entry(uid, 9, boot_ms=start_us // 1000) for uid, start_us in start_times)
    return read_list(endpoint_list(*entries, rev=rev, is_complete=is_complete))
