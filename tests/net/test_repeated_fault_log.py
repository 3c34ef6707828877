"""A repeated fault is logged once when it begins and once when it has ended."""

from __future__ import annotations

import logging

import pytest

from load_balancer.net.repeated_fault_log import QUIET_PERIOD_S, RepeatedFaultLog

LOG = logging.getLogger("test_repeated_fault_log")


@pytest.fixture
def faults(caplog: pytest.LogCaptureFixture) -> RepeatedFaultLog:
    caplog.set_level(logging.INFO, logger=LOG.name)
    return RepeatedFaultLog(LOG, "no descriptor")


def lines(caplog: pytest.LogCaptureFixture) -> list[tuple[int, str]]:
    return [(record.levelno, record.getMessage()) for record in caplog.records]


def test_many_faults_in_a_row_are_logged_in_two_lines(
    faults: RepeatedFaultLog, caplog: pytest.LogCaptureFixture
) -> None:
    for n in range(1000):
        faults.record(10.0 + n / 1000, OSError("first" if n == 0 else "later"))
    assert lines(caplog) == [(logging.ERROR, "no descriptor: first")]
    last_at_s = 10.999
    faults.end_if_quiet(last_at_s + QUIET_PERIOD_S)
    assert len(lines(caplog)) == 1
    faults.end_if_quiet(last_at_s + QUIET_PERIOD_S + 0.001)
    assert lines(caplog)[1:] == [(logging.INFO, "no descriptor: over, 1000 times in all")]


def test_end_of_a_fault_is_logged_once(faults: RepeatedFaultLog, caplog: pytest.LogCaptureFixture) -> None:
    faults.end_if_quiet(100.0)
    assert lines(caplog) == []
    faults.record(100.0, OSError("x"))
    faults.end_if_quiet(200.0)
    faults.end_if_quiet(300.0)
    assert len(lines(caplog)) == 2


def test_recurring_fault_is_logged_and_counted_anew(
    faults: RepeatedFaultLog, caplog: pytest.LogCaptureFixture
) -> None:
    for at_s in (100.0, 200.0):
        faults.record(at_s, OSError("x"))
        faults.end_if_quiet(at_s + 50.0)
    begin, end = (logging.ERROR, "no descriptor: x"), (logging.INFO, "no descriptor: over, 1 times in all")
    assert lines(caplog) == [begin, end, begin, end]
