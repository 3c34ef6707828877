"""The subset of endpoints that one balancer sends to: its arc of a ring that all balancers see alike.

Subsets drawn one by one would leave some endpoints to nobody and others to many. Here each balancer takes
an arc of one mixed ring, and the arcs start at even distances. The ring is kept sorted, so that a change
of the list costs by what it changes and not by the fleet's size.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Callable
from operator import attrgetter
from typing import Generic, Protocol, TypeVar

MIN_SUBSET = 3  # endpoints in the subset at least, where there are as many: fewer are each better known
SUBSETS_PER_ENDPOINT = 2  # balancers that should have each endpoint in their subset, on average
# What a proxy needs may grow by this much as a fleet grows to sixteen times its usual size, by the limits on
# its descriptors: each endpoint of its subset comes to hold one connection of it.
FLEET_GROWTH = 16
DESCRIPTOR_GROWTH = 2
EXTRA_DESCRIPTORS = 40
MAX_USUAL_FLEET = 200  # endpoints of a fleet of usual size at most: sixteen times as many are 3,200
RING_MULTIPLIER = 2_654_435_761  # Knuth's multiplicative hash: spreads neighbouring ids over the ring
RING_SIZE = 2**32
MIN_REMOTE = 2  # endpoints of other zones in the subset at least: a zone's own may not carry its traffic

RingPosition = tuple[int, int]  # a mixed id that all balancers agree on, then the id where two are the same
RING_POSITION = attrgetter("ring_position")


def hashed_id(endpoint_id: int) -> int:
    """Return the id mixed, so that neighbouring ids lie apart. It is the same at every balancer."""
    return endpoint_id * RING_MULTIPLIER % RING_SIZE


class RingMember(Protocol):
    """Anything with a position on a ring."""

    @property
    def ring_position(self) -> RingPosition:
        """The place on the ring; no two members have the same."""
        ...


Member = TypeVar("Member", bound=RingMember)


class Ring(Generic[Member]):
    """The endpoints that may get new attempts, in the order of their positions."""

    def __init__(self, index: int, instances: int, is_remote: Callable[[Member], bool]) -> None:
        """Take this balancer's number among `instances`; `is_remote` tells the members of other zones."""
        self._index = index
        self._instances = max(1, instances)
        self._is_remote = is_remote
        self._all: list[Member] = []
        self._local: list[Member] = []
        self._remote: list[Member] = []
        self._start: RingPosition | None = None  # of the arc

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._all)

    def clear(self) -> None:
        """Remove all members; the arc keeps its start."""
        for members in (self._all, self._local, self._remote):
            members.clear()

    def add(self, member: Member) -> None:
        """Add a member. Its position must be free, and its zone must not change while it is on the ring."""
        insort(self._all, member, key=RING_POSITION)
        insort(self._remote if self._is_remote(member) else self._local, member, key=RING_POSITION)

    def remove(self, member: Member) -> None:
        """Remove a member, where it is on the ring."""
        for members in (self._all, self._local, self._remote):
            index = bisect_left(members, member.ring_position, key=RING_POSITION)
            if index < len(members) and members[index] is member:
                del members[index]

    def subset(self) -> list[Member]:
        """Return this balancer's arc: endpoints of its own zone first, then a few of other zones."""
        if not self._all:
            return []
        size = subset_size(len(self._all), self._instances)
        start = self._all[self._start_index(size)].ring_position
        self._start = start
        local = arc(self._local, start, size)
        return local + arc(self._remote, start, max(MIN_REMOTE, size - len(local)))

    def _start_index(self, size: int) -> int:
        """Return the index where the arc starts: the previous one, unless it is too far from the even one.

        Without this the arc would move to and fro and open connections to ever new endpoints, as
        endpoints far before it come and go.
        """
        endpoints = len(self._all)
        even_start = self._index * endpoints // self._instances
        slack = start_slack(endpoints, self._instances, size)
        if not slack or self._start is None:
            return even_start
        previous_start = bisect_left(self._all, self._start, key=RING_POSITION)
        # The end of the ring is not crossed, as the slack is at most half of the distance between two starts.
        return max(even_start - slack, min(even_start + slack, previous_start))


def start_slack(endpoints: int, instances: int, size: int) -> int:
    """Return how many places off its even one an arc of this size may start.

    Zero where each endpoint is in the subsets of two balancers, which stays so exactly. Where the size is
    bounded below that: as many as leave no endpoint out where arcs overlap, and let no arcs overlap where
    gaps are between them. Each endpoint is then in the subsets of (size -+ 2 slack) x instances / endpoints
    balancers, rounded down and up.
    """
    if size >= min(endpoints, _covering_size(endpoints, instances)):
        return 0
    return abs(size * instances - endpoints) // (2 * instances)


def subset_size(endpoints: int, instances: int) -> int:
    """Return the number of endpoints in the subset of each of the balancers.

    As many as give each endpoint to two balancers, where the fleet has its usual size or balancers grow in
    step with endpoints. Where they stay as many, a balancer with the same traffic would use hardly a
    connection twice, and each endpoint of the subset costs it a descriptor. So a subset that may be
    sixteen times the usual one, U, is bounded by what the descriptors allow, 2 U + 40, but never falls
    below that of the largest fleet of usual size. The price: with less than one balancer an endpoint, what
    the others could carry is not used. No smaller bound is taken, as that is paid in requests served.
    """
    covering = _covering_size(endpoints, instances)
    by_descriptors = EXTRA_DESCRIPTORS + DESCRIPTOR_GROWTH * covering // FLEET_GROWTH
    bound = max(_covering_size(MAX_USUAL_FLEET, instances), by_descriptors)
    return max(MIN_SUBSET, min(covering, bound))


def _covering_size(endpoints: int, instances: int) -> int:
    """Return the size of subsets that give each endpoint to as many balancers as it should have."""
    return math.ceil(SUBSETS_PER_ENDPOINT * endpoints / instances)


def arc(members: list[Member], start: RingPosition, size: int) -> list[Member]:
    """Return at most `size` of the sorted members, from a position on and around the end."""
    index = bisect_left(members, start, key=RING_POSITION)
    found = members[index : index + size]
    return found + members[: min(index, size - len(found))]
