"""Rate limit for the log lines of events that may occur thousands of times.

A release changes thousands of endpoints, discovery may be down for hours while ten requests a second are
sent to it, and a client may cause some faults at any rate: with one line per event, the log would fill the
disk.

The events of one kind form runs. The first events of a run are logged individually; the others are counted,
and a summary line gives the count. Each class that logs such events owns one `RepeatedLogLines` per kind.
"""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass

QUIET_PERIOD_S = 1.0  # a fault that has not recurred for this long is over


@dataclass(frozen=True, slots=True)
class LogLine:
    """Format of a log line.

    Attributes:
        level: The level, as defined by `logging`.
        text: The format string, with a `%` conversion for each value.
    """

    level: int
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RunLimits:
    """Limits that define when a run of events ends and how many of its events are logged individually.

    Attributes:
        max_lines: Maximum number of events of a run that are logged individually.
        window_s: An event that occurs this long after the first event of a run starts a new run, seconds.
        quiet_s: `end_if_quiet` ends a run whose last event is longer ago than this, seconds.
        logs_repeats: Whether an event with the values of an earlier one in the run is logged individually.
        counts_all: Whether the summary counts all events, not only those that were not logged individually.
    """

    max_lines: int
    window_s: float = math.inf
    quiet_s: float = math.inf
    logs_repeats: bool = True
    counts_all: bool = False


class RepeatedLogLines:
    """Logger that writes the first events of each run individually, then the count of the others."""

    def __init__(self, log: logging.Logger, line: LogLine, summary: LogLine, limits: RunLimits) -> None:
        """Create the logger with no run in progress.

        Args:
            log: The logger that receives the lines.
            line: The line for a single event.
            summary: The line for the count of events, with one `%d`.
            limits: When a run ends, and how many of its events are logged individually.
        """
        self._log = log
        self._line = line
        self._summary = summary
        self._limits = limits
        self._run_started_at_s = -math.inf
        self._last_event_at_s = -math.inf
        self._line_count = 0  # of this run
        self._logged_values: set[tuple[object, ...]] = set()  # of this run
        self._unsummarized_count = 0

    def record(self, now_s: float, *values: object) -> None:
        """Log an event, or count it.

        Args:
            now_s: The event loop's time, seconds.
            values: The values for the line. An event with equal values is a repeat.
        """
        if now_s - self._run_started_at_s >= self._limits.window_s:
            self._end_run()
            self._run_started_at_s = now_s
        self._last_event_at_s = now_s
        is_logged = self._line_count < self._limits.max_lines and not self._is_suppressed_repeat(values)
        if is_logged:
            self._line_count += 1
            self._logged_values.add(values)
            self._log.log(self._line.level, self._line.text, *values)
        if not is_logged or self._limits.counts_all:
            self._unsummarized_count += 1

    def end_if_quiet(self, now_s: float) -> None:
        """End the run and log its summary if no event has occurred for longer than the quiet period.

        Args:
            now_s: The event loop's time, seconds.
        """
        if now_s - self._last_event_at_s > self._limits.quiet_s:
            self._end_run()

    def summarize(self) -> None:
        """Log the number of events counted since the last summary, if any. The run continues."""
        if self._unsummarized_count:
            self._log.log(self._summary.level, self._summary.text, self._unsummarized_count)
        self._unsummarized_count = 0

    def _end_run(self) -> None:
        self.summarize()
        self._line_count = 0
        self._logged_values.clear()

    def _is_suppressed_repeat(self, values: tuple[object, ...]) -> bool:
        return not self._limits.logs_repeats and values in self._logged_values


def repeated_fault(log: logging.Logger, text: str) -> RepeatedLogLines:
    """Return log lines for one kind of fault: an error when it starts, and the count when it is over.

    The only value of an event is the exception. The owner must call `end_if_quiet` periodically.

    Args:
        log: The logger that receives the lines.
        text: The description of the fault, with which both lines start.
    """
    return RepeatedLogLines(
        log,
        line=LogLine(logging.ERROR, f"{text}: %s"),
        summary=LogLine(logging.INFO, f"{text}: ended after %d occurrences"),
        limits=RunLimits(max_lines=1, quiet_s=QUIET_PERIOD_S, counts_all=True),
    )


def periodic_line(log: logging.Logger, line: LogLine, summary_text: str, window_s: float) -> RepeatedLogLines:
    """Return log lines for a condition that may last: one in each window, then the count of the others.

    Args:
        log: The logger that receives the lines.
        line: The line.
        summary_text: The text of the summary, which has the level of the line, with one `%d`.
        window_s: The time between two lines, seconds.
    """
    limits = RunLimits(max_lines=1, window_s=window_s)
    return RepeatedLogLines(log, line, LogLine(line.level, summary_text), limits)
