"""Selection of an endpoint: the better of two draws by share from the subset."""

from __future__ import annotations

from collections import Counter

from load_balancer import messages
from load_balancer.policy.attempt import Attempt
from load_balancer.policy.selection import REMOTE_PENALTY_ATTEMPTS
from load_balancer.policy.subset import MIN_REMOTE, MIN_SUBSET
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US


def test_draws_follow_shares() -> None:
    harness = BalancerHarness(endpoint_count=3)
    for state, share in zip(harness.balancer.endpoints.states.values(), (1.0, 2.0, 5.0), strict=True):
        state.share = share
    pool = list(harness.balancer.endpoints.states.values())
    counts = Counter(harness.balancer.selector.draw(pool).endpoint.id for _ in range(8000))
    assert abs(counts[0] - 1000) < 150
    assert abs(counts[1] - 2000) < 200
    assert abs(counts[2] - 5000) < 200


def test_endpoint_with_fewer_attempts_in_flight_wins_the_draw() -> None:
    harness = BalancerHarness(endpoint_count=1)
    harness.send_request("long")
    harness.update_endpoint_list(messages.Endpoint(0), messages.Endpoint(1), version=2)
    busy, idle = harness.balancer.endpoints.states.values()
    busy.share = 3.0
    for number in range(20):
        [attempt] = actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
        assert attempt.endpoint_id == idle.endpoint.id
        assert [draw.load for draw in attempt.draws] == [0, 1]
        harness.end_attempt(attempt, messages.Outcome.OK)


def test_overdue_attempt_counts_twice() -> None:
    """A hanging endpoint gets fewer requests long before its attempt times out."""
    harness = BalancerHarness(endpoint_count=1)
    [attempt] = actions_of_type(harness.send_request("stuck"), messages.StartAttempt)
    [state] = harness.balancer.endpoints.states.values()
    usual_us = int(harness.balancer.request_factory.classes["read"].usual_latency_us)
    assert [state.load(harness.now_us + elapsed_us) for elapsed_us in (0, usual_us, 3 * usual_us)] == [
        1,
        1,
        2,
    ]
    harness.now_us += 3 * usual_us
    harness.end_attempt(attempt, messages.Outcome.OK, duration_us=3 * usual_us)
    assert state.load(harness.now_us) == 0


def test_draws_are_distinct() -> None:
    harness = BalancerHarness(endpoint_count=5)
    for number in range(50):
        [attempt] = actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
        assert len({draw.endpoint_id for draw in attempt.draws}) == 2
        harness.end_attempt(attempt, messages.Outcome.OK)


def test_selection_from_one_endpoint_and_from_none() -> None:
    harness = BalancerHarness(endpoint_count=1)
    assert [
        attempt.endpoint_id for attempt in actions_of_type(harness.send_request("a"), messages.StartAttempt)
    ] == [0]
    harness.update_endpoint_list()
    assert not actions_of_type(harness.send_request("b"), messages.StartAttempt)


def test_subset_is_shuffled_stable_and_refilled() -> None:
    subsets = set()
    for index in range(0, 40, 8):
        harness = BalancerHarness(balancer_settings(instances=40, index=index), endpoint_count=40)
        subset_before = [state.endpoint.id for state in harness.balancer.endpoints.subset]
        assert len(subset_before) == MIN_SUBSET
        assert subset_before != sorted(subset_before)
        subsets.add(tuple(subset_before))
        harness.update_endpoint_list(
            messages.Endpoint(subset_before[0], messages.EndpointStatus.REMOVED),
            kind=messages.EndpointListKind.CHANGES,
            version=2,
        )
        subset_after = [state.endpoint.id for state in harness.balancer.endpoints.subset]
        assert len(subset_after) == MIN_SUBSET
        assert subset_before[0] not in subset_after
        assert len(set(subset_after) & set(subset_before)) >= MIN_SUBSET - 2
    assert len(subsets) == 5


def test_failing_endpoint_gets_less_and_is_not_ejected() -> None:
    harness, counts = BalancerHarness(endpoint_count=6), Counter[int]()
    for number in range(600):
        for attempt in actions_of_type(harness.send_request(f"r{number}", "pay"), messages.StartAttempt):
            is_failing = attempt.endpoint_id == 0
            harness.now_us += 20 * MILLISECOND_US
            harness.end_attempt(
                attempt,
                messages.Outcome.ERROR if is_failing else messages.Outcome.OK,
                duration_us=5 * MILLISECOND_US if is_failing else 100 * MILLISECOND_US,
            )
            counts[attempt.endpoint_id] += number >= 300
    even_count = 300 / 6
    assert 0 < counts[0] < even_count / 2
    assert harness.balancer.endpoints.states[0].share > 0


def test_slow_endpoint_gets_less_and_recovers() -> None:
    harness = BalancerHarness(endpoint_count=6)
    shares = []
    for phase in range(3):
        for number in range(500):
            for attempt in actions_of_type(harness.send_request(f"r{phase}.{number}"), messages.StartAttempt):
                harness.now_us += 20 * MILLISECOND_US
                is_slow = phase == 1 and attempt.endpoint_id == 0
                harness.end_attempt(
                    attempt, messages.Outcome.OK, duration_us=SECOND_US if is_slow else 100 * MILLISECOND_US
                )
        shares.append(harness.balancer.endpoints.states[0].share)
    assert shares[1] < shares[0] / 2
    assert shares[2] > shares[1] * 1.5


def test_cancelled_and_unsent_attempts_are_no_latency_samples() -> None:
    for outcome in (messages.Outcome.CANCELLED, messages.Outcome.NOT_SENT):
        harness = BalancerHarness(endpoint_count=1)
        [attempt] = actions_of_type(harness.send_request("r"), messages.StartAttempt)
        mean = harness.balancer.endpoints.states[0].detector.mean
        retries = actions_of_type(harness.end_attempt(attempt, outcome), messages.StartAttempt)
        assert harness.balancer.endpoints.states[0].detector.mean == mean
        assert len(harness.balancer.endpoints.states[0].in_flight) == len(retries)


ENDPOINTS_IN_THREE_ZONES = tuple(messages.Endpoint(number, zone="abc"[number % 3]) for number in range(12))


def count_local_attempts(cross_zone_cost: float, busy_attempts: int = 0) -> int:
    """Return how many of 200 requests stay in zone a, whose endpoints have `busy_attempts` in flight each."""
    harness = BalancerHarness(
        balancer_settings(zone="a", cross_zone_cost=cross_zone_cost, limits=messages.Limits(max_attempts=3)),
        endpoint_count=0,
    )
    harness.update_endpoint_list(*ENDPOINTS_IN_THREE_ZONES)
    harness.balancer.concurrency_limit.attempts_per_endpoint = 20.0
    harness.balancer.concurrency_limit.set_endpoint_limits(harness.balancer.endpoints.subset)
    read_class = harness.balancer.request_factory.classes["read"]
    for state in harness.balancer.endpoints.states.values():
        if state.endpoint.zone == "a":
            state.in_flight = [
                Attempt("busy", number, state, read_class, harness.now_us, 5 * SECOND_US)
                for number in range(busy_attempts)
            ]
    local_count = 0
    for number in range(200):
        [attempt] = actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
        local_count += harness.balancer.endpoints.states[attempt.endpoint_id].endpoint.zone == "a"
        harness.end_attempt(attempt, messages.Outcome.OK)
    return local_count


def test_requests_stay_in_their_zone_when_crossing_zones_has_a_cost() -> None:
    assert count_local_attempts(cross_zone_cost=0.05) > 120 > 100 > count_local_attempts(cross_zone_cost=0.0)


def test_busy_zone_spills_over_to_other_zones() -> None:
    assert count_local_attempts(cross_zone_cost=0.05, busy_attempts=REMOTE_PENALTY_ATTEMPTS + 2) < 80


def test_subset_holds_the_local_zone_and_some_remote_endpoints() -> None:
    harness = BalancerHarness(
        balancer_settings(zone="a", cross_zone_cost=0.05, instances=3), endpoint_count=0
    )
    harness.update_endpoint_list(*ENDPOINTS_IN_THREE_ZONES)
    zones = Counter(state.endpoint.zone for state in harness.balancer.endpoints.subset)
    assert zones["a"] == 4
    assert zones["b"] + zones["c"] >= MIN_REMOTE
    remote = [endpoint for endpoint in ENDPOINTS_IN_THREE_ZONES if endpoint.zone != "a"]
    harness.update_endpoint_list(*remote, version=2)
    assert len(harness.balancer.endpoints.subset) >= MIN_SUBSET
