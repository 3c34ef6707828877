"""The cost of a list change depends on the change and not on the fleet, and the subset stays correct.

Costs are counted in executed lines, so that they are the same on every machine.
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
from load_balancer.messages import Endpoint, EndpointListKind, EndpointStatus
from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.discovery.json_stream import JsonTextSplitter
from load_balancer.policy.endpoint_state import EndpointState
from load_balancer.policy.router import MAX_RETRY_CANDIDATES
from load_balancer.policy.subset import MIN_REMOTE, MIN_SUBSET, SUBSETS_PER_ENDPOINT, subset_size
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.loopback_proxy import running_proxy

MAX_GROWTH = 1.5  # permitted factor in the cost of a change with sixteen times the endpoints
REPLACED_COUNT = 20


def lines_run(work: Callable[[], object]) -> int:
    """Return the number of Python lines that `work` executes, including the functions that it calls."""
    count = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    previous_trace = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(previous_trace)
    return count


def change_cost(endpoint_count: int, instances: int, index: int) -> int:
    """Return the lines that the policy executes to replace 20 endpoints one by one."""
    settings = balancer_settings(instances=instances, index=index)
    harness = BalancerHarness(settings, endpoint_count)
    version = 1

    def replace_endpoints() -> None:
        nonlocal version
        for number in range(0, endpoint_count, endpoint_count // REPLACED_COUNT):
            for change in (Endpoint(number, EndpointStatus.REMOVED), Endpoint(1_000_000 + number)):
                version += 1
                harness.update_endpoint_list(change, kind=EndpointListKind.CHANGES, version=version)

    return lines_run(replace_endpoints)


@pytest.mark.parametrize("share", [0.0, 0.5, 0.99])
def test_policy_cost_of_a_change_does_not_grow_with_the_endpoint_list(share: float) -> None:
    small_fleet_cost = change_cost(200, 34, int(share * 34))
    large_fleet_cost = change_cost(3200, 544, int(share * 544))
    assert large_fleet_cost < MAX_GROWTH * small_fleet_cost, (small_fleet_cost, large_fleet_cost)


def listed_states(harness: BalancerHarness) -> list[EndpointState]:
    """Return the states of all endpoints on the list."""
    return list(harness.balancer.endpoints.states.values())


def up_states(harness: BalancerHarness) -> list[EndpointState]:
    """Return the states of the endpoints that are up."""
    return [state for state in listed_states(harness) if state.endpoint.status is EndpointStatus.UP]


def recomputed_subset(harness: BalancerHarness) -> list[int]:
    """Return the ids of the subset, computed from scratch from all endpoints that are up."""
    settings = harness.balancer.settings
    up_sorted = sorted(up_states(harness), key=lambda state: (state.hashed_id, state.endpoint.id))
    size = max(MIN_SUBSET, math.ceil(SUBSETS_PER_ENDPOINT * len(up_sorted) / settings.instances))
    first = settings.index * len(up_sorted) // settings.instances
    ring = up_sorted[first:] + up_sorted[:first]
    has_cross_zone_cost = settings.cross_zone_cost > 0
    local = [state for state in ring if not has_cross_zone_cost or state.endpoint.zone == settings.zone][
        :size
    ]
    remote = [state for state in ring if has_cross_zone_cost and state.endpoint.zone != settings.zone]
    return [state.endpoint.id for state in local + remote[: max(MIN_REMOTE, size - len(local))]]


RANK_PERIOD = 2**32  # ids that differ by a multiple of it have the same rank
STATUSES = (EndpointStatus.UP, EndpointStatus.UP, *EndpointStatus)


def random_endpoint(rng: random.Random, version: int) -> Endpoint:
    """Return one of 36 endpoints, three of each rank, with a random status, zone and incarnation."""
    return Endpoint(
        id=rng.randrange(12) + RANK_PERIOD * rng.randrange(3),
        status=rng.choice(STATUSES),
        zone=rng.choice("abc"),
        incarnation_us=rng.choice((0, 0, version)),
    )


def apply_random_list(harness: BalancerHarness, rng: random.Random, version: int) -> None:
    """Apply a few changes or, rarely, a complete list; one update in ten is older than the present list."""
    entries = [random_endpoint(rng, version) for _ in range(rng.choice((0, 1, 1, 1, 3)))]
    kind = EndpointListKind.CHANGES
    if rng.random() < 0.08:
        entries += [state.endpoint for state in listed_states(harness) if rng.random() < 0.8]
        kind = rng.choice((EndpointListKind.COMPLETE, EndpointListKind.CACHED))
    is_old = rng.random() < 0.1
    harness.update_endpoint_list(*entries, kind=kind, version=version - 5 * is_old)


@pytest.mark.parametrize("cross_zone_cost", [0.0, 0.05])
@pytest.mark.parametrize("seed", range(6))
def test_incrementally_updated_ring_matches_the_recomputed_subset(seed: int, cross_zone_cost: float) -> None:
    rng = random.Random(seed)
    instances = rng.choice((1, 3, 9))
    index = rng.randrange(instances)
    settings = balancer_settings(instances=instances, index=index, zone="a", cross_zone_cost=cross_zone_cost)
    harness = BalancerHarness(settings, endpoint_count=0)
    endpoints, slow_start = harness.balancer.endpoints, harness.balancer.slow_start
    for version in range(1, 150):
        apply_random_list(harness, rng, version)
        assert [state.endpoint.id for state in endpoints.subset] == recomputed_subset(harness)
        assert all(endpoints.states[state.endpoint.id] is state for state in endpoints.subset)
        up_count = len(up_states(harness))
        expected_sharing = instances * len(endpoints.subset) / max(1, up_count)
        assert endpoints.balancers_per_endpoint == max(1.0, expected_sharing)
        warm_at_us = (slow_start.warm_at_us(state) for state in endpoints.subset)
        assert slow_start.first_warm_at_us == min(warm_at_us, default=0)


async def driver_change_cost(endpoint_count: int, instances: int) -> int:
    """Return the lines that driver and policy execute to drain and replace 20 endpoints one by one."""
    entries = [endpoint_entry(f"s-{number}", 9) for number in range(endpoint_count)]
    settings = balancer_settings(instances=instances, index=instances // 2)
    async with running_proxy(*entries, settings=settings) as proxy:
        changes = []
        for number in range(0, endpoint_count, endpoint_count // REPLACED_COUNT):
            changes.append(endpoint_entry(f"s-{number}", 9, "terminating"))
            changes.append(endpoint_entry(f"s-{number}", 9, "terminated"))
            changes.append(endpoint_entry(f"new-{number}", 9))
        lists = [
            read_list(endpoint_list(entry, rev=rev, is_complete=False))
            for rev, entry in enumerate(changes, 2)
        ]

        def receive_lists() -> None:
            for changed in lists:
                proxy.driver.endpoint_list.receive(changed)

        return lines_run(receive_lists)


async def test_driver_cost_of_a_change_does_not_grow_with_the_endpoint_list() -> None:
    small_fleet_cost, large_fleet_cost = (
        await driver_change_cost(200, 34),
        await driver_change_cost(3200, 544),
    )
    assert large_fleet_cost < MAX_GROWTH * small_fleet_cost, (small_fleet_cost, large_fleet_cost)


def covering_size(endpoint_count: int, instances: int) -> int:
    """Return the subset size with which the balancers together cover each endpoint often enough."""
    return max(MIN_SUBSET, math.ceil(SUBSETS_PER_ENDPOINT * endpoint_count / instances))


@pytest.mark.parametrize("instances", [1, 3, 10, 34, 100, 200, 544])
def test_subset_stays_within_the_descriptors_of_a_proxy(instances: int) -> None:
    """With sixteen times the endpoints a proxy may use twice the usual descriptors plus 40."""
    size_at_200 = covering_size(200, instances)
    for small_count in range(1, 201):
        small_size = covering_size(small_count, instances)
        assert subset_size(small_count, instances) == small_size
        large_size = subset_size(16 * small_count, instances)
        assert large_size <= max(size_at_200, 2 * small_size + 40)
        assert large_size >= min(size_at_200, covering_size(16 * small_count, instances))


def test_subset_size_is_kept_when_balancers_grow_with_their_endpoints() -> None:
    for endpoint_count in range(1, 201):
        sizes = {subset_size(endpoint_count * factor, 34 * factor) for factor in (1, 4, 16)}
        assert len(sizes) == 1


def test_decision_does_not_examine_sixteen_times_the_endpoints() -> None:
    def lines_for(endpoint_count: int) -> int:
        harness = BalancerHarness(balancer_settings(instances=34, index=17), endpoint_count)
        return lines_run(lambda: harness.send_request("r"))

    assert lines_for(3200) < 8 * lines_for(200)


def test_list_is_split_without_a_step_for_each_end_of_a_string() -> None:
    """A release sends thousands of entries, whose text is mostly strings."""

    def lines_for(entry_count: int) -> int:
        entries = [endpoint_entry(f"s-{number}", 9) for number in range(entry_count)]
        text = json.dumps(endpoint_list(*entries)).encode()
        return lines_run(lambda: list(JsonTextSplitter().feed(text)))

    string_count = json.dumps(endpoint_entry("s-1", 9)).count('"') // 2
    lines_for_an_entry = (lines_for(20) - lines_for(10)) / 10
    lines_for_a_step = 6
    assert lines_for_an_entry < lines_for_a_step * (string_count + 2)  # plus the two braces of an entry


def harness_in_one_cell(key_scope: messages.KeyScope, endpoint_count: int, seed: int) -> BalancerHarness:
    """Return a balancer whose keyed retries stay in one cell or zone, which has all endpoints."""
    keyed_class = messages.RequestClass(
        "write", 2_000_000, 5_000_000, messages.Idempotency.KEYED, key_scope, 4_000_000
    )
    limits = messages.Limits(max_attempts=3, cancel=True)
    settings = balancer_settings(classes=(keyed_class,), instances=1000, limits=limits)
    harness = BalancerHarness(settings, endpoint_count=0, seed=seed)
    harness.update_endpoint_list(*(Endpoint(number, zone="a", cell=1) for number in range(endpoint_count)))
    return harness


def retry_cost(key_scope: messages.KeyScope, endpoint_count: int, seed: int) -> tuple[int, set[int]]:
    """Return the lines executed for a failed attempt and its retry, and the retry's eligible endpoints."""
    harness = harness_in_one_cell(key_scope, endpoint_count, seed)
    balancer = harness.balancer
    [attempt] = actions_of_type(harness.send_request("r", "write"), messages.StartAttempt)
    [request] = balancer.open_requests.by_id.values()
    lines = lines_run(lambda: harness.end_attempt(attempt, messages.Outcome.TIMEOUT))
    eligible = balancer.router.eligible_endpoints(harness.now_us, request)
    eligible_ids = {state.endpoint.id for state in eligible}
    assert {state.endpoint.id for state in balancer.endpoints.subset} <= eligible_ids
    return lines, eligible_ids


@pytest.mark.parametrize("key_scope", [messages.KeyScope.ZONE, messages.KeyScope.CELL])
def test_retry_examines_a_bounded_number_of_its_zone_or_cell(key_scope: messages.KeyScope) -> None:
    """If the zone or cell has few endpoints, all are examined; otherwise a random selection of them."""
    small_fleet_cost, eligible_ids = retry_cost(key_scope, MAX_RETRY_CANDIDATES, 1)
    assert eligible_ids == set(range(MAX_RETRY_CANDIDATES))
    large_fleet_cost, eligible_ids = retry_cost(key_scope, 3200, 1)
    assert len(eligible_ids) == MAX_RETRY_CANDIDATES
    assert eligible_ids != retry_cost(key_scope, 3200, 2)[1]
    # The check of zone, cell and status takes a few lines per endpoint and pass over the list.
    passes, lines_for_each = 2, 4
    assert large_fleet_cost < 2 * small_fleet_cost + passes * lines_for_each * 3200


def test_change_outside_the_subset_costs_little_for_each_member_of_the_subset() -> None:
    small_fleet_cost, large_fleet_cost = change_cost(200, 34, 17), change_cost(3200, 34, 17)
    added_members = subset_size(3200, 34) - subset_size(200, 34)
    lines_for_a_limit = 4
    changes = 2 * REPLACED_COUNT
    assert large_fleet_cost < small_fleet_cost + 1.2 * changes * added_members * lines_for_a_limit
