"""Simulated fleets whose endpoints have just started, for the tests of slow start."""

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
USUAL_US = (
    250 * MILLISECOND_US
)  # what an attempt takes at least, so that few of them a second are a real load
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
    before: int = 3 * SECOND_US,
    after: int = 4 * SECOND_US,
) -> SimulatedFleet:
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
    started_at_us = START_US + before
    fleet = loaded_fleet(balancers, endpoints, calls, faults, seed, health_checks, rules, started_at_us)
    started = restart_endpoints(fleet, warming, faults, started_at_us)
    if "wanted" in faults or "saved" in faults:
        draw_requests_to(fleet, started, started_at_us, faults)
    if "again" in faults:
        for wait_us in (700 * MILLISECOND_US, 1900 * MILLISECOND_US):
            fleet.run_until(started_at_us + wait_us)
            fleet.restart(started)
    if "moving" in faults:
        remove_others_in_turn(fleet, started, started_at_us + after)
    fleet.run_until(started_at_us + after)
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
) -> SimulatedFleet:
    """Return a fleet of warm endpoints under load, with a surge of 3 s where the faults name one."""
    requests_per_window = balancers * calls / endpoints / LOAD
    usual_us = rules.overload_window_us / requests_per_window  # of an attempt, with one at a time
    surge = 3.0 if "tripled" in faults else 2.0 if "burst" in faults else 1.0
    return SimulatedFleet(
        balancer_settings(
            classes=request_classes_for(faults, stretch=max(1.0, usual_us / USUAL_US)),
            rules=rules,
            limits=messages.Limits(max_attempts=4, cancel=True, health_checks=health_checks),
        ),
        balancers,
        endpoints,
        requests_per_window,
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
        slot_count=max(1, round(USUAL_US / usual_us)),
    )


def restart_endpoints(
    fleet: SimulatedFleet, warming: str, faults: str, at_us: int
) -> list[SimulatedEndpoint]:
    """Restart the endpoints that are to warm up, after 0.3 s without them, and return their machines."""
    fleet.run_until(at_us - 300 * MILLISECOND_US)
    chosen = warming_machines(fleet, warming)
    if "held" in faults:
        fleet.send_list(
            [replace(machine.entry, status=messages.EndpointStatus.DRAINING) for machine in fleet.endpoints],
            max_delay_us=0,
        )
    elif warming != "one":
        fleet.send_list(
            [replace(machine.entry, status=messages.EndpointStatus.REMOVED) for machine in chosen]
        )
    fleet.run_until(at_us)
    break_machines(fleet, faults)
    fleet.restart(chosen)
    if "held" in faults:
        fleet.send_list([machine.entry for machine in fleet.endpoints])
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


def warming_machines(fleet: SimulatedFleet, warming: str) -> list[SimulatedEndpoint]:
    return {
        "one": fleet.endpoints[:1],
        "zone": [machine for machine in fleet.endpoints if machine.entry.zone == "a"],
        "all": fleet.endpoints,
    }[warming]


def break_machines(fleet: SimulatedFleet, faults: str) -> None:
    """Let a third or two of all machines fail in the way that the faults name."""
    for mode, parts in (("failing", (1,)), ("refusing", (0, 1)), ("silent", (0, 1))):
        for number, machine in enumerate(fleet.endpoints):
            if mode in faults and number % 3 in parts:
                machine.mode = mode


def draw_requests_to(
    fleet: SimulatedFleet, chosen: list[SimulatedEndpoint], started_at_us: int, faults: str
) -> None:
    """Give these machines shares that would draw every request, after none for a while with "saved"."""
    fleet.run_until(started_at_us + fleet.max_list_delay_us)
    if "saved" in faults:
        set_shares(fleet, chosen, 1e-9)
        fleet.run_until(started_at_us + 20 * SECOND_US)
    set_shares(fleet, chosen, 1e9)


def remove_others_in_turn(fleet: SimulatedFleet, chosen: list[SimulatedEndpoint], until: int) -> None:
    """Remove one random other machine after another from the list, each for 0.4 s."""
    others = [machine.entry for machine in fleet.endpoints if machine not in chosen]
    while others and fleet.now_us + 400 * MILLISECOND_US < until:
        leaves = fleet.rng.choice(others)
        fleet.send_list([replace(leaves, status=messages.EndpointStatus.REMOVED)])
        fleet.run_until(fleet.now_us + 400 * MILLISECOND_US)
        fleet.send_list([leaves])


def set_shares(fleet: SimulatedFleet, machines: list[SimulatedEndpoint], share: float) -> None:
    for module in fleet.balancers:
        for machine in machines:
            module.endpoints.states[machine.entry.id].share = share
