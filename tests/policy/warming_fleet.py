"""Simulated fleets with endpoints that have just started, for the tests of slow start."""

from __future__ import annotations

from dataclasses import replace

from load_balancer import messages
from tests.support.balancer_harness import REQUEST_CLASSES, balancer_settings
from tests.support.simulated_fleet import START_US, SimulatedClient, SimulatedEndpoint, SimulatedFleet
from tests.support.units import MILLISECOND_US, SECOND_US

RULES = messages.Rules(
    start_capacity=0.34,
    slow_start_us=5 * SECOND_US,
    overload_multiple=3.0,
    overload_window_us=1500 * MILLISECOND_US,
)
# Minimum latency of an attempt, so that a few per second are a substantial load.
MIN_LATENCY_US = 250 * MILLISECOND_US
LOAD = 0.6


def warming_fleet(
    balancer_count: int,
    endpoint_count: int,
    requests_per_window: float,
    warming: str,
    faults: str,
    seed: int = 0,
    health_checks: bool = False,
    rules: messages.Rules = RULES,
    before_restart_us: int = 3 * SECOND_US,
    after_restart_us: int = 4 * SECOND_US,
) -> SimulatedFleet:
    """Return a fleet in which endpoints were restarted: "one", those of one "zone" in three, or "all".

    Each balancer gets `requests_per_window` requests in each overload window. The fleet runs for
    `before_restart_us` before the restart and `after_restart_us` after it. The faults are any of:

    - "burst": twice the load for 3 s after the restart; "tripled": three times the load;
    - "failing", "refusing" or "silent": the mode of a third ("failing") or two thirds of all endpoints;
    - "held": no endpoint is available for 0.3 s, so that all queued requests are sent at once afterwards;
    - "wanted": the restarted endpoints have shares that attract every request; "saved": the same, after
      20 s in which they got no requests;
    - "again": the same endpoints restart again after 0.7 s and after 1.9 s;
    - "moving": every 0.4 s a random other endpoint is removed from the list and added again, so that
      subsets change;
    - "zoned" or "celled": all request classes are keyed, with the zone or the cell as their key scope.
    """
    started_at_us = START_US + before_restart_us
    fleet = loaded_fleet(
        balancer_count, endpoint_count, requests_per_window, faults, seed, health_checks, rules, started_at_us
    )
    restarted = restart_endpoints(fleet, warming, faults, started_at_us)
    if "wanted" in faults or "saved" in faults:
        raise_shares(fleet, restarted, started_at_us, faults)
    if "again" in faults:
        for wait_us in (700 * MILLISECOND_US, 1900 * MILLISECOND_US):
            fleet.run_until(started_at_us + wait_us)
            fleet.restart(restarted)
    if "moving" in faults:
        remove_others_in_turn(fleet, restarted, started_at_us + after_restart_us)
    fleet.run_until(started_at_us + after_restart_us)
    return fleet


def loaded_fleet(
    balancer_count: int,
    endpoint_count: int,
    requests_per_window: float,
    faults: str,
    seed: int,
    health_checks: bool,
    rules: messages.Rules,
    surge_at_us: int,
) -> SimulatedFleet:
    """Return a fleet of warm endpoints under load, with a surge of 3 s if the faults include one."""
    requests_per_endpoint = balancer_count * requests_per_window / endpoint_count / LOAD
    # Latency of an attempt at an endpoint that serves one at a time.
    latency_us = rules.overload_window_us / requests_per_endpoint
    surge = 3.0 if "tripled" in faults else 2.0 if "burst" in faults else 1.0
    return SimulatedFleet(
        balancer_settings(
            classes=request_classes_for(faults, time_factor=max(1.0, latency_us / MIN_LATENCY_US)),
            rules=rules,
            limits=messages.Limits(max_attempts=4, cancel=True, health_checks=health_checks),
        ),
        balancer_count,
        endpoint_count,
        requests_per_endpoint,
        LOAD,
        seed,
        clients=(
            SimulatedClient("read", 4),
            SimulatedClient("write", 2),
            SimulatedClient("mark", 2),
            SimulatedClient("pay", 2),
        ),
        load_factor_at=lambda now: surge if surge_at_us <= now < surge_at_us + 3 * SECOND_US else 1.0,
        max_load_factor=surge,
        slot_count=max(1, round(MIN_LATENCY_US / latency_us)),
    )


def restart_endpoints(
    fleet: SimulatedFleet, warming: str, faults: str, at_us: int
) -> list[SimulatedEndpoint]:
    """Restart the endpoints that are to warm up, after 0.3 s without them, and return them."""
    fleet.run_until(at_us - 300 * MILLISECOND_US)
    restarted = endpoints_to_restart(fleet, warming)
    if "held" in faults:
        fleet.send_list(
            [
                replace(endpoint.entry, status=messages.EndpointStatus.DRAINING)
                for endpoint in fleet.endpoints
            ],
            max_delay_us=0,
        )
    elif warming != "one":
        fleet.send_list(
            [replace(endpoint.entry, status=messages.EndpointStatus.REMOVED) for endpoint in restarted]
        )
    fleet.run_until(at_us)
    inject_failures(fleet, faults)
    fleet.restart(restarted)
    if "held" in faults:
        fleet.send_list([endpoint.entry for endpoint in fleet.endpoints])
    return restarted


def request_classes_for(faults: str, time_factor: float) -> tuple[messages.RequestClass, ...]:
    """Return the usual request classes with scaled times, all keyed if the faults include a key scope."""
    classes = tuple(
        replace(
            request_class,
            latency_objective_us=int(request_class.latency_objective_us * time_factor),
            deadline_us=int(request_class.deadline_us * time_factor),
            deduplication_window_us=int(request_class.deduplication_window_us * time_factor),
        )
        for request_class in REQUEST_CLASSES
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


def endpoints_to_restart(fleet: SimulatedFleet, warming: str) -> list[SimulatedEndpoint]:
    return {
        "one": fleet.endpoints[:1],
        "zone": [endpoint for endpoint in fleet.endpoints if endpoint.entry.zone == "a"],
        "all": fleet.endpoints,
    }[warming]


def inject_failures(fleet: SimulatedFleet, faults: str) -> None:
    """Set the failure modes that the faults include, on one or two thirds of all endpoints."""
    for mode, parts in (("failing", (1,)), ("refusing", (0, 1)), ("silent", (0, 1))):
        for number, endpoint in enumerate(fleet.endpoints):
            if mode in faults and number % 3 in parts:
                endpoint.mode = mode


def raise_shares(
    fleet: SimulatedFleet, restarted: list[SimulatedEndpoint], started_at_us: int, faults: str
) -> None:
    """Raise the shares so that these endpoints attract every request; with "saved", lower them first."""
    fleet.run_until(started_at_us + fleet.max_list_delay_us)
    if "saved" in faults:
        set_shares(fleet, restarted, 1e-9)
        fleet.run_until(started_at_us + 20 * SECOND_US)
    set_shares(fleet, restarted, 1e9)


def remove_others_in_turn(fleet: SimulatedFleet, restarted: list[SimulatedEndpoint], until_us: int) -> None:
    """Remove random other endpoints from the list one after another, for 0.4 s each."""
    others = [endpoint.entry for endpoint in fleet.endpoints if endpoint not in restarted]
    while others and fleet.now_us + 400 * MILLISECOND_US < until_us:
        leaving_entry = fleet.rng.choice(others)
        fleet.send_list([replace(leaving_entry, status=messages.EndpointStatus.REMOVED)])
        fleet.run_until(fleet.now_us + 400 * MILLISECOND_US)
        fleet.send_list([leaving_entry])


def set_shares(fleet: SimulatedFleet, endpoints: list[SimulatedEndpoint], share: float) -> None:
    for balancer in fleet.balancers:
        for endpoint in endpoints:
            balancer.endpoints.states[endpoint.entry.id].share = share
