"""The budget of an endpoint in slow start: its sum over all balancers, and that each of them gets a part.

The sums are those of the simulated fleet. The rule allows N + 3 x sqrt(N) + 3 attempts in an overload window
where N is under 30, N being the number that the settings allow the endpoint then.
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
from tests.policy.test_slow_start_fleet import TIGHT
from tests.policy.warming_fleet import RULES, warming_fleet
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US

SLOWEST = replace(TIGHT, start_capacity=0.1)  # N is about one attempt in a window

SPARSE, COMPLETE = (30, 12, 0.7), (30, 6, 3.0)  # balancers, endpoints, calls of each balancer in a window

# Size, faults, rules, seeds; each exceeded the stricter bound while first attempts were left to chance
ALL_WARMING = [
    (SPARSE, "burst", TIGHT, (2, 3, 5)),
    (SPARSE, "tripled failing", TIGHT, (1, 2, 3, 5)),
    (SPARSE, "burst", SLOWEST, (2,)),
    (SPARSE, "burst failing", SLOWEST, (2, 4)),
    (COMPLETE, "burst failing", TIGHT, (3, 5)),
    (COMPLETE, "burst failing", SLOWEST, (0, 1, 2, 3, 4, 5)),
    (COMPLETE, "burst", SLOWEST, (0, 1, 2, 4, 5)),
]


@pytest.mark.parametrize(("size", "faults", "rules", "seeds"), ALL_WARMING)
def test_first_attempts_stay_within_the_budget_when_all_endpoints_are_warming(
    size: tuple[int, int, float], faults: str, rules: messages.Rules, seeds: tuple[int, ...]
) -> None:
    """Each stays within the rule, and their mean within the stricter bound, which each had exceeded."""
    fleets = [warming_fleet(*size, "all", faults, seed, rules=rules) for seed in seeds]
    for fleet in fleets:
        worst, sent, allowed = fleet.worst_cold(page=True)
        assert sent > 0
        assert worst <= 1.0, f"{sent} attempts, {allowed:.1f} allowed"
    assert sum(fleet.worst_cold()[0] for fleet in fleets) / len(fleets) <= 1.0


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("warming", ["zone", "all"])
@pytest.mark.parametrize("rules", [TIGHT, SLOWEST])
def test_tight_overload_multiple_holds_for_every_seed(warming: str, rules: messages.Rules, seed: int) -> None:
    fleet = warming_fleet(*SPARSE, warming, "burst failing", seed, rules=rules)
    worst, sent, allowed = fleet.worst_cold(page=True)
    assert sent > 0
    assert worst <= 1.0, f"{sent} attempts, {allowed:.1f} allowed"


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
    fleet = warming_fleet(*SPARSE, warming, faults, seed=2, rules=TIGHT, health_checks=True)
    worst, sent, allowed = fleet.worst_cold(page=True)
    assert sent > 0
    assert worst <= 1.0, f"{sent} attempts and checks, {allowed:.1f} allowed"


@pytest.mark.parametrize(("balancers", "endpoints"), [(30, 12), (30, 6), (120, 6), (200, 200), (34, 3)])
def test_phases_of_the_balancers_of_an_endpoint_are_evenly_spread(balancers: int, endpoints: int) -> None:
    """With random phases the attempts of several balancers became due at once."""
    phases_by_endpoint: dict[int, list[float]] = {number: [] for number in range(endpoints)}
    for index in range(balancers):
        harness = BalancerHarness(balancer_settings(instances=balancers, index=index), endpoints, seed=index)
        for state in harness.balancer.endpoints.subset:
            phases_by_endpoint[state.endpoint.id].append(state.warming.phase)
    for phases in phases_by_endpoint.values():
        for bound in (0.2, 0.4, 0.6, 0.8):
            assert abs(sum(phase < bound for phase in phases) - bound * len(phases)) <= 2.0


def balancer_with_warming_endpoints(
    instances: int, index: int, endpoints: int, rules: messages.Rules = RULES
) -> BalancerHarness:
    """Return a balancer whose endpoints have all just started."""
    harness = BalancerHarness(
        balancer_settings(rules=rules, instances=instances, index=index), endpoint_count=0, seed=index
    )
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(endpoints))
    )
    return harness


def test_free_first_attempts_rotate_and_expire_unused() -> None:
    harnesses = [balancer_with_warming_endpoints(30, index, 6) for index in range(30)]
    turns = []
    for _ in range(64):
        for harness in harnesses:
            harness.now_us += RULES.overload_window_us // 4
        turns.append(
            {
                index
                for index, harness in enumerate(harnesses)
                for state in harness.balancer.endpoints.subset
                if state.endpoint.id == 0
                and harness.balancer.slow_start.is_first_attempt_slot(harness.now_us, state, 0.34)
            }
        )
    holders = set().union(*turns)
    assert max(len(turn) for turn in turns) <= UNBUDGETED_FIRST_ATTEMPTS
    assert len(holders) == 15  # each balancer with this endpoint in its subset


def test_balancer_without_free_first_attempt_uses_its_remembered_rate() -> None:
    """Its own attempts stopped with the budget, and the rate measured from them fell to nothing."""
    served = []
    for index in range(30):
        harness = BalancerHarness(
            balancer_settings(rules=TIGHT, instances=30, index=index), endpoint_count=6, seed=index
        )
        for number in range(40):
            harness.advance(RULES.overload_window_us // 3)
            for send in actions_of_type(harness.request(f"w{number}"), messages.StartAttempt):
                harness.end_attempt(send, messages.Outcome.OK, took=100 * MILLISECOND_US)
        harness.update_endpoint_list(
            *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(6)), version=2
        )
        sends = 0
        for number in range(4):
            for send in actions_of_type(
                harness.advance(RULES.overload_window_us // 3) + harness.request(f"c{number}"),
                messages.StartAttempt,
            ):
                harness.end_attempt(send, messages.Outcome.OK, took=100 * MILLISECOND_US)
                sends += 1
        served.append(sends)
    assert min(served) > 0


def test_attempt_without_tokens_is_paid_by_the_next_token() -> None:
    harness = balancer_with_warming_endpoints(1, 0, 1)
    [state] = harness.balancer.endpoints.subset
    state.warming.bucket.tokens = 0.2
    assert len(actions_of_type(harness.request("r"), messages.StartAttempt)) == 1
    assert math.isclose(state.warming.bucket.tokens, -0.8)


def test_token_expires_after_a_part_of_the_window() -> None:
    """With the tokens kept from before it, a window then has one budget at most."""
    harness = balancer_with_warming_endpoints(30, 0, 6, replace(RULES, slow_start_us=600 * SECOND_US))
    state = harness.balancer.endpoints.subset[0]
    state.warming.bucket.tokens, due_steps, step = 0.0, 0, 10 * MILLISECOND_US
    rate = (
        BUDGET_UTILIZATION
        * RULES.overload_multiple
        * RULES.start_capacity
        / (harness.balancer.endpoints.balancers_per_endpoint * RULES.overload_window_us)
    )
    for _ in range(int(1.5 / rate / step)):  # one token becomes due
        harness.now_us += step
        due_steps += harness.balancer.slow_start.refill(harness.now_us, state) >= 1.0
    kept = due_steps * step / RULES.overload_window_us
    assert 0 < kept <= TOKEN_EXPIRY_WINDOWS + 0.05
    assert (1.0 + TOKEN_EXPIRY_WINDOWS) * BUDGET_UTILIZATION <= 1.0 + 1e-9


def test_credit_of_an_answer_expires_unused() -> None:
    harness = balancer_with_warming_endpoints(30, 0, 6, replace(RULES, slow_start_us=600 * SECOND_US))
    state = harness.balancer.endpoints.subset[0]
    state.last_attempt = LastAttemptResult.SUCCEEDED
    state.warming.response_credit_until_us = harness.now_us + SECOND_US
    state.warming.bucket.tokens = -1.0
    assert harness.balancer.router.is_available(harness.now_us, state, is_retry=False)
    assert not harness.balancer.router.is_available(harness.now_us + SECOND_US, state, is_retry=False)
