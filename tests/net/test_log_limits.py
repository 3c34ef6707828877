"""Log lines of one kind are written up to a limit in each window, and counted beyond it."""

from __future__ import annotations

import logging

import pytest

from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.driver.endpoint_directory import CHANGE_LOG_WINDOW_S, MAX_LOGGED_CHANGES
from load_balancer.net.log_limits import WindowedLog
from tests.support.loopback import SteppedClock, entry, listing, proxy


async def test_changes_of_a_long_list_are_logged_in_few_lines(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    def lines() -> list[str]:
        found = [r.getMessage() for r in caplog.records if "backend" in r.getMessage()]
        caplog.clear()
        return found

    clock = SteppedClock()
    async with proxy() as p:
        p.driver._on_list(read_list(listing(*(entry(f"s-{n}", 9) for n in range(500)))))
        told = lines()
        assert len(told) == MAX_LOGGED_CHANGES + 1
        assert "is s-0, cell 1, up" in told[0]
        assert told[-1] == f"{500 - MAX_LOGGED_CHANGES} more changes of backends"
        for n in range(100):
            change = listing(entry(f"s-{n}", 9, "terminating"), rev=2 + n, full=False)
            p.driver._on_list(read_list(change))
        assert not lines()
        clock.step(CHANGE_LOG_WINDOW_S)
        p.driver._on_list(read_list(listing(entry("s-1", 9, "terminated"), rev=200, full=False)))
        counted, single = lines()
        assert counted == "100 more changes of backends"
        assert "is s-1, cell 1, gone" in single


def windowed_log(*, logs_repeats: bool = True) -> WindowedLog:
    return WindowedLog(
        logging.getLogger("windowed"),
        logging.WARNING,
        summary="%d more",
        window_s=10.0,
        max_lines=2,
        logs_repeats=logs_repeats,
    )


def test_window_begins_with_the_first_event_after_the_previous_window(
    caplog: pytest.LogCaptureFixture,
) -> None:
    limited = windowed_log()
    for now_s in (5.0, 6.0, 14.9, 15.0, 24.9, 25.0):
        limited.record(now_s, "at %s", now_s)
    assert caplog.messages == ["at 5.0", "at 6.0", "1 more", "at 15.0", "at 24.9", "at 25.0"]
    assert {record.levelno for record in caplog.records} == {logging.WARNING}


def test_repeated_events_are_counted_when_only_distinct_ones_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    limited = windowed_log(logs_repeats=False)
    for reason in ("reset", "reset", "silent", "reset", "status 503"):
        limited.record(0.0, "broke: %s", reason)
    limited.record(10.0, "broke: %s", "reset")
    assert caplog.messages == ["broke: reset", "broke: silent", "3 more", "broke: reset"]


def test_summary_is_logged_once_and_only_when_events_were_suppressed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    limited = windowed_log()
    limited.summarize()
    for number in range(5):
        limited.record(0.0, "number %d", number)
    limited.summarize()
    limited.summarize()
    assert caplog.messages == ["number 0", "number 1", "3 more"]
