"""What one proxy needs grows with its fleet no more than the operators allow: by counts, without times.

The plays of `benchmarks.fleet_growth` at a smaller size and by no clock: each step begins once the one before
is over, so a busy machine makes them longer and changes no figure. CPU time is for the benchmark itself; here
the work on one change and on one decision is counted in steps of the interpreter and in bytes.
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

from benchmarks.fleet_growth import play
from benchmarks.growth_limits import Figures, broken, limits
from benchmarks.report import Result, breaks
from benchmarks.scenarios import Scenario, Step, settings
from benchmarks.stand_ins import entry
from load_balancer import Balancer, messages
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.settings import read_settings

TIMES = frozenset({"cpu_s"})
USUAL = (100, 17)  # backends and balancers
LARGE = [(1_600, 272), (1_600, 17)]
PLAY = Scenario(*USUAL, calls=240, seconds=None, deadline_s=20.0, service_s=0.001)
LISTS = replace(PLAY, calls=40, moves_at=(0.2,), silence_at=0.5)

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
    assert not broken(BASE, limits(BASE, 200))


@pytest.mark.parametrize("name", ["cpu_s", "peak_memory", "descriptors", "connections", "list_bytes"])
def test_figure_just_above_its_limit_is_reported(name: str) -> None:
    limit = limits(BASE, 3_200)
    at = {n: getattr(limit, n) for n in Figures.__slots__}
    assert not broken(Figures(**at), limit)
    [found] = broken(Figures(**{**at, name: at[name] * 1.001}), limit)
    assert found.name == name
    assert name in str(found)
    assert not broken(Figures(**{**at, name: at[name] * 1.001}), limit, but=frozenset({name}))


def test_served_share_just_below_its_limit_is_reported() -> None:
    limit = limits(BASE, 3_200)
    at = {n: getattr(limit, n) for n in Figures.__slots__}
    [found] = broken(Figures(**{**at, "share_served": 0.849}), limit)
    assert found.name == "share_served"


@pytest.mark.parametrize("seconds", [None, 10.0])
def test_half_of_the_endpoints_are_replaced_evenly_over_the_play(seconds: float | None) -> None:
    steps = Scenario(100, 17, calls=300, seconds=seconds, moves_at=(0.3,), silence_at=0.5).steps()
    times = {kind: [at for at, step in steps if step is kind] for kind in Step}
    assert [at for at, _ in steps] == sorted(at for at, _ in steps)
    assert (len(times[Step.REPLACE]), len(times[Step.REMOVE]), len(times[Step.CALL])) == (50, 50, 300)
    for first, second in pairwise(times[Step.REPLACE]):
        assert second - first == pytest.approx(0.9 / 50)
    assert all(gone > drains for drains, gone in zip(times[Step.REPLACE], times[Step.REMOVE], strict=True))
    assert (times[Step.MOVE], times[Step.SILENCE]) == ([0.3], [0.5])


@cache
def played(scenario: Scenario, fleet: tuple[int, int]) -> Result:
    return play(replace(scenario, endpoints=fleet[0], instances=fleet[1]))


@pytest.mark.parametrize("fleet", LARGE)
def test_large_fleet_is_within_its_limits(fleet: tuple[int, int]) -> None:
    """Half of its backends are replaced one by one under calls."""
    base, large = played(PLAY, USUAL), played(PLAY, fleet)
    assert not breaks([base, large], but=TIMES)
    assert base.figures.share_served == 1.0  # else the large one's limit were nothing
    assert (base.complete_lists, large.complete_lists) == (0, 0)  # as both know the list at their start


def test_move_of_discovery_costs_one_complete_list_and_a_silent_watch_none() -> None:
    base, large = played(LISTS, USUAL), played(LISTS, LARGE[0])
    assert not breaks([base, large], but=TIMES)
    for result in (base, large):
        assert result.watches >= 3  # the first, after the move and after the silence
        assert result.complete_lists == 1


# Work, by count

SIZES = {"usual": (200, 34), "many of both": (3_200, 544), "many backends": (3_200, 34)}
REPLACED = 16  # backends, each in three changes
DECISIONS = 40


class Steps:
    """Counts the interpreter's steps in all that is called while it is open."""

    def __init__(self) -> None:
        self.count = 0

    def _trace(self, frame: FrameType, event: str, _: Any) -> Any:
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        self.count += event == "opcode"
        return self._trace

    def __enter__(self) -> Steps:
        self._before = sys.gettrace()
        sys.settrace(self._trace)
        return self

    def __exit__(self, *_: object) -> None:
        sys.settrace(self._before)


class Held:
    """Counts the bytes that were held at most besides what there was, while it is open: copies show here."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> Held:
        tracemalloc.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.count = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()


def backend_entry(number: int, state: str = "in_service") -> dict[str, object]:
    return {**entry(f"s-{number:08x}", f"127.0.0.1:{1 + number}", number // 8, 0), "state": state}


def listed(*entries: dict[str, object], rev: int, full: bool = False) -> EndpointListMessage:
    return read_list({"rev": rev, "all": full, "targets": list(entries)})


def changes(backends: int) -> list[EndpointListMessage]:
    """Replacements spread over the list, as discovery tells them: one drains, one comes, one is gone."""
    news = []
    for n in range(REPLACED):
        old, new = n * backends // REPLACED, backends + n
        news.append(listed(backend_entry(old, "terminating"), rev=3 * n + 2))
        news.append(listed(backend_entry(new), rev=3 * n + 3))
        news.append(listed(backend_entry(old, "terminated"), rev=3 * n + 4))
    return news


def told(size: str) -> tuple[messages.Settings, EndpointListMessage]:
    """The settings and the whole list of a fleet."""
    backends, balancers = SIZES[size]
    listing = listed(*(backend_entry(n) for n in range(backends)), rev=1, full=True)
    return read_settings(settings(Scenario(backends, balancers))), listing


@cache
def work_of_changes(size: str) -> tuple[float, float]:
    """The mean steps and the median bytes of a change, from discovery's entry to the module's shares."""

    async def test() -> tuple[float, float]:
        setup, listing = told(size)
        results: list[list[int]] = []
        for meter in (Steps, Held):
            driver = EventLoopDriver(setup, 1, ConnectionPool(0.25, 30.0, 100), ("127.0.0.1", 1))
            driver.endpoint_list.watch.start = lambda: None  # type: ignore[method-assign]
            driver.start(listing)
            results.append([])
            for news in changes(SIZES[size][0]):
                with meter() as counted:
                    driver.endpoint_list.receive(news)
                    await asyncio.sleep(0)  # what it puts off to the loop's next turn counts as well
                results[-1].append(counted.count)
            driver.close()
        steps, held = results
        return statistics.mean(steps), statistics.median(held)

    return asyncio.run(test())


@pytest.mark.parametrize("size", ["many of both", "many backends"])
def test_change_costs_by_its_own_size(size: str) -> None:
    """Sixteen times the backends bring sixteen times the changes, so hardly more is left for each."""
    usual_steps, usual_bytes = work_of_changes("usual")
    steps, held = work_of_changes(size)
    assert steps <= 2 * usual_steps, "it walks the list"
    assert held <= 2 * usual_bytes, "it copies the list"


@cache
def work_of_decisions(size: str) -> tuple[float, int]:
    """The mean steps of the module over a request and its answer, and the backends that it chooses from."""
    setup, listing = told(size)
    balancer = Balancer(setup, 1)
    balancer.handle(
        0, messages.EndpointListUpdate(messages.EndpointListKind.COMPLETE, listing.version, listing.endpoints)
    )
    steps = []
    for n in range(DECISIONS):
        now = n * 33_000
        with Steps() as counted:
            actions = balancer.handle(now, messages.Request(str(n), "read", 2_000_000))
            [send] = [action for action in actions if isinstance(action, messages.StartAttempt)]
            answered = messages.AttemptEnded(
                str(n), 0, send.endpoint_id, messages.Outcome.OK, 10_000, last=True
            )
            balancer.handle(now + 10_000, answered)
        steps.append(counted.count)
    return statistics.mean(steps), len(balancer.endpoints.subset)


@pytest.mark.parametrize("size", ["many of both", "many backends"])
def test_decision_costs_by_a_subset_that_the_limit_on_descriptors_allows(size: str) -> None:
    """The limit on CPU time binds the sum over the day; a decision alone is bound by what it chooses from.

    Each backend of the subset comes to hold a connection, so of these there may be twice as many and 40.
    """
    usual_steps, usual_subset = work_of_decisions("usual")
    steps, _ = work_of_decisions(size)
    assert steps <= (2 * usual_subset + 40) / usual_subset * usual_steps
