"""A step of the wall clock does not change the age of an endpoint."""

from __future__ import annotations

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_number
from load_balancer.net.discovery.start_times import MAX_START_TIMES, StartTimes
from tests.support.clock_helpers import HOUR, STEPS, UNIX, HandFedDriver, Times, lists
from tests.support.simulated_fleet import MS, S


async def test_endpoint_age_follows_its_start_when_clocks_agree() -> None:
    fed = HandFedDriver()
    now = fed.times.wall()
    fed.list(("old", now - 2 * S), ("odd", now - HOUR), full=True)
    assert fed.age("old") == 2 * S
    assert fed.age("odd") == HOUR
    fed.times.advance(2 * S)
    fed.list(("new", fed.times.wall() - 1 * S))
    assert fed.age("new") == 1 * S
    assert fed.age("old") == 4 * S


@STEPS
async def test_start_after_a_step_of_all_clocks_has_its_true_age(step: int) -> None:
    """On the standing watch, and on a whole list after a silence that was longer than a slow start."""

    for silence, full in ((0, False), (60 * S, True)):
        fed = HandFedDriver()
        fed.list(("a", 0), ("b", fed.times.wall() - HOUR), full=True)
        fed.times.advance(1 * S + silence)
        fed.times.step(step)
        fed.times.advance(1 * S)
        start = fed.times.wall()
        fed.times.advance(500 * MS)
        fed.list(("a", start), ("b", UNIX + 1000 * S - HOUR), full=full)
        assert fed.age("a") == 500 * MS
        fed.times.advance(4 * S)
        assert fed.capacity("a") == 1.0


@STEPS
async def test_start_stated_before_a_clock_step_and_received_after_it_has_its_true_age(step: int) -> None:
    """After a silence: nothing but the clock's own step tells how old it is."""

    fed = HandFedDriver()
    fed.list(("a", 0), full=True)
    fed.times.advance(60 * S)
    start = fed.times.wall()
    fed.times.advance(1 * S)
    fed.times.step(step)
    fed.times.advance(1 * S)
    fed.list(("a", start), full=True)
    assert fed.age("a") == 2 * S


@STEPS
@pytest.mark.parametrize("kind", ["changes", "full"])
async def test_start_by_a_wrong_clock_counts_from_its_receipt(step: int, kind: str) -> None:
    """Only the clock of the backend or of discovery is wrong, or ours was as the process started."""

    fed = HandFedDriver()
    fed.list(("a", 0), ("b", 0), full=True)
    fed.times.advance(2 * S)
    fed.beat()
    fed.times.advance(1 * S)
    fed.list(("b", 0), ("a", fed.times.wall() + step), full=kind == "full")
    assert fed.age("a") == 0
    fed.times.advance(4 * S)
    assert fed.capacity("a") == 1.0  # and is warm after a slow start


@STEPS
async def test_complete_list_after_a_broken_watch_bounds_new_starts(step: int) -> None:
    fed = HandFedDriver()
    fed.list(("a", 0), full=True)
    fed.times.advance(2 * S)
    fed.beat()
    fed.driver.endpoint_list.watch_broke()
    fed.times.advance(3 * S)
    fed.list(("a", fed.times.wall() + step), full=True)
    assert fed.age("a") == 0


@STEPS
@pytest.mark.parametrize("first", ["changes", "full"])
async def test_first_list_after_a_cached_one_is_read_by_the_clock_of_its_time(step: int, first: str) -> None:
    """What is known may be of any age, so it bounds no start; one that it knew stays as it was."""

    times = Times()
    kept = times.wall() - 1 * S
    fed = HandFedDriver(lists(("a", times.wall() - HOUR), ("b", kept)), times)
    assert fed.age("b") == 1 * S
    times.advance(500 * MS)
    times.step(step)
    start = times.wall()
    times.advance(500 * MS)
    fed.list(("a", start), ("b", kept), full=first == "full")
    assert fed.age("a") == 500 * MS
    assert fed.age("b") == 2 * S
    fed.list(("c", times.wall() - HOUR))
    assert fed.age("c") == 0  # from here on the list is known


async def test_unconfirmed_cached_list_makes_no_endpoint_younger() -> None:
    """The first watch answer may bring what had been warm for long before this process began."""

    times = Times()
    fed = HandFedDriver(lists(("a", times.wall() - HOUR)), times)
    times.advance(1 * S)
    fed.list(("a", times.wall() - HOUR // 2), full=True)
    assert fed.capacity("a") == 1.0


@STEPS
async def test_stated_start_identifies_an_incarnation_whatever_the_clocks_do(step: int) -> None:
    fed = HandFedDriver()
    first, number = fed.times.wall() - 1 * S, endpoint_number("a")
    balancer = fed.driver.balancer
    fed.list(("a", first), full=True)
    server = balancer.endpoints.states[number]
    server.warming.bucket.tokens, server.share = 0.75, 0.5
    detector = server.detector
    fed.times.advance(1 * S)
    fed.times.step(step)
    for full in (False, True):
        fed.list(("a", first), full=full)
        kept = balancer.endpoints.states[number]
        assert kept is server
        assert kept.detector is detector
        assert (kept.warming.bucket.tokens, kept.share) == (0.75, 0.5)
        assert kept.endpoint.incarnation_us == first // 1000 * 1000
        assert fed.age("a") == 2 * S
    for later in (first + 1 * S, first + 1 * S + step):  # whichever way its own clock went
        before = balancer.endpoints.states[number]
        fed.list(("a", later))
        after = balancer.endpoints.states[number]
        assert after is not before
        assert (after.share, after.endpoint.incarnation_us) == (1.0, later // 1000 * 1000)


async def test_warm_endpoint_that_was_removed_returns_warm() -> None:
    fed = HandFedDriver()
    start = fed.times.wall() - HOUR
    fed.list(("a", start), ("b", 0), full=True)
    fed.times.advance(2 * S)
    fed.gone("a")
    fed.times.advance(3 * S)
    fed.list(("a", start))
    assert fed.capacity("a") == 1.0
    fed.gone("a")
    fed.list(("a", fed.times.wall()))  # but not another incarnation
    assert fed.capacity("a") == pytest.approx(0.2)


async def test_endpoint_without_a_start_time_is_warm() -> None:
    fed = HandFedDriver()
    fed.list(("a", 0), full=True)
    fed.times.advance(2 * S)
    fed.list(("b", 0))
    assert fed.capacity("a") == fed.capacity("b") == 1.0


def test_start_is_not_taken_for_unknown_when_the_wall_clock_is_near_zero() -> None:
    """A machine without a battery begins at 1970."""
    times = Times(ahead=-999 * S)
    [placed] = StartTimes(times.clock()).assign([messages.Endpoint(1, incarnation_us=1)])
    assert placed.started_us == 1
    times.step(-10 * S)
    starts = StartTimes(times.clock())
    [placed] = starts.assign([messages.Endpoint(1, incarnation_us=1)])
    assert placed.started_us is not None
    assert placed.started_us > 0


def test_number_of_remembered_starts_is_bounded() -> None:
    starts = StartTimes(Times().clock())
    for n in range(MAX_START_TIMES + 10):
        starts.assign([messages.Endpoint(n, incarnation_us=UNIX)])
    assert len(starts._start_times_us) == MAX_START_TIMES
