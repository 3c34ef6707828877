"""What a change of the list costs follows the change and not the fleet, and the subset stays what it was.

Costs are counted in calls of functions and lines run, so that they are the same on every machine.
"""

from __future__ import annotations

import json
import math
import random
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.discovery.json_stream import JsonTextSplitter
from load_balancer.policy.router import MAX_RETRY_CANDIDATES
from load_balancer.policy.subset import MIN_REMOTE, MIN_SUBSET, SUBSET_COVER, subset_size
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.loopback_proxy import running_proxy

GROWTH = 1.5  # a change may cost this many times as much with sixteen times the backends


def lines_run(work: Callable[[], object]) -> int:
    """The lines of Python that a piece of work runs, in all functions that it calls."""
    count = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


def step(n: int) -> tuple[messages.Endpoint, messages.Endpoint]:
    """One backend leaves and another one comes."""
    return messages.Endpoint(n, messages.EndpointStatus.REMOVED), messages.Endpoint(1_000_000 + n)


def change_cost(backends: int, instances: int, index: int) -> int:
    """Lines that the module runs for the replacement of 20 backends, one by one."""
    harness = BalancerHarness(balancer_settings(instances=instances, index=index), backends)
    version = 1

    def replace() -> None:
        nonlocal version
        for n in range(0, backends, backends // 20):
            for change in step(n):
                version += 1
                harness.update_endpoint_list(change, kind=messages.EndpointListKind.CHANGES, version=version)

    return lines_run(replace)


@pytest.mark.parametrize("share", [0.0, 0.5, 0.99])
def test_policy_takes_a_change_at_the_cost_of_the_change(share: float) -> None:
    few = change_cost(200, 34, int(share * 34))
    many = change_cost(3200, 544, int(share * 544))
    assert many < GROWTH * few, (few, many)


def plain_subset(harness: BalancerHarness) -> list[int]:
    """The ids of the subset by plain computation from all that is up."""
    setup, instances = harness.balancer.settings, harness.balancer.settings.instances
    up = [
        s
        for s in harness.balancer.endpoints.states.values()
        if s.endpoint.status is messages.EndpointStatus.UP
    ]
    up.sort(key=lambda s: (s.mixed_id, s.endpoint.id))
    size = max(MIN_SUBSET, math.ceil(SUBSET_COVER * len(up) / instances))
    first = setup.index * len(up) // instances
    ring = up[first:] + up[:first]
    home = [s for s in ring if setup.cross_zone_price <= 0 or s.endpoint.zone == setup.zone][:size]
    away = [s for s in ring if setup.cross_zone_price > 0 and s.endpoint.zone != setup.zone]
    return [s.endpoint.id for s in home + away[: max(MIN_REMOTE, size - len(home))]]


TIED = 2**32  # ids that differ by it have one rank


@pytest.mark.parametrize("cross_zone_price", [0.0, 0.05])
@pytest.mark.parametrize("seed", range(6))
def test_incrementally_updated_ring_gives_the_plain_subset(seed: int, cross_zone_price: float) -> None:
    rng = random.Random(seed)
    instances = rng.choice((1, 3, 9))
    index = rng.randrange(instances)
    harness = BalancerHarness(
        balancer_settings(instances=instances, index=index, zone="a", cross_zone_price=cross_zone_price),
        endpoint_count=0,
    )
    for version in range(1, 150):
        entries = [
            messages.Endpoint(
                id=rng.randrange(12) + TIED * rng.randrange(3),
                status=rng.choice(
                    (messages.EndpointStatus.UP, messages.EndpointStatus.UP, *messages.EndpointStatus)
                ),
                zone=rng.choice("abc"),
                incarnation_us=rng.choice((0, 0, version)),
            )
            for _ in range(rng.choice((0, 1, 1, 1, 3)))
        ]
        whole = rng.random() < 0.08
        if whole:
            entries += [s.endpoint for s in harness.balancer.endpoints.states.values() if rng.random() < 0.8]
        kind = (
            rng.choice((messages.EndpointListKind.COMPLETE, messages.EndpointListKind.CACHED))
            if whole
            else messages.EndpointListKind.CHANGES
        )
        old = rng.random() < 0.1
        harness.update_endpoint_list(*entries, kind=kind, version=version - 5 * old)
        balancer = harness.balancer
        assert [s.endpoint.id for s in balancer.endpoints.subset] == plain_subset(harness)
        assert all(balancer.endpoints.states[s.endpoint.id] is s for s in balancer.endpoints.subset)
        ups = sum(s.endpoint.status is messages.EndpointStatus.UP for s in balancer.endpoints.states.values())
        assert balancer.endpoints.sharing_balancers == max(
            1.0, instances * len(balancer.endpoints.subset) / max(1, ups)
        )
        warm = (balancer.slow_start.warm_at_us(s) for s in balancer.endpoints.subset)
        assert balancer.slow_start.first_warm_at_us == min(warm, default=0)


async def driver_change_cost(backends: int, instances: int) -> int:
    """Lines that driver and module run for 20 backends that drain, go and are replaced, one by one."""
    listed = [endpoint_entry(f"s-{n}", 9) for n in range(backends)]
    setup = balancer_settings(instances=instances, index=instances // 2)
    async with running_proxy(*listed, settings=setup) as p:
        changes = []
        for n in range(0, backends, backends // 20):
            changes += [endpoint_entry(f"s-{n}", 9, "terminating"), endpoint_entry(f"s-{n}", 9, "terminated")]
            changes += [endpoint_entry(f"new-{n}", 9)]
        lists = [read_list(endpoint_list(e, rev=at, full=False)) for at, e in enumerate(changes, 2)]

        def take() -> None:
            for news in lists:
                p.driver.endpoint_list.receive(news)

        return lines_run(take)


async def test_driver_takes_a_change_at_the_cost_of_the_change() -> None:
    few, many = await driver_change_cost(200, 34), await driver_change_cost(3200, 544)
    assert many < GROWTH * few, (few, many)


@pytest.mark.parametrize("instances", [1, 3, 10, 34, 100, 200, 544])
def test_subset_stays_within_the_descriptors_of_a_proxy(instances: int) -> None:
    """At sixteen times the backends it may need twice the usual descriptors and 40 more."""
    at_200 = covering(200, instances)
    for usual in range(1, 201):
        assert subset_size(usual, instances) == covering(usual, instances)
        many = subset_size(16 * usual, instances)
        assert many <= max(at_200, 2 * covering(usual, instances) + 40)
        assert many >= min(at_200, covering(16 * usual, instances))


def covering(backends: int, instances: int) -> int:
    return max(MIN_SUBSET, math.ceil(SUBSET_COVER * backends / instances))


def test_subset_size_is_kept_when_balancers_grow_with_their_endpoints() -> None:
    for usual in range(1, 201):
        sizes = {subset_size(usual * times, 34 * times) for times in (1, 4, 16)}
        assert len(sizes) == 1


def test_decision_does_not_examine_sixteen_times_the_endpoints() -> None:
    def cost(backends: int) -> int:
        harness = BalancerHarness(balancer_settings(instances=34, index=17), backends)
        return lines_run(lambda: harness.request("r"))

    assert cost(3200) < 8 * cost(200)


def test_list_is_split_without_a_step_for_each_end_of_a_string() -> None:
    """A release brings thousands of entries, most of them strings."""

    def cost(entries: int) -> int:
        text = json.dumps(endpoint_list(*(endpoint_entry(f"s-{n}", 9) for n in range(entries)))).encode()
        return lines_run(lambda: list(JsonTextSplitter().feed(text)))

    strings = json.dumps(endpoint_entry("s-1", 9)).count('"') // 2
    steps = (cost(20) - cost(10)) / 10
    lines_for_a_step = 6
    assert steps < lines_for_a_step * (strings + 2)  # and an entry's two braces


@pytest.mark.parametrize("key_scope", [messages.KeyScope.ZONE, messages.KeyScope.CELL])
def test_retry_examines_a_bounded_number_of_its_zone_or_cell(
    key_scope: messages.KeyScope,
) -> None:
    """It may go to all of them, and where they are few it does look at all."""
    kind = messages.RequestClass(
        "write", 2_000_000, 5_000_000, messages.Idempotency.KEYED, key_scope, 4_000_000
    )

    def play(backends: int, seed: int) -> tuple[int, set[int]]:
        """The lines that a failed attempt costs with the one that follows, and what it may go to."""
        setup = balancer_settings(
            classes=(kind,), instances=1000, limits=messages.Limits(max_attempts=3, cancel=True)
        )
        harness = BalancerHarness(setup, endpoint_count=0, seed=seed)
        harness.update_endpoint_list(*(messages.Endpoint(n, zone="a", cell=1) for n in range(backends)))
        [send] = actions_of_type(harness.request("r", "write"), messages.StartAttempt)
        [life] = harness.balancer.open_requests.by_id.values()
        lines = lines_run(lambda: harness.end_attempt(send, messages.Outcome.TIMEOUT))
        legal = {
            server.endpoint.id for server in harness.balancer.router.eligible_endpoints(harness.now_us, life)
        }
        assert {server.endpoint.id for server in harness.balancer.endpoints.subset} <= legal
        return lines, legal

    few, legal = play(MAX_RETRY_CANDIDATES, 1)
    assert legal == set(range(MAX_RETRY_CANDIDATES))
    many, legal = play(3200, 1)
    assert len(legal) == MAX_RETRY_CANDIDATES
    assert legal != play(3200, 2)[1]
    # Which zone and cell each one is in, and whether it is up, takes a few lines for each look at the list.
    looks, lines_for_each = 2, 4
    assert many < 2 * few + looks * lines_for_each * 3200


def test_change_outside_the_subset_costs_little_for_each_member_of_the_subset() -> None:
    few, many = change_cost(200, 34, 17), change_cost(3200, 34, 17)
    members = subset_size(3200, 34) - subset_size(200, 34)
    lines_for_a_limit = 4
    changes = 40
    assert many < few + 1.2 * changes * members * lines_for_a_limit
