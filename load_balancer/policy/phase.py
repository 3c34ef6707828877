"""Staggered phases of slow start: when within a cycle each balancer may send to each endpoint."""

from __future__ import annotations

from load_balancer.policy.subset import hashed_id

GOLDEN_RATIO_STEP = 2_654_435_769  # 2**32 over the golden ratio
HASH_MULTIPLIER = 2_246_822_519  # a prime of xxHash
PHASE_COUNT = 2**32


def staggered_phase(balancer_index: int, endpoint_id: int) -> float:
    """Return the phase, 0 to 1, of a balancer at an endpoint.

    With random phases several balancers would get their tokens at the same moment. Multiples of the golden
    ratio, modulo 1, are evenly spread for any range of balancer indexes. The offset by a hash of the endpoint
    id keeps one balancer from having a late phase at all endpoints.
    """
    ring_id = hashed_id(endpoint_id)
    mixed = (ring_id ^ ring_id >> 15) * HASH_MULTIPLIER
    return (balancer_index * GOLDEN_RATIO_STEP + mixed) % PHASE_COUNT / PHASE_COUNT
