"""The subscription to the endpoint list, its updates, and endpoints that drain or are warming up."""

from __future__ import annotations

import pytest

from load_balancer import messages
from load_balancer.policy.subscription import (
    BACKOFF_JITTER,
    FIRST_BACKOFF_US,
    MAX_BACKOFF_SHARE,
    MAX_BACKOFF_US,
)
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US

SUBSCRIBING_SETTINGS = balancer_settings(must_subscribe=True)


def test_subscribes_at_start_only_where_required() -> None:
    assert actions_of_type(
        BalancerHarness(SUBSCRIBING_SETTINGS, endpoint_count=0).actions, messages.Subscribe
    )
    assert not actions_of_type(BalancerHarness(endpoint_count=0).actions, messages.Subscribe)


def test_subscription_backoff_grows_within_bounds() -> None:
    harness, waits_us = BalancerHarness(SUBSCRIBING_SETTINGS), []
    for _ in range(8):
        harness.update_endpoint_list(kind=messages.EndpointListKind.FAILED)
        failed_at_us = harness.now_us
        while not actions_of_type(harness.advance(10 * MILLISECOND_US), messages.Subscribe):
            assert harness.now_us - failed_at_us < SUBSCRIBING_SETTINGS.rules.max_poll_interval_us / 2
        waits_us.append(harness.now_us - failed_at_us)
    assert waits_us[0] < waits_us[1]  # the jitter is smaller than the growth
    assert waits_us[0] <= SECOND_US
    assert (
        max(waits_us[3:]) - min(waits_us[3:])
        <= BACKOFF_JITTER * SUBSCRIBING_SETTINGS.rules.max_poll_interval_us * MAX_BACKOFF_SHARE
    )
    assert min(waits_us[3:]) >= waits_us[1] * (1 - BACKOFF_JITTER)


def resubscription_wait_us(harness: BalancerHarness, duration_us: int) -> int:
    """Return the microseconds from the failure of a subscription after `duration_us` to the next one."""
    harness.now_us += duration_us
    [timer] = actions_of_type(
        harness.handle(messages.EndpointListUpdate(messages.EndpointListKind.FAILED)), messages.SetTimer
    )
    failed_at_us = harness.now_us
    harness.advance(timer.at_us - failed_at_us)
    return harness.now_us - failed_at_us


def test_long_lived_subscription_resets_the_backoff_for_one_retry() -> None:
    """Without the reset changes would arrive late; a reset for several retries would overload discovery."""
    for seed in range(20):
        harness = BalancerHarness(SUBSCRIBING_SETTINGS, seed=seed)
        for _ in range(6):
            resubscription_wait_us(harness, 0)
        min_jitter_factor = 1.0 - BACKOFF_JITTER
        assert (
            min_jitter_factor * FIRST_BACKOFF_US
            <= resubscription_wait_us(harness, 2_500 * MILLISECOND_US)
            <= FIRST_BACKOFF_US
        )
        assert min_jitter_factor * MAX_BACKOFF_US <= resubscription_wait_us(harness, 0) <= MAX_BACKOFF_US


@pytest.mark.parametrize("duration_us", [0, 1 * SECOND_US, 2_500 * MILLISECOND_US])
def test_resubscriptions_of_many_balancers_are_spread_after_repeated_failures(duration_us: int) -> None:
    waits_us = []
    for seed in range(20):
        harness = BalancerHarness(SUBSCRIBING_SETTINGS, seed=seed)
        for _ in range(6):
            resubscription_wait_us(harness, 0)
        waits_us.append(resubscription_wait_us(harness, duration_us))
    assert len(set(waits_us)) > 10
    assert max(waits_us) - min(waits_us) > BACKOFF_JITTER * FIRST_BACKOFF_US / 2


def test_pushed_watch_is_reopened_at_once_then_every_100_ms() -> None:
    """Discovery counts a change as delivered even if no watch is open, and frequent polls have no cost."""
    harness, waits_us = BalancerHarness(), []
    for number in range(20):
        harness.update_endpoint_list(kind=messages.EndpointListKind.FAILED)
        failed_at_us = harness.now_us
        while not actions_of_type(harness.advance(10 * MILLISECOND_US), messages.Subscribe):
            assert harness.now_us - failed_at_us < SECOND_US
        waits_us.append(harness.now_us - failed_at_us)
        if number == 9:
            harness.advance(SECOND_US)
    assert waits_us[0] <= 10 * MILLISECOND_US
    assert waits_us[10] <= 10 * MILLISECOND_US
    assert all(80 * MILLISECOND_US <= wait <= 100 * MILLISECOND_US for wait in waits_us[1:10] + waits_us[11:])


def test_resubscriptions_of_many_balancers_are_spread_after_first_failure() -> None:
    waits_us = []
    for seed in range(20):
        harness = BalancerHarness(SUBSCRIBING_SETTINGS, seed=seed)
        [timer] = actions_of_type(
            harness.handle(messages.EndpointListUpdate(messages.EndpointListKind.FAILED)), messages.SetTimer
        )
        waits_us.append(timer.at_us - harness.now_us)
    assert len(set(waits_us)) > 10


def test_failed_subscription_keeps_the_endpoint_list() -> None:
    harness = BalancerHarness(SUBSCRIBING_SETTINGS)
    harness.update_endpoint_list(kind=messages.EndpointListKind.FAILED)
    assert actions_of_type(harness.send_request("r"), messages.StartAttempt)


def test_complete_list_removes_absent_endpoints_and_changes_do_not() -> None:
    harness = BalancerHarness()
    harness.update_endpoint_list(messages.Endpoint(7), kind=messages.EndpointListKind.CHANGES, version=2)
    assert set(harness.balancer.endpoints.states) == {0, 1, 2, 3, 7}
    harness.update_endpoint_list(messages.Endpoint(7), version=3)
    assert set(harness.balancer.endpoints.states) == {7}


def test_stale_changes_remove_endpoints_but_bring_none_back() -> None:
    harness = BalancerHarness()
    harness.update_endpoint_list(
        messages.Endpoint(0, messages.EndpointStatus.REMOVED),
        kind=messages.EndpointListKind.CHANGES,
        version=5,
    )
    harness.update_endpoint_list(
        messages.Endpoint(0),
        messages.Endpoint(1, messages.EndpointStatus.DRAINING),
        messages.Endpoint(9),
        kind=messages.EndpointListKind.CHANGES,
        version=4,
    )
    assert [
        state.endpoint.id for state in harness.balancer.endpoints.subset if state.endpoint.id in (0, 1, 9)
    ] == []
    assert harness.balancer.endpoints.version == 5


def test_endpoints_are_in_about_equally_many_subsets() -> None:
    """Subsets drawn independently would omit some endpoints and have others in many subsets."""
    for instances, endpoints in ((9, 43), (43, 100), (14, 33), (3, 40)):
        counts = dict.fromkeys(range(endpoints), 0)
        for index in range(instances):
            harness = BalancerHarness(
                balancer_settings(instances=instances, index=index), endpoints, seed=index
            )
            for state in harness.balancer.endpoints.subset:
                counts[state.endpoint.id] += 1
        assert max(counts.values()) - min(counts.values()) <= 2
        assert min(counts.values()) >= min(2, instances) - 1


def test_new_endpoint_changes_few_members_of_a_subset() -> None:
    for index in range(10):
        harness = BalancerHarness(balancer_settings(instances=10, index=index), endpoint_count=60)
        subset_before = {state.endpoint.id for state in harness.balancer.endpoints.subset}
        harness.update_endpoint_list(
            messages.Endpoint(777), kind=messages.EndpointListKind.CHANGES, version=2
        )
        assert len(subset_before - {state.endpoint.id for state in harness.balancer.endpoints.subset}) <= 2


def test_restarted_endpoint_starts_with_fresh_state() -> None:
    harness = BalancerHarness()
    state = harness.balancer.endpoints.states[0]
    state.share = 0.1
    harness.send_request("r")
    harness.update_endpoint_list(
        messages.Endpoint(0, incarnation_us=harness.now_us), kind=messages.EndpointListKind.CHANGES, version=2
    )
    new_state = harness.balancer.endpoints.states[0]
    assert (new_state.share, new_state.in_flight, new_state.hashed_id) == (1.0, [], state.hashed_id)


def test_outcome_from_removed_endpoint_ends_its_request() -> None:
    harness = BalancerHarness(endpoint_count=1)
    [attempt] = actions_of_type(harness.send_request("r"), messages.StartAttempt)
    harness.update_endpoint_list()
    harness.end_attempt(attempt, messages.Outcome.OK)
    assert not harness.balancer.open_requests.by_id
    assert not harness.balancer.dispatcher.in_flight


def test_request_is_rejected_when_all_endpoints_drain() -> None:
    harness = BalancerHarness()
    harness.update_endpoint_list(
        *(messages.Endpoint(number, messages.EndpointStatus.DRAINING) for number in range(4)), version=2
    )
    actions = harness.send_request("r") + harness.advance(5 * SECOND_US)
    assert actions_of_type(actions, messages.Reject)
    assert not actions_of_type(actions, messages.StartAttempt)


def send_times_by_endpoint(
    harness: BalancerHarness, seconds: float, requests_per_s: int = 100
) -> dict[int, list[int]]:
    """Return the send times of attempts by endpoint under steady load, with responses after 20 ms."""
    times_us: dict[int, list[int]] = {}
    for number in range(int(seconds * requests_per_s)):
        harness.now_us += SECOND_US // requests_per_s
        for attempt in actions_of_type(
            harness.send_request(f"s{harness.now_us}.{number}"), messages.StartAttempt
        ):
            times_us.setdefault(attempt.endpoint_id, []).append(harness.now_us)
            harness.end_attempt(attempt, messages.Outcome.OK, duration_us=20 * MILLISECOND_US)
    return times_us


def max_in_window(times: list[int], window_us: int) -> int:
    return max((sum(start <= time < start + window_us for time in times) for start in times), default=0)


def test_warming_endpoint_stays_within_its_budget_relative_to_warm_ones() -> None:
    for seed in range(5):
        harness = BalancerHarness(seed=seed)
        warm_times_us = send_times_by_endpoint(harness, 5)
        rules = harness.balancer.settings.rules
        harness.update_endpoint_list(
            messages.Endpoint(9, incarnation_us=harness.now_us),
            kind=messages.EndpointListKind.CHANGES,
            version=2,
        )
        harness.balancer.endpoints.states[9].share = 50.0  # by its share it would get every request
        warming_times_us = send_times_by_endpoint(harness, 2).get(9, [])
        max_warm = max(max_in_window(times, rules.overload_window_us) for times in warm_times_us.values())
        capacity = rules.start_capacity + (1 - rules.start_capacity) * 2 * SECOND_US / rules.slow_start_us
        assert (
            0
            < max_in_window(warming_times_us, rules.overload_window_us)
            <= rules.overload_multiple * capacity * max_warm
        )


def test_retries_count_against_the_slow_start_budget() -> None:
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(messages.Endpoint(0), messages.Endpoint(9, incarnation_us=harness.now_us))
    warming_count = 0
    for number in range(50):
        for attempt in actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt):
            warming_count += attempt.endpoint_id == 9
            for retry in actions_of_type(
                harness.end_attempt(attempt, messages.Outcome.REJECTED), messages.StartAttempt
            ):
                warming_count += retry.endpoint_id == 9
                harness.end_attempt(retry, messages.Outcome.REJECTED, attempt_number=1)
    assert warming_count <= 2


def test_endpoints_that_are_all_warming_still_serve() -> None:
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(4))
    )
    assert sum(len(times) for times in send_times_by_endpoint(harness, 3).values()) > 100


def test_complete_list_with_lower_version_resets_the_version() -> None:
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(messages.Endpoint(1), version=100)
    harness.update_endpoint_list(messages.Endpoint(1), version=3)
    harness.update_endpoint_list(messages.Endpoint(2), kind=messages.EndpointListKind.CHANGES, version=4)
    assert set(harness.balancer.endpoints.states) == {1, 2}
