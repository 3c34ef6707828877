"""Access to the log lines of a test."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

# Occurs in the lines that asyncio logs when the test's own servers are stopped.
STAND_IN_PROTOCOL = "StreamReaderProtocol"


def problem_line(record: logging.LogRecord) -> str | None:
    """Return the message of a record of level WARNING or above, with " Traceback" appended if it has one."""
    if record.levelno < logging.WARNING or STAND_IN_PROTOCOL in record.getMessage():
        return None
    return record.getMessage() + (" Traceback" if record.exc_info else "")


def problem_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the messages of level WARNING or above, with " Traceback" appended to those that have one."""
    return [line for record in caplog.records if (line := problem_line(record)) is not None]


class ProblemRecorder(logging.Handler):
    """Logging handler that records the messages of level WARNING or above."""

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Record the message unless it comes from one of the test's own servers."""
        line = problem_line(record)
        if line is not None:
            self.lines.append(line)


@contextmanager
def recorded_problem_lines() -> Iterator[list[str]]:
    """Record the messages of level WARNING or above within this context."""
    recorder = ProblemRecorder()
    logging.getLogger().addHandler(recorder)
    try:
        yield recorder.lines
    finally:
        logging.getLogger().removeHandler(recorder)


def traceback_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the messages with a traceback."""
    return [line for line in problem_lines(caplog) if "Traceback" in line]


def info_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return all messages except those of level DEBUG."""
    return [record.getMessage() for record in caplog.records if record.levelno != logging.DEBUG]
