"""What all balancers together send to a backend in slow start, and that none of them is left out.

The sums are those of the stepped world. The page allows N + 3 x root of N + 3 calls in a window where
N is under 30, N being what the settings allow the backend then.
"""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from load_balancer import messages
from load_balancer.policy.attempt import LastAttempt
from load_balancer.policy.slow_start import BUDGET_SAFETY, TOKEN_EXPIRY_WINDOWS, UNBUDGETED_FIRST_ATTEMPTS
from tests.policy.test_slow_start_fleet import RULES, TIGHT, cold_fleet
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US

COLDER = replace(TIGHT, start_capacity=0.1)  # N is about a call in a window

SPARSE, COMPLETE = (30, 12, 0.7), (30, 6, 3.0)  # balancers, backends, calls of each balancer in the window

# Size, trouble, rules, seeds; each went over the stricter bound while first calls were left to chance
ALL_COLD = [
    (SPARSE, "burst", TIGHT, (2, 3, 5)),
    (SPARSE, "tripled failing", TIGHT, (1, 2, 3, 5)),
    (SPARSE, "burst", COLDER, (2,)),
    (SPARSE, "burst failing", COLDER, (2, 4)),
    (COMPLETE, "burst failing", TIGHT, (3, 5)),
    (COMPLETE, "burst failing", COLDER, (0, 1, 2, 3, 4, 5)),
    (COMPLETE, "burst", COLDER, (0, 1, 2, 4, 5)),
]


@pytest.mark.parametrize(("size", "trouble", "rules", "seeds"), ALL_COLD)
def test_with_all_cold_first_calls_keep_to_what_the_rule_allows(
    size: tuple[int, int, float], trouble: str, rules: messages.Rules, seeds: tuple[int, ...]
) -> None:
    """Each by the page, and their mean by the stricter bound, which each of them went over."""
    fleets = [cold_fleet(*size, "all", trouble, seed, rules=rules) for seed in seeds]
    for fleet in fleets:
        worst, sent, allowed = fleet.worst_cold(page=True)
        assert sent > 0
        assert worst <= 1.0, f"{sent} calls, {allowed:.1f} allowed"
    assert sum(fleet.worst_cold()[0] for fleet in fleets) / len(fleets) <= 1.0


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("cold", ["zone", "all"])
@pytest.mark.parametrize("rules", [TIGHT, COLDER])
def test_a_tight_multiple_holds_for_every_seed(cold: str, rules: messages.Rules, seed: int) -> None:
    fleet = cold_fleet(*SPARSE, cold, "burst failing", seed, rules=rules)
    worst, sent, allowed = fleet.worst_cold(page=True)
    assert sent > 0
    assert worst <= 1.0, f"{sent} calls, {allowed:.1f} allowed"


TROUBLES = (
    "burst again failing",
    "burst moving failing",
    "burst silent",
    "zoned refusing",
    "celled refusing",
)


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("cold", ["zone", "all"])
def test_the_budget_holds_in_other_trouble(cold: str, trouble: str) -> None:
    fleet = cold_fleet(*SPARSE, cold, trouble, seed=2, rules=TIGHT, health_checks=True)
    worst, sent, allowed = fleet.worst_cold(page=True)
    assert sent > 0
    assert worst <= 1.0, f"{sent} calls and probes, {allowed:.1f} allowed"


@pytest.mark.parametrize(("balancers", "backends"), [(30, 12), (30, 6), (120, 6), (200, 200), (34, 3)])
def test_the_places_of_the_balancers_of_a_backend_lie_apart(balancers: int, backends: int) -> None:
    """Drawn by each for itself, the calls of several balancers fall due at once."""
    places: dict[int, list[float]] = {n: [] for n in range(backends)}
    for index in range(balancers):
        harness = BalancerHarness(balancer_settings(instances=balancers, index=index), backends, seed=index)
        for server in harness.balancer.endpoints.subset:
            places[server.endpoint.id].append(server.warming.phase)
    for lots in places.values():
        for part in (0.2, 0.4, 0.6, 0.8):
            assert abs(sum(lot < part for lot in lots) - part * len(lots)) <= 2.0


def waiting(instances: int, index: int, backends: int, rules: messages.Rules = RULES) -> BalancerHarness:
    """A balancer whose backends have just come up cold."""
    harness = BalancerHarness(
        balancer_settings(rules=rules, instances=instances, index=index), endpoint_count=0, seed=index
    )
    harness.update_endpoint_list(
        *(messages.Endpoint(n, incarnation_us=harness.now_us) for n in range(backends))
    )
    return harness


def test_first_calls_come_in_turn_and_a_turn_that_is_not_used_ends() -> None:
    harnesses = [waiting(30, index, 6) for index in range(30)]
    turns = []
    for _ in range(64):
        for harness in harnesses:
            harness.now_us += RULES.overload_window_us // 4
        turns.append(
            {
                index
                for index, harness in enumerate(harnesses)
                for server in harness.balancer.endpoints.subset
                if server.endpoint.id == 0
                and harness.balancer.slow_start.is_first_attempt_slot(harness.now_us, server, 0.34)
            }
        )
    holders = set().union(*turns)
    assert max(len(turn) for turn in turns) <= UNBUDGETED_FIRST_ATTEMPTS
    assert len(holders) == 15  # each balancer with this backend in its subset


def test_a_balancer_without_a_first_turn_is_served_by_what_it_knew() -> None:
    """Its own sends stopped with the budget, and the rate it measured from them fell to nothing."""
    served = []
    for index in range(30):
        harness = BalancerHarness(
            balancer_settings(rules=TIGHT, instances=30, index=index), endpoint_count=6, seed=index
        )
        for n in range(40):
            harness.advance(RULES.overload_window_us // 3)
            for send in actions_of_type(harness.request(f"w{n}"), messages.StartAttempt):
                harness.end_attempt(send, messages.Outcome.OK, took=100 * MILLISECOND_US)
        harness.update_endpoint_list(
            *(messages.Endpoint(n, incarnation_us=harness.now_us) for n in range(6)), version=2
        )
        sends = 0
        for n in range(4):
            for send in actions_of_type(
                harness.advance(RULES.overload_window_us // 3) + harness.request(f"c{n}"),
                messages.StartAttempt,
            ):
                harness.end_attempt(send, messages.Outcome.OK, took=100 * MILLISECOND_US)
                sends += 1
        served.append(sends)
    assert min(served) > 0


def test_a_call_without_budget_is_paid_for_by_the_next_that_falls_due() -> None:
    harness = waiting(1, 0, 1)
    [server] = harness.balancer.endpoints.subset
    server.warming.bucket.tokens = 0.2
    assert len(actions_of_type(harness.request("r"), messages.StartAttempt)) == 1
    assert math.isclose(server.warming.bucket.tokens, -0.8)


def test_what_falls_due_keeps_for_a_part_of_the_window_only() -> None:
    """With what was kept from before it, a window then brings one budget at the most."""
    harness = waiting(30, 0, 6, replace(RULES, slow_start_us=600 * SECOND_US))
    server = harness.balancer.endpoints.subset[0]
    server.warming.bucket.tokens, due, step = 0.0, 0, 10 * MILLISECOND_US
    rate = (
        BUDGET_SAFETY
        * RULES.overload_multiple
        * RULES.start_capacity
        / (harness.balancer.endpoints.sharing_balancers * RULES.overload_window_us)
    )
    for _ in range(int(1.5 / rate / step)):  # one call falls due
        harness.now_us += step
        due += harness.balancer.slow_start.refill(harness.now_us, server) >= 1.0
    kept = due * step / RULES.overload_window_us
    assert 0 < kept <= TOKEN_EXPIRY_WINDOWS + 0.05
    assert (1.0 + TOKEN_EXPIRY_WINDOWS) * BUDGET_SAFETY <= 1.0 + 1e-9


def test_the_room_that_an_answer_makes_ends_if_it_is_not_used() -> None:
    harness = waiting(30, 0, 6, replace(RULES, slow_start_us=600 * SECOND_US))
    server = harness.balancer.endpoints.subset[0]
    server.last_attempt = LastAttempt.SUCCEEDED
    server.warming.answer_credit_until_us = harness.now_us + SECOND_US
    server.warming.bucket.tokens = -1.0
    assert harness.balancer.router.is_open(harness.now_us, server, is_retry=False)
    assert not harness.balancer.router.is_open(harness.now_us + SECOND_US, server, is_retry=False)
