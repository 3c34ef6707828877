"""The judge of the soak test finds each broken rule in a record, and nothing in a sound one."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.soak.plan import Effort, draw_plan
from benchmarks.soak.records import (
    Execution,
    PeerReport,
    PeerStay,
    ProcessEnd,
    ProcessLife,
    RequestEnd,
    RunRecord,
    SentRequest,
)
from benchmarks.soak.rules import Rule, violations

LIFE = ProcessLife(0.0, listening_at_s=1.0, terminated_at_s=20.0, ended_at_s=23.0)
REQUEST = SentRequest("a", "pay", 2.0, 5.0, RequestEnd.ANSWERED, 5.2, 200)
RAN = Execution("a", 5.05, 5.05)


def record(
    *requests: SentRequest, executions: tuple[Execution, ...] = (), life: ProcessLife = LIFE
) -> RunRecord:
    """Return the record of one process and one report."""
    return RunRecord([life], list(executions), [PeerReport(list(requests), stopped_at_s=24.0)])


def broken_rules(run: RunRecord) -> list[Rule]:
    """Return the broken rules of a record."""
    return [violation.rule for violation in violations(run)]


@pytest.mark.parametrize(
    ("life", "expected"),
    [
        (LIFE, []),
        (replace(LIFE, end=ProcessEnd.MEMORY), [Rule.MEMORY]),
        (replace(LIFE, end=ProcessEnd.KILLED_LATE), [Rule.ENDED]),
        (replace(LIFE, terminated_at_s=None), [Rule.ENDED]),
        (replace(LIFE, exit_code=1), [Rule.ENDED]),
        (replace(LIFE, end=ProcessEnd.PLANNED_KILL, exit_code=-9), []),
    ],
)
def test_end_of_a_process_is_judged(life: ProcessLife, expected: list[Rule]) -> None:
    assert broken_rules(record(life=life)) == expected


@pytest.mark.parametrize(
    ("request_", "executions", "expected"),
    [
        (REQUEST, (RAN,), []),
        (replace(REQUEST, ended_at_s=7.6), (RAN,), [Rule.LOST]),
        (replace(REQUEST, end=RequestEnd.SILENT, status=0), (), [Rule.LOST]),
        (replace(REQUEST, end=RequestEnd.CLOSED, status=0), (RAN,), [Rule.LOST]),
        (replace(REQUEST, end=RequestEnd.CLOSED, status=0), (), []),
        (replace(REQUEST, has_own_body=False), (RAN,), [Rule.FOREIGN]),
        (REQUEST, (RAN, RAN), [Rule.DUPLICATE]),
        (replace(REQUEST, kind="read"), (RAN, RAN), []),
        (replace(REQUEST, end=RequestEnd.LEFT, ended_at_s=4.95), (RAN,), []),
        (replace(REQUEST, end=RequestEnd.LEFT, ended_at_s=4.8), (RAN,), [Rule.LEFT]),
    ],
)
def test_end_of_a_request_is_judged(
    request_: SentRequest, executions: tuple[Execution, ...], expected: list[Rule]
) -> None:
    assert broken_rules(record(request_, executions=executions)) == expected


def test_request_that_an_outright_kill_cuts_off_is_not_lost() -> None:
    life = replace(LIFE, end=ProcessEnd.PLANNED_KILL, ended_at_s=5.1)
    assert not violations(
        record(replace(REQUEST, end=RequestEnd.CLOSED, status=0), executions=(RAN,), life=life)
    )


def test_attempt_for_the_second_use_of_an_id_is_not_late_for_the_first() -> None:
    first = replace(REQUEST, end=RequestEnd.LEFT, sent_at_s=4.0, ended_at_s=4.1)
    assert not violations(record(first, REQUEST, executions=(RAN,)))


@pytest.mark.parametrize(("ended_at_s", "expected"), [(5.9, []), (6.2, [Rule.OWED]), (None, [Rule.OWED])])
def test_peer_is_owed_an_end_within_its_limit(ended_at_s: float | None, expected: list[Rule]) -> None:
    run = record()
    run.reports[0].stays.append(PeerStay("idle", 3.0, ended_at_s))
    assert broken_rules(run) == expected


def test_plan_depends_on_its_seed_alone() -> None:
    assert draw_plan(5, 12.0) == draw_plan(5, 12.0) != draw_plan(6, 12.0)


def test_crowd_at_the_least_memory_can_be_demanded() -> None:
    plans = [draw_plan(seed, 12.0, Effort.CROWD) for seed in range(20)]
    assert {(plan.memory_mb, plan.sockets) for plan in plans} == {(32, 1024)}
