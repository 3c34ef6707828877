"""A stepped wall clock, here or elsewhere, changes no timeout, deadline or age in the running proxy."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import cache
from pathlib import Path

import pytest

from load_balancer import messages
from load_balancer.net.clock import Clock
from load_balancer.net.discovery.endpoint_list_json import endpoint_number
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
from tests.support.http_messages import http_chunk, http_request, http_response, read_http_message
from tests.support.loopback_proxy import running_proxy
from tests.support.manual_clocks import COLD_START_RULES, EACH_CLOCK_STEP, ManualClocks, list_with_starts
from tests.support.proxy_process import LIMITS, proxy_config, raw_settings, unused_port, write_config
from tests.support.simulated_fleet import SimulatedEndpoint, SimulatedFleet
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import SteppedClock, run_loop_turns, wait_until
from tests.support.units import HOUR_US, MILLISECOND_US, SECOND_US


class Wall:
    """The wall clock of this process, for whoever reads it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.ahead = 0
        real, real_ns = time.time, time.time_ns
        monkeypatch.setattr(time, "time", lambda: real() + self.ahead / SECOND_US)
        monkeypatch.setattr(time, "time_ns", lambda: real_ns() + self.ahead * 1000)

    def step(self, us: int) -> None:
        self.ahead += us


@dataclass
class Agent:
    """Discovery that says on its watches what a test says."""

    first: dict[str, object]
    asked: list[str] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0])
        self.writers.append(writer)
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(self.first))
        await reader.read()

    def say(self, said: bytes) -> None:
        self.writers[-1].write(said)


def driver_on(discovery: StandInServer, times: ManualClocks) -> EventLoopDriver:
    """Its watch doesn't end for silence, however slow the machine is."""
    pool = ConnectionPool(0.25, 30.0, 10)
    driver = EventLoopDriver(
        balancer_settings(rules=COLD_START_RULES), 1, pool, ("127.0.0.1", discovery.port), times.clock()
    )
    driver.endpoint_list.watch._first_list_timeout_s = driver.endpoint_list.watch._heartbeat_timeout_s = 900.0
    return driver


@pytest.mark.parametrize(
    ("started_ms", "age_ms"), [(500, 500), (700, 700), (701, 0), (1500, 0)], ids=lambda n: f"{n}ms"
)
async def test_heartbeats_of_a_standing_watch_bound_the_next_start_time(started_ms: int, age_ms: int) -> None:
    """The last one came 700 ms ago, and the list before it 2 s earlier."""

    times, agent = ManualClocks(), Agent(endpoint_list(endpoint_entry("a", 9)))
    async with StandInServer(agent.handle) as d:
        driver = driver_on(d, times)
        driver.start(None)
        await driver.discovery_reported.wait()
        times.advance(2 * SECOND_US)
        confirmed = driver.endpoint_list.start_times._confirmed_at_us
        agent.say(http_chunk("\n"))
        await wait_until(lambda: driver.endpoint_list.start_times._confirmed_at_us != confirmed)
        times.advance(700 * MILLISECOND_US)
        stated = times.wall_us() // MILLISECOND_US - started_ms
        agent.say(
            endpoint_list_chunk(endpoint_list(endpoint_entry("a", 9, boot_ms=stated), rev=2, full=False))
        )
        balancer, number = driver.balancer, endpoint_number("a")
        await wait_until(lambda: balancer.endpoints.states[number].endpoint.incarnation_us > 0)
        assert driver.clock.now_us() - balancer.endpoints.states[number].started_us == age_ms * MILLISECOND_US
        driver.close()


async def test_heartbeat_before_the_first_list_confirms_nothing() -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        late = endpoint_list(endpoint_entry("a", 9, boot_ms=times.wall_us() // 1000 - 2000), rev=9)
        writer.write(WATCH_RESPONSE_HEAD + http_chunk("\n") + endpoint_list_chunk(late))
        await reader.read()

    times = ManualClocks()
    async with StandInServer(handle) as d:
        driver = driver_on(d, times)
        driver.start(list_with_starts(("a", times.wall_us() - HOUR_US)))
        await driver.discovery_reported.wait()
        [server] = driver.balancer.endpoints.states.values()
        assert driver.clock.now_us() - server.started_us == 2 * SECOND_US
        driver.close()


@EACH_CLOCK_STEP
async def test_watch_stands_over_a_clock_step_and_its_silence_is_timed_monotonically(
    step: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    wall, agent, clock = Wall(monkeypatch), Agent(endpoint_list(endpoint_entry("a", 9))), SteppedClock()
    async with StandInServer(agent.handle) as d:
        driver = EventLoopDriver(
            balancer_settings(rules=COLD_START_RULES),
            1,
            ConnectionPool(0.25, 30.0, 10),
            ("127.0.0.1", d.port),
        )
        driver.start(None)
        await driver.discovery_reported.wait()
        wall.step(step)
        for _ in range(3):
            beat = driver.endpoint_list.start_times._confirmed_at_us
            agent.say(http_chunk("\n"))
            await wait_until(lambda beat=beat: driver.endpoint_list.start_times._confirmed_at_us != beat)  # type: ignore[misc]
            clock.advance(2.0)
            await run_loop_turns(30)
            assert len(agent.asked) == 1
        clock.advance(1.5)
        await wait_until(lambda: len(agent.asked) == 2)
        driver.close()


@EACH_CLOCK_STEP
@pytest.mark.parametrize("ends", ["answered", "overdue"])
async def test_waiting_request_keeps_its_deadline_over_a_clock_step(
    step: int, ends: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    begun, go_on = asyncio.Event(), asyncio.Event()

    async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        begun.set()
        await go_on.wait()
        writer.write(http_response(200, b"x"))

    wall, clock = Wall(monkeypatch), SteppedClock()
    async with StandInServer(slow) as b, running_proxy(endpoint_entry("a", b.port)) as p:
        asked = asyncio.ensure_future(p.send_request(http_request(Req_Deadline="3.0")))
        await begun.wait()
        wall.step(step)
        clock.advance(2.5)
        await run_loop_turns(30)
        assert not asked.done()
        if ends == "answered":
            go_on.set()
            assert (await asked)[2] == b"x"
        else:
            clock.advance(0.6)
            assert int((await asked)[0].split()[1]) in (502, 503)
            assert p.driver.is_idle


@EACH_CLOCK_STEP
async def test_shutdown_ends_in_time_over_a_clock_step(
    step: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that waits is answered as the deadline of the shutdown says, by real time."""

    begun = asyncio.Event()

    async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        begun.set()
        await reader.read()

    wall, clock, port = Wall(monkeypatch), SteppedClock(), unused_port()
    async with StandInServer(slow) as b:
        agent = Agent(endpoint_list(endpoint_entry("a", b.port)))
        async with StandInServer(agent.handle) as d:
            fed = proxy_config(
                discovery=f"127.0.0.1:{d.port}",
                listen=f"127.0.0.1:{port}",
                settings=raw_settings(limits=LIMITS, registryMode="automatic"),
            )
            source = ConfigSource(write_config(tmp_path, fed))
            attending = asyncio.ensure_future(serve_until_stopped(source.read(), source))
            writer = None
            while writer is None:
                await asyncio.sleep(0)
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                except ConnectionRefusedError:
                    continue
            writer.write(http_request(Req_Deadline="900"))
            await begun.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            await run_loop_turns(30)
            wall.step(step)
            answered = asyncio.ensure_future(read_http_message(reader))
            began, stepped_again = clock.advanced_s, False
            while not answered.done() and clock.advanced_s - began < 30.0:
                if clock.advanced_s - began > 2.5 and not stepped_again:  # it takes no new connections by now
                    wall.step(step)
                    stepped_again = True
                agent.say(http_chunk("\n"))
                clock.advance(0.1)
                await run_loop_turns(30)
            assert answered.done()
            assert 2.8 < clock.advanced_s - began < 3.5
            while not attending.done() and clock.advanced_s - began < 30.0:
                clock.advance(0.1)
                await run_loop_turns(30)
            assert clock.advanced_s - began < 6.0  # though its client keeps the connection
            await attending
            writer.close()


# What a backend is sent after its restart, in a stepped world


class SteppedFleet(SimulatedFleet):
    """Its backends state their starts by a wall clock; each balancer has one of its own."""

    def __post_init__(self) -> None:
        self.ours, self.theirs = 0, 0  # how far these clocks are ahead
        self.starts = [StartTimes(Clock(self.wall, lambda: self.now)) for _ in range(self.balancers)]
        super().__post_init__()
        self.at(self.now + 2 * SECOND_US, self.beat)

    def wall(self) -> int:
        return self.now + self.ours

    def beat(self) -> None:
        for starts in self.starts:
            starts.confirm()
        self.at(self.now + 2 * SECOND_US, self.beat)

    def _hear(self, index: int, news: messages.EndpointListUpdate) -> None:
        super()._hear(index, replace(news, endpoints=self.starts[index].assign(news.endpoints)))
        self.starts[index].confirm()

    def restart(self, chosen: Iterable[SimulatedEndpoint]) -> None:
        entries = []
        for machine in chosen:
            machine.restart(self.now)
            entries.append(replace(machine.entry, incarnation_us=self.now + self.theirs))
        self.at(
            self.now + 500 * MILLISECOND_US, lambda: self.tell(entries, within=0)
        )  # discovery notices late


@cache
def calls_after_a_restart(ours: int, theirs: int, seed: int) -> tuple[int, float]:
    """Calls to it in the first second after it was listed, and 6 s on as a share of a warm one's."""
    reads = messages.RequestClass(
        "read", 500 * MILLISECOND_US, 1 * SECOND_US, idempotency=messages.Idempotency.SAFE
    )
    setup = messages.Settings(
        classes=(reads,),
        rules=replace(COLD_START_RULES, overload_multiple=1.5),
        limits=messages.Limits(2, cancel=True),
        tick_us=0,
    )
    fleet = SteppedFleet(setup, 1, 4, per_window=100.0, load=0.5, seed=seed, zones=1, now=2 * HOUR_US)
    fleet.run(fleet.now + 9 * SECOND_US)
    fleet.ours, fleet.theirs = ours, theirs
    fleet.run(fleet.now + 2 * SECOND_US)
    fleet.restart(fleet.machines[:1])
    listed_at = fleet.now + 500 * MILLISECOND_US
    fleet.run(listed_at + 10 * SECOND_US)

    def sent(machine: SimulatedEndpoint, begins: int, us: int) -> int:
        return sum(begins <= at < begins + us for at, _ in machine.work)

    cold, *warm = fleet.machines
    later = [sent(m, listed_at + 6 * SECOND_US, 3 * SECOND_US) for m in (cold, *warm)]
    return sent(cold, listed_at, 1 * SECOND_US), 3.0 * later[0] / sum(later[1:])


@EACH_CLOCK_STEP
@pytest.mark.parametrize("where", ["everywhere", "elsewhere", "here"])
def test_endpoint_restarted_after_a_clock_step_gets_its_usual_attempts(step: int, where: str) -> None:
    ours, theirs = {"everywhere": (step, step), "elsewhere": (0, step), "here": (step, 0)}[where]
    seeds = range(2)
    plain = [calls_after_a_restart(0, 0, seed) for seed in seeds]
    stepped = [calls_after_a_restart(ours, theirs, seed) for seed in seeds]
    if where == "everywhere":
        assert stepped == plain
    first, usual = sum(c for c, _ in stepped), sum(c for c, _ in plain)
    assert 0.5 * usual <= first <= 1.25 * usual, (stepped, plain)
    assert all(0.75 <= share <= 1.5 for _, share in stepped), stepped
