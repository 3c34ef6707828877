"""The policy's clock never steps, and converts Unix times by the offset valid at that time."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from load_balancer.net.clock import MAX_OFFSETS
from tests.support.manual_clocks import EACH_CLOCK_STEP, ManualClocks
from tests.support.units import HOUR_US, MILLISECOND_US, SECOND_US

SOURCES = Path(__file__).parent.parent.parent / "load_balancer"


@EACH_CLOCK_STEP
def test_clock_does_not_step_with_the_wall_clock(step: int) -> None:
    clocks = ManualClocks()
    clock = clocks.clock()
    assert clock.now_us() == clocks.wall_us()
    before = clock.now_us()
    clocks.step_wall_clock(step)
    clock.observe()
    assert clock.now_us() == before
    clocks.advance(3 * SECOND_US)
    clock.observe()
    assert clock.now_us() == before + 3 * SECOND_US


@EACH_CLOCK_STEP
@pytest.mark.parametrize(
    "is_read_before_step", [True, False], ids=["read before the step", "read after the step"]
)
def test_wall_time_is_converted_by_the_wall_clock_of_that_moment(
    step: int, is_read_before_step: bool
) -> None:
    clocks = ManualClocks()
    clock = clocks.clock()
    clock.observe()
    clocks.advance(10 * SECOND_US)
    if not is_read_before_step:
        clocks.step_wall_clock(step)
    unix_us, expected_us = clocks.wall_us(), clock.now_us()
    clocks.advance(1 * SECOND_US)
    if is_read_before_step:
        clocks.step_wall_clock(step)
    clocks.advance(1 * SECOND_US)
    assert clock.from_unix_us(unix_us) == expected_us


def test_ambiguous_wall_time_is_converted_to_the_later_moment() -> None:
    clocks = ManualClocks()
    clock = clocks.clock()
    wall_time_us = clocks.wall_us()
    clocks.advance(6 * SECOND_US)
    clocks.step_wall_clock(-5 * SECOND_US)
    clocks.advance(10 * SECOND_US)
    assert clock.from_unix_us(wall_time_us + 3 * SECOND_US) == clock.now_us() - 8 * SECOND_US


def test_slewed_wall_clock_is_followed_and_the_number_of_remembered_offsets_is_bounded() -> None:
    clocks = ManualClocks()
    clock = clocks.clock()
    for _ in range(10_000):
        clocks.advance(2 * SECOND_US)
        clocks.step_wall_clock(1 * MILLISECOND_US)
        clock.observe()
    assert clock.remembered_offset_count == 1
    assert clock.from_unix_us(clocks.wall_us() - 2 * SECOND_US) == clock.now_us() - 2 * SECOND_US
    for _ in range(3 * MAX_OFFSETS):
        clocks.step_wall_clock(HOUR_US)
        clock.observe()
    assert clock.remembered_offset_count == MAX_OFFSETS
    assert clock.from_unix_us(clocks.wall_us() - 2 * SECOND_US) == clock.now_us() - 2 * SECOND_US


def test_no_other_module_reads_a_wall_clock() -> None:
    """All other modules use the event loop's clock, which is monotonic."""
    readers = set()
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            if {"time", "datetime", "calendar", "email.utils"} & set(names):
                readers.add(path.relative_to(SOURCES).as_posix())
    assert readers == {"net/clock.py"}
