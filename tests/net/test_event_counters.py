"""The totals of events reach the log, and seldom."""

from __future__ import annotations

import logging

import pytest

from load_balancer.net.event_counters import LOG_INTERVAL_S, EventCounters, EventKind


def test_totals_are_logged_once_an_interval_while_they_change(caplog: pytest.LogCaptureFixture) -> None:
    counters = EventCounters()
    with caplog.at_level(logging.INFO):
        counters.log_if_due(0.0, "x")
        counters.count(EventKind.REQUEST_INVALID)
        counters.log_if_due(1.0, "x")
        counters.count(EventKind.REQUEST_INVALID)
        counters.log_if_due(1.0 + LOG_INTERVAL_S - 0.1, "x")
        counters.log_if_due(1.0 + LOG_INTERVAL_S, "details")
        counters.log_if_due(1.0 + 3 * LOG_INTERVAL_S, "x")
    assert len(caplog.messages) == 2
    assert caplog.messages[1] == "totals since the start: invalid requests 2; details"
