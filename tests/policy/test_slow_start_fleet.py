"""Warming endpoints under the sum of what all balancers send, in the simulated fleet.

A warming endpoint is overloaded by more than N + 2 x sqrt(N) + 2 attempts in an overload window, where N is
the number that the settings allow it then.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer import messages
from load_balancer.policy.endpoint_state import EndpointState
from load_balancer.policy.slow_start import FREE_FIRST_ATTEMPTS, RATE_MEMORY_US, SlowStart
from tests.support.balancer_harness import CLASSES, MS, BalancerHarness, S, only, settings
from tests.support.simulated_fleet import START, Client, Fleet, Machine

RULES = messages.Rules(
    start_capacity=0.34, slow_start_us=5 * S, overload_multiple=3.0, overload_window_us=1500 * MS
)
USUAL_US = 250 * MS  # what an attempt takes at least, so that few of them a second are a real load
LOAD = 0.6


def warming_fleet(
    balancers: int,
    endpoints: int,
    calls: float,
    warming: str,
    faults: str,
    seed: int = 0,
    health_checks: bool = False,
    rules: messages.Rules = RULES,
    before: int = 3 * S,
    after: int = 4 * S,
) -> Fleet:
    """Return a fleet in which endpoints have started: "one", those of a "zone" of three, or "all".

    Each balancer gets `calls` requests in each overload window. The faults are any of:

    - "burst": twice the load right after the start; "tripled": three times the load;
    - "failing", "refusing" or "silent": a third or two of all endpoints are;
    - "held": no endpoint at all for 0.3 s, so that all queued requests go out at once;
    - "wanted": the started endpoints have shares that would draw every request; "saved": the same, after
      20 s in which they got none;
    - "again": the same endpoints restart after 0.7 s and after 1.9 s;
    - "moving": every 0.4 s another one of the others leaves the list and comes back, so that subsets change;
    - "zoned" or "celled": all requests are of keyed classes of that scope.
    """
    started_at_us = START + before
    fleet = loaded_fleet(balancers, endpoints, calls, faults, seed, health_checks, rules, started_at_us)
    started = restart_endpoints(fleet, warming, faults, started_at_us)
    if "wanted" in faults or "saved" in faults:
        draw_requests_to(fleet, started, started_at_us, faults)
    if "again" in faults:
        for wait_us in (700 * MS, 1900 * MS):
            fleet.run(started_at_us + wait_us)
            fleet.restart(started)
    if "moving" in faults:
        remove_others_in_turn(fleet, started, started_at_us + after)
    fleet.run(started_at_us + after)
    return fleet


def loaded_fleet(
    balancers: int,
    endpoints: int,
    calls: float,
    faults: str,
    seed: int,
    health_checks: bool,
    rules: messages.Rules,
    surge_at_us: int,
) -> Fleet:
    """Return a fleet of warm endpoints under load, with a surge of 3 s where the faults name one."""
    per_window = balancers * calls / endpoints / LOAD
    usual_us = rules.overload_window_us / per_window  # of an attempt, with one at a time
    surge = 3.0 if "tripled" in faults else 2.0 if "burst" in faults else 1.0
    return Fleet(
        settings(
            classes=request_classes_for(faults, stretch=max(1.0, usual_us / USUAL_US)),
            rules=rules,
            limits=messages.Limits(max_attempts=4, cancel=True, health_checks=health_checks),
        ),
        balancers,
        endpoints,
        per_window,
        LOAD,
        seed,
        clients=(Client("read", 4), Client("write", 2), Client("mark", 2), Client("pay", 2)),
        surge=lambda now: surge if surge_at_us <= now < surge_at_us + 3 * S else 1.0,
        most_surge=surge,
        slots=max(1, round(USUAL_US / usual_us)),
    )


def restart_endpoints(fleet: Fleet, warming: str, faults: str, at_us: int) -> list[Machine]:
    """Restart the endpoints that are to warm up, after 0.3 s without them, and return their machines."""
    fleet.run(at_us - 300 * MS)
    chosen = warming_machines(fleet, warming)
    if "held" in faults:
        fleet.tell(
            [replace(machine.entry, status=messages.EndpointStatus.DRAINING) for machine in fleet.machines],
            within=0,
        )
    elif warming != "one":
        fleet.tell([replace(machine.entry, status=messages.EndpointStatus.REMOVED) for machine in chosen])
    fleet.run(at_us)
    break_machines(fleet, faults)
    fleet.restart(chosen)
    if "held" in faults:
        fleet.tell([machine.entry for machine in fleet.machines])
    return chosen


def request_classes_for(faults: str, stretch: float) -> tuple[messages.RequestClass, ...]:
    """Return the usual classes with their times stretched, all keyed where the faults say so."""
    classes = tuple(
        replace(
            request_class,
            latency_objective_us=int(request_class.latency_objective_us * stretch),
            deadline_us=int(request_class.deadline_us * stretch),
            deduplication_window_us=int(request_class.deduplication_window_us * stretch),
        )
        for request_class in CLASSES
    )
    for name, key_scope in (("zoned", messages.KeyScope.ZONE), ("celled", messages.KeyScope.CELL)):
        if name in faults:
            classes = tuple(
                replace(
                    request_class,
                    idempotency=messages.Idempotency.KEYED,
                    key_scope=key_scope,
                    deduplication_window_us=request_class.deadline_us,
                )
                for request_class in classes
            )
    return classes


def warming_machines(fleet: Fleet, warming: str) -> list[Machine]:
    return {
        "one": fleet.machines[:1],
        "zone": [machine for machine in fleet.machines if machine.entry.zone == "a"],
        "all": fleet.machines,
    }[warming]


def break_machines(fleet: Fleet, faults: str) -> None:
    """Let a third or two of all machines fail in the way that the faults name."""
    for mode, parts in (("failing", (1,)), ("refusing", (0, 1)), ("silent", (0, 1))):
        for number, machine in enumerate(fleet.machines):
            if mode in faults and number % 3 in parts:
                machine.mode = mode


def draw_requests_to(fleet: Fleet, chosen: list[Machine], started_at_us: int, faults: str) -> None:
    """Give these machines shares that would draw every request, after none for a while with "saved"."""
    fleet.run(started_at_us + fleet.spread_us)
    if "saved" in faults:
        set_shares(fleet, chosen, 1e-9)
        fleet.run(started_at_us + 20 * S)
    set_shares(fleet, chosen, 1e9)


def remove_others_in_turn(fleet: Fleet, chosen: list[Machine], until: int) -> None:
    """Remove one random other machine after another from the list, each for 0.4 s."""
    others = [machine.entry for machine in fleet.machines if machine not in chosen]
    while others and fleet.now + 400 * MS < until:
        leaves = fleet.rng.choice(others)
        fleet.tell([replace(leaves, status=messages.EndpointStatus.REMOVED)])
        fleet.run(fleet.now + 400 * MS)
        fleet.tell([leaves])


def set_shares(fleet: Fleet, machines: list[Machine], share: float) -> None:
    for module in fleet.modules:
        for machine in machines:
            module.endpoints.states[machine.entry.id].share = share


FAULTS = ("burst", "burst failing", "burst held", "burst failing held")

TIGHT = replace(RULES, overload_multiple=1.5)  # less is allowed than a warm endpoint serves

# Balancers, endpoints, calls of each balancer in a window, which endpoints warm up, faults, rules
SIZES = [
    *((3, 10, 20.0, warming, faults, RULES) for warming in ("one", "zone", "all") for faults in FAULTS),
    *((30, 12, 0.7, warming, faults, RULES) for warming in ("one", "zone", "all") for faults in FAULTS),
    *((30, 6, 3.0, warming, faults, RULES) for warming in ("one", "zone", "all") for faults in FAULTS),
    *((30, 6, 3.0, warming, faults, TIGHT) for warming in ("one", "zone") for faults in FAULTS),
    (200, 200, 3.0, "one", "burst failing", RULES),
    (200, 200, 0.7, "zone", "burst failing held", RULES),
    (200, 200, 3.0, "all", "burst failing", RULES),
    (880, 440, 1.0, "zone", "burst failing", RULES),
]


@pytest.mark.parametrize(("balancers", "endpoints", "calls", "warming", "faults", "rules"), SIZES)
def test_all_balancers_keep_a_warming_endpoint_within_its_budget(
    balancers: int, endpoints: int, calls: float, warming: str, faults: str, rules: messages.Rules
) -> None:
    before, after = (S, 2 * S) if balancers > 100 else (3 * S, 4 * S)
    fleet = warming_fleet(
        balancers, endpoints, calls, warming, faults, rules=rules, before=before, after=after
    )
    worst, sent, allowed = fleet.worst_cold()
    assert worst <= 1.0, f"{sent} attempts, {allowed:.1f} allowed"
    assert sent > 0
    assert len(fleet.calls) >= 100


def test_request_examines_no_more_endpoints_than_its_subset(monkeypatch: pytest.MonkeyPatch) -> None:
    """With 880 endpoints all warming, each request examined all of them for each one in its subset."""
    examined = 0
    capacity = SlowStart.capacity

    def counted(slow_start: SlowStart, now: int, state: EndpointState) -> float:
        nonlocal examined
        examined += 1
        return capacity(slow_start, now, state)

    harness = BalancerHarness(settings(instances=880), backends=0)
    harness.news(*(messages.Endpoint(number, incarnation_us=harness.now) for number in range(880)))
    monkeypatch.setattr(SlowStart, "capacity", counted)
    harness.request("r")
    assert 0 < examined <= 2 * len(harness.balancer.endpoints.subset)


def assert_within_budget(
    balancers: int,
    endpoints: int,
    calls: float,
    warming: str,
    faults: str,
    rules: messages.Rules,
    seed: int = 1,
) -> None:
    worst, sent, allowed = warming_fleet(
        balancers, endpoints, calls, warming, faults, seed=seed, rules=rules
    ).worst_cold()
    assert sent > 0
    assert worst <= 1.0, f"{sent} attempts, {allowed:.1f} allowed"


# The least rate, the first attempt and two saved attempts of each of many balancers were too much together.
# Balancers, endpoints, calls of each balancer in a window, which endpoints warm up, faults, rules
PARTS = [
    (30, 12, 0.7, "zone", "burst refusing", RULES),
    (30, 6, 0.7, "zone", "burst refusing", RULES),
    (30, 6, 0.7, "zone", "burst refusing", TIGHT),
    (30, 6, 0.7, "zone", "burst failing held", TIGHT),
    (120, 6, 0.3, "one", "refusing burst wanted", RULES),
    (120, 6, 1.0, "one", "burst wanted", TIGHT),
]


@pytest.mark.parametrize(("balancers", "endpoints", "calls", "warming", "faults", "rules"), PARTS)
def test_quotas_of_all_balancers_sum_to_no_more_than_the_budget(
    balancers: int, endpoints: int, calls: float, warming: str, faults: str, rules: messages.Rules
) -> None:
    assert_within_budget(balancers, endpoints, calls, warming, faults, rules)


def test_request_is_sent_when_its_whole_subset_is_warming() -> None:
    """Others are warm, but no endpoint that it may use shows how much one can take."""
    harness = BalancerHarness(settings(instances=20), backends=0)
    harness.news(*(messages.Endpoint(number) for number in range(30)))
    ours = {state.endpoint.id for state in harness.balancer.endpoints.subset}
    harness.news(
        *(
            messages.Endpoint(number, incarnation_us=harness.now if number in ours else 0)
            for number in range(30)
        ),
        version=2,
    )
    assert {state.endpoint.id for state in harness.balancer.endpoints.subset} == ours
    assert only(harness.request("r"), messages.StartAttempt)


def test_unused_tokens_are_saved_for_at_most_one_window() -> None:
    """Otherwise all of them would send their saved attempts at the same moment, when a burst comes."""
    rules, saved, flow = replace(RULES, slow_start_us=60 * S), 0, 0.0
    for index in range(0, 120, 2):
        harness = BalancerHarness(settings(rules=rules, instances=120, index=index), backends=0, seed=index)
        harness.news(*(messages.Endpoint(number) for number in range(6)))
        restarted = harness.balancer.endpoints.subset[0]
        harness.news(
            messages.Endpoint(restarted.endpoint.id, incarnation_us=harness.now),
            kind=messages.EndpointListKind.CHANGES,
            version=2,
        )
        restarted = harness.balancer.endpoints.states[restarted.endpoint.id]
        restarted.share = 1e-9
        for number in range(30):
            for send in only(harness.request(f"r{number}"), messages.StartAttempt):
                harness.end(send, messages.Outcome.OK)
            harness.pass_time(S)
        saved += int(harness.balancer.slow_start.due_tokens(harness.now, restarted))
        flow += rules.overload_window_us / S / len(harness.balancer.endpoints.subset)
    assert 0 < saved <= rules.overload_multiple * 0.67 * flow


def test_retries_do_not_raise_the_rate_of_a_warming_endpoint() -> None:
    harness, sent = BalancerHarness(settings(limits=messages.Limits(max_attempts=3)), backends=8), 0
    for number in range(3):
        sends = only(harness.request(f"r{number}"), messages.StartAttempt)
        for attempt in range(3):
            sent += len(sends)
            sends = only(harness.end(sends[0], messages.Outcome.REJECTED, MS, attempt), messages.StartAttempt)
    assert sent == 9
    assert harness.balancer.slow_start.first_attempts.per_us(harness.now) <= 3 / RATE_MEMORY_US


def test_endpoint_outside_the_subset_gets_smaller_quotas_from_more_balancers() -> None:
    """Only retries go there, but from all balancers."""
    harness = BalancerHarness(settings(rules=RULES, instances=40), backends=0)
    harness.news(*(messages.Endpoint(number, incarnation_us=harness.now) for number in range(40)))
    for number in range(40):
        harness.request(f"r{number}")
    harness.now += 100 * MS
    ours = harness.balancer.endpoints.subset[0]
    other = next(
        state
        for state in harness.balancer.endpoints.states.values()
        if state not in harness.balancer.endpoints.subset
    )
    earned = []
    for state in (ours, other):
        state.warming.tokens, state.warming.tokens_updated_at_us = 0.0, harness.now - 100 * MS
        earned.append(harness.balancer.slow_start.due_tokens(harness.now, state))
    assert 0 < earned[1] * 40 <= 0.21 * earned[0] * harness.balancer.endpoints.sharing_balancers


# With all warming, endpoints that fail answer one attempt at a time as fast as it comes
ALL_WARMING = [
    (30, 12, 3.0, "all", "burst failing", RULES),
    (30, 12, 3.0, "all", "burst failing", TIGHT),
    (30, 6, 0.7, "all", "burst failing", RULES),
    (30, 6, 3.0, "all", "burst refusing", RULES),
    (120, 6, 0.3, "all", "burst failing", RULES),
]


@pytest.mark.parametrize(("balancers", "endpoints", "calls", "warming", "faults", "rules"), ALL_WARMING)
def test_failing_endpoints_stay_within_budget_when_all_are_warming(
    balancers: int, endpoints: int, calls: float, warming: str, faults: str, rules: messages.Rules
) -> None:
    assert_within_budget(balancers, endpoints, calls, warming, faults, rules)


def test_first_attempts_of_many_balancers_make_no_burst() -> None:
    sent = [0] * 6
    for index in range(30):
        harness = BalancerHarness(settings(rules=RULES, instances=30, index=index), backends=0, seed=index)
        harness.news(*(messages.Endpoint(number, incarnation_us=harness.now) for number in range(6)))
        for number in range(3):
            for send in only(harness.request(f"r{number}"), messages.StartAttempt):
                sent[send.endpoint_id] += 1
    # One from each balancer made five for an endpoint: more than the rule allows where it can take one.
    assert sum(sent) > 0
    assert max(sent) <= FREE_FIRST_ATTEMPTS


def test_retry_is_not_a_free_first_attempt() -> None:
    harness = BalancerHarness(settings(rules=RULES, instances=30), backends=0)
    harness.news(*(messages.Endpoint(number, incarnation_us=harness.now) for number in range(6)))
    [send] = only(harness.request("r"), messages.StartAttempt)
    assert not only(harness.end(send, messages.Outcome.REJECTED, MS), messages.StartAttempt)


@pytest.mark.parametrize("seed", [0, 3, 4])
def test_health_checks_and_their_repeats_stay_within_the_budget(seed: int) -> None:
    fleet = warming_fleet(30, 6, 0.7, "all", "burst silent", seed, health_checks=True)
    worst, sent, allowed = fleet.worst_cold()
    assert sent > 0
    assert worst <= 1.0, f"{sent} attempts and checks, {allowed:.1f} allowed"


@pytest.mark.parametrize(("started_at_us", "check_count"), [(0, 2), (10 * S, 1)])
def test_unanswered_health_check_is_repeated_only_within_the_budget(
    started_at_us: int, check_count: int
) -> None:
    setup = settings(
        rules=replace(RULES, slow_start_us=60 * S), limits=messages.Limits(3, cancel=True, health_checks=True)
    )
    harness = BalancerHarness(setup, backends=0)
    harness.news(messages.Endpoint(0, incarnation_us=started_at_us))
    harness.request("r")
    harness.pass_time(950 * MS)
    harness.balancer.endpoints.states[0].warming.tokens = 1.0  # expires after a part of the window
    harness.balancer.endpoints.states[0].warming.tokens_updated_at_us = harness.now
    checks = only(harness.pass_time(250 * MS), messages.CheckHealth)
    assert len(checks) == 1
    harness.balancer.endpoints.states[0].warming.tokens = 0.0
    again = only(harness.event(messages.HealthCheckEnded(0, alive=False)), messages.CheckHealth)
    assert len(checks) + len(again) == check_count


def test_budget_allows_concurrent_attempts_when_all_are_warming() -> None:
    """Warming endpoints respond slowly; with one attempt at a time they served half of what they could."""
    harness = BalancerHarness(backends=3)
    for number in range(300):
        harness.pass_time(10 * MS)
        for send in only(harness.request(f"w{number}"), messages.StartAttempt):
            harness.end(send, messages.Outcome.OK, took=20 * MS)
    harness.news(*(messages.Endpoint(number, incarnation_us=harness.now) for number in range(3)), version=2)
    sent = []
    for number in range(50):
        sent += [
            send.endpoint_id
            for send in only(
                harness.pass_time(10 * MS) + harness.request(f"c{number}"), messages.StartAttempt
            )
        ]
    assert min(sent.count(number) for number in range(3)) >= 2
    assert len(sent) <= 50 * 3.0 * 0.5


def test_first_listed_endpoint_is_not_sent_an_attempt_by_every_balancer() -> None:
    """A list in parts may name one warming endpoint first, while all balancers have queued requests."""
    sent = 0
    for index in range(200):
        harness = BalancerHarness(settings(rules=RULES, instances=200, index=index), backends=0, seed=index)
        harness.request("r")
        harness.news(messages.Endpoint(0, incarnation_us=harness.now))
        sent += len(only(harness.done, messages.StartAttempt))
    assert 0 < sent <= 12
