"""Warming endpoints under the attempts of all balancers together, in the simulated fleet.

The bound for a warming endpoint is N + 2 x sqrt(N) + 2 attempts in an overload window, where N is the number
that the settings allow at that time.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer import messages
from load_balancer.policy.attempt_rate import RATE_TIME_CONSTANT_US
from load_balancer.policy.endpoint_state import EndpointState
from load_balancer.policy.slow_start import UNBUDGETED_FIRST_ATTEMPTS, SlowStart
from tests.policy.warming_fleet import RULES, warming_fleet
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US

FAULTS = ("burst", "burst failing", "burst held", "burst failing held")

TIGHT_RULES = replace(RULES, overload_multiple=1.5)  # allows fewer attempts than a warm endpoint serves

# Balancers, endpoints, requests of each balancer in a window, endpoints that warm up, faults, rules
FLEETS = [
    *((3, 10, 20.0, warming, faults, RULES) for warming in ("one", "zone", "all") for faults in FAULTS),
    *((30, 12, 0.7, warming, faults, RULES) for warming in ("one", "zone", "all") for faults in FAULTS),
    *((30, 6, 3.0, warming, faults, RULES) for warming in ("one", "zone", "all") for faults in FAULTS),
    *((30, 6, 3.0, warming, faults, TIGHT_RULES) for warming in ("one", "zone") for faults in FAULTS),
    (200, 200, 3.0, "one", "burst failing", RULES),
    (200, 200, 0.7, "zone", "burst failing held", RULES),
    (200, 200, 3.0, "all", "burst failing", RULES),
    (880, 440, 1.0, "zone", "burst failing", RULES),
]


@pytest.mark.parametrize(
    ("balancer_count", "endpoint_count", "requests_per_window", "warming", "faults", "rules"), FLEETS
)
def test_all_balancers_keep_a_warming_endpoint_within_its_budget(
    balancer_count: int,
    endpoint_count: int,
    requests_per_window: float,
    warming: str,
    faults: str,
    rules: messages.Rules,
) -> None:
    before_restart_us, after_restart_us = (
        (SECOND_US, 2 * SECOND_US) if balancer_count > 100 else (3 * SECOND_US, 4 * SECOND_US)
    )
    fleet = warming_fleet(
        balancer_count,
        endpoint_count,
        requests_per_window,
        warming,
        faults,
        rules=rules,
        before_restart_us=before_restart_us,
        after_restart_us=after_restart_us,
    )
    used_share, attempt_count, allowed_count = fleet.fullest_warming_window()
    assert used_share <= 1.0, f"{attempt_count} attempts, {allowed_count:.1f} allowed"
    assert attempt_count > 0
    assert len(fleet.requests) >= 100


def test_work_for_a_request_is_bounded_by_the_subset_size(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a cost per request that grows with the number of endpoints times the subset size."""
    capacity_calls = 0
    capacity = SlowStart.capacity

    def counted_capacity(slow_start: SlowStart, now: int, state: EndpointState) -> float:
        nonlocal capacity_calls
        capacity_calls += 1
        return capacity(slow_start, now, state)

    harness = BalancerHarness(balancer_settings(instances=880), endpoint_count=0)
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(880))
    )
    monkeypatch.setattr(SlowStart, "capacity", counted_capacity)
    harness.send_request("r")
    assert 0 < capacity_calls <= 2 * len(harness.balancer.endpoints.subset)


def assert_within_budget(
    balancer_count: int,
    endpoint_count: int,
    requests_per_window: float,
    warming: str,
    faults: str,
    rules: messages.Rules,
    seed: int = 1,
) -> None:
    used_share, attempt_count, allowed_count = warming_fleet(
        balancer_count, endpoint_count, requests_per_window, warming, faults, seed=seed, rules=rules
    ).fullest_warming_window()
    assert attempt_count > 0
    assert used_share <= 1.0, f"{attempt_count} attempts, {allowed_count:.1f} allowed"


# A minimum rate, one first attempt and two saved tokens per balancer added up to more than the budget of an
# endpoint that many balancers use.
# Balancers, endpoints, requests of each balancer in a window, endpoints that warm up, faults, rules
QUOTA_FLEETS = [
    (30, 12, 0.7, "zone", "burst refusing", RULES),
    (30, 6, 0.7, "zone", "burst refusing", RULES),
    (30, 6, 0.7, "zone", "burst refusing", TIGHT_RULES),
    (30, 6, 0.7, "zone", "burst failing held", TIGHT_RULES),
    (120, 6, 0.3, "one", "refusing burst wanted", RULES),
    (120, 6, 1.0, "one", "burst wanted", TIGHT_RULES),
]


@pytest.mark.parametrize(
    ("balancer_count", "endpoint_count", "requests_per_window", "warming", "faults", "rules"), QUOTA_FLEETS
)
def test_quotas_of_all_balancers_sum_to_no_more_than_the_budget(
    balancer_count: int,
    endpoint_count: int,
    requests_per_window: float,
    warming: str,
    faults: str,
    rules: messages.Rules,
) -> None:
    assert_within_budget(balancer_count, endpoint_count, requests_per_window, warming, faults, rules)


def test_request_is_sent_when_its_whole_subset_is_warming() -> None:
    """Other endpoints are warm, but none in the subset shows how many attempts an endpoint can take."""
    harness = BalancerHarness(balancer_settings(instances=20), endpoint_count=0)
    harness.update_endpoint_list(*(messages.Endpoint(number) for number in range(30)))
    own_subset = {state.endpoint.id for state in harness.balancer.endpoints.subset}
    harness.update_endpoint_list(
        *(
            messages.Endpoint(number, incarnation_us=harness.now_us if number in own_subset else 0)
            for number in range(30)
        ),
        version=2,
    )
    assert {state.endpoint.id for state in harness.balancer.endpoints.subset} == own_subset
    assert actions_of_type(harness.send_request("r"), messages.StartAttempt)


def test_unused_tokens_are_saved_for_at_most_one_window() -> None:
    """Otherwise all balancers would spend their saved tokens at the same time in a burst of requests."""
    rules, saved_tokens, requests_per_window = replace(RULES, slow_start_us=60 * SECOND_US), 0, 0.0
    for index in range(0, 120, 2):
        harness = BalancerHarness(
            balancer_settings(rules=rules, instances=120, index=index), endpoint_count=0, seed=index
        )
        harness.update_endpoint_list(*(messages.Endpoint(number) for number in range(6)))
        restarted = harness.balancer.endpoints.subset[0]
        harness.update_endpoint_list(
            messages.Endpoint(restarted.endpoint.id, incarnation_us=harness.now_us),
            kind=messages.EndpointListKind.CHANGES,
            version=2,
        )
        restarted = harness.balancer.endpoints.states[restarted.endpoint.id]
        restarted.share = 1e-9
        for number in range(30):
            for attempt in actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt):
                harness.end_attempt(attempt, messages.Outcome.OK)
            harness.advance(SECOND_US)
        saved_tokens += int(harness.balancer.slow_start.refill(harness.now_us, restarted))
        requests_per_window += rules.overload_window_us / SECOND_US / len(harness.balancer.endpoints.subset)
    assert 0 < saved_tokens <= rules.overload_multiple * 0.67 * requests_per_window


def test_retries_do_not_raise_the_rate_of_a_warming_endpoint() -> None:
    harness, attempt_count = (
        BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=3)), endpoint_count=8),
        0,
    )
    for number in range(3):
        attempts = actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
        for attempt_number in range(3):
            attempt_count += len(attempts)
            attempts = actions_of_type(
                harness.end_attempt(attempts[0], messages.Outcome.REJECTED, MILLISECOND_US, attempt_number),
                messages.StartAttempt,
            )
    assert attempt_count == 9
    assert harness.balancer.slow_start.first_attempts.per_us(harness.now_us) <= 3 / RATE_TIME_CONSTANT_US


def test_endpoint_outside_the_subset_gets_smaller_quotas_from_more_balancers() -> None:
    """Such an endpoint gets retries only, but from all balancers."""
    harness = BalancerHarness(balancer_settings(rules=RULES, instances=40), endpoint_count=0)
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(40))
    )
    for number in range(40):
        harness.send_request(f"r{number}")
    harness.now_us += 100 * MILLISECOND_US
    subset_state = harness.balancer.endpoints.subset[0]
    outside_state = next(
        state
        for state in harness.balancer.endpoints.states.values()
        if state not in harness.balancer.endpoints.subset
    )
    refills = []
    for state in (subset_state, outside_state):
        state.warming.bucket.tokens, state.warming.bucket.updated_at_us = (
            0.0,
            harness.now_us - 100 * MILLISECOND_US,
        )
        refills.append(harness.balancer.slow_start.refill(harness.now_us, state))
    assert 0 < refills[1] * 40 <= 0.21 * refills[0] * harness.balancer.endpoints.balancers_per_endpoint


# When all endpoints are warming up, a failing one responds to one attempt after another without delay.
ALL_WARMING_FLEETS = [
    (30, 12, 3.0, "all", "burst failing", RULES),
    (30, 12, 3.0, "all", "burst failing", TIGHT_RULES),
    (30, 6, 0.7, "all", "burst failing", RULES),
    (30, 6, 3.0, "all", "burst refusing", RULES),
    (120, 6, 0.3, "all", "burst failing", RULES),
]


@pytest.mark.parametrize(
    ("balancer_count", "endpoint_count", "requests_per_window", "warming", "faults", "rules"),
    ALL_WARMING_FLEETS,
)
def test_failing_endpoints_stay_within_budget_when_all_are_warming(
    balancer_count: int,
    endpoint_count: int,
    requests_per_window: float,
    warming: str,
    faults: str,
    rules: messages.Rules,
) -> None:
    assert_within_budget(balancer_count, endpoint_count, requests_per_window, warming, faults, rules)


def test_first_attempts_of_many_balancers_make_no_burst() -> None:
    attempt_counts = [0] * 6
    for index in range(30):
        harness = BalancerHarness(
            balancer_settings(rules=RULES, instances=30, index=index), endpoint_count=0, seed=index
        )
        harness.update_endpoint_list(
            *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(6))
        )
        for number in range(3):
            for attempt in actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt):
                attempt_counts[attempt.endpoint_id] += 1
    # One attempt from each balancer would be five per endpoint, above the bound where N is one.
    assert sum(attempt_counts) > 0
    assert max(attempt_counts) <= UNBUDGETED_FIRST_ATTEMPTS


def test_retry_is_not_an_unbudgeted_first_attempt() -> None:
    harness = BalancerHarness(balancer_settings(rules=RULES, instances=30), endpoint_count=0)
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(6))
    )
    [attempt] = actions_of_type(harness.send_request("r"), messages.StartAttempt)
    assert not actions_of_type(
        harness.end_attempt(attempt, messages.Outcome.REJECTED, MILLISECOND_US), messages.StartAttempt
    )


@pytest.mark.parametrize("seed", [0, 3, 4])
def test_health_checks_and_their_repeats_stay_within_the_budget(seed: int) -> None:
    fleet = warming_fleet(30, 6, 0.7, "all", "burst silent", seed, health_checks=True)
    used_share, attempt_count, allowed_count = fleet.fullest_warming_window()
    assert attempt_count > 0
    assert used_share <= 1.0, f"{attempt_count} attempts and checks, {allowed_count:.1f} allowed"


@pytest.mark.parametrize(("started_at_us", "check_count"), [(0, 2), (10 * SECOND_US, 1)])
def test_missed_health_check_is_repeated_only_within_the_budget(started_at_us: int, check_count: int) -> None:
    settings = balancer_settings(
        rules=replace(RULES, slow_start_us=60 * SECOND_US),
        limits=messages.Limits(3, cancel=True, health_checks=True),
    )
    harness = BalancerHarness(settings, endpoint_count=0)
    harness.update_endpoint_list(messages.Endpoint(0, incarnation_us=started_at_us))
    harness.send_request("r")
    harness.advance(950 * MILLISECOND_US)
    # Tokens expire after a part of the window.
    harness.balancer.endpoints.states[0].warming.bucket.tokens = 1.0
    harness.balancer.endpoints.states[0].warming.bucket.updated_at_us = harness.now_us
    checks = actions_of_type(harness.advance(250 * MILLISECOND_US), messages.CheckHealth)
    assert len(checks) == 1
    harness.balancer.endpoints.states[0].warming.bucket.tokens = 0.0
    repeated_checks = actions_of_type(
        harness.handle(messages.HealthCheckEnded(0, is_alive=False)), messages.CheckHealth
    )
    assert len(checks) + len(repeated_checks) == check_count


def test_budget_allows_concurrent_attempts_when_all_are_warming() -> None:
    """Warming endpoints respond slowly: one attempt at a time would use half of their capacity."""
    harness = BalancerHarness(endpoint_count=3)
    for number in range(300):
        harness.advance(10 * MILLISECOND_US)
        for attempt in actions_of_type(harness.send_request(f"w{number}"), messages.StartAttempt):
            harness.end_attempt(attempt, messages.Outcome.OK, duration_us=20 * MILLISECOND_US)
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(3)), version=2
    )
    endpoint_ids = []
    for number in range(50):
        endpoint_ids += [
            attempt.endpoint_id
            for attempt in actions_of_type(
                harness.advance(10 * MILLISECOND_US) + harness.send_request(f"c{number}"),
                messages.StartAttempt,
            )
        ]
    assert min(endpoint_ids.count(number) for number in range(3)) >= 2
    assert len(endpoint_ids) <= 50 * 3.0 * 0.5


def test_first_listed_endpoint_is_not_sent_an_attempt_by_every_balancer() -> None:
    """A list sent in parts may name one warming endpoint first, while every balancer has queued requests."""
    attempt_count = 0
    for index in range(200):
        harness = BalancerHarness(
            balancer_settings(rules=RULES, instances=200, index=index), endpoint_count=0, seed=index
        )
        harness.send_request("r")
        harness.update_endpoint_list(messages.Endpoint(0, incarnation_us=harness.now_us))
        attempt_count += len(actions_of_type(harness.actions, messages.StartAttempt))
    assert 0 < attempt_count <= 12
