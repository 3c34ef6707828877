"""Each backend is in about equally many subsets, also after long change, and no arc slides along the ring."""

from __future__ import annotations

import random
from bisect import insort

import pytest

from load_balancer.policy.subset import RING_POSITION, Ring, RingPosition, start_slack, subset_size


class Member:
    """A backend on a ring."""

    def __init__(self, member_id: int, rank: int) -> None:
        self.ring_position: RingPosition = (rank, member_id)


class Fleet:
    """The rings of some neighbouring balancers, which see the same backends."""

    def __init__(self, backends: int, instances: int, indexes: range) -> None:
        self.rng = random.Random(backends * instances)
        self.instances = instances
        self.rings: list[Ring[Member]] = [Ring(index, instances, lambda member: False) for index in indexes]
        self.members: list[Member] = []  # in the order of their places
        self.made = 0
        for _ in range(backends):
            self.add()

    def add(self) -> None:
        self.made += 1
        member = Member(self.made, self.rng.randrange(2**32))
        insort(self.members, member, key=RING_POSITION)
        for ring in self.rings:
            ring.add(member)

    def replace_one(self) -> None:
        """One leaves and another one comes, and each is told by itself."""
        member = self.members.pop(self.rng.randrange(len(self.members)))
        for ring in self.rings:
            ring.remove(member)
            ring.subset()
        self.add()
        for ring in self.rings:
            ring.subset()

    def covers(self) -> dict[Member, int]:
        counts = dict.fromkeys(self.members, 0)
        for ring in self.rings:
            for member in ring.subset():
                counts[member] += 1
        return counts


def bounds(backends: int, instances: int) -> tuple[int, int, int]:
    """The fewest and most subsets that may hold a backend, and the size of them."""
    size = min(backends, subset_size(backends, instances))
    slack = start_slack(backends, instances, size)
    return (size - 2 * slack) * instances // backends, -(-(size + 2 * slack) * instances // backends), size


@pytest.mark.parametrize("instances", [3, 34, 200, 544])
@pytest.mark.parametrize("backends", [10, 200, 3200])
def test_endpoints_are_covered_evenly_at_first_and_after_half_are_replaced(
    backends: int, instances: int
) -> None:
    """Of many balancers some neighbours are played: only backends that none but these reach are counted."""
    indexes = (
        range(instances) if instances * backends < 10_000 else range(instances // 3, instances // 3 + 20)
    )
    indexes = range(indexes.start, min(indexes.stop, instances))
    fleet = Fleet(backends, instances, indexes)
    fewest, most, size = bounds(backends, instances)
    slack = start_slack(backends, instances, size)
    for _ in range(2):
        counts = list(fleet.covers().values())
        if len(indexes) < instances:
            first = indexes.start * backends // instances + size + slack
            counts = counts[first : indexes.stop * backends // instances - slack]
        assert counts
        assert fewest <= min(counts)
        assert max(counts) <= most
        assert fewest >= 1 or size * instances < backends
        for _ in range(backends // 2):
            fleet.replace_one()


@pytest.mark.parametrize(("instances", "index", "most"), [(34, 17, 1.7), (100, 50, 2.4)])
def test_subset_stays_in_place_while_endpoints_are_replaced(instances: int, index: int, most: float) -> None:
    """What comes and goes within it, half of its size, changes it, and little besides."""
    fleet = Fleet(3200, instances, range(index, index + 1))
    [ring] = fleet.rings
    seen = set(ring.subset())
    plain = set(seen)  # what is in an arc that always starts at its even place
    size = len(seen)
    for _ in range(1600):
        fleet.replace_one()
        seen |= set(ring.subset())
        start = index * 3200 // instances
        plain |= set(fleet.members[start : start + size])
    assert len(seen) < most * size < len(plain)


def test_subset_starts_at_its_even_position_unless_its_size_is_bounded() -> None:
    for instances in (9, 34, 200):
        for usual in range(1, 201):
            for times in (1, 4, 16):
                size = subset_size(usual * times, instances * times)
                assert start_slack(usual * times, instances * times, size) == 0


def test_subset_start_leaves_its_even_position_by_at_most_half_of_the_gap() -> None:
    """Backends go only on one side of it, so that its even place runs away from it."""
    fleet = Fleet(3200, 34, range(17, 18))
    [ring] = fleet.rings
    first = ring.subset()
    for gone in range(1, 100):
        ring.remove(fleet.members.pop(0))
        subset = ring.subset()
        gap = len(fleet.members) / 34 - len(subset)
        off = fleet.members.index(subset[0]) - 17 * len(fleet.members) // 34
        assert off == -min(gone // 2, int(gap / 2))  # its even place moves one for two that go
        if gone < 25:
            assert subset == first


def test_first_subset_keeps_its_start() -> None:
    fleet = Fleet(3200, 34, range(1))
    [ring] = fleet.rings
    first = ring.subset()
    # The backends before the ring's end make way for as many that come in at its beginning.
    for number in range(8):
        ring.remove(fleet.members.pop())
        ring.add(Member(10_000 + number, -1 - number))
        assert ring.subset() == first
