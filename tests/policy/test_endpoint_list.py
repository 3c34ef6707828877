"""Following the list, draining, and cold backends."""

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

ASKING = balancer_settings(must_subscribe=True)


def test_subscribes_at_the_start_only_where_it_must() -> None:
    assert actions_of_type(BalancerHarness(ASKING, endpoint_count=0).actions, messages.Subscribe)
    assert not actions_of_type(BalancerHarness(endpoint_count=0).actions, messages.Subscribe)


def test_asks_again_after_each_failure_ever_later_and_within_bounds() -> None:
    harness, waits = BalancerHarness(ASKING), []
    for _ in range(8):
        harness.update_endpoint_list(kind=messages.EndpointListKind.FAILED)
        asked_at = harness.now_us
        while not actions_of_type(harness.advance(10 * MILLISECOND_US), messages.Subscribe):
            assert harness.now_us - asked_at < ASKING.rules.max_poll_interval_us / 2
        waits.append(harness.now_us - asked_at)
    assert waits[0] < waits[1]  # later each time, but for the part that chance takes off
    assert waits[0] <= SECOND_US
    assert (
        max(waits[3:]) - min(waits[3:])
        <= BACKOFF_JITTER * ASKING.rules.max_poll_interval_us * MAX_BACKOFF_SHARE
    )
    assert min(waits[3:]) >= waits[1] * (1 - BACKOFF_JITTER)


def asked_again(harness: BalancerHarness, stood_us: int) -> int:
    """The wait after the end of a call that has stood for this long."""
    harness.now_us += stood_us
    [timer] = actions_of_type(
        harness.handle(messages.EndpointListUpdate(messages.EndpointListKind.FAILED)), messages.SetTimer
    )
    at = harness.now_us
    harness.advance(timer.at_us - at)
    return harness.now_us - at


def test_a_call_that_stood_long_is_followed_up_after_a_first_wait_and_quick_ones_stay_apart() -> None:
    """So that neither a queue nor refusals keep news back, and a discovery just back is not stormed."""
    for seed in range(20):
        harness = BalancerHarness(ASKING, seed=seed)
        for _ in range(6):
            asked_again(harness, 0)
        least = 1.0 - BACKOFF_JITTER
        assert least * FIRST_BACKOFF_US <= asked_again(harness, 2_500 * MILLISECOND_US) <= FIRST_BACKOFF_US
        assert least * MAX_BACKOFF_US <= asked_again(harness, 0) <= MAX_BACKOFF_US


@pytest.mark.parametrize("stood_us", [0, 1 * SECOND_US, 2_500 * MILLISECOND_US])
def test_balancers_whose_calls_end_together_ask_again_apart_also_later(stood_us: int) -> None:
    waits = []
    for seed in range(20):
        harness = BalancerHarness(ASKING, seed=seed)
        for _ in range(6):
            asked_again(harness, 0)
        waits.append(asked_again(harness, stood_us))
    assert len(set(waits)) > 10
    assert max(waits) - min(waits) > BACKOFF_JITTER * FIRST_BACKOFF_US / 2


def test_where_lists_are_pushed_a_broken_watch_is_opened_at_once_and_then_ten_times_a_second() -> None:
    """What discovery's agent has counts as told whether or not a watch is open, and asking it is free."""
    harness, waits = BalancerHarness(), []
    for n in range(20):
        harness.update_endpoint_list(kind=messages.EndpointListKind.FAILED)
        asked_at = harness.now_us
        while not actions_of_type(harness.advance(10 * MILLISECOND_US), messages.Subscribe):
            assert harness.now_us - asked_at < SECOND_US
        waits.append(harness.now_us - asked_at)
        if n == 9:
            harness.advance(SECOND_US)
    assert waits[0] <= 10 * MILLISECOND_US
    assert waits[10] <= 10 * MILLISECOND_US
    assert all(80 * MILLISECOND_US <= wait <= 100 * MILLISECOND_US for wait in waits[1:10] + waits[11:])


def test_balancers_whose_watches_break_together_ask_again_apart() -> None:
    asked_at = []
    for seed in range(20):
        harness = BalancerHarness(ASKING, seed=seed)
        [timer] = actions_of_type(
            harness.handle(messages.EndpointListUpdate(messages.EndpointListKind.FAILED)), messages.SetTimer
        )
        asked_at.append(timer.at_us - harness.now_us)
    assert len(set(asked_at)) > 10


def test_a_failed_question_keeps_the_list() -> None:
    harness = BalancerHarness(ASKING)
    harness.update_endpoint_list(kind=messages.EndpointListKind.FAILED)
    assert actions_of_type(harness.request("r"), messages.StartAttempt)


def test_a_full_list_removes_the_absent_and_changes_do_not() -> None:
    harness = BalancerHarness()
    harness.update_endpoint_list(messages.Endpoint(7), kind=messages.EndpointListKind.CHANGES, version=2)
    assert set(harness.balancer.endpoints.states) == {0, 1, 2, 3, 7}
    harness.update_endpoint_list(messages.Endpoint(7), version=3)
    assert set(harness.balancer.endpoints.states) == {7}


def test_old_changes_take_away_but_bring_nothing_back() -> None:
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
    assert [s.endpoint.id for s in harness.balancer.endpoints.subset if s.endpoint.id in (0, 1, 9)] == []
    assert harness.balancer.endpoints.version == 5


def test_every_backend_is_in_about_equally_many_subsets() -> None:
    """Subsets drawn one by one left some backends to nobody and others to many."""
    for instances, backends in ((9, 43), (43, 100), (14, 33), (3, 40)):
        counts = dict.fromkeys(range(backends), 0)
        for index in range(instances):
            harness = BalancerHarness(
                balancer_settings(instances=instances, index=index), backends, seed=index
            )
            for server in harness.balancer.endpoints.subset:
                counts[server.endpoint.id] += 1
        assert max(counts.values()) - min(counts.values()) <= 2
        assert min(counts.values()) >= min(2, instances) - 1


def test_a_new_backend_changes_a_subset_by_little() -> None:
    for index in range(10):
        harness = BalancerHarness(balancer_settings(instances=10, index=index), endpoint_count=60)
        before = {s.endpoint.id for s in harness.balancer.endpoints.subset}
        harness.update_endpoint_list(
            messages.Endpoint(777), kind=messages.EndpointListKind.CHANGES, version=2
        )
        assert len(before - {s.endpoint.id for s in harness.balancer.endpoints.subset}) <= 2


def test_a_restart_under_the_same_id_starts_afresh() -> None:
    harness = BalancerHarness()
    server = harness.balancer.endpoints.states[0]
    server.share = 0.1
    harness.request("r")
    harness.update_endpoint_list(
        messages.Endpoint(0, incarnation_us=harness.now_us), kind=messages.EndpointListKind.CHANGES, version=2
    )
    fresh = harness.balancer.endpoints.states[0]
    assert (fresh.share, fresh.in_flight, fresh.mixed_id) == (1.0, [], server.mixed_id)


def test_an_outcome_from_a_backend_that_has_left_is_taken() -> None:
    harness = BalancerHarness(endpoint_count=1)
    [send] = actions_of_type(harness.request("r"), messages.StartAttempt)
    harness.update_endpoint_list()
    harness.end_attempt(send, messages.Outcome.OK)
    assert not harness.balancer.open_requests.by_id
    assert not harness.balancer.dispatcher.in_flight


def test_all_draining_refuses_and_sends_nothing() -> None:
    harness = BalancerHarness()
    harness.update_endpoint_list(
        *(messages.Endpoint(n, messages.EndpointStatus.DRAINING) for n in range(4)), version=2
    )
    actions = harness.request("r") + harness.advance(5 * SECOND_US)
    assert actions_of_type(actions, messages.Reject)
    assert not actions_of_type(actions, messages.StartAttempt)


def steady(harness: BalancerHarness, seconds: float, per_s: int = 100) -> dict[int, list[int]]:
    """Answers each call after 20 ms; the times of sends to each backend."""
    sent: dict[int, list[int]] = {}
    for n in range(int(seconds * per_s)):
        harness.now_us += SECOND_US // per_s
        for send in actions_of_type(harness.request(f"s{harness.now_us}.{n}"), messages.StartAttempt):
            sent.setdefault(send.endpoint_id, []).append(harness.now_us)
            harness.end_attempt(send, messages.Outcome.OK, took=20 * MILLISECOND_US)
    return sent


def most_in_window(times: list[int], window: int) -> int:
    return max((sum(1 for t in times if a <= t < a + window) for a in times), default=0)


def test_a_cold_backend_gets_no_more_than_its_budget_of_what_warm_ones_get() -> None:
    for seed in range(5):
        harness = BalancerHarness(seed=seed)
        warm = steady(harness, 5)
        rules = harness.balancer.settings.rules
        harness.update_endpoint_list(
            messages.Endpoint(9, incarnation_us=harness.now_us),
            kind=messages.EndpointListKind.CHANGES,
            version=2,
        )
        harness.balancer.endpoints.states[9].share = 50.0  # even where its share would draw everything
        cold = steady(harness, 2).get(9, [])
        most_warm = max(most_in_window(times, rules.overload_window_us) for times in warm.values())
        capacity = rules.start_capacity + (1 - rules.start_capacity) * 2 * SECOND_US / rules.slow_start_us
        assert (
            0
            < most_in_window(cold, rules.overload_window_us)
            <= rules.overload_multiple * capacity * most_warm
        )


def test_the_budget_holds_for_further_attempts_too() -> None:
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(messages.Endpoint(0), messages.Endpoint(9, incarnation_us=harness.now_us))
    cold = 0
    for n in range(50):
        for send in actions_of_type(harness.request(f"r{n}"), messages.StartAttempt):
            cold += send.endpoint_id == 9
            for again in actions_of_type(
                harness.end_attempt(send, messages.Outcome.REJECTED), messages.StartAttempt
            ):
                cold += again.endpoint_id == 9
                harness.end_attempt(again, messages.Outcome.REJECTED, attempt=1)
    assert cold <= 2


def test_only_cold_backends_still_serve() -> None:
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(*(messages.Endpoint(n, incarnation_us=harness.now_us) for n in range(4)))
    assert sum(len(times) for times in steady(harness, 3).values()) > 100


def test_a_whole_list_with_a_lower_version_starts_the_versions_anew() -> None:
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(messages.Endpoint(1), version=100)
    harness.update_endpoint_list(messages.Endpoint(1), version=3)
    harness.update_endpoint_list(messages.Endpoint(2), kind=messages.EndpointListKind.CHANGES, version=4)
    assert set(harness.balancer.endpoints.states) == {1, 2}
