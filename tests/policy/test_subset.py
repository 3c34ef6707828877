"""Endpoints are in about equally many subsets, also after many list changes, and subsets stay stable."""

from __future__ import annotations

import random
from bisect import insort

import pytest

from load_balancer.policy.subset import RING_POSITION, Ring, RingPosition, start_slack, subset_size


class Member:
    """Endpoint on a ring."""

    def __init__(self, member_id: int, rank: int) -> None:
        self.ring_position: RingPosition = (rank, member_id)


class NeighbouringRings:
    """Rings of neighbouring balancers that have the same endpoint list."""

    def __init__(self, endpoint_count: int, instances: int, indexes: range) -> None:
        self.rng = random.Random(endpoint_count * instances)
        self.instances = instances
        self.rings: list[Ring[Member]] = [Ring(index, instances, lambda member: False) for index in indexes]
        self.members: list[Member] = []  # ordered by ring position
        self.member_count = 0
        for _ in range(endpoint_count):
            self.add_member()

    def add_member(self) -> None:
        self.member_count += 1
        member = Member(self.member_count, self.rng.randrange(2**32))
        insort(self.members, member, key=RING_POSITION)
        for ring in self.rings:
            ring.add(member)

    def replace_member(self) -> None:
        """Remove a random member and add a new one, as two separate changes of the list."""
        member = self.members.pop(self.rng.randrange(len(self.members)))
        for ring in self.rings:
            ring.remove(member)
            ring.subset()
        self.add_member()
        for ring in self.rings:
            ring.subset()

    def count_subsets(self) -> dict[Member, int]:
        counts = dict.fromkeys(self.members, 0)
        for ring in self.rings:
            for member in ring.subset():
                counts[member] += 1
        return counts


def coverage_bounds(endpoint_count: int, instances: int) -> tuple[int, int, int]:
    """Return the minimum and maximum number of subsets that hold an endpoint, and the size of a subset."""
    size = min(endpoint_count, subset_size(endpoint_count, instances))
    slack = start_slack(endpoint_count, instances, size)
    return (
        (size - 2 * slack) * instances // endpoint_count,
        -(-(size + 2 * slack) * instances // endpoint_count),
        size,
    )


@pytest.mark.parametrize("instances", [3, 34, 200, 544])
@pytest.mark.parametrize("endpoint_count", [10, 200, 3200])
def test_endpoints_are_covered_evenly_at_first_and_after_half_are_replaced(
    endpoint_count: int, instances: int
) -> None:
    """With many balancers only some neighbours are simulated; endpoints in subsets of others don't count."""
    indexes = (
        range(instances)
        if instances * endpoint_count < 10_000
        else range(instances // 3, instances // 3 + 20)
    )
    indexes = range(indexes.start, min(indexes.stop, instances))
    rings = NeighbouringRings(endpoint_count, instances, indexes)
    min_subsets, max_subsets, size = coverage_bounds(endpoint_count, instances)
    slack = start_slack(endpoint_count, instances, size)
    for _ in range(2):
        counts = list(rings.count_subsets().values())
        if len(indexes) < instances:
            first = indexes.start * endpoint_count // instances + size + slack
            counts = counts[first : indexes.stop * endpoint_count // instances - slack]
        assert counts
        assert min_subsets <= min(counts)
        assert max(counts) <= max_subsets
        assert min_subsets >= 1 or size * instances < endpoint_count
        for _ in range(endpoint_count // 2):
            rings.replace_member()


@pytest.mark.parametrize(("instances", "index", "max_size_ratio"), [(34, 17, 1.7), (100, 50, 2.4)])
def test_subset_stays_in_place_while_endpoints_are_replaced(
    instances: int, index: int, max_size_ratio: float
) -> None:
    """Half of the subset is replaced with half of all endpoints; few more endpoints may enter it."""
    rings = NeighbouringRings(3200, instances, range(index, index + 1))
    [ring] = rings.rings
    seen_members = set(ring.subset())
    always_even = set(seen_members)  # the members of a subset that always starts at its even position
    size = len(seen_members)
    for _ in range(1600):
        rings.replace_member()
        seen_members |= set(ring.subset())
        start = index * 3200 // instances
        always_even |= set(rings.members[start : start + size])
    assert len(seen_members) < max_size_ratio * size < len(always_even)


def test_subset_starts_at_its_even_position_unless_its_size_is_bounded() -> None:
    for instances in (9, 34, 200):
        for endpoint_count in range(1, 201):
            for factor in (1, 4, 16):
                size = subset_size(endpoint_count * factor, instances * factor)
                assert start_slack(endpoint_count * factor, instances * factor, size) == 0


def test_subset_start_leaves_its_even_position_by_at_most_half_of_the_gap() -> None:
    """Endpoints are removed on one side of the subset only, so that its even position moves away from it."""
    rings = NeighbouringRings(3200, 34, range(17, 18))
    [ring] = rings.rings
    first = ring.subset()
    for removed_count in range(1, 100):
        ring.remove(rings.members.pop(0))
        subset = ring.subset()
        gap = len(rings.members) / 34 - len(subset)
        offset = rings.members.index(subset[0]) - 17 * len(rings.members) // 34
        # The even position moves by one for two removed endpoints.
        assert offset == -min(removed_count // 2, int(gap / 2))
        if removed_count < 25:
            assert subset == first


def test_first_subset_keeps_its_start() -> None:
    rings = NeighbouringRings(3200, 34, range(1))
    [ring] = rings.rings
    first = ring.subset()
    # Endpoints are removed at the end of the ring, and as many are added at its beginning.
    for number in range(8):
        ring.remove(rings.members.pop())
        ring.add(Member(10_000 + number, -1 - number))
        assert ring.subset() == first
