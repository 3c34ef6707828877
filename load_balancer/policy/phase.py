"""The staggered phases of slow start: when in a cycle each balancer may send to each endpoint."""

from __future__ import annotations

from load_balancer.policy.subset import hashed_id

GOLDEN_RATIO_STEP = 2_654_435_769  # 2**32 over the golden ratio
HASH_MULTIPLIER = 2_246_822_519  # a mixing constant of xxHash
PHASE_COUNT = 2**32


def staggered_phase(balancer_index: int, endpoint_id: int) -> float:
    """Return the phase, 0 to 1, of a balancer at an endpoint.

    With phases drawn by each balancer for itself, the tokens of several would come at once. Multiples of the
    golden ratio lie well apart for any run of balancers, and the endpoints of one balancer are mixed, or it
    would come late at all of them.
    """
    ring_id = hashed_id(endpoint_id)
    mixed = (ring_id ^ ring_id >> 15) * HASH_MULTIPLIER
    return (balancer_index * GOLDEN_RATIO_STEP + mixed) % PHASE_COUNT / PHASE_COUNT
