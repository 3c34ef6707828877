"""Subset of endpoints that one balancer sends to: an arc of a ring that is the same for all balancers.

Independent random subsets would leave some endpoints without a balancer and give others many. Here the ring
orders the endpoints by a hash of their ids, and the arcs of the balancers start at even distances. The ring
is kept sorted, so that the cost of an endpoint list update depends on the number of changes and not on the
size of the fleet.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Callable
from operator import attrgetter
from typing import Generic, Protocol, TypeVar

MIN_SUBSET = 3  # endpoints, if that many exist; a small subset gives more samples per endpoint
SUBSETS_PER_ENDPOINT = 2  # target number of balancers that have an endpoint in their subset, on average
# Limit on the growth of a proxy's file descriptors: with a fleet of FLEET_GROWTH times its usual size, at
# most DESCRIPTOR_GROWTH times the usual number plus EXTRA_DESCRIPTORS may be in use. Each endpoint of the
# subset eventually holds one connection, and with it a descriptor.
FLEET_GROWTH = 16
DESCRIPTOR_GROWTH = 2
EXTRA_DESCRIPTORS = 40
MAX_USUAL_FLEET = 200  # endpoints in the largest fleet of usual size; FLEET_GROWTH times as many are 3,200
RING_MULTIPLIER = 2_654_435_761  # Knuth's multiplicative hash: spreads consecutive ids over the ring
RING_SIZE = 2**32
MIN_REMOTE = 2  # endpoints of other zones; those of the local zone alone may lack capacity for its traffic

RingPosition = tuple[int, int]  # hash of the endpoint id, then the id itself to break ties
RING_POSITION = attrgetter("ring_position")


def hashed_id(endpoint_id: int) -> int:
    """Return a hash of the id that spreads consecutive ids and is the same at every balancer."""
    return endpoint_id * RING_MULTIPLIER % RING_SIZE


class RingMember(Protocol):
    """Object with a position on a ring."""

    @property
    def ring_position(self) -> RingPosition:
        """Position on the ring, unique among its members."""
        ...


Member = TypeVar("Member", bound=RingMember)


class Ring(Generic[Member]):
    """Endpoints that may get new attempts, sorted by ring position."""

    def __init__(self, index: int, instances: int, is_remote: Callable[[Member], bool]) -> None:
        """Create an empty ring.

        Args:
            index: This balancer's index among the instances.
            instances: The number of balancers.
            is_remote: Returns whether a member is in another zone and crossing zones has a cost.
        """
        self._index = index
        self._instances = max(1, instances)
        self._is_remote = is_remote
        self._all: list[Member] = []
        self._local: list[Member] = []
        self._remote: list[Member] = []
        self._start: RingPosition | None = None  # start of the current arc

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._all)

    def clear(self) -> None:
        """Remove all members but keep the start of the arc."""
        for members in (self._all, self._local, self._remote):
            members.clear()

    def add(self, member: Member) -> None:
        """Add a member. Its position must be free, and its zone must not change while it is on the ring."""
        insort(self._all, member, key=RING_POSITION)
        insort(self._remote if self._is_remote(member) else self._local, member, key=RING_POSITION)

    def remove(self, member: Member) -> None:
        """Remove a member if it is on the ring."""
        for members in (self._all, self._local, self._remote):
            index = bisect_left(members, member.ring_position, key=RING_POSITION)
            if index < len(members) and members[index] is member:
                del members[index]

    def subset(self) -> list[Member]:
        """Return this balancer's subset: endpoints of its own zone first, then a few of other zones."""
        if not self._all:
            return []
        size = subset_size(len(self._all), self._instances)
        start = self._all[self._start_index(size)].ring_position
        self._start = start
        local = arc(self._local, start, size)
        return local + arc(self._remote, start, max(MIN_REMOTE, size - len(local)))

    def _start_index(self, size: int) -> int:
        """Return the index where the arc starts: the previous start, within the slack of the even one.

        With the even start alone the arc would shift whenever an endpoint before it is added or removed, and
        the balancer would keep opening connections to other endpoints.
        """
        endpoints = len(self._all)
        even_start = self._index * endpoints // self._instances
        slack = start_slack(endpoints, self._instances, size)
        if not slack or self._start is None:
            return even_start
        previous_start = bisect_left(self._all, self._start, key=RING_POSITION)
        # No wrap at the end of the ring is needed: the slack is at most half the distance between two starts.
        return max(even_start - slack, min(even_start + slack, previous_start))


def start_slack(endpoints: int, instances: int, size: int) -> int:
    """Return by how many ring positions an arc of this size may start before or after its even start.

    The slack is zero if the size covers each endpoint `SUBSETS_PER_ENDPOINT` times, so that the coverage
    stays exact. If the size is bounded below that, the even arcs either overlap or have gaps between them.
    Arcs that overlap get the largest slack that leaves no endpoint uncovered; arcs with gaps get the largest
    one with which none overlap. The number of balancers per endpoint is then at least
    (size - 2 slack) x instances / endpoints, rounded down, and at most
    (size + 2 slack) x instances / endpoints, rounded up.
    """
    if size >= min(endpoints, _covering_size(endpoints, instances)):
        return 0
    return abs(size * instances - endpoints) // (2 * instances)


def subset_size(endpoints: int, instances: int) -> int:
    """Return the number of endpoints in the subset of each balancer.

    The covering size, with which each endpoint is in two subsets on average, applies while the fleet has its
    usual size, or while the number of balancers grows in proportion to that of endpoints. If only the number
    of endpoints grows, a balancer has unchanged traffic for more endpoints: with the covering size it would
    hardly ever reuse a connection, and each endpoint of the subset costs it a file descriptor. The size is
    therefore bounded. The bound assumes that the fleet is 16 times its usual size, so that the usual subset
    size U is a sixteenth of the covering size, and applies the descriptor limit, 2 U + 40. It is not below
    the covering size of the largest fleet of usual size. The drawback is that with less than one balancer per
    endpoint the capacity of the uncovered endpoints stays unused. The bound is not lower, because smaller
    subsets serve fewer requests.
    """
    covering = _covering_size(endpoints, instances)
    descriptor_bound = EXTRA_DESCRIPTORS + DESCRIPTOR_GROWTH * covering // FLEET_GROWTH
    bound = max(_covering_size(MAX_USUAL_FLEET, instances), descriptor_bound)
    return max(MIN_SUBSET, min(covering, bound))


def _covering_size(endpoints: int, instances: int) -> int:
    """Return the subset size with which each endpoint is in `SUBSETS_PER_ENDPOINT` subsets on average."""
    return math.ceil(SUBSETS_PER_ENDPOINT * endpoints / instances)


def arc(members: list[Member], start: RingPosition, size: int) -> list[Member]:
    """Return up to `size` of the sorted members, starting at a position and wrapping at the end."""
    index = bisect_left(members, start, key=RING_POSITION)
    found = members[index : index + size]
    return found + members[: min(index, size - len(found))]
