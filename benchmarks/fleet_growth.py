"""Measures the resources of one proxy while half of its endpoints are replaced, for fleets of several sizes.

    python -m benchmarks.fleet_growth                 # the steady scenario, 10 s for each fleet size
    python -m benchmarks.fleet_growth --play move     # discovery moves to another address (SIGHUP)
    python -m benchmarks.fleet_growth --proxies 3     # mean of three proxies, to which the limits apply
    python -m benchmarks.fleet_growth --rows 200/34 3200/544 --seconds 5 --json result.json

By default, three fleets are measured: one of the usual size, one with 16 times as many endpoints and
proxies, and one with 16 times as many endpoints only. The limits of the later fleets are computed from the
measurements of the first one (`growth_limits.py`). The proxy is a real process; endpoints and discovery are
stand-ins in the benchmark's process. All endpoints of a fleet are equal. The other proxies of the fleet are
represented only by the number of instances in the settings. The exit code is 1 if a limit is violated and 2
if a scenario could not be run.
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
CELL_SIZE = 8  # endpoints
WANTED_DESCRIPTORS = 16_384  # for the listeners and both ends of all connections
QUIET_TIMEOUT_S = 60.0  # after it, a proxy that is still busy is measured in its current state
POLL_INTERVAL_S = 0.02
WATCH_TIMEOUT_S = 15.0  # for the proxy to reopen its watch


class WatchNotOpenedError(ProxyEndedError):
    """The proxy has not reopened its watch within WATCH_TIMEOUT_S."""

    def __init__(self) -> None:
        """Initialize with a fixed message."""
        super().__init__("the proxy has not reopened its watch on discovery in time")


class Fleet:
    """The endpoints of a scenario and the discovery that publishes them."""

    def __init__(self, scenario: Scenario) -> None:
        """Create the stand-ins of a scenario; nothing listens yet."""
        self._scenario = scenario
        self.endpoints = EndpointStandIns(scenario.service_s)
        self.discovery = Discovery()
        self._endpoint_count = 0
        self._up: deque[tuple[str, str]] = deque()  # uid and address, oldest first
        self._draining: deque[tuple[str, str]] = deque()

    async def _start_endpoint(self) -> tuple[str, str, int]:
        self._endpoint_count += 1
        uid, address = f"s-{self._endpoint_count:08x}", await self.endpoints.start()
        self._up.append((uid, address))
        return uid, address, self._endpoint_count // CELL_SIZE

    async def start(self) -> None:
        """Start the initial endpoints.

        Raises:
            OSError: An endpoint cannot listen, for example because no file descriptor is available.
        """
        for _ in range(self._scenario.endpoints):
            self.discovery.add(*await self._start_endpoint())

    async def replace(self) -> None:
        """Drain the oldest endpoint and add a new one, as two separate changes of the list.

        Raises:
            OSError: The new endpoint cannot listen.
            IndexError: All endpoints are draining.
        """
        old = self._up.popleft()
        self._draining.append(old)
        self.discovery.change_state(old[0], "terminating")
        self.discovery.add_and_notify(*await self._start_endpoint())

    def remove(self) -> None:
        """Stop the endpoint that has drained longest.

        Raises:
            IndexError: No endpoint is draining.
        """
        uid, address = self._draining.popleft()
        self.discovery.change_state(uid, "terminated")
        self.endpoints.stop(address)

    def stop(self) -> None:
        """Stop discovery and all endpoints."""
        self.discovery.stop()
        self.endpoints.stop_all()


class ScenarioRun:
    """One run of a scenario with one proxy."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        """Initialize a run without starting it.

        Args:
            scenario: The scenario to run.
            folder: The folder for the proxy's configuration and log.
        """
        self._scenario = scenario
        self._folder = folder
        self._fleet = Fleet(scenario)
        self._max_descriptors = 0
        self._request_tasks: list[asyncio.Task[None]] = []
        self._expected_watches = 0  # number of watches that the proxy has to have opened by the end

    async def run(self) -> Result:
        """Run the scenario once.

        Raises:
            ProxyEndedError: The proxy has exited, does not listen or does not reopen its watch.
            OSError: A stand-in cannot listen, or the proxy accepts no connection or exited during the run.
        """
        await self._fleet.start()
        self._write_config(await self._fleet.discovery.listen())
        try:
            async with proxy_process(self._folder) as proxy:
                clients = Clients(proxy.port, self._scenario.deadline_s)
                await clients.start()
                await self._perform_steps(proxy, clients)
                await asyncio.gather(*self._request_tasks)
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
            await self._perform_step(step, proxy, clients)

    async def _perform_step(self, step: Step, proxy: ProxyProcess, clients: Clients) -> None:
        match step:
            case Step.CALL:
                self._max_descriptors = max(self._max_descriptors, proxy.descriptors)
                await self._send_request(clients)
            case Step.REPLACE:
                await self._fleet.replace()
            case Step.REMOVE:
                self._fleet.remove()
            case Step.MOVE:
                self._expected_watches = self._fleet.discovery.watches + 1
                self._write_config(await self._fleet.discovery.listen())
                proxy.signal(signal.SIGHUP)
                await self._wait_for_watch()
            case Step.SILENCE:
                self._expected_watches = self._fleet.discovery.watches + 1
                self._fleet.discovery.silence_watches()
            case Step.WAIT_FOR_WATCH:
                await self._wait_for_watch()

    async def _send_request(self, clients: Clients) -> None:
        if self._scenario.seconds is None:
            await clients.send_request()
        else:
            self._request_tasks.append(asyncio.create_task(clients.send_request()))

    async def _wait_for_watch(self) -> None:
        """Wait until the proxy has opened all watches that are due.

        Raises:
            ProxyEndedError: A watch has not been opened within 15 s.
        """
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + WATCH_TIMEOUT_S
        while self._fleet.discovery.watches < self._expected_watches:
            if loop.time() > give_up_at_s:
                raise WatchNotOpenedError
            await asyncio.sleep(POLL_INTERVAL_S)

    def _result(self, proxy: ProxyProcess, clients: Clients, *, settled: bool) -> Result:
        discovery = self._fleet.discovery
        figures = Figures(
            cpu_s=proxy.cpu_s,
            peak_memory=proxy.peak_memory,
            descriptors=self._max_descriptors,
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
    """Run a scenario once, in a temporary folder.

    Raises:
        ProxyEndedError: The proxy has exited, does not listen or does not reopen its watch.
        OSError: A stand-in cannot listen, or the proxy accepts no connection or exited during the run.
    """
    raise_descriptor_limit()
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(ScenarioRun(scenario, Path(folder)).run())


def run_scenario_mean(scenario: Scenario, proxies: int) -> Result:
    """Run a scenario with several proxies, one after another, and return the mean figures.

    Raises:
        ProxyEndedError: As for `run_scenario`; the results of completed runs are discarded.
        OSError: As for `run_scenario`.
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
    """Raise the soft limit of file descriptors to WANTED_DESCRIPTORS, as far as the hard limit allows."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = WANTED_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(WANTED_DESCRIPTORS, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def parse_fleet_size(text: str) -> tuple[int, int]:
    """Parse a fleet size in the form `endpoints/instances`.

    Raises:
        ValueError: A part is not an integer or is below 1.
    """
    endpoints, _, instances = text.partition("/")
    if int(endpoints) < 1 or int(instances) < 1:
        raise ValueError(text)
    return int(endpoints), int(instances)


def read_arguments() -> argparse.Namespace:
    """Parse the command line; print the usage and exit with code 2 if it is invalid."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument(
        "--play", choices=SCENARIOS, default="steady", help="scenario: what happens besides replacements"
    )
    parser.add_argument(
        "--rows",
        nargs="+",
        type=parse_fleet_size,
        default=FLEET_SIZES,
        help="fleet sizes, endpoints/instances",
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="duration of a scenario")
    parser.add_argument("--calls", type=float, default=30.0, help="requests per second")
    parser.add_argument(
        "--proxies", type=int, default=1, help="number of proxies, run one after another, for the mean"
    )
    parser.add_argument("--json", type=Path, help="file that the results are written to")
    return parser.parse_args()


def main() -> int:
    """Run the scenario for each fleet size, print the results and return the exit code."""
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
            print(f"{result.scenario.name}: measured while the proxy was still processing its input")
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
