"""The first events of a run are logged individually; the others are counted, and a line gives the count."""

from __future__ import annotations

import logging

import pytest

from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.driver.endpoint_directory import CHANGE_LOG_WINDOW_S, MAX_LOGGED_CHANGES
from load_balancer.net.repeated_log_lines import (
    QUIET_PERIOD_S,
    LogLine,
    RepeatedLogLines,
    RunLimits,
    repeated_fault,
)
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.loopback_proxy import running_proxy
from tests.support.stepped_clock import FrozenClock


async def test_changes_of_a_long_list_are_logged_in_few_lines(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    def lines() -> list[str]:
        messages = [record.getMessage() for record in caplog.records if "endpoint" in record.getMessage()]
        caplog.clear()
        return messages

    clock = FrozenClock()
    async with running_proxy() as proxy:
        proxy.driver.endpoint_list.receive(
            read_list(endpoint_list(*(endpoint_entry(f"s-{number}", 9) for number in range(500))))
        )
        logged = lines()
        assert len(logged) == MAX_LOGGED_CHANGES + 1
        assert "uid s-0, cell 1, status up" in logged[0]
        assert logged[-1] == f"{500 - MAX_LOGGED_CHANGES} more changes of endpoints"
        for number in range(100):
            change = endpoint_list(
                endpoint_entry(f"s-{number}", 9, "terminating"), rev=2 + number, is_complete=False
            )
            proxy.driver.endpoint_list.receive(read_list(change))
        assert not lines()
        clock.advance(CHANGE_LOG_WINDOW_S)
        proxy.driver.endpoint_list.receive(
            read_list(endpoint_list(endpoint_entry("s-1", 9, "terminated"), rev=200, is_complete=False))
        )
        summary, change_line = lines()
        assert summary == "100 more changes of endpoints"
        assert "uid s-1, cell 1, status gone" in change_line


def windowed_lines(text: str, *, logs_repeats: bool = True) -> RepeatedLogLines:
    return RepeatedLogLines(
        logging.getLogger("windowed"),
        line=LogLine(logging.WARNING, text),
        summary=LogLine(logging.WARNING, "%d more"),
        limits=RunLimits(window_s=10.0, max_lines=2, logs_repeats=logs_repeats),
    )


def test_window_begins_with_the_first_event_after_the_previous_window(
    caplog: pytest.LogCaptureFixture,
) -> None:
    limited = windowed_lines("at %s")
    for now_s in (5.0, 6.0, 14.9, 15.0, 24.9, 25.0):
        limited.record(now_s, now_s)
    assert caplog.messages == ["at 5.0", "at 6.0", "1 more", "at 15.0", "at 24.9", "at 25.0"]
    assert {record.levelno for record in caplog.records} == {logging.WARNING}


def test_repeated_events_are_counted_when_only_distinct_ones_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    limited = windowed_lines("failed: %s", logs_repeats=False)
    for reason in ("reset", "reset", "silent", "reset", "status 503"):
        limited.record(0.0, reason)
    limited.record(10.0, "reset")
    assert caplog.messages == ["failed: reset", "failed: silent", "3 more", "failed: reset"]


def test_summary_is_logged_once_and_only_when_events_were_suppressed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    limited = windowed_lines("number %d")
    limited.summarize()
    for number in range(5):
        limited.record(0.0, number)
    limited.summarize()
    limited.summarize()
    assert caplog.messages == ["number 0", "number 1", "3 more"]


log = logging.getLogger("test_repeated_log_lines")


@pytest.fixture
def faults(caplog: pytest.LogCaptureFixture) -> RepeatedLogLines:
    caplog.set_level(logging.INFO, logger=log.name)
    return repeated_fault(log, "no descriptor")


def lines(caplog: pytest.LogCaptureFixture) -> list[tuple[int, str]]:
    return [(record.levelno, record.getMessage()) for record in caplog.records]


def test_many_faults_in_a_row_are_logged_in_two_lines(
    faults: RepeatedLogLines, caplog: pytest.LogCaptureFixture
) -> None:
    for number in range(1000):
        faults.record(10.0 + number / 1000, OSError("first" if number == 0 else "later"))
    assert lines(caplog) == [(logging.ERROR, "no descriptor: first")]
    last_at_s = 10.999
    faults.end_if_quiet(last_at_s + QUIET_PERIOD_S)
    assert len(lines(caplog)) == 1
    faults.end_if_quiet(last_at_s + QUIET_PERIOD_S + 0.001)
    assert lines(caplog)[1:] == [(logging.INFO, "no descriptor: ended after 1000 occurrences")]


def test_end_of_a_fault_is_logged_once(faults: RepeatedLogLines, caplog: pytest.LogCaptureFixture) -> None:
    faults.end_if_quiet(100.0)
    assert lines(caplog) == []
    faults.record(100.0, OSError("x"))
    faults.end_if_quiet(200.0)
    faults.end_if_quiet(300.0)
    assert len(lines(caplog)) == 2


def test_recurring_fault_is_logged_and_counted_anew(
    faults: RepeatedLogLines, caplog: pytest.LogCaptureFixture
) -> None:
    for at_s in (100.0, 200.0):
        faults.record(at_s, OSError("x"))
        faults.end_if_quiet(at_s + 50.0)
    begin, end = (
        (logging.ERROR, "no descriptor: x"),
        (logging.INFO, "no descriptor: ended after 1 occurrences"),
    )
    assert lines(caplog) == [begin, end, begin, end]
