"""Steps of the proxy's or another machine's wall clock change no time-out, deadline or age in the proxy."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import cache
from pathlib import Path
from typing import NamedTuple

import pytest

from load_balancer import messages
from load_balancer.net.clock import Clock
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid
from load_balancer.net.discovery.start_times import StartTimes
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.process.config import ConfigSource
from load_balancer.process.server import serve_until_stopped
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import (
    HttpMessage,
    StreamPair,
    http_chunk,
    http_request,
    http_response,
    read_http_message,
    response_status,
)
from tests.support.loopback_proxy import running_proxy
from tests.support.manual_clocks import COLD_START_RULES, EACH_CLOCK_STEP, ManualClocks, list_with_start_times
from tests.support.proxy_process import LIMITS, proxy_config, raw_settings, unused_port, write_config
from tests.support.simulated_fleet import SimulatedEndpoint, SimulatedFleet
from tests.support.stand_in_server import SilentEndpoint, StandInServer
from tests.support.stepped_clock import FrozenClock, advance_until, run_loop_turns, wait_until
from tests.support.units import HOUR_US, MILLISECOND_US, SECOND_US

HEARTBEAT = http_chunk("\n")
LISTED_ENDPOINT = endpoint_list_chunk(endpoint_list(endpoint_entry("a", 9)))


class SteppedWallClock:
    """The wall clock of this process, which a test can step."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.offset_us = 0
        time_s, time_ns = time.time, time.time_ns
        monkeypatch.setattr(time, "time", lambda: time_s() + self.offset_us / SECOND_US)
        monkeypatch.setattr(time, "time_ns", lambda: time_ns() + self.offset_us * 1000)

    def step(self, by_us: int) -> None:
        """Step the clock by this time."""
        self.offset_us += by_us


class OpenWatchDiscovery(StandInServer):
    """Discovery that sends each watch the same initial bytes, and then what the test sends.

    Attributes:
        watch_count: Number of watches requested so far.
    """

    def __init__(self, initial_bytes: bytes) -> None:
        super().__init__(self._open_watch)
        self.initial_bytes = initial_bytes
        self.watch_count = 0

    async def _open_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.watch_count += 1
        writer.write(WATCH_RESPONSE_HEAD + self.initial_bytes)
        await reader.read()

    def send(self, data: bytes) -> None:
        """Send the bytes on the latest watch."""
        self.writers[-1].write(data)


class WatchingDriver:
    """Driver that watches discovery, on an event loop whose clock moves only by the test.

    Attributes:
        confirmation_count: Number of calls of `StartTimes.confirm`: lists and heartbeats received.
    """

    def __init__(self, discovery: OpenWatchDiscovery, clock: Clock, monkeypatch: pytest.MonkeyPatch) -> None:
        self.discovery, self.loop_clock = discovery, FrozenClock()
        self.confirmation_count = 0
        confirm = StartTimes.confirm

        def count_and_confirm(start_times: StartTimes) -> None:
            confirm(start_times)
            self.confirmation_count += 1

        monkeypatch.setattr(StartTimes, "confirm", count_and_confirm)
        pool, address = ConnectionPool(0.25, 30.0, 10), ("127.0.0.1", discovery.port)
        self.driver = EventLoopDriver(balancer_settings(rules=COLD_START_RULES), 1, pool, address, clock)

    async def receive_heartbeat(self) -> None:
        """Send a heartbeat, and advance the clock until the driver has read it."""
        before = self.confirmation_count
        self.discovery.send(HEARTBEAT)
        await advance_until(self.loop_clock, lambda: self.confirmation_count > before, must_hold=True)

    def age_us(self, uid: str) -> int:
        """Return the endpoint's age as known to the policy."""
        state = self.driver.balancer.endpoints.states[endpoint_id_from_uid(uid)]
        return self.driver.clock.now_us() - state.started_us


@pytest.mark.parametrize(
    ("started_ms", "age_ms"),
    [(500, 500), (700, 700), (701, 0), (1500, 0)],
    ids=lambda duration_ms: f"{duration_ms}ms",
)
async def test_heartbeats_of_an_open_watch_bound_the_next_start_time(
    started_ms: int, age_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The last heartbeat was 700 ms ago, and the list 2 s before it.

    The list did not yet contain the restart at that heartbeat: an endpoint with an earlier start time counts
    as started now.
    """
    clocks = ManualClocks()
    async with OpenWatchDiscovery(LISTED_ENDPOINT) as discovery:
        watching = WatchingDriver(discovery, clocks.clock(), monkeypatch)
        driver = watching.driver
        driver.start(None)
        await driver.discovery_reported.wait()
        clocks.advance(2 * SECOND_US)
        await watching.receive_heartbeat()
        clocks.advance(700 * MILLISECOND_US)
        restarted = endpoint_entry("a", 9, boot_ms=clocks.wall_us() // MILLISECOND_US - started_ms)
        discovery.send(endpoint_list_chunk(endpoint_list(restarted, rev=2, is_complete=False)))
        states, number = driver.balancer.endpoints.states, endpoint_id_from_uid("a")
        await advance_until(
            watching.loop_clock, lambda: states[number].endpoint.incarnation_us > 0, must_hold=True
        )
        assert watching.age_us("a") == age_ms * MILLISECOND_US
        driver.close()


async def test_heartbeat_before_the_first_list_confirms_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    clocks = ManualClocks()
    restarted = endpoint_entry("a", 9, boot_ms=clocks.wall_us() // 1000 - 2000)
    initial_bytes = HEARTBEAT + endpoint_list_chunk(endpoint_list(restarted, rev=9))
    async with OpenWatchDiscovery(initial_bytes) as discovery:
        watching = WatchingDriver(discovery, clocks.clock(), monkeypatch)
        driver = watching.driver
        driver.start(list_with_start_times(("a", clocks.wall_us() - HOUR_US)))
        await driver.discovery_reported.wait()
        assert len(driver.balancer.endpoints.states) == 1
        assert watching.age_us("a") == 2 * SECOND_US
        driver.close()


@EACH_CLOCK_STEP
async def test_watch_stays_open_over_a_clock_step_and_its_silence_is_timed_monotonically(
    step: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    wall_clock = SteppedWallClock(monkeypatch)
    async with OpenWatchDiscovery(LISTED_ENDPOINT) as discovery:
        watching = WatchingDriver(discovery, Clock(), monkeypatch)
        watching.driver.start(None)
        await watching.driver.discovery_reported.wait()
        wall_clock.step(step)
        for _ in range(3):
            await watching.receive_heartbeat()
            watching.loop_clock.advance(2.0)
            await run_loop_turns(30)
            assert discovery.watch_count == 1
        watching.loop_clock.advance(1.5)
        await advance_until(watching.loop_clock, lambda: discovery.watch_count == 2, must_hold=True)
        watching.driver.close()


@EACH_CLOCK_STEP
@pytest.mark.parametrize("end", ["response", "deadline"])
async def test_open_request_keeps_its_deadline_over_a_clock_step(
    step: int, end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    wall_clock, clock = SteppedWallClock(monkeypatch), FrozenClock()
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("a", endpoint.port)) as proxy,
    ):
        response = asyncio.ensure_future(proxy.send_request(http_request(Req_Deadline="3.0")))
        await wait_until(lambda: bool(endpoint.received))
        wall_clock.step(step)
        clock.advance(2.5)
        await run_loop_turns(30)
        assert not response.done()
        if end == "response":
            endpoint.writers[-1].write(http_response(200, b"x"))
            assert (await response).body == b"x"
        else:
            clock.advance(0.6)
            assert response_status(await response) in (502, 503)
            assert proxy.driver.is_idle


@asynccontextmanager
async def discovery_of(endpoint: StandInServer) -> AsyncIterator[OpenWatchDiscovery]:
    """Run a discovery that lists this endpoint."""
    entry = endpoint_entry("a", endpoint.port)
    async with OpenWatchDiscovery(endpoint_list_chunk(endpoint_list(entry))) as discovery:
        yield discovery


def serve_in_task(folder: Path, port: int, discovery: OpenWatchDiscovery) -> asyncio.Task[None]:
    """Start the complete proxy in this process, listening on this port."""
    config = proxy_config(
        discovery=f"127.0.0.1:{discovery.port}",
        listen=f"127.0.0.1:{port}",
        settings=raw_settings(limits=LIMITS, registryMode="automatic"),
    )
    source = ConfigSource(write_config(folder, config))
    return asyncio.ensure_future(serve_until_stopped(source.read(), source))


async def connect_once_listening(port: int) -> StreamPair:
    """Open a client connection as soon as the proxy listens."""
    while True:
        await asyncio.sleep(0)
        try:
            return await asyncio.open_connection("127.0.0.1", port)
        except ConnectionRefusedError:
            continue


async def advance_over_second_step(
    clock: FrozenClock,
    discovery: OpenWatchDiscovery,
    wall_clock: SteppedWallClock,
    step_us: int,
    response: asyncio.Future[HttpMessage],
) -> None:
    """Advance the clock with heartbeats until the response, for at most 30 s; step the wall clock once."""
    began_s, has_stepped = clock.advanced_s, False
    while not response.done() and clock.advanced_s - began_s < 30.0:
        if clock.advanced_s - began_s > 2.5 and not has_stepped:  # the proxy no longer accepts connections
            wall_clock.step(step_us)
            has_stepped = True
        discovery.send(HEARTBEAT)
        clock.advance(0.1)
        await run_loop_turns(30)


@EACH_CLOCK_STEP
async def test_shutdown_ends_in_time_over_a_clock_step(
    step: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An open request gets its response by the shutdown deadline on the monotonic clock."""
    wall_clock, clock, port = SteppedWallClock(monkeypatch), FrozenClock(), unused_port()
    async with SilentEndpoint() as endpoint, discovery_of(endpoint) as discovery:
        serving = serve_in_task(tmp_path, port, discovery)
        reader, writer = await connect_once_listening(port)
        writer.write(http_request(Req_Deadline="900"))
        await wait_until(lambda: bool(endpoint.received))
        os.kill(os.getpid(), signal.SIGTERM)
        await run_loop_turns(30)
        wall_clock.step(step)
        response = asyncio.ensure_future(read_http_message(reader))
        began_s = clock.advanced_s
        await advance_over_second_step(clock, discovery, wall_clock, step, response)
        assert response.done()
        assert 2.8 < clock.advanced_s - began_s < 3.5
        while not serving.done() and clock.advanced_s - began_s < 30.0:
            clock.advance(0.1)
            await run_loop_turns(30)
        assert clock.advanced_s - began_s < 6.0  # although the client keeps its connection open
        await serving
        writer.close()


# Attempts on an endpoint after its restart, in a simulated fleet


class SteppedFleet(SimulatedFleet):
    """Fleet whose endpoints report their start times by one wall clock, and whose balancers use another.

    Attributes:
        balancers_ahead_us: Offset of the balancers' wall clock.
        endpoints_ahead_us: Offset of the endpoints' wall clock.
    """

    def __post_init__(self) -> None:
        self.balancers_ahead_us, self.endpoints_ahead_us = 0, 0
        self.start_times = [
            StartTimes(Clock(self.balancer_wall_us, lambda: self.now_us)) for _ in range(self.balancer_count)
        ]
        super().__post_init__()
        self.schedule(self.now_us + 2 * SECOND_US, self.send_heartbeats)

    def balancer_wall_us(self) -> int:
        """Return the time of the balancers' wall clock."""
        return self.now_us + self.balancers_ahead_us

    def send_heartbeats(self) -> None:
        """Confirm the list to all balancers, and schedule this again in two seconds."""
        for start_times in self.start_times:
            start_times.confirm()
        self.schedule(self.now_us + 2 * SECOND_US, self.send_heartbeats)

    def receive_list(self, index: int, update: messages.EndpointListUpdate) -> None:
        """Pass a list to a balancer, with the start times converted to its own clock."""
        endpoints = self.start_times[index].assign(update.endpoints)
        super().receive_list(index, replace(update, endpoints=endpoints))
        self.start_times[index].confirm()

    def restart(self, chosen: Iterable[SimulatedEndpoint]) -> None:
        """Restart these endpoints now; discovery lists the restarts 0.5 s later."""
        entries = []
        for endpoint in chosen:
            endpoint.restart(self.now_us)
            entries.append(replace(endpoint.entry, incarnation_us=self.now_us + self.endpoints_ahead_us))
        self.schedule(self.now_us + 500 * MILLISECOND_US, lambda: self.send_list(entries, max_delay_us=0))


def stepped_fleet(seed: int) -> SteppedFleet:
    """Return a fleet of one balancer and four endpoints at half of their capacity."""
    read_class = messages.RequestClass(
        "read", 500 * MILLISECOND_US, 1 * SECOND_US, idempotency=messages.Idempotency.SAFE
    )
    settings = messages.Settings(
        classes=(read_class,),
        rules=replace(COLD_START_RULES, overload_multiple=1.5),
        limits=messages.Limits(2, cancel=True),
        tick_us=0,
    )
    return SteppedFleet(
        settings,
        1,
        4,
        endpoint_requests_per_window=100.0,
        load=0.5,
        seed=seed,
        zone_count=1,
        now_us=2 * HOUR_US,
    )


class RestartLoad(NamedTuple):
    """The attempts that an endpoint receives after its restart.

    Attributes:
        first_second: Number of attempts in the second after discovery has listed the restart.
        share_when_warm: From six seconds after it, its attempts relative to the mean of the others.
    """

    first_second: int
    share_when_warm: float


@cache
def load_after_restart(balancers_ahead_us: int, endpoints_ahead_us: int, seed: int) -> RestartLoad:
    """Restart one endpoint of a fleet two seconds after a step of the wall clocks."""
    fleet = stepped_fleet(seed)
    fleet.run_until(fleet.now_us + 9 * SECOND_US)
    fleet.balancers_ahead_us, fleet.endpoints_ahead_us = balancers_ahead_us, endpoints_ahead_us
    fleet.run_until(fleet.now_us + 2 * SECOND_US)
    fleet.restart(fleet.endpoints[:1])
    listed_at_us = fleet.now_us + 500 * MILLISECOND_US
    fleet.run_until(listed_at_us + 10 * SECOND_US)

    def attempt_count(endpoint: SimulatedEndpoint, begin_us: int, duration_us: int) -> int:
        return sum(begin_us <= at_us < begin_us + duration_us for at_us, _ in endpoint.arrivals)

    restarted = fleet.endpoints[0]
    later_counts = [
        attempt_count(endpoint, listed_at_us + 6 * SECOND_US, 3 * SECOND_US) for endpoint in fleet.endpoints
    ]
    return RestartLoad(
        attempt_count(restarted, listed_at_us, 1 * SECOND_US), 3.0 * later_counts[0] / sum(later_counts[1:])
    )


@EACH_CLOCK_STEP
@pytest.mark.parametrize("stepped_clocks", ["both", "endpoints", "balancers"])
def test_endpoint_restarted_after_a_clock_step_gets_its_usual_attempts(
    step: int, stepped_clocks: str
) -> None:
    offset_us = {"both": (step, step), "endpoints": (0, step), "balancers": (step, 0)}[stepped_clocks]
    seeds = range(2)
    usual = [load_after_restart(0, 0, seed) for seed in seeds]
    stepped = [load_after_restart(*offset_us, seed) for seed in seeds]
    if stepped_clocks == "both":
        assert stepped == usual
    first_count = sum(load.first_second for load in stepped)
    usual_count = sum(load.first_second for load in usual)
    assert 0.5 * usual_count <= first_count <= 1.25 * usual_count, (stepped, usual)
    assert all(0.75 <= load.share_when_warm <= 1.5 for load in stepped), stepped
