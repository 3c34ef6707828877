"""Which waiting requests get memory, and which incomplete ones lose theirs."""

from __future__ import annotations

import random

import pytest

from load_balancer.net.memory_admission import (
    COMPLETE_RESERVE_BYTES,
    SLOW_AFTER_S,
    STALLED_AFTER_S,
    IncompleteRequest,
    WaitingRequest,
    decide,
)

BIG = 2 * COMPLETE_RESERVE_BYTES
STALLED = IncompleteRequest(10, held_bytes=BIG, age_s=0.2, idle_s=STALLED_AFTER_S)
YOUNG = IncompleteRequest(11, held_bytes=BIG, age_s=0.05, idle_s=0.01)
SLOW = IncompleteRequest(12, held_bytes=BIG, age_s=SLOW_AFTER_S, idle_s=0.0)


def waiting(key: int, needed_bytes: int, *, arrived: bool = True, expired: bool = False) -> WaitingRequest:
    """Return a waiting request."""
    return WaitingRequest(key, needed_bytes, arrived, expired)


def test_complete_requests_are_admitted_in_order_while_they_fit() -> None:
    decision = decide(250, [waiting(1, 100), waiting(2, 100), waiting(3, 100)], [])
    assert (decision.admitted, decision.ended) == ([1, 2], [])


def test_complete_request_is_admitted_before_an_incomplete_one_that_waited_longer() -> None:
    decision = decide(100, [waiting(1, 100, arrived=False), waiting(2, 100)], [])
    assert decision.admitted == [2]


def test_incomplete_request_leaves_room_for_a_complete_one() -> None:
    request = waiting(1, 100, arrived=False)
    assert decide(COMPLETE_RESERVE_BYTES + 99, [request], []).admitted == []
    assert decide(COMPLETE_RESERVE_BYTES + 100, [request], []).admitted == [1]


@pytest.mark.parametrize("holder", [STALLED, SLOW])
def test_stalled_or_slow_request_is_ended_for_a_complete_one(holder: IncompleteRequest) -> None:
    decision = decide(0, [waiting(1, 100)], [YOUNG, holder])
    assert (decision.admitted, decision.ended) == ([1], [holder.key])


def test_nothing_is_ended_for_an_incomplete_request() -> None:
    decision = decide(0, [waiting(1, 100, arrived=False)], [STALLED, SLOW])
    assert (decision.admitted, decision.ended) == ([], [])


def test_young_request_that_receives_bytes_is_not_ended() -> None:
    assert decide(0, [waiting(1, 100)], [YOUNG]).ended == []


def test_request_that_holds_most_for_longest_is_ended_first() -> None:
    light = IncompleteRequest(20, held_bytes=100, age_s=1.0, idle_s=1.0)
    heavy = IncompleteRequest(21, held_bytes=500, age_s=1.0, idle_s=1.0)
    assert decide(0, [waiting(1, 100)], [light, heavy]).ended == [21]


def test_expired_request_is_refused_and_nothing_is_ended_for_it() -> None:
    decision = decide(0, [waiting(1, 100, expired=True)], [STALLED])
    assert (decision.expired, decision.ended, decision.admitted) == ([1], [], [])


@pytest.mark.parametrize("seed", range(50))
def test_admitted_requests_fit_into_what_is_free_and_released(seed: int) -> None:
    rng = random.Random(seed)
    requests = [
        waiting(n, rng.randrange(1, 90_000), arrived=rng.random() < 0.5, expired=rng.random() < 0.1)
        for n in range(30)
    ]
    holders = [
        IncompleteRequest(100 + n, rng.randrange(1, 90_000), rng.random(), 0.3 * rng.random())
        for n in range(30)
    ]
    free_bytes = rng.randrange(-50_000, 400_000)
    decision = decide(free_bytes, requests, holders)
    needed = sum(request.needed_bytes for request in requests if request.key in decision.admitted)
    released = sum(holder.held_bytes for holder in holders if holder.key in decision.ended)
    assert needed <= max(0, free_bytes + released)
    assert not set(decision.admitted) & set(decision.expired)
    assert all(holder.may_be_ended for holder in holders if holder.key in decision.ended)
