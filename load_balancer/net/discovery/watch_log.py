"""Log lines of a watch on discovery, which tell a slow discovery from one that does not respond.

Discovery can cause each line any number of times, so their rate is limited. `EndpointWatch` owns one
`WatchLog`.
"""

from __future__ import annotations

import logging

from load_balancer.net.discovery.discovery_call import MAX_LATE_S
from load_balancer.net.repeated_log_lines import LogLine, RepeatedLogLines, RunLimits, periodic_line

FAILURE_LOG_WINDOW_S = 10.0
MAX_LOGGED_FAILURES = 5  # per window, one for each reason; the others are counted


class WatchLog:
    """Writes the failures of calls to discovery, and the responses to late ones."""

    def __init__(self, log: logging.Logger) -> None:
        """Create the lines.

        Args:
            log: The logger that receives them.
        """
        self._failed = _failure_lines(log, "watch on discovery failed")
        self._late = _failure_lines(log, "watch on discovery is late")
        self._responded = periodic_line(
            log,
            LogLine(logging.INFO, "discovery responded to a late call after %.2f s; calls open: %d"),
            "discovery responded to %d more late calls",
            FAILURE_LOG_WINDOW_S,
        )

    def record_failure(self, now_s: float, reason: str) -> None:
        """Log that a call has ended, at a time of the event loop in seconds."""
        self._failed.record(now_s, reason)

    def record_late_call(self, now_s: float) -> None:
        """Log that a call has become late, at a time of the event loop in seconds."""
        self._late.record(now_s, "no list or heartbeat before the timeout; the call stays open")

    def record_expired_call(self, now_s: float) -> None:
        """Log that a late call was closed, at a time of the event loop in seconds."""
        self._failed.record(now_s, f"no list or heartbeat for {MAX_LATE_S:.0f} s after the timeout")

    def record_late_response(self, now_s: float, after_s: float, open_count: int) -> None:
        """Log the first message on a call that was late.

        Args:
            now_s: The time of the event loop, seconds.
            after_s: The time since the call was made, seconds.
            open_count: The number of open calls.
        """
        self._responded.record(now_s, after_s, open_count)


def _failure_lines(log: logging.Logger, text: str) -> RepeatedLogLines:
    """Return log lines for failures with a reason, which start with a text."""
    return RepeatedLogLines(
        log,
        line=LogLine(logging.WARNING, f"{text}: %s"),
        summary=LogLine(logging.WARNING, f"{text} %d more times"),
        limits=RunLimits(window_s=FAILURE_LOG_WINDOW_S, max_lines=MAX_LOGGED_FAILURES, logs_repeats=False),
    )
