"""A step of the wall clock does not change the age of an endpoint."""

from __future__ import annotations

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid
from load_balancer.net.discovery.start_times import MAX_START_TIMES, StartTimes
from tests.support.manual_clocks import (
    EACH_CLOCK_STEP,
    START_UNIX_US,
    ManualClocks,
    ManualDriver,
    list_with_start_times,
)
from tests.support.units import HOUR_US, MILLISECOND_US, SECOND_US


async def test_endpoint_age_follows_its_start_when_clocks_agree() -> None:
    fed = ManualDriver()
    now = fed.clocks.wall_us()
    fed.apply_list(("old", now - 2 * SECOND_US), ("odd", now - HOUR_US), is_complete=True)
    assert fed.age_us("old") == 2 * SECOND_US
    assert fed.age_us("odd") == HOUR_US
    fed.clocks.advance(2 * SECOND_US)
    fed.apply_list(("new", fed.clocks.wall_us() - 1 * SECOND_US))
    assert fed.age_us("new") == 1 * SECOND_US
    assert fed.age_us("old") == 4 * SECOND_US


@EACH_CLOCK_STEP
async def test_start_after_a_step_of_all_clocks_has_its_true_age(step: int) -> None:
    """On the standing watch, and on a whole list after a silence that was longer than a slow start."""

    for silence, full in ((0, False), (60 * SECOND_US, True)):
        fed = ManualDriver()
        fed.apply_list(("a", 0), ("b", fed.clocks.wall_us() - HOUR_US), is_complete=True)
        fed.clocks.advance(1 * SECOND_US + silence)
        fed.clocks.step_wall_clock(step)
        fed.clocks.advance(1 * SECOND_US)
        start = fed.clocks.wall_us()
        fed.clocks.advance(500 * MILLISECOND_US)
        fed.apply_list(("a", start), ("b", START_UNIX_US + 1000 * SECOND_US - HOUR_US), is_complete=full)
        assert fed.age_us("a") == 500 * MILLISECOND_US
        fed.clocks.advance(4 * SECOND_US)
        assert fed.capacity("a") == 1.0


@EACH_CLOCK_STEP
async def test_start_stated_before_a_clock_step_and_received_after_it_has_its_true_age(step: int) -> None:
    """After a silence: nothing but the clock's own step tells how old it is."""

    fed = ManualDriver()
    fed.apply_list(("a", 0), is_complete=True)
    fed.clocks.advance(60 * SECOND_US)
    start = fed.clocks.wall_us()
    fed.clocks.advance(1 * SECOND_US)
    fed.clocks.step_wall_clock(step)
    fed.clocks.advance(1 * SECOND_US)
    fed.apply_list(("a", start), is_complete=True)
    assert fed.age_us("a") == 2 * SECOND_US


@EACH_CLOCK_STEP
@pytest.mark.parametrize("kind", ["changes", "full"])
async def test_start_by_a_wrong_clock_counts_from_its_receipt(step: int, kind: str) -> None:
    """Only the clock of the endpoint or of discovery is wrong, or ours was as the process started."""

    fed = ManualDriver()
    fed.apply_list(("a", 0), ("b", 0), is_complete=True)
    fed.clocks.advance(2 * SECOND_US)
    fed.receive_heartbeat()
    fed.clocks.advance(1 * SECOND_US)
    fed.apply_list(("b", 0), ("a", fed.clocks.wall_us() + step), is_complete=kind == "full")
    assert fed.age_us("a") == 0
    fed.clocks.advance(4 * SECOND_US)
    assert fed.capacity("a") == 1.0  # and is warm after a slow start


@EACH_CLOCK_STEP
async def test_complete_list_after_a_broken_watch_bounds_new_starts(step: int) -> None:
    fed = ManualDriver()
    fed.apply_list(("a", 0), is_complete=True)
    fed.clocks.advance(2 * SECOND_US)
    fed.receive_heartbeat()
    fed.driver.endpoint_list.handle_watch_failure()
    fed.clocks.advance(3 * SECOND_US)
    fed.apply_list(("a", fed.clocks.wall_us() + step), is_complete=True)
    assert fed.age_us("a") == 0


@EACH_CLOCK_STEP
@pytest.mark.parametrize("first", ["changes", "full"])
async def test_first_list_after_a_cached_one_is_read_by_the_clock_of_its_time(step: int, first: str) -> None:
    """What is known may be of any age, so it bounds no start; one that it knew stays as it was."""

    times = ManualClocks()
    kept = times.wall_us() - 1 * SECOND_US
    fed = ManualDriver(list_with_start_times(("a", times.wall_us() - HOUR_US), ("b", kept)), times)
    assert fed.age_us("b") == 1 * SECOND_US
    times.advance(500 * MILLISECOND_US)
    times.step_wall_clock(step)
    start = times.wall_us()
    times.advance(500 * MILLISECOND_US)
    fed.apply_list(("a", start), ("b", kept), is_complete=first == "full")
    assert fed.age_us("a") == 500 * MILLISECOND_US
    assert fed.age_us("b") == 2 * SECOND_US
    fed.apply_list(("c", times.wall_us() - HOUR_US))
    assert fed.age_us("c") == 0  # from here on the list is known


async def test_unconfirmed_cached_list_makes_no_endpoint_younger() -> None:
    """The first watch answer may bring what had been warm for long before this process began."""

    times = ManualClocks()
    fed = ManualDriver(list_with_start_times(("a", times.wall_us() - HOUR_US)), times)
    times.advance(1 * SECOND_US)
    fed.apply_list(("a", times.wall_us() - HOUR_US // 2), is_complete=True)
    assert fed.capacity("a") == 1.0


@EACH_CLOCK_STEP
async def test_stated_start_identifies_an_incarnation_whatever_the_clocks_do(step: int) -> None:
    fed = ManualDriver()
    first, number = fed.clocks.wall_us() - 1 * SECOND_US, endpoint_id_from_uid("a")
    balancer = fed.driver.balancer
    fed.apply_list(("a", first), is_complete=True)
    server = balancer.endpoints.states[number]
    server.warming.bucket.tokens, server.share = 0.75, 0.5
    detector = server.detector
    fed.clocks.advance(1 * SECOND_US)
    fed.clocks.step_wall_clock(step)
    for full in (False, True):
        fed.apply_list(("a", first), is_complete=full)
        kept = balancer.endpoints.states[number]
        assert kept is server
        assert kept.detector is detector
        assert (kept.warming.bucket.tokens, kept.share) == (0.75, 0.5)
        assert kept.endpoint.incarnation_us == first // 1000 * 1000
        assert fed.age_us("a") == 2 * SECOND_US
    for later in (first + 1 * SECOND_US, first + 1 * SECOND_US + step):  # whichever way its own clock went
        before = balancer.endpoints.states[number]
        fed.apply_list(("a", later))
        after = balancer.endpoints.states[number]
        assert after is not before
        assert (after.share, after.endpoint.incarnation_us) == (1.0, later // 1000 * 1000)


async def test_warm_endpoint_that_was_removed_returns_warm() -> None:
    fed = ManualDriver()
    start = fed.clocks.wall_us() - HOUR_US
    fed.apply_list(("a", start), ("b", 0), is_complete=True)
    fed.clocks.advance(2 * SECOND_US)
    fed.terminate("a")
    fed.clocks.advance(3 * SECOND_US)
    fed.apply_list(("a", start))
    assert fed.capacity("a") == 1.0
    fed.terminate("a")
    fed.apply_list(("a", fed.clocks.wall_us()))  # but not another incarnation
    assert fed.capacity("a") == pytest.approx(0.2)


async def test_endpoint_without_a_start_time_is_warm() -> None:
    fed = ManualDriver()
    fed.apply_list(("a", 0), is_complete=True)
    fed.clocks.advance(2 * SECOND_US)
    fed.apply_list(("b", 0))
    assert fed.capacity("a") == fed.capacity("b") == 1.0


def test_start_is_not_taken_for_unknown_when_the_wall_clock_is_near_zero() -> None:
    """A machine without a battery begins at 1970."""
    times = ManualClocks(wall_offset_us=-999 * SECOND_US)
    [placed] = StartTimes(times.clock()).assign([messages.Endpoint(1, incarnation_us=1)])
    assert placed.started_us == 1
    times.step_wall_clock(-10 * SECOND_US)
    starts = StartTimes(times.clock())
    [placed] = starts.assign([messages.Endpoint(1, incarnation_us=1)])
    assert placed.started_us is not None
    assert placed.started_us > 0


def test_number_of_remembered_starts_is_bounded() -> None:
    starts = StartTimes(ManualClocks().clock())
    for number in range(MAX_START_TIMES + 10):
        starts.assign([messages.Endpoint(number, incarnation_us=START_UNIX_US)])
    assert starts.remembered_count == MAX_START_TIMES
