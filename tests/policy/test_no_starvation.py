"""Nobody goes unserved: classes, effects, tenants, thirds of a day and balancers, in the stepped world.

All machines together do more than twice what is asked of them, so a policy that sees their true
state could serve all but what was on a machine as it failed. Half of what is asked is held here.
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
USUAL_US = 300 * MILLISECOND_US  # about what a call takes
AWAY_US = 5 * SECOND_US  # a lost zone is away for this long
DARK_US, DARK_CALLS = (
    4 * SECOND_US,
    15,
)  # a balancer may not turn away so many in so long with no attempt between
CLIENTS = tuple(
    SimulatedClient(cls, part * weight, tenant)
    for cls, part in (("read", 0.5), ("short", 0.3), ("pay", 0.2))
    for tenant, weight in (("large", 0.9), ("small", 0.1))
)
SIZES = [(3, 8, 20.0, 0.45), (30, 16, 3.0, 0.45), (30, 8, 1.0, 0.45), (12, 12, 8.0, 0.45)]


def fleet_of(balancers: int, backends: int, calls: float, load: float, seed: int) -> SimulatedFleet:
    """Each balancer gets `calls` requests in `fall_us`, at this load of all machines together."""
    per_window = balancers * calls / backends / load
    asked_per_s = balancers * calls * SECOND_US / RULES.overload_window_us
    setup = balancer_settings(
        classes=(SAFE_CLASS, SHORT, UNSAFE_CLASS),
        rules=RULES,
        tenants=(messages.Tenant("large", asked_per_s), messages.Tenant("small", 0.3 * asked_per_s)),
        over_quota_weight=0.1,
    )
    slots = max(1, round(USUAL_US * per_window / RULES.overload_window_us))
    return SimulatedFleet(setup, balancers, backends, per_window, load, seed, CLIENTS, slots=slots)


def lose(fleet: SimulatedFleet, zones: str) -> None:
    """The backends of these zones vanish, and are back cold after a while."""
    lost = [m for m in fleet.machines if m.entry.zone in zones]
    for machine in lost:
        machine.mode = "silent"
    fleet.tell([replace(m.entry, status=messages.EndpointStatus.REMOVED) for m in lost])
    fleet.run(fleet.now + AWAY_US)
    for machine in lost:
        machine.mode = "sound"
    fleet.restart(lost)


def play(fleet: SimulatedFleet, kind: str) -> None:
    """A day: calm, with one backend of eight "failing" or "slow", or with a "zone" lost."""
    fleet.run(START_US + LENGTH_US // 6)
    for machine in fleet.machines[::8]:
        if kind == "failing":
            machine.mode = "failing"
        elif kind == "slow":
            machine.slower = 6.0
    if kind == "zone":
        lose(fleet, "a")
    fleet.run(START_US + LENGTH_US)


def darkest(fleet: SimulatedFleet, since: int = START_US) -> int:
    """The most requests that came to a balancer in a stretch of 4 s or more without an attempt."""
    worst = 0
    for index in range(fleet.balancers):
        sends = [at for at, balancer in fleet.attempts if balancer == index and at >= since]
        marks = [since, *sends, fleet.now]
        for begin, end in pairwise(marks):
            if end - begin >= DARK_US:
                came = sum(c.balancer == index and begin < c.at <= end for c in fleet.calls)
                worst = max(worst, came)
    return worst


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize("kind", ["calm", "failing", "slow", "zone"])
@pytest.mark.parametrize(("balancers", "backends", "calls", "load"), SIZES)
def test_everybody_is_served_half_at_least(
    balancers: int, backends: int, calls: float, load: float, kind: str, seed: int
) -> None:
    fleet = fleet_of(balancers, backends, calls, load, seed)
    play(fleet, kind)
    groups: dict[str, list[SimulatedRequest]] = defaultdict(list)
    for call in fleet.calls:
        if call.at < fleet.now - 5 * SECOND_US:  # those after may still be under way
            groups[call.cls].append(call)
            groups[str(call.tenant)].append(call)
            groups[f"third {3 * (call.at - START_US) // (LENGTH_US - 5 * SECOND_US)}"].append(call)
    served = {name: fleet.served(calls) for name, calls in groups.items()}
    assert len(served) == 8
    assert min(len(calls) for calls in groups.values()) >= 20
    assert min(served.values()) >= 0.5, served
    assert darkest(fleet) < DARK_CALLS


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize(
    ("balancers", "backends", "calls", "load"),
    [(3, 8, 20.0, 0.25), (30, 16, 3.0, 0.25), (30, 8, 1.0, 0.25), (12, 12, 8.0, 0.25)],
)
def test_with_all_back_cold_no_balancer_serves_nobody(
    balancers: int, backends: int, calls: float, load: float, seed: int
) -> None:
    """At a quarter of the load even what is cold could serve all."""
    fleet = fleet_of(balancers, backends, calls, load, seed)
    fleet.run(START_US + 3 * SECOND_US)
    lose(fleet, "abc")
    back = fleet.now
    fleet.run(back + 7 * SECOND_US)
    came = [c for c in fleet.calls if back + fleet.spread_us <= c.at < back + 5 * SECOND_US]
    for index in range(balancers):
        own = [c for c in came if c.balancer == index]
        if len(own) >= DARK_CALLS:
            assert fleet.served(own) >= 0.3
    for cls in ("read", "short", "pay"):
        assert fleet.served(c for c in came if c.cls == cls) >= 0.5
    assert darkest(fleet, back) < DARK_CALLS
