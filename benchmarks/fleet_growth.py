"""What one proxy needs while half of a fleet's endpoints are replaced, at the usual size and at 16 times.

    python -m benchmarks.fleet_growth                 # the steady plays, 10 s each
    python -m benchmarks.fleet_growth --play move     # discovery moves (SIGHUP) and a watch falls silent
    python -m benchmarks.fleet_growth --proxies 3     # the limits bind in the mean over the fleet
    python -m benchmarks.fleet_growth --rows 200/34 3200/544 --seconds 5 --json result.json

The first row is the base from which the limits of the others are worked out (`growth_limits.py`). The proxy
is one real process; endpoints and discovery are stand-ins in this one. All endpoints of a row are equal. What
one proxy sees of the rest of its fleet is only the number of instances in its settings. The exit code is 1
where a limit is broken and 2 where a row could not be played.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import signal
import statistics
import sys
import tempfile
from collections import deque
from dataclasses import asdict, astuple, replace
from pathlib import Path

from benchmarks.clients import Clients
from benchmarks.growth_limits import Figures
from benchmarks.proxy_process import ProxyEndedError, ProxyProcess, proxy_process
from benchmarks.report import Result, describe_machine, results_table, violations_by_fleet
from benchmarks.scenarios import FLEET_SIZES, SCENARIOS, Scenario, Step, settings
from benchmarks.stand_ins import Discovery, EndpointStandIns

SEED = 0x8C1F30D27A5BE964
CELL_SIZE = 8  # endpoints in a cell
WANTED_DESCRIPTORS = 16_384  # for listeners and both ends of all connections, in this process
QUIET_TIMEOUT_S = 60.0  # a proxy that still works on the play this long after its end is measured as it is
POLL_INTERVAL_S = 0.02
WATCH_TIMEOUT_S = 15.0  # the longest wait for a watch that has to be opened anew


class WatchNotOpenedError(ProxyEndedError):
    """The proxy has not opened its watch anew in time."""

    def __init__(self) -> None:
        """Word the message."""
        super().__init__("it has not opened its watch anew")


class Fleet:
    """The endpoints of a play and what discovery says of them."""

    def __init__(self, scenario: Scenario) -> None:
        """Set up the stand-ins of a scenario; nothing listens yet."""
        self._scenario = scenario
        self.endpoints = EndpointStandIns(scenario.service_s)
        self.discovery = Discovery()
        self._endpoint_count = 0
        self._up: deque[tuple[str, str]] = deque()  # uid and address, the oldest first
        self._draining: deque[tuple[str, str]] = deque()

    async def _start_endpoint(self) -> tuple[str, str, int]:
        self._endpoint_count += 1
        uid, address = f"s-{self._endpoint_count:08x}", await self.endpoints.start()
        self._up.append((uid, address))
        return uid, address, self._endpoint_count // CELL_SIZE

    async def start(self) -> None:
        """Start the endpoints that are there from the beginning.

        Raises:
            OSError: One cannot listen, as for want of a descriptor.
        """
        for _ in range(self._scenario.endpoints):
            self.discovery.add(*await self._start_endpoint())

    async def replace(self) -> None:
        """Have the oldest endpoint drain and a new one join, each sent as a change of its own.

        Raises:
            OSError: The new one cannot listen.
            IndexError: No endpoint is left that is not draining.
        """
        old = self._up.popleft()
        self._draining.append(old)
        self.discovery.change_state(old[0], "terminating")
        self.discovery.add_and_notify(*await self._start_endpoint())

    def remove(self) -> None:
        """End the endpoint that has drained longest.

        Raises:
            IndexError: None is draining.
        """
        uid, address = self._draining.popleft()
        self.discovery.change_state(uid, "terminated")
        self.endpoints.stop(address)

    def stop(self) -> None:
        """End discovery and all endpoints."""
        self.discovery.stop()
        self.endpoints.stop_all()


class ScenarioRun:
    """One scenario with one proxy."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        """Set up a play that has not begun.

        Args:
            scenario: What happens in it.
            folder: Where the proxy's configuration and its log are written.
        """
        self._scenario = scenario
        self._folder = folder
        self._fleet = Fleet(scenario)
        self._most_descriptors = 0
        self._calls: list[asyncio.Task[None]] = []
        self._watches_due = 0  # by the end of the play

    async def run(self) -> Result:
        """Play the scenario through, once.

        Raises:
            ProxyEndedError: The proxy has ended, does not listen or does not open its watch anew.
            OSError: A stand-in cannot listen, the proxy accepts no connection, or it ended during the play.
        """
        await self._fleet.start()
        self._write_config(await self._fleet.discovery.listen())
        try:
            async with proxy_process(self._folder) as proxy:
                clients = Clients(proxy.port, self._scenario.deadline_s)
                await clients.start()
                await self._perform_steps(proxy, clients)
                await asyncio.gather(*self._calls)
                await self._wait_for_watch()
                settled = self._scenario.seconds is None or await proxy.wait_until_quiet(QUIET_TIMEOUT_S)
                result = self._result(proxy, clients, settled=settled)
                clients.close()
                return result
        finally:
            self._fleet.stop()

    def _write_config(self, discovery: str) -> None:
        config: dict[str, object] = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": discovery,
            "seed": f"{SEED + self._scenario.number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(self._scenario),
        }
        if self._scenario.knows_list:
            config["known"] = self._fleet.discovery.complete_list()
        (self._folder / "config.json").write_text(json.dumps(config))

    async def _perform_steps(self, proxy: ProxyProcess, clients: Clients) -> None:
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        for at, step in self._scenario.steps():
            if self._scenario.seconds is not None:
                await asyncio.sleep(max(0.0, began_at_s + at * self._scenario.seconds - loop.time()))
            await self._perform(step, proxy, clients)

    async def _perform(self, step: Step, proxy: ProxyProcess, clients: Clients) -> None:
        match step:
            case Step.CALL:
                self._most_descriptors = max(self._most_descriptors, proxy.descriptors)
                await self._send_request(clients)
            case Step.REPLACE:
                await self._fleet.replace()
            case Step.REMOVE:
                self._fleet.remove()
            case Step.MOVE:
                self._watches_due = self._fleet.discovery.watches + 1
                self._write_config(await self._fleet.discovery.listen())
                proxy.signal(signal.SIGHUP)
                await self._wait_for_watch()
            case Step.SILENCE:
                self._watches_due = self._fleet.discovery.watches + 1
                self._fleet.discovery.silence_watches()
            case Step.WATCHED:
                await self._wait_for_watch()

    async def _send_request(self, clients: Clients) -> None:
        if self._scenario.seconds is None:
            await clients.send_request()
        else:
            self._calls.append(asyncio.create_task(clients.send_request()))

    async def _wait_for_watch(self) -> None:
        """Wait for the watch that has to be opened anew.

        Raises:
            ProxyEndedError: It has not been opened within 15 s.
        """
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + WATCH_TIMEOUT_S
        while self._fleet.discovery.watches < self._watches_due:
            if loop.time() > give_up_at_s:
                raise WatchNotOpenedError
            await asyncio.sleep(POLL_INTERVAL_S)

    def _result(self, proxy: ProxyProcess, clients: Clients, *, settled: bool) -> Result:
        discovery = self._fleet.discovery
        figures = Figures(
            cpu_s=proxy.cpu_s,
            peak_memory=proxy.peak_memory,
            descriptors=self._most_descriptors,
            connections=self._fleet.endpoints.accepted,
            list_bytes=discovery.list_bytes,
            share_served=clients.served / self._scenario.calls,
        )
        return Result(
            self._scenario,
            figures,
            discovery.complete_lists,
            discovery.complete_list_bytes,
            discovery.watches,
            clients.served,
            settled,
        )


def run_scenario(scenario: Scenario) -> Result:
    """Play one row, in a folder of its own.

    Raises:
        ProxyEndedError: The proxy has ended, does not listen or does not open its watch anew.
        OSError: A stand-in cannot listen, the proxy accepts no connection, or it ended during the play.
    """
    raise_descriptor_limit()
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(ScenarioRun(scenario, Path(folder)).run())


def run_scenario_mean(scenario: Scenario, proxies: int) -> Result:
    """Play one row with several proxies, one after another, and return the mean figures.

    Raises:
        ProxyEndedError: As `run_scenario`; the plays that are over are lost.
        OSError: As `run_scenario`.
    """
    results = [run_scenario(replace(scenario, number=number)) for number in range(proxies)]
    means = (statistics.fmean(values) for values in zip(*(astuple(r.figures) for r in results), strict=True))
    return Result(
        scenario,
        Figures(*means),
        complete_lists=sum(r.complete_lists for r in results),
        complete_list_bytes=sum(r.complete_list_bytes for r in results),
        watches=sum(r.watches for r in results),
        calls_served=sum(r.calls_served for r in results),
        settled=all(r.settled for r in results),
    )


def raise_descriptor_limit() -> None:
    """Make room for thousands of listeners, as far as the system lets us."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = WANTED_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(WANTED_DESCRIPTORS, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def parse_fleet_size(text: str) -> tuple[int, int]:
    """Read `endpoints/instances`.

    Raises:
        ValueError: One of them is no number, or is under 1.
    """
    endpoints, _, instances = text.partition("/")
    if int(endpoints) < 1 or int(instances) < 1:
        raise ValueError(text)
    return int(endpoints), int(instances)


def read_arguments() -> argparse.Namespace:
    """Read the command line; a wrong one ends the program with code 2 and the usage."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument(
        "--play", choices=SCENARIOS, default="steady", help="what happens besides replacements"
    )
    parser.add_argument(
        "--rows", nargs="+", type=parse_fleet_size, default=FLEET_SIZES, help="endpoints/instances"
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="length of a play")
    parser.add_argument("--calls", type=float, default=30.0, help="a second")
    parser.add_argument("--proxies", type=int, default=1, help="played one after another, for the mean")
    parser.add_argument("--json", type=Path, help="where to write the result")
    return parser.parse_args()


def main() -> int:
    """Play the rows, print the table and the broken limits, and return the exit code."""
    arguments = read_arguments()
    scenario = replace(
        SCENARIOS[arguments.play], seconds=arguments.seconds, calls=round(arguments.calls * arguments.seconds)
    )
    machine_description = describe_machine()
    try:
        rows = [replace(scenario, endpoints=n, instances=m) for n, m in arguments.rows]
        results = [run_scenario_mean(row, arguments.proxies) for row in rows]
    except ProxyEndedError as error:
        print(error, file=sys.stderr)
        return 2
    print(results_table(results))
    for result in results:
        if not result.settled:
            print(f"{result.scenario.name}: measured while it still worked on what it had been sent")
    violations = violations_by_fleet(results)
    for name, figures in violations.items():
        for figure in figures:
            print(f"BROKEN {name}: {figure}")
    if arguments.json is not None:
        content = {
            "machine": machine_description,
            "play": arguments.play,
            "results": [asdict(r) for r in results],
        }
        arguments.json.write_text(json.dumps(content, indent=1) + "\n")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
