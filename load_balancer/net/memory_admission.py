"""Decides which waiting requests get memory, which incomplete ones lose theirs, and which are refused.

The module has no I/O, no clock and no state: `request_memory` passes it what it knows, and carries out the
decision.

A waiting request whose missing bytes have all arrived is admitted first: it holds its memory only until it
has its response, while an incomplete one may hold it until its time limit. For such a request, incomplete
ones that have stopped or are slow lose their memory, those first that hold most for longest.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

# A request that has received nothing for this long has stopped, as far as memory is concerned.
STALLED_AFTER_S = 0.1
# An incomplete request of this age is slow. A request of the largest size arrives within milliseconds.
SLOW_AFTER_S = 0.4
# Room that incomplete requests leave to complete ones: the largest one, with its copies.
COMPLETE_RESERVE_BYTES = 2 * 72 * 1024


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for memory.

    Attributes:
        key: Identifies the request.
        needed_bytes: The memory that it needs in addition to what it holds.
        has_arrived: Whether all its bytes have arrived, so that it can be forwarded once it has its memory.
        has_expired: Whether it may not wait any longer.
    """

    key: int
    needed_bytes: int
    has_arrived: bool
    has_expired: bool


@dataclass(frozen=True, slots=True)
class IncompleteRequest:
    """An incomplete request that holds memory.

    Attributes:
        key: Identifies the request.
        held_bytes: The memory that it holds.
        age_s: The time since its first byte.
        idle_s: The time since its latest byte.
    """

    key: int
    held_bytes: int
    age_s: float
    idle_s: float

    @property
    def may_be_ended(self) -> bool:
        """Whether the request has stopped or is slow."""
        return self.idle_s >= STALLED_AFTER_S or self.age_s >= SLOW_AFTER_S


@dataclass(slots=True)
class AdmissionDecision:
    """Keys of the requests that change, each in order.

    Attributes:
        expired: Waiting requests that are refused.
        ended: Incomplete requests that are ended to make room.
        admitted: Waiting requests that get the memory that they need.
    """

    expired: list[int] = field(default_factory=list)
    ended: list[int] = field(default_factory=list)
    admitted: list[int] = field(default_factory=list)


def decide(
    free_bytes: int, waiting: Sequence[WaitingRequest], incomplete: Sequence[IncompleteRequest]
) -> AdmissionDecision:
    """Return what happens to waiting and incomplete requests now.

    Args:
        free_bytes: The memory that is free; may be negative.
        waiting: The waiting requests, the longest waiting first.
        incomplete: The incomplete requests that hold memory and do not wait.
    """
    decision = AdmissionDecision(expired=[request.key for request in waiting if request.has_expired])
    remaining = [request for request in waiting if not request.has_expired]
    candidates = sorted(
        (request for request in incomplete if request.may_be_ended),
        key=lambda request: request.held_bytes * request.age_s,
    )
    for request in remaining:
        if not request.has_arrived:
            continue
        free_bytes = _make_room(free_bytes, request.needed_bytes, candidates, decision)
        if request.needed_bytes > free_bytes:
            return decision
        free_bytes -= request.needed_bytes
        decision.admitted.append(request.key)
    for request in remaining:
        if not request.has_arrived:
            if request.needed_bytes > free_bytes - COMPLETE_RESERVE_BYTES:
                break
            free_bytes -= request.needed_bytes
            decision.admitted.append(request.key)
    return decision


def _make_room(
    free_bytes: int, needed_bytes: int, candidates: list[IncompleteRequest], decision: AdmissionDecision
) -> int:
    """End candidates, the last one first, until enough is free; return the number of free bytes."""
    while candidates and free_bytes < needed_bytes:
        ended = candidates.pop()
        free_bytes += ended.held_bytes
        decision.ended.append(ended.key)
    return free_bytes
