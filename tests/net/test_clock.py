"""The clock of the policy never steps, and converts wall-clock times by what the wall clock showed."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from load_balancer.net.clock import MAX_OFFSETS
from tests.support.clock_helpers import HOUR, STEPS, Times
from tests.support.simulated_fleet import MS, S

SOURCES = Path(__file__).parent.parent.parent / "load_balancer"


@STEPS
def test_clock_does_not_step_with_the_wall_clock(step: int) -> None:
    times = Times()
    clock = times.clock()
    assert clock.now_us() == times.wall()
    before = clock.now_us()
    times.step(step)
    clock.observe()
    assert clock.now_us() == before
    times.advance(3 * S)
    clock.observe()
    assert clock.now_us() == before + 3 * S


@STEPS
@pytest.mark.parametrize("before", [True, False], ids=["stated before it", "stated after it"])
def test_wall_time_is_converted_by_the_wall_clock_of_that_moment(step: int, before: bool) -> None:
    times = Times()
    clock = times.clock()
    clock.observe()
    times.advance(10 * S)
    if not before:
        times.step(step)
    stated, moment = times.wall(), clock.now_us()
    times.advance(1 * S)
    if before:
        times.step(step)
    times.advance(1 * S)
    assert clock.from_unix_us(stated) == moment


def test_ambiguous_wall_time_is_converted_to_the_later_moment() -> None:
    times = Times()
    clock = times.clock()
    shown = times.wall()
    times.advance(6 * S)
    times.step(-5 * S)
    times.advance(10 * S)
    assert clock.from_unix_us(shown + 3 * S) == clock.now_us() - 8 * S


def test_slewed_wall_clock_is_followed_and_the_number_of_remembered_steps_is_bounded() -> None:
    times = Times()
    clock = times.clock()
    for _ in range(10_000):
        times.advance(2 * S)
        times.step(1 * MS)
        clock.observe()
    assert clock.remembered_offset_count == 1
    assert clock.from_unix_us(times.wall() - 2 * S) == clock.now_us() - 2 * S
    for _ in range(3 * MAX_OFFSETS):
        times.step(HOUR)
        clock.observe()
    assert clock.remembered_offset_count == MAX_OFFSETS
    assert clock.from_unix_us(times.wall() - 2 * S) == clock.now_us() - 2 * S


def test_no_other_module_reads_a_wall_clock() -> None:
    """All the rest goes by the event loop, whose clock is monotonic."""
    readers = set()
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
            names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            if {"time", "datetime", "calendar", "email.utils"} & set(names):
                readers.add(path.relative_to(SOURCES).as_posix())
    assert readers == {"net/clock.py"}
