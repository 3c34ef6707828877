"""No class, tenant, period or balancer is starved, in the simulated fleet.

All machines together can serve more than twice the load, so a policy that knew their true state could serve
every request but those on a machine as it failed. These tests require half of that.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from itertools import pairwise

import pytest

from load_balancer import messages
from tests.support.balancer_harness import SAFE_CLASS, UNSAFE_CLASS, balancer_settings
from tests.support.simulated_fleet import START_US, SimulatedClient, SimulatedFleet, SimulatedRequest
from tests.support.units import MILLISECOND_US, SECOND_US

SHORT = messages.RequestClass(
    "short",
    2 * SECOND_US,
    5 * SECOND_US,
    messages.Idempotency.KEYED,
    messages.KeyScope.CELL,
    deduplication_window_us=600 * MILLISECOND_US,
    priority_weight=2,
)
RULES = messages.Rules(
    start_capacity=0.34,
    slow_start_us=5 * SECOND_US,
    overload_multiple=3.0,
    overload_window_us=1500 * MILLISECOND_US,
)
LENGTH_US = 24 * SECOND_US
USUAL_US = 300 * MILLISECOND_US  # about what an attempt takes
AWAY_US = 5 * SECOND_US  # a lost zone is away for this long
# A balancer may not reject this many requests in a period of this length without making an attempt.
NO_ATTEMPT_US = 4 * SECOND_US
MAX_REQUESTS_WITHOUT_ATTEMPT = 15
CLIENTS = tuple(
    SimulatedClient(cls, part * weight, tenant)
    for cls, part in (("read", 0.5), ("short", 0.3), ("pay", 0.2))
    for tenant, weight in (("large", 0.9), ("small", 0.1))
)
SIZES = [(3, 8, 20.0, 0.45), (30, 16, 3.0, 0.45), (30, 8, 1.0, 0.45), (12, 12, 8.0, 0.45)]


def build_fleet(balancers: int, endpoints: int, calls: float, load: float, seed: int) -> SimulatedFleet:
    """Return a fleet in which each balancer gets `calls` requests in each overload window.

    `load` is the share of the capacity of all machines that the requests need.
    """
    requests_per_window = balancers * calls / endpoints / load
    asked_per_s = balancers * calls * SECOND_US / RULES.overload_window_us
    setup = balancer_settings(
        classes=(SAFE_CLASS, SHORT, UNSAFE_CLASS),
        rules=RULES,
        tenants=(messages.Tenant("large", asked_per_s), messages.Tenant("small", 0.3 * asked_per_s)),
        over_quota_weight=0.1,
    )
    slots = max(1, round(USUAL_US * requests_per_window / RULES.overload_window_us))
    return SimulatedFleet(
        setup, balancers, endpoints, requests_per_window, load, seed, CLIENTS, slot_count=slots
    )


def lose_zones(fleet: SimulatedFleet, zones: str) -> None:
    """Remove the endpoints of these zones for a while; they come back warming up."""
    lost_machines = [machine for machine in fleet.endpoints if machine.entry.zone in zones]
    for machine in lost_machines:
        machine.mode = "silent"
    fleet.send_list(
        [replace(machine.entry, status=messages.EndpointStatus.REMOVED) for machine in lost_machines]
    )
    fleet.run_until(fleet.now_us + AWAY_US)
    for machine in lost_machines:
        machine.mode = "healthy"
    fleet.restart(lost_machines)


def simulate_day(fleet: SimulatedFleet, fault: str) -> None:
    """Simulate a day: "calm", with one endpoint in eight "failing" or "slow", or with a "zone" lost."""
    fleet.run_until(START_US + LENGTH_US // 6)
    for machine in fleet.endpoints[::8]:
        if fault == "failing":
            machine.mode = "failing"
        elif fault == "slow":
            machine.slowdown_factor = 6.0
    if fault == "zone":
        lose_zones(fleet, "a")
    fleet.run_until(START_US + LENGTH_US)


def most_requests_without_attempt(fleet: SimulatedFleet, since: int = START_US) -> int:
    """Return the most requests that a balancer got in a period of 4 s or more without an attempt."""
    worst = 0
    for index in range(fleet.balancer_count):
        sends = [at for at, balancer in fleet.attempts if balancer == index and at >= since]
        marks = [since, *sends, fleet.now_us]
        for begin, end in pairwise(marks):
            if end - begin >= NO_ATTEMPT_US:
                arrived = sum(
                    call.balancer_index == index and begin < call.arrived_at_us <= end
                    for call in fleet.requests
                )
                worst = max(worst, arrived)
    return worst


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize("fault", ["calm", "failing", "slow", "zone"])
@pytest.mark.parametrize(("balancers", "endpoints", "calls", "load"), SIZES)
def test_every_class_tenant_and_period_has_half_of_its_requests_served(
    balancers: int, endpoints: int, calls: float, load: float, fault: str, seed: int
) -> None:
    fleet = build_fleet(balancers, endpoints, calls, load, seed)
    simulate_day(fleet, fault)
    groups: dict[str, list[SimulatedRequest]] = defaultdict(list)
    for call in fleet.requests:
        if call.arrived_at_us < fleet.now_us - 5 * SECOND_US:  # those after may still be under way
            groups[call.class_name].append(call)
            groups[str(call.tenant)].append(call)
            groups[f"third {3 * (call.arrived_at_us - START_US) // (LENGTH_US - 5 * SECOND_US)}"].append(call)
    served = {name: fleet.on_time_share(calls) for name, calls in groups.items()}
    assert len(served) == 8
    assert min(len(calls) for calls in groups.values()) >= 20
    assert min(served.values()) >= 0.5, served
    assert most_requests_without_attempt(fleet) < MAX_REQUESTS_WITHOUT_ATTEMPT


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize(
    ("balancers", "endpoints", "calls", "load"),
    [(3, 8, 20.0, 0.25), (30, 16, 3.0, 0.25), (30, 8, 1.0, 0.25), (12, 12, 8.0, 0.25)],
)
def test_every_balancer_serves_requests_when_all_endpoints_are_warming(
    balancers: int, endpoints: int, calls: float, load: float, seed: int
) -> None:
    """At a quarter of the load even warming endpoints could serve everything."""
    fleet = build_fleet(balancers, endpoints, calls, load, seed)
    fleet.run_until(START_US + 3 * SECOND_US)
    lose_zones(fleet, "abc")
    restored_at_us = fleet.now_us
    fleet.run_until(restored_at_us + 7 * SECOND_US)
    arrived = [
        call
        for call in fleet.requests
        if restored_at_us + fleet.max_list_delay_us <= call.arrived_at_us < restored_at_us + 5 * SECOND_US
    ]
    for index in range(balancers):
        own_calls = [call for call in arrived if call.balancer_index == index]
        if len(own_calls) >= MAX_REQUESTS_WITHOUT_ATTEMPT:
            assert fleet.on_time_share(own_calls) >= 0.3
    for cls in ("read", "short", "pay"):
        assert fleet.on_time_share(call for call in arrived if call.class_name == cls) >= 0.5
    assert most_requests_without_attempt(fleet, restored_at_us) < MAX_REQUESTS_WITHOUT_ATTEMPT
