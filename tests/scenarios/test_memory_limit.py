"""A real process stays within the memory limit of its configuration, whatever its peers do.

Each test plays a run of the soak test with one crowd. The process is killed once its peak of resident memory
exceeds the limit, as on the platform; every other rule of the soak test holds as well.
"""

from __future__ import annotations

import pytest

from benchmarks.soak.plan import Crowd, PeerKind, Plan
from benchmarks.soak.rules import served_share, violations
from benchmarks.soak.run import play

RUN_S = 6.0
LEAST_MEMORY_MB = 32  # the least that the platform's terms name
SOCKETS = 1024
MIN_SERVED_SHARE = 0.5  # the operators' gate


def plan_with(kind: PeerKind, count: int, seed: int = 900) -> Plan:
    """Return the plan of a run with one crowd beside 25 sound requests a second."""
    return Plan(
        seed=seed + list(PeerKind).index(kind),
        seconds=RUN_S,
        memory_mb=LEAST_MEMORY_MB,
        sockets=SOCKETS,
        endpoint_count=8,
        work_s=0.1,
        sound_rate_per_s=25.0,
        crowds=(Crowd(kind, count, 0.0, RUN_S),),
    )


def check_run(kind: PeerKind, count: int) -> None:
    """Play a run, and check that no rule was broken and that the sound requests were served."""
    record = play(plan_with(kind, count))
    assert not violations(record)
    assert served_share(record) >= MIN_SERVED_SHARE


def test_hundreds_of_half_sent_requests_fit_into_the_memory_limit() -> None:
    check_run(PeerKind.HALF_BODY, 700)


def test_hundreds_of_slowly_sent_requests_fit_into_the_memory_limit() -> None:
    check_run(PeerKind.SLOW_BODY, 550)


def test_hundreds_of_half_sent_heads_of_many_fields_fit_into_the_memory_limit() -> None:
    check_run(PeerKind.MANY_FIELDS, 580)


def test_large_requests_of_hundreds_of_sound_clients_fit_into_the_memory_limit() -> None:
    check_run(PeerKind.SOUND_LARGE, 330)


def test_tiny_pieces_sent_behind_open_requests_fit_into_the_memory_limit() -> None:
    check_run(PeerKind.SENDS_AHEAD, 60)


def test_unsafe_request_does_not_run_again_under_its_id_after_its_client_left() -> None:
    check_run(PeerKind.LEAVES, 10)


@pytest.mark.parametrize("kind", [PeerKind.UNSOUND, PeerKind.CHECKS])
def test_one_connection_at_full_speed_neither_fills_the_memory_nor_delays_others(kind: PeerKind) -> None:
    check_run(kind, 1)
