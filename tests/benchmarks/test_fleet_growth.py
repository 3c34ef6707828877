"""The resources of one proxy grow with its fleet no more than the operators' limits allow.

The tests run the scenarios of `benchmarks.fleet_growth` at a smaller size and without a clock: each step
starts when the previous one is complete, so a busy machine makes them slower but changes no result. CPU time
is left to the benchmark itself; here the work per list change and per decision is counted in interpreter
steps and bytes.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tracemalloc
from dataclasses import replace
from functools import cache
from itertools import pairwise
from types import FrameType
from typing import Any

import pytest

from benchmarks.fleet_growth import run_scenario
from benchmarks.growth_limits import Figures, limit_violations, limits
from benchmarks.report import Result, violations_by_fleet
from benchmarks.scenarios import Scenario, Step, settings
from benchmarks.stand_ins import endpoint_entry
from load_balancer import Balancer, messages
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.settings import read_settings

MEASURED_BY_TIME = frozenset({"cpu_s"})
USUAL_FLEET = (100, 17)  # endpoints and balancers
LARGE_FLEETS = [(1_600, 272), (1_600, 17)]
SCENARIO = Scenario(*USUAL_FLEET, calls=240, seconds=None, deadline_s=20.0, service_s=0.001)
LIST_SCENARIO = replace(SCENARIO, calls=40, moves_at=(0.2,), silence_at=0.5)

BASE = Figures(1.0, 20e6, 25, 35, 100e3, 1.0)


def test_limits_are_those_of_the_operators() -> None:
    assert limits(BASE, 3_200) == Figures(
        cpu_s=1.4 + 0.02 + 0.12 * 3.2,
        peak_memory=30e6 + 8e6 + 12.8e6,
        descriptors=90,
        connections=127.5,
        list_bytes=200e3 + 64e3 + 1_600e3,
        share_served=0.85,
    )


def test_limits_at_the_usual_size_allow_more_than_the_base_itself() -> None:
    assert not limit_violations(BASE, limits(BASE, 200))


def figures_by_name(figures: Figures) -> dict[str, float]:
    """Return the figures as a dictionary by name."""
    return {name: getattr(figures, name) for name in Figures.__slots__}


@pytest.mark.parametrize("name", ["cpu_s", "peak_memory", "descriptors", "connections", "list_bytes"])
def test_figure_just_above_its_limit_is_reported(name: str) -> None:
    limit = limits(BASE, 3_200)
    at_limit = figures_by_name(limit)
    assert not limit_violations(Figures(**at_limit), limit)
    above_limit = Figures(**{**at_limit, name: at_limit[name] * 1.001})
    [violation] = limit_violations(above_limit, limit)
    assert violation.name == name
    assert name in str(violation)
    assert not limit_violations(above_limit, limit, ignored=frozenset({name}))


def test_served_share_just_below_its_limit_is_reported() -> None:
    limit = limits(BASE, 3_200)
    [violation] = limit_violations(Figures(**{**figures_by_name(limit), "share_served": 0.849}), limit)
    assert violation.name == "share_served"


@pytest.mark.parametrize("seconds", [None, 10.0])
def test_half_of_the_endpoints_are_replaced_evenly_over_the_scenario(seconds: float | None) -> None:
    steps = Scenario(100, 17, calls=300, seconds=seconds, moves_at=(0.3,), silence_at=0.5).steps()
    times = {kind: [time for time, step in steps if step is kind] for kind in Step}
    all_times = [time for time, _ in steps]
    replaced, removed = times[Step.REPLACE], times[Step.REMOVE]
    assert all_times == sorted(all_times)
    assert (len(replaced), len(removed), len(times[Step.CALL])) == (50, 50, 300)
    for first, second in pairwise(replaced):
        assert second - first == pytest.approx(0.9 / 50)
    assert all(removed_at > drained_at for drained_at, removed_at in zip(replaced, removed, strict=True))
    assert (times[Step.MOVE], times[Step.SILENCE]) == ([0.3], [0.5])


@cache
def result_of(scenario: Scenario, fleet: tuple[int, int]) -> Result:
    """Return the result of a scenario with this fleet; the scenario runs once and its result is cached."""
    return run_scenario(replace(scenario, endpoints=fleet[0], instances=fleet[1]))


@pytest.mark.parametrize("fleet", LARGE_FLEETS)
def test_large_fleet_is_within_its_limits(fleet: tuple[int, int]) -> None:
    """Half of the endpoints are replaced one by one under load."""
    base, large = result_of(SCENARIO, USUAL_FLEET), result_of(SCENARIO, fleet)
    assert not violations_by_fleet([base, large], ignored=MEASURED_BY_TIME)
    assert base.figures.share_served == 1.0  # otherwise the limit of the large fleet would mean nothing
    assert (base.complete_lists, large.complete_lists) == (0, 0)  # both have the list from the start


def test_move_of_discovery_costs_one_complete_list_and_a_silent_watch_none() -> None:
    base, large = result_of(LIST_SCENARIO, USUAL_FLEET), result_of(LIST_SCENARIO, LARGE_FLEETS[0])
    assert not violations_by_fleet([base, large], ignored=MEASURED_BY_TIME)
    for result in (base, large):
        assert result.watches >= 3  # the first one, one after the move, one after the silence
        assert result.complete_lists == 1


# Counted work

FLEETS = {"usual": (200, 34), "more endpoints and balancers": (3_200, 544), "more endpoints": (3_200, 34)}
LARGE_FLEET_NAMES = ["more endpoints and balancers", "more endpoints"]
REPLACED_COUNT = 16  # endpoints, each in three changes
DECISION_COUNT = 40


class StepCounter:
    """Context manager that counts the interpreter steps (opcodes) of all calls in its block."""

    def __init__(self) -> None:
        self.count = 0

    def _trace(self, frame: FrameType, event: str, _: Any) -> Any:
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        self.count += event == "opcode"
        return self._trace

    def __enter__(self) -> StepCounter:
        self._previous_trace = sys.gettrace()
        sys.settrace(self._trace)
        return self

    def __exit__(self, *exception: object) -> None:
        sys.settrace(self._previous_trace)


class PeakMemoryCounter:
    """Context manager that measures the peak of bytes allocated in its block, which copies of lists raise."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> PeakMemoryCounter:
        tracemalloc.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self.count = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()


def fleet_entry(number: int, state: str = "in_service") -> dict[str, object]:
    """Return the endpoint list entry of one endpoint."""
    return {**endpoint_entry(f"s-{number:08x}", f"127.0.0.1:{1 + number}", number // 8, 0), "state": state}


def list_message(*entries: dict[str, object], rev: int, is_complete: bool = False) -> EndpointListMessage:
    """Return an endpoint list message as parsed by the proxy."""
    return read_list({"rev": rev, "all": is_complete, "targets": list(entries)})


def replacements(endpoint_count: int) -> list[EndpointListMessage]:
    """Return changes spread over the list: an endpoint drains, a new one is added, the old one is removed."""
    changes = []
    for number in range(REPLACED_COUNT):
        old, new = number * endpoint_count // REPLACED_COUNT, endpoint_count + number
        changes.append(list_message(fleet_entry(old, "terminating"), rev=3 * number + 2))
        changes.append(list_message(fleet_entry(new), rev=3 * number + 3))
        changes.append(list_message(fleet_entry(old, "terminated"), rev=3 * number + 4))
    return changes


def settings_and_list(fleet: str) -> tuple[messages.Settings, EndpointListMessage]:
    """Return the settings of one balancer in this fleet, and the complete list."""
    endpoint_count, balancer_count = FLEETS[fleet]
    entries = [fleet_entry(number) for number in range(endpoint_count)]
    complete_list = list_message(*entries, rev=1, is_complete=True)
    return read_settings(settings(Scenario(endpoint_count, balancer_count))), complete_list


async def count_work_of_changes(
    fleet: str, counter_type: type[StepCounter] | type[PeakMemoryCounter]
) -> list[int]:
    """Return the work of each change, from the receipt of its entry to the shares of the policy."""
    balancer_settings, complete_list = settings_and_list(fleet)
    driver = EventLoopDriver(balancer_settings, 1, ConnectionPool(0.25, 30.0, 100), ("127.0.0.1", 1))
    driver.endpoint_list.watch.start = lambda: None  # type: ignore[method-assign]
    driver.start(complete_list)
    counts = []
    for change in replacements(FLEETS[fleet][0]):
        with counter_type() as counter:
            driver.endpoint_list.receive(change)
            await asyncio.sleep(0)  # includes work deferred to the next iteration of the event loop
        counts.append(counter.count)
    driver.close()
    return counts


@cache
def work_of_changes(fleet: str) -> tuple[float, float]:
    """Return the mean steps and the median of the peak bytes of a change."""

    async def count_both() -> tuple[list[int], list[int]]:
        steps = await count_work_of_changes(fleet, StepCounter)
        return steps, await count_work_of_changes(fleet, PeakMemoryCounter)

    steps, peak_bytes = asyncio.run(count_both())
    return statistics.mean(steps), statistics.median(peak_bytes)


@pytest.mark.parametrize("fleet", LARGE_FLEET_NAMES)
def test_work_per_change_does_not_grow_with_the_fleet(fleet: str) -> None:
    """A fleet of sixteen times the size has sixteen times the changes, so each may cost hardly more."""
    usual_steps, usual_bytes = work_of_changes("usual")
    steps, peak_bytes = work_of_changes(fleet)
    assert steps <= 2 * usual_steps, "the work per change grows with the list"
    assert peak_bytes <= 2 * usual_bytes, "the memory per change grows with the list"


def count_steps_of_decision(balancer: Balancer, number: int) -> int:
    """Return the steps that a balancer runs for one request and its successful attempt."""
    now_us = number * 33_000
    with StepCounter() as counter:
        actions = balancer.handle(now_us, messages.Request(str(number), "read", 2_000_000))
        [attempt] = [action for action in actions if isinstance(action, messages.StartAttempt)]
        ended = messages.AttemptEnded(
            str(number), 0, attempt.endpoint_id, messages.Outcome.OK, 10_000, is_request_finished=True
        )
        balancer.handle(now_us + 10_000, ended)
    return counter.count


@cache
def work_of_decisions(fleet: str) -> tuple[float, int]:
    """Return the mean steps of the policy for a request and its response, and the size of the subset."""
    balancer_settings, complete_list = settings_and_list(fleet)
    balancer = Balancer(balancer_settings, 1)
    update = messages.EndpointListUpdate(
        messages.EndpointListKind.COMPLETE, complete_list.version, complete_list.endpoints
    )
    balancer.handle(0, update)
    steps = [count_steps_of_decision(balancer, number) for number in range(DECISION_COUNT)]
    return statistics.mean(steps), len(balancer.endpoints.subset)


@pytest.mark.parametrize("fleet", LARGE_FLEET_NAMES)
def test_work_per_decision_grows_no_more_than_the_descriptor_limit_allows(fleet: str) -> None:
    """The cost of a decision is bounded by the size of the subset, not by the limit on total CPU time.

    Each endpoint of the subset eventually gets a connection, so by the limit on descriptors the subset may
    have twice the usual size plus 40.
    """
    usual_steps, usual_subset_size = work_of_decisions("usual")
    steps, _ = work_of_decisions(fleet)
    assert steps <= (2 * usual_subset_size + 40) / usual_subset_size * usual_steps
