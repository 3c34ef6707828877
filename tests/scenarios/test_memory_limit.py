"""A real process stays within the memory limit of its configuration, whatever its peers do.

Each test plays a run of the soak test with one crowd. The process is killed once its peak of resident memory
exceeds the limit, as on the platform; every other rule of the soak test holds as well.
"""

from __future__ import annotations

import fcntl
import itertools
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from benchmarks.soak.plan import Crowd, Effort, PeerKind, Plan, draw_plan
from benchmarks.soak.rules import served_share, violations
from benchmarks.soak.run import play

RUN_S = 5.0
# Each run keeps three cores busy. More of them at once would measure the machine.
RUNS_AT_ONCE = 2
SLOT_POLL_S = 0.05
LEAST_MEMORY_MB = 32  # the least that the platform's terms name
SOCKETS = 1024
MIN_SERVED_SHARE = 0.5  # the operators' gate


@pytest.fixture(autouse=True)
def slot() -> Iterator[None]:
    """Wait until fewer than `RUNS_AT_ONCE` test processes play a run."""
    files = [
        (Path(tempfile.gettempdir()) / f"violetswitch-soak-{number}.lock").open("w")
        for number in range(RUNS_AT_ONCE)
    ]
    for file in itertools.cycle(files):
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            time.sleep(SLOT_POLL_S)
        else:
            break
    yield
    for file in files:
        file.close()


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


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_drawn_faults_break_no_rule_at_the_least_memory(seed: int) -> None:
    plan = draw_plan(seed, RUN_S, Effort.CROWD)
    assert not violations(play(plan))


@pytest.mark.parametrize("kind", [PeerKind.UNSOUND, PeerKind.CHECKS])
def test_one_connection_at_full_speed_neither_fills_the_memory_nor_delays_others(kind: PeerKind) -> None:
    check_run(kind, 1)
