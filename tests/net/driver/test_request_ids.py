"""Which ids of clients are in use, as the attempts of their requests start and end."""

from __future__ import annotations

import random

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.driver import request_ids
from load_balancer.net.driver.request_ids import MIN_RETENTION_S, RequestIds

NEVER_RUN = [Outcome.NOT_SENT, Outcome.NO_CONNECTION, Outcome.UNREACHABLE, Outcome.REJECTED]
MAY_HAVE_RUN = [outcome for outcome in Outcome if outcome not in NEVER_RUN]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_unsafe_id_stays_in_use_after_an_attempt_that_may_have_run(outcome: Outcome) -> None:
    ids = RequestIds(longest_deadline_s=3.0)
    ids.attempt_started(b"a")
    ids.attempt_ended(5.0, b"a", outcome, is_unsafe=True)
    assert ids.is_in_use(5.0 + MIN_RETENTION_S - 0.01, b"a")
    assert not ids.is_in_use(5.0 + MIN_RETENTION_S, b"a")
    assert len(ids) == 0


@pytest.mark.parametrize("outcome", NEVER_RUN)
def test_unsafe_id_is_free_after_an_attempt_that_never_ran(outcome: Outcome) -> None:
    ids = RequestIds(longest_deadline_s=3.0)
    ids.attempt_started(b"a")
    assert ids.is_in_use(5.0, b"a")
    ids.attempt_ended(5.0, b"a", outcome, is_unsafe=True)
    assert not ids.is_in_use(5.0, b"a")


def test_safe_id_is_in_use_only_while_an_attempt_is_in_flight() -> None:
    ids = RequestIds(longest_deadline_s=3.0)
    ids.attempt_started(b"a")
    ids.attempt_started(b"a")
    ids.attempt_ended(5.0, b"a", Outcome.TIMEOUT, is_unsafe=False)
    assert ids.is_in_use(5.0, b"a")
    ids.attempt_ended(5.0, b"a", Outcome.OK, is_unsafe=False)
    assert not ids.is_in_use(5.0, b"a")


def test_ids_are_kept_for_longer_than_the_longest_deadline() -> None:
    ids = RequestIds(longest_deadline_s=30.0)
    ids.attempt_started(b"a")
    ids.attempt_ended(0.0, b"a", Outcome.OK, is_unsafe=True)
    assert ids.is_in_use(44.9, b"a")
    assert not ids.is_in_use(45.0, b"a")


def test_full_table_has_no_capacity_until_an_id_expires(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_ids, "MAX_RETAINED_IDS", 2)
    ids = RequestIds(longest_deadline_s=3.0)
    for number in range(2):
        assert ids.has_capacity(float(number))
        ids.attempt_started(b"%d" % number)
        ids.attempt_ended(float(number), b"%d" % number, Outcome.OK, is_unsafe=True)
    assert not ids.has_capacity(MIN_RETENTION_S - 0.1)
    assert ids.has_capacity(MIN_RETENTION_S)


@pytest.mark.parametrize("seed", range(20))
def test_no_id_is_left_once_all_attempts_have_ended_and_expired(seed: int) -> None:
    rng = random.Random(seed)
    ids, now_s = RequestIds(longest_deadline_s=3.0), 0.0
    in_flight: list[bytes] = []
    for _ in range(500):
        now_s += rng.random()
        if in_flight and rng.random() < 0.5:
            request_id = in_flight.pop(rng.randrange(len(in_flight)))
            ids.attempt_ended(now_s, request_id, rng.choice(list(Outcome)), is_unsafe=rng.random() < 0.5)
        else:
            in_flight.append(b"%d" % rng.randrange(20))
            ids.attempt_started(in_flight[-1])
        assert all(ids.is_in_use(now_s, request_id) for request_id in in_flight)
    for request_id in in_flight:
        ids.attempt_ended(now_s, request_id, Outcome.OK, is_unsafe=True)
    assert not ids.is_in_use(now_s + MIN_RETENTION_S, b"0")
    assert len(ids) == 0
