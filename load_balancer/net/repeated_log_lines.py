"""Bounds what is logged of events that may come thousands of times.

A release changes thousands of endpoints, discovery may be down for hours and is asked ten times a second, and
any client may cause some faults as often as it likes: with a line for each, the log would fill the disk.

The events of one kind form runs. Of each run the first events are logged singly; the others are counted, and
a summary tells the count. Each part that logs such events owns a `RepeatedLogLines` for each kind.
"""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass

QUIET_PERIOD_S = 1.0  # a fault that has not come again for this long is over


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of the log, whose values are not known yet.

    Attributes:
        level: The level, of `logging`.
        text: The text, with a `%` for each value.
    """

    level: int
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RunLimits:
    """When a run of events ends, and how many of them are logged singly.

    Attributes:
        max_lines: The most events of a run that are logged singly.
        window_s: A run ends with the first event that comes this long after the run's first one, seconds.
        quiet_s: A run ends once its last event is longer ago than this, seconds; looked at by `end_if_quiet`.
        logs_repeats: Whether an event with the values of an earlier one of its run is logged singly too.
        counts_all: Whether the summary counts all events, not only those that were not logged singly.
    """

    max_lines: int
    window_s: float = math.inf
    quiet_s: float = math.inf
    logs_repeats: bool = True
    counts_all: bool = False


class RepeatedLogLines:
    """Logs the first events of each run singly, counts the others, and summarizes them."""

    def __init__(self, log: logging.Logger, line: LogLine, summary: LogLine, limits: RunLimits) -> None:
        """Start without a run.

        Args:
            log: Where the lines go.
            line: The line of one event.
            summary: The line that tells the count of events, with one `%d`.
            limits: When a run ends, and how many events of it are logged singly.
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
            values: What the line says of this event; they tell a repeat from another event.
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
        """End the run, with its summary, where no event has come for longer than the quiet period.

        Args:
            now_s: The event loop's time, seconds.
        """
        if now_s - self._last_event_at_s > self._limits.quiet_s:
            self._end_run()

    def summarize(self) -> None:
        """Log how many events were counted since the last summary, if any; the run goes on."""
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
    """Return the lines of one kind of fault: an error as it begins, and the count once it is over.

    The only value of an event is the exception. The owner calls `end_if_quiet` now and then.

    Args:
        log: Where the lines go.
        text: What the fault is, the beginning of both lines.
    """
    return RepeatedLogLines(
        log,
        line=LogLine(logging.ERROR, f"{text}: %s"),
        summary=LogLine(logging.INFO, f"{text}: over, %d times in all"),
        limits=RunLimits(max_lines=1, quiet_s=QUIET_PERIOD_S, counts_all=True),
    )
