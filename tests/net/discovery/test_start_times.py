"""A step of the wall clock does not change the age of an endpoint."""

from __future__ import annotations

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid
from load_balancer.net.discovery.endpoint_watch import CallFailure
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
    manual_driver = ManualDriver()
    now_us = manual_driver.clocks.wall_us()
    manual_driver.apply_list(("old", now_us - 2 * SECOND_US), ("odd", now_us - HOUR_US), is_complete=True)
    assert manual_driver.age_us("old") == 2 * SECOND_US
    assert manual_driver.age_us("odd") == HOUR_US
    manual_driver.clocks.advance(2 * SECOND_US)
    manual_driver.apply_list(("new", manual_driver.clocks.wall_us() - 1 * SECOND_US))
    assert manual_driver.age_us("new") == 1 * SECOND_US
    assert manual_driver.age_us("old") == 4 * SECOND_US


@EACH_CLOCK_STEP
async def test_start_after_a_step_of_all_clocks_has_its_true_age(step: int) -> None:
    """In changes on the open watch, and in a complete list after a silence longer than a slow start."""

    for silence_us, is_complete in ((0, False), (60 * SECOND_US, True)):
        manual_driver = ManualDriver()
        manual_driver.apply_list(("a", 0), ("b", manual_driver.clocks.wall_us() - HOUR_US), is_complete=True)
        manual_driver.clocks.advance(1 * SECOND_US + silence_us)
        manual_driver.clocks.step_wall_clock(step)
        manual_driver.clocks.advance(1 * SECOND_US)
        start_us = manual_driver.clocks.wall_us()
        manual_driver.clocks.advance(500 * MILLISECOND_US)
        manual_driver.apply_list(
            ("a", start_us), ("b", START_UNIX_US + 1000 * SECOND_US - HOUR_US), is_complete=is_complete
        )
        assert manual_driver.age_us("a") == 500 * MILLISECOND_US
        manual_driver.clocks.advance(4 * SECOND_US)
        assert manual_driver.capacity("a") == 1.0


@EACH_CLOCK_STEP
async def test_start_reported_before_a_clock_step_and_received_after_it_has_its_true_age(step: int) -> None:
    """After a silence, the age follows only from the recorded step of the local wall clock."""

    manual_driver = ManualDriver()
    manual_driver.apply_list(("a", 0), is_complete=True)
    manual_driver.clocks.advance(60 * SECOND_US)
    start_us = manual_driver.clocks.wall_us()
    manual_driver.clocks.advance(1 * SECOND_US)
    manual_driver.clocks.step_wall_clock(step)
    manual_driver.clocks.advance(1 * SECOND_US)
    manual_driver.apply_list(("a", start_us), is_complete=True)
    assert manual_driver.age_us("a") == 2 * SECOND_US


@EACH_CLOCK_STEP
@pytest.mark.parametrize("kind", ["changes", "complete"])
async def test_start_reported_by_a_wrong_clock_counts_from_its_receipt(step: int, kind: str) -> None:
    """The clock of the endpoint or of discovery is wrong, or the local one was wrong at the start."""

    manual_driver = ManualDriver()
    manual_driver.apply_list(("a", 0), ("b", 0), is_complete=True)
    manual_driver.clocks.advance(2 * SECOND_US)
    manual_driver.receive_heartbeat()
    manual_driver.clocks.advance(1 * SECOND_US)
    manual_driver.apply_list(
        ("b", 0), ("a", manual_driver.clocks.wall_us() + step), is_complete=kind == "complete"
    )
    assert manual_driver.age_us("a") == 0
    manual_driver.clocks.advance(4 * SECOND_US)
    assert manual_driver.capacity("a") == 1.0  # warm after a slow start


@EACH_CLOCK_STEP
async def test_new_start_in_a_complete_list_after_a_broken_watch_counts_from_its_receipt(step: int) -> None:
    manual_driver = ManualDriver()
    manual_driver.apply_list(("a", 0), is_complete=True)
    manual_driver.clocks.advance(2 * SECOND_US)
    manual_driver.receive_heartbeat()
    manual_driver.driver.endpoint_list.handle_call_failure(CallFailure.ENDED)
    manual_driver.clocks.advance(3 * SECOND_US)
    manual_driver.apply_list(("a", manual_driver.clocks.wall_us() + step), is_complete=True)
    assert manual_driver.age_us("a") == 0


@EACH_CLOCK_STEP
@pytest.mark.parametrize("first_kind", ["changes", "complete"])
async def test_start_in_the_first_list_after_a_cached_one_has_its_true_age(
    step: int, first_kind: str
) -> None:
    """A cached list may be of any age, so it shows no reported start to be too early.

    An endpoint in it keeps its start.
    """

    clocks = ManualClocks()
    cached_start_us = clocks.wall_us() - 1 * SECOND_US
    manual_driver = ManualDriver(
        list_with_start_times(("a", clocks.wall_us() - HOUR_US), ("b", cached_start_us)), clocks
    )
    assert manual_driver.age_us("b") == 1 * SECOND_US
    clocks.advance(500 * MILLISECOND_US)
    clocks.step_wall_clock(step)
    start_us = clocks.wall_us()
    clocks.advance(500 * MILLISECOND_US)
    manual_driver.apply_list(("a", start_us), ("b", cached_start_us), is_complete=first_kind == "complete")
    assert manual_driver.age_us("a") == 500 * MILLISECOND_US
    assert manual_driver.age_us("b") == 2 * SECOND_US
    manual_driver.apply_list(("c", clocks.wall_us() - HOUR_US))
    assert manual_driver.age_us("c") == 0  # too early: the received list did not have it


async def test_endpoint_that_restarted_long_ago_but_after_the_cached_list_is_warm() -> None:
    """The first response may list an endpoint that had been warm for long before this process started."""

    clocks = ManualClocks()
    manual_driver = ManualDriver(list_with_start_times(("a", clocks.wall_us() - HOUR_US)), clocks)
    clocks.advance(1 * SECOND_US)
    manual_driver.apply_list(("a", clocks.wall_us() - HOUR_US // 2), is_complete=True)
    assert manual_driver.capacity("a") == 1.0


@EACH_CLOCK_STEP
async def test_reported_start_identifies_an_incarnation_whatever_the_clocks_do(step: int) -> None:
    manual_driver = ManualDriver()
    first_start_us, endpoint_id = manual_driver.clocks.wall_us() - 1 * SECOND_US, endpoint_id_from_uid("a")
    balancer = manual_driver.driver.balancer
    manual_driver.apply_list(("a", first_start_us), is_complete=True)
    state = balancer.endpoints.states[endpoint_id]
    state.warming.bucket.tokens, state.share = 0.75, 0.5
    detector = state.detector
    manual_driver.clocks.advance(1 * SECOND_US)
    manual_driver.clocks.step_wall_clock(step)
    for is_complete in (False, True):
        manual_driver.apply_list(("a", first_start_us), is_complete=is_complete)
        state_after = balancer.endpoints.states[endpoint_id]
        assert state_after is state
        assert state_after.detector is detector
        assert (state_after.warming.bucket.tokens, state_after.share) == (0.75, 0.5)
        assert state_after.endpoint.incarnation_us == first_start_us // 1000 * 1000
        assert manual_driver.age_us("a") == 2 * SECOND_US
    # The second start is reported by a clock that has stepped in the meantime.
    for later_start_us in (first_start_us + 1 * SECOND_US, first_start_us + 1 * SECOND_US + step):
        before = balancer.endpoints.states[endpoint_id]
        manual_driver.apply_list(("a", later_start_us))
        after = balancer.endpoints.states[endpoint_id]
        assert after is not before
        assert (after.share, after.endpoint.incarnation_us) == (1.0, later_start_us // 1000 * 1000)


async def test_warm_endpoint_that_was_removed_returns_warm() -> None:
    manual_driver = ManualDriver()
    start_us = manual_driver.clocks.wall_us() - HOUR_US
    manual_driver.apply_list(("a", start_us), ("b", 0), is_complete=True)
    manual_driver.clocks.advance(2 * SECOND_US)
    manual_driver.terminate("a")
    manual_driver.clocks.advance(3 * SECOND_US)
    manual_driver.apply_list(("a", start_us))
    assert manual_driver.capacity("a") == 1.0
    manual_driver.terminate("a")
    manual_driver.apply_list(("a", manual_driver.clocks.wall_us()))  # another incarnation starts cold
    assert manual_driver.capacity("a") == pytest.approx(0.2)


async def test_endpoint_without_a_start_time_is_warm() -> None:
    manual_driver = ManualDriver()
    manual_driver.apply_list(("a", 0), is_complete=True)
    manual_driver.clocks.advance(2 * SECOND_US)
    manual_driver.apply_list(("b", 0))
    assert manual_driver.capacity("a") == manual_driver.capacity("b") == 1.0


def test_start_is_not_treated_as_unknown_when_the_wall_clock_is_near_zero() -> None:
    """The wall clock of a machine without a clock battery starts at 1970."""
    clocks = ManualClocks(wall_offset_us=-999 * SECOND_US)
    [endpoint] = StartTimes(clocks.clock()).assign([messages.Endpoint(1, incarnation_us=1)])
    assert endpoint.started_us == 1
    clocks.step_wall_clock(-10 * SECOND_US)
    starts = StartTimes(clocks.clock())
    [endpoint] = starts.assign([messages.Endpoint(1, incarnation_us=1)])
    assert endpoint.started_us is not None
    assert endpoint.started_us > 0


def test_number_of_remembered_starts_is_bounded() -> None:
    starts = StartTimes(ManualClocks().clock())
    for endpoint_id in range(MAX_START_TIMES + 10):
        starts.assign([messages.Endpoint(endpoint_id, incarnation_us=START_UNIX_US)])
    assert starts.remembered_count == MAX_START_TIMES
