"""The budget of an endpoint in slow start: the sum over all balancers, and the part of each balancer.

The sums are measured in the simulated fleet. With N as the number of attempts in an overload window that the
settings allow the endpoint, the overload rule allows N + 3 x sqrt(N) + 3 attempts where N is below 30. The
stricter bound is N + 2 x sqrt(N) + 2.
"""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from load_balancer import messages
from load_balancer.policy.attempt import LastAttemptResult
from load_balancer.policy.slow_start import (
    BUDGET_UTILIZATION,
    TOKEN_EXPIRY_WINDOWS,
    UNBUDGETED_FIRST_ATTEMPTS,
)
from tests.policy.test_slow_start_fleet import TIGHT_RULES
from tests.policy.warming_fleet import RULES, warming_fleet
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US

LOW_CAPACITY_RULES = replace(TIGHT_RULES, start_capacity=0.1)  # N is about one attempt per window

# Balancers, endpoints, requests of each balancer in an overload window
FLEET_OF_12, FLEET_OF_6 = (30, 12, 0.7), (30, 6, 3.0)

# Fleet, faults, rules, seeds. Each exceeded the stricter bound when first attempts had random phases.
ALL_WARMING_CASES = [
    (FLEET_OF_12, "burst", TIGHT_RULES, (2, 3, 5)),
    (FLEET_OF_12, "tripled failing", TIGHT_RULES, (1, 2, 3, 5)),
    (FLEET_OF_12, "burst", LOW_CAPACITY_RULES, (2,)),
    (FLEET_OF_12, "burst failing", LOW_CAPACITY_RULES, (2, 4)),
    (FLEET_OF_6, "burst failing", TIGHT_RULES, (3, 5)),
    (FLEET_OF_6, "burst failing", LOW_CAPACITY_RULES, (0, 1, 2, 3, 4, 5)),
    (FLEET_OF_6, "burst", LOW_CAPACITY_RULES, (0, 1, 2, 4, 5)),
]


@pytest.mark.parametrize(("size", "faults", "rules", "seeds"), ALL_WARMING_CASES)
def test_first_attempts_stay_within_the_budget_when_all_endpoints_are_warming(
    size: tuple[int, int, float], faults: str, rules: messages.Rules, seeds: tuple[int, ...]
) -> None:
    """Each fleet stays within the overload rule; the mean of the fleets stays within the stricter bound."""
    fleets = [warming_fleet(*size, "all", faults, seed, rules=rules) for seed in seeds]
    for fleet in fleets:
        used_share, attempt_count, allowed_count = fleet.fullest_warming_window(use_small_count_margin=True)
        assert attempt_count > 0
        assert used_share <= 1.0, f"{attempt_count} attempts, {allowed_count:.1f} allowed"
    assert sum(fleet.fullest_warming_window()[0] for fleet in fleets) / len(fleets) <= 1.0


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("warming", ["zone", "all"])
@pytest.mark.parametrize("rules", [TIGHT_RULES, LOW_CAPACITY_RULES])
def test_budget_with_tight_overload_multiple_holds_for_every_seed(
    warming: str, rules: messages.Rules, seed: int
) -> None:
    fleet = warming_fleet(*FLEET_OF_12, warming, "burst failing", seed, rules=rules)
    used_share, attempt_count, allowed_count = fleet.fullest_warming_window(use_small_count_margin=True)
    assert attempt_count > 0
    assert used_share <= 1.0, f"{attempt_count} attempts, {allowed_count:.1f} allowed"


FAULTS = (
    "burst again failing",
    "burst moving failing",
    "burst silent",
    "zoned refusing",
    "celled refusing",
)


@pytest.mark.parametrize("faults", FAULTS)
@pytest.mark.parametrize("warming", ["zone", "all"])
def test_budget_holds_under_other_faults(warming: str, faults: str) -> None:
    fleet = warming_fleet(*FLEET_OF_12, warming, faults, seed=2, rules=TIGHT_RULES, health_checks=True)
    used_share, attempt_count, allowed_count = fleet.fullest_warming_window(use_small_count_margin=True)
    assert attempt_count > 0
    assert used_share <= 1.0, f"{attempt_count} attempts and checks, {allowed_count:.1f} allowed"


@pytest.mark.parametrize(
    ("balancer_count", "endpoint_count"), [(30, 12), (30, 6), (120, 6), (200, 200), (34, 3)]
)
def test_phases_of_the_balancers_of_an_endpoint_are_evenly_spread(
    balancer_count: int, endpoint_count: int
) -> None:
    """With random phases the attempts of several balancers would become due at the same time."""
    phases_by_endpoint: dict[int, list[float]] = {number: [] for number in range(endpoint_count)}
    for index in range(balancer_count):
        harness = BalancerHarness(
            balancer_settings(instances=balancer_count, index=index), endpoint_count, seed=index
        )
        for state in harness.balancer.endpoints.subset:
            phases_by_endpoint[state.endpoint.id].append(state.warming.phase)
    for phases in phases_by_endpoint.values():
        for bound in (0.2, 0.4, 0.6, 0.8):
            assert abs(sum(phase < bound for phase in phases) - bound * len(phases)) <= 2.0


def balancer_with_warming_endpoints(
    instances: int, index: int, endpoint_count: int, rules: messages.Rules = RULES
) -> BalancerHarness:
    """Return a balancer whose endpoints have all just started to warm up."""
    harness = BalancerHarness(
        balancer_settings(rules=rules, instances=instances, index=index), endpoint_count=0, seed=index
    )
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(endpoint_count))
    )
    return harness


def test_first_attempt_slots_rotate_and_expire_unused() -> None:
    harnesses = [balancer_with_warming_endpoints(30, index, 6) for index in range(30)]
    slot_holders = []
    for _ in range(64):
        for harness in harnesses:
            harness.now_us += RULES.overload_window_us // 4
        slot_holders.append(
            {
                index
                for index, harness in enumerate(harnesses)
                for state in harness.balancer.endpoints.subset
                if state.endpoint.id == 0
                and harness.balancer.slow_start.is_first_attempt_slot(harness.now_us, state, 0.34)
            }
        )
    all_holders = set().union(*slot_holders)
    assert max(len(holders_at_once) for holders_at_once in slot_holders) <= UNBUDGETED_FIRST_ATTEMPTS
    assert len(all_holders) == 15  # all balancers that have this endpoint in their subset


def test_balancer_without_a_first_attempt_slot_uses_its_rate_before_warming() -> None:
    """The budget limits the balancer's attempts, so the rate measured from them alone would fall to zero."""
    attempt_counts = []
    for index in range(30):
        harness = BalancerHarness(
            balancer_settings(rules=TIGHT_RULES, instances=30, index=index), endpoint_count=6, seed=index
        )
        for number in range(40):
            harness.advance(RULES.overload_window_us // 3)
            for attempt in actions_of_type(harness.send_request(f"w{number}"), messages.StartAttempt):
                harness.end_attempt(attempt, messages.Outcome.OK, duration_us=100 * MILLISECOND_US)
        harness.update_endpoint_list(
            *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(6)), version=2
        )
        attempt_count = 0
        for number in range(4):
            for attempt in actions_of_type(
                harness.advance(RULES.overload_window_us // 3) + harness.send_request(f"c{number}"),
                messages.StartAttempt,
            ):
                harness.end_attempt(attempt, messages.Outcome.OK, duration_us=100 * MILLISECOND_US)
                attempt_count += 1
        attempt_counts.append(attempt_count)
    assert min(attempt_counts) > 0


def test_attempt_without_a_whole_token_makes_the_bucket_negative() -> None:
    harness = balancer_with_warming_endpoints(1, 0, 1)
    [state] = harness.balancer.endpoints.subset
    state.warming.bucket.tokens = 0.2
    assert len(actions_of_type(harness.send_request("r"), messages.StartAttempt)) == 1
    assert math.isclose(state.warming.bucket.tokens, -0.8)


def test_token_expires_after_a_part_of_the_window() -> None:
    """The tokens added in a window and those from before it then add up to at most one budget."""
    harness = balancer_with_warming_endpoints(30, 0, 6, replace(RULES, slow_start_us=600 * SECOND_US))
    state = harness.balancer.endpoints.subset[0]
    state.warming.bucket.tokens, due_steps, step = 0.0, 0, 10 * MILLISECOND_US
    rate = (
        BUDGET_UTILIZATION
        * RULES.overload_multiple
        * RULES.start_capacity
        / (harness.balancer.endpoints.balancers_per_endpoint * RULES.overload_window_us)
    )
    for _ in range(int(1.5 / rate / step)):  # long enough for one token to become due
        harness.now_us += step
        due_steps += harness.balancer.slow_start.refill(harness.now_us, state) >= 1.0
    kept = due_steps * step / RULES.overload_window_us
    assert 0 < kept <= TOKEN_EXPIRY_WINDOWS + 0.05
    assert (1.0 + TOKEN_EXPIRY_WINDOWS) * BUDGET_UTILIZATION <= 1.0 + 1e-9


def test_response_credit_expires_unused() -> None:
    harness = balancer_with_warming_endpoints(30, 0, 6, replace(RULES, slow_start_us=600 * SECOND_US))
    state = harness.balancer.endpoints.subset[0]
    state.last_attempt = LastAttemptResult.SUCCEEDED
    state.warming.response_credit_until_us = harness.now_us + SECOND_US
    state.warming.bucket.tokens = -1.0
    assert harness.balancer.router.is_available(harness.now_us, state, is_retry=False)
    assert not harness.balancer.router.is_available(harness.now_us + SECOND_US, state, is_retry=False)
