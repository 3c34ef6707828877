"""No request class, tenant, period or balancer is starved in the simulated fleet.

All endpoints together can serve more than twice the load. A policy that knew their actual state could serve
every request except those in flight at an endpoint when it fails; these tests require half of the requests.
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

SHORT_WINDOW_CLASS = messages.RequestClass(
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
SIMULATION_US = 24 * SECOND_US
USUAL_LATENCY_US = 300 * MILLISECOND_US  # approximate latency of an attempt
ZONE_LOSS_US = 5 * SECOND_US  # time from the loss of a zone until its endpoints restart
# A balancer must not get this many requests in a gap of this length between two of its attempts.
GAP_WITHOUT_ATTEMPT_US = 4 * SECOND_US
MAX_REQUESTS_IN_GAP = 15
CLIENTS = tuple(
    SimulatedClient(class_name, traffic_share * tenant_share, tenant)
    for class_name, traffic_share in (("read", 0.5), ("short", 0.3), ("pay", 0.2))
    for tenant, tenant_share in (("large", 0.9), ("small", 0.1))
)
FLEETS = [(3, 8, 20.0, 0.45), (30, 16, 3.0, 0.45), (30, 8, 1.0, 0.45), (12, 12, 8.0, 0.45)]


def build_fleet(
    balancer_count: int, endpoint_count: int, requests_per_window: float, load: float, seed: int
) -> SimulatedFleet:
    """Return a fleet in which each balancer gets `requests_per_window` requests in each overload window.

    `load` is the share of the capacity of all endpoints that the requests need.
    """
    requests_per_endpoint = balancer_count * requests_per_window / endpoint_count / load
    offered_per_s = balancer_count * requests_per_window * SECOND_US / RULES.overload_window_us
    settings = balancer_settings(
        classes=(SAFE_CLASS, SHORT_WINDOW_CLASS, UNSAFE_CLASS),
        rules=RULES,
        tenants=(messages.Tenant("large", offered_per_s), messages.Tenant("small", 0.3 * offered_per_s)),
        over_quota_weight=0.1,
    )
    slot_count = max(1, round(USUAL_LATENCY_US * requests_per_endpoint / RULES.overload_window_us))
    return SimulatedFleet(
        settings,
        balancer_count,
        endpoint_count,
        requests_per_endpoint,
        load,
        seed,
        CLIENTS,
        slot_count=slot_count,
    )


def lose_zones(fleet: SimulatedFleet, zones: str) -> None:
    """Silence and remove the endpoints of these zones, then restart them, which makes them warm up."""
    lost_endpoints = [endpoint for endpoint in fleet.endpoints if endpoint.entry.zone in zones]
    for endpoint in lost_endpoints:
        endpoint.mode = "silent"
    fleet.send_list(
        [replace(endpoint.entry, status=messages.EndpointStatus.REMOVED) for endpoint in lost_endpoints]
    )
    fleet.run_until(fleet.now_us + ZONE_LOSS_US)
    for endpoint in lost_endpoints:
        endpoint.mode = "healthy"
    fleet.restart(lost_endpoints)


def run_with_fault(fleet: SimulatedFleet, fault: str) -> None:
    """Run the fleet: "calm", with one endpoint in eight "failing" or "slow", or with the loss of a "zone"."""
    fleet.run_until(START_US + SIMULATION_US // 6)
    for endpoint in fleet.endpoints[::8]:
        if fault == "failing":
            endpoint.mode = "failing"
        elif fault == "slow":
            endpoint.slowdown_factor = 6.0
    if fault == "zone":
        lose_zones(fleet, "a")
    fleet.run_until(START_US + SIMULATION_US)


def max_requests_in_gap(fleet: SimulatedFleet, since_us: int = START_US) -> int:
    """Return the maximum of requests that a balancer got in a gap of at least 4 s without an attempt."""
    max_requests = 0
    for index in range(fleet.balancer_count):
        attempt_times_us = [at for at, balancer in fleet.attempts if balancer == index and at >= since_us]
        times_us = [since_us, *attempt_times_us, fleet.now_us]
        for start_us, end_us in pairwise(times_us):
            if end_us - start_us >= GAP_WITHOUT_ATTEMPT_US:
                request_count = sum(
                    request.balancer_index == index and start_us < request.arrived_at_us <= end_us
                    for request in fleet.requests
                )
                max_requests = max(max_requests, request_count)
    return max_requests


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize("fault", ["calm", "failing", "slow", "zone"])
@pytest.mark.parametrize(("balancer_count", "endpoint_count", "requests_per_window", "load"), FLEETS)
def test_every_class_tenant_and_period_has_half_of_its_requests_served(
    balancer_count: int, endpoint_count: int, requests_per_window: float, load: float, fault: str, seed: int
) -> None:
    fleet = build_fleet(balancer_count, endpoint_count, requests_per_window, load, seed)
    run_with_fault(fleet, fault)
    groups: dict[str, list[SimulatedRequest]] = defaultdict(list)
    for request in fleet.requests:
        if request.arrived_at_us < fleet.now_us - 5 * SECOND_US:  # later requests may still be in flight
            groups[request.class_name].append(request)
            groups[str(request.tenant)].append(request)
            groups[
                f"third {3 * (request.arrived_at_us - START_US) // (SIMULATION_US - 5 * SECOND_US)}"
            ].append(request)
    served = {name: fleet.on_time_share(requests) for name, requests in groups.items()}
    assert len(served) == 8
    assert min(len(requests) for requests in groups.values()) >= 20
    assert min(served.values()) >= 0.5, served
    assert max_requests_in_gap(fleet) < MAX_REQUESTS_IN_GAP


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize(
    ("balancer_count", "endpoint_count", "requests_per_window", "load"),
    [(3, 8, 20.0, 0.25), (30, 16, 3.0, 0.25), (30, 8, 1.0, 0.25), (12, 12, 8.0, 0.25)],
)
def test_every_balancer_serves_requests_when_all_endpoints_are_warming(
    balancer_count: int, endpoint_count: int, requests_per_window: float, load: float, seed: int
) -> None:
    """At a load of 0.25 the endpoints could serve every request even while warming up."""
    fleet = build_fleet(balancer_count, endpoint_count, requests_per_window, load, seed)
    fleet.run_until(START_US + 3 * SECOND_US)
    lose_zones(fleet, "abc")
    restored_at_us = fleet.now_us
    fleet.run_until(restored_at_us + 7 * SECOND_US)
    arrived_requests = [
        request
        for request in fleet.requests
        if restored_at_us + fleet.max_list_delay_us <= request.arrived_at_us < restored_at_us + 5 * SECOND_US
    ]
    for index in range(balancer_count):
        own_requests = [request for request in arrived_requests if request.balancer_index == index]
        if len(own_requests) >= MAX_REQUESTS_IN_GAP:
            assert fleet.on_time_share(own_requests) >= 0.3
    for class_name in ("read", "short", "pay"):
        assert (
            fleet.on_time_share(request for request in arrived_requests if request.class_name == class_name)
            >= 0.5
        )
    assert max_requests_in_gap(fleet, restored_at_us) < MAX_REQUESTS_IN_GAP
