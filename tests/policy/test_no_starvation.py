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
from tests.support.balancer_harness import MS, SAFE, UNSAFE, S, settings
from tests.support.simulated_fleet import START, Call, Client, Fleet

SHORT = messages.RequestClass(
    "short",
    2 * S,
    5 * S,
    messages.Idempotency.KEYED,
    messages.KeyScope.CELL,
    deduplication_window_us=600 * MS,
    priority_weight=2,
)
RULES = messages.Rules(
    start_capacity=0.34, slow_start_us=5 * S, overload_multiple=3.0, overload_window_us=1500 * MS
)
LENGTH_US = 24 * S
USUAL_US = 300 * MS  # about what a call takes
AWAY_US = 5 * S  # a lost zone is away for this long
DARK_US, DARK_CALLS = 4 * S, 15  # a balancer may not turn away so many in so long with no attempt between
CLIENTS = tuple(
    Client(cls, part * weight, tenant)
    for cls, part in (("read", 0.5), ("short", 0.3), ("pay", 0.2))
    for tenant, weight in (("large", 0.9), ("small", 0.1))
)
SIZES = [(3, 8, 20.0, 0.45), (30, 16, 3.0, 0.45), (30, 8, 1.0, 0.45), (12, 12, 8.0, 0.45)]


def fleet_of(balancers: int, backends: int, calls: float, load: float, seed: int) -> Fleet:
    """Each balancer gets `calls` requests in `fall_us`, at this load of all machines together."""
    per_window = balancers * calls / backends / load
    asked_per_s = balancers * calls * S / RULES.overload_window_us
    setup = settings(
        classes=(SAFE, SHORT, UNSAFE),
        rules=RULES,
        tenants=(messages.Tenant("large", asked_per_s), messages.Tenant("small", 0.3 * asked_per_s)),
        over_quota_weight=0.1,
    )
    slots = max(1, round(USUAL_US * per_window / RULES.overload_window_us))
    return Fleet(setup, balancers, backends, per_window, load, seed, CLIENTS, slots=slots)


def lose(fleet: Fleet, zones: str) -> None:
    """The backends of these zones vanish, and are back cold after a while."""
    lost = [m for m in fleet.machines if m.entry.zone in zones]
    for machine in lost:
        machine.mode = "silent"
    fleet.tell([replace(m.entry, status=messages.EndpointStatus.REMOVED) for m in lost])
    fleet.run(fleet.now + AWAY_US)
    for machine in lost:
        machine.mode = "sound"
    fleet.restart(lost)


def play(fleet: Fleet, kind: str) -> None:
    """A day: calm, with one backend of eight "failing" or "slow", or with a "zone" lost."""
    fleet.run(START + LENGTH_US // 6)
    for machine in fleet.machines[::8]:
        if kind == "failing":
            machine.mode = "failing"
        elif kind == "slow":
            machine.slower = 6.0
    if kind == "zone":
        lose(fleet, "a")
    fleet.run(START + LENGTH_US)


def darkest(fleet: Fleet, since: int = START) -> int:
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
def test_every_class_tenant_and_period_has_half_of_its_requests_served(
    balancers: int, backends: int, calls: float, load: float, kind: str, seed: int
) -> None:
    fleet = fleet_of(balancers, backends, calls, load, seed)
    play(fleet, kind)
    groups: dict[str, list[Call]] = defaultdict(list)
    for call in fleet.calls:
        if call.at < fleet.now - 5 * S:  # those after may still be under way
            groups[call.cls].append(call)
            groups[str(call.tenant)].append(call)
            groups[f"third {3 * (call.at - START) // (LENGTH_US - 5 * S)}"].append(call)
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
def test_every_balancer_serves_requests_when_all_endpoints_are_warming(
    balancers: int, backends: int, calls: float, load: float, seed: int
) -> None:
    """At a quarter of the load even what is cold could serve all."""
    fleet = fleet_of(balancers, backends, calls, load, seed)
    fleet.run(START + 3 * S)
    lose(fleet, "abc")
    back = fleet.now
    fleet.run(back + 7 * S)
    came = [c for c in fleet.calls if back + fleet.spread_us <= c.at < back + 5 * S]
    for index in range(balancers):
        own = [c for c in came if c.balancer == index]
        if len(own) >= DARK_CALLS:
            assert fleet.served(own) >= 0.3
    for cls in ("read", "short", "pay"):
        assert fleet.served(c for c in came if c.cls == cls) >= 0.5
    assert darkest(fleet, back) < DARK_CALLS
