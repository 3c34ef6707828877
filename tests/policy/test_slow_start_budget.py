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
from load_balancer.policy.slow_start import BUDGET_SAFETY, FREE_FIRST_ATTEMPTS, KEPT_WINDOW_SHARE
from tests.policy.test_slow_start_fleet import RULES, TIGHT, cold_fleet
from tests.support.balancer_harness import MS, BalancerHarness, S, only, settings

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
def test_first_attempts_stay_within_the_budget_when_all_endpoints_are_warming(
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
def test_tight_overload_multiple_holds_for_every_seed(cold: str, rules: messages.Rules, seed: int) -> None:
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
def test_budget_holds_under_other_faults(cold: str, trouble: str) -> None:
    fleet = cold_fleet(*SPARSE, cold, trouble, seed=2, rules=TIGHT, health_checks=True)
    worst, sent, allowed = fleet.worst_cold(page=True)
    assert sent > 0
    assert worst <= 1.0, f"{sent} calls and probes, {allowed:.1f} allowed"


@pytest.mark.parametrize(("balancers", "backends"), [(30, 12), (30, 6), (120, 6), (200, 200), (34, 3)])
def test_phases_of_the_balancers_of_an_endpoint_are_evenly_spread(balancers: int, backends: int) -> None:
    """Drawn by each for itself, the calls of several balancers fall due at once."""
    places: dict[int, list[float]] = {n: [] for n in range(backends)}
    for index in range(balancers):
        harness = BalancerHarness(settings(instances=balancers, index=index), backends, seed=index)
        for server in harness.balancer.endpoints.subset:
            places[server.endpoint.id].append(server.warming.phase)
    for lots in places.values():
        for part in (0.2, 0.4, 0.6, 0.8):
            assert abs(sum(lot < part for lot in lots) - part * len(lots)) <= 2.0


def waiting(instances: int, index: int, backends: int, rules: messages.Rules = RULES) -> BalancerHarness:
    """A balancer whose backends have just come up cold."""
    harness = BalancerHarness(settings(rules=rules, instances=instances, index=index), backends=0, seed=index)
    harness.news(*(messages.Endpoint(n, incarnation_us=harness.now) for n in range(backends)))
    return harness


def test_free_first_attempts_rotate_and_expire_unused() -> None:
    harnesses = [waiting(30, index, 6) for index in range(30)]
    turns = []
    for _ in range(64):
        for harness in harnesses:
            harness.now += RULES.overload_window_us // 4
        turns.append(
            {
                index
                for index, harness in enumerate(harnesses)
                for server in harness.balancer.endpoints.subset
                if server.endpoint.id == 0
                and harness.balancer.slow_start.has_free_first_attempt(harness.now, server, 0.34)
            }
        )
    holders = set().union(*turns)
    assert max(len(turn) for turn in turns) <= FREE_FIRST_ATTEMPTS
    assert len(holders) == 15  # each balancer with this backend in its subset


def test_balancer_without_free_first_attempt_uses_its_remembered_rate() -> None:
    """Its own sends stopped with the budget, and the rate it measured from them fell to nothing."""
    served = []
    for index in range(30):
        harness = BalancerHarness(settings(rules=TIGHT, instances=30, index=index), backends=6, seed=index)
        for n in range(40):
            harness.pass_time(RULES.overload_window_us // 3)
            for send in only(harness.request(f"w{n}"), messages.StartAttempt):
                harness.end(send, messages.Outcome.OK, took=100 * MS)
        harness.news(*(messages.Endpoint(n, incarnation_us=harness.now) for n in range(6)), version=2)
        sends = 0
        for n in range(4):
            for send in only(
                harness.pass_time(RULES.overload_window_us // 3) + harness.request(f"c{n}"),
                messages.StartAttempt,
            ):
                harness.end(send, messages.Outcome.OK, took=100 * MS)
                sends += 1
        served.append(sends)
    assert min(served) > 0


def test_attempt_without_tokens_is_paid_by_the_next_token() -> None:
    harness = waiting(1, 0, 1)
    [server] = harness.balancer.endpoints.subset
    server.warming.tokens = 0.2
    assert len(only(harness.request("r"), messages.StartAttempt)) == 1
    assert math.isclose(server.warming.tokens, -0.8)


def test_token_expires_after_a_part_of_the_window() -> None:
    """With what was kept from before it, a window then brings one budget at the most."""
    harness = waiting(30, 0, 6, replace(RULES, slow_start_us=600 * S))
    server = harness.balancer.endpoints.subset[0]
    server.warming.tokens, due, step = 0.0, 0, 10 * MS
    rate = (
        BUDGET_SAFETY
        * RULES.overload_multiple
        * RULES.start_capacity
        / (harness.balancer.endpoints.sharing_balancers * RULES.overload_window_us)
    )
    for _ in range(int(1.5 / rate / step)):  # one call falls due
        harness.now += step
        due += harness.balancer.slow_start.due_tokens(harness.now, server) >= 1.0
    kept = due * step / RULES.overload_window_us
    assert 0 < kept <= KEPT_WINDOW_SHARE + 0.05
    assert (1.0 + KEPT_WINDOW_SHARE) * BUDGET_SAFETY <= 1.0 + 1e-9


def test_credit_of_an_answer_expires_unused() -> None:
    harness = waiting(30, 0, 6, replace(RULES, slow_start_us=600 * S))
    server = harness.balancer.endpoints.subset[0]
    server.last_attempt = LastAttempt.SUCCEEDED
    server.warming.answer_credit_until_us = harness.now + S
    server.warming.tokens = -1.0
    assert harness.balancer.router.is_open(harness.now, server, is_retry=False)
    assert not harness.balancer.router.is_open(harness.now + S, server, is_retry=False)
