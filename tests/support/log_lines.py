"""What the proxy has logged in a test."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

# In what asyncio logs of the test's own servers as they are stopped.
STAND_IN_PROTOCOL = "StreamReaderProtocol"


def problem_line(record: logging.LogRecord) -> str | None:
    """Return the message of a warning or worse, with " Traceback" behind one that has a traceback."""
    if record.levelno < logging.WARNING or STAND_IN_PROTOCOL in record.getMessage():
        return None
    return record.getMessage() + (" Traceback" if record.exc_info else "")


def problem_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the messages from warnings up, with " Traceback" behind those that have a traceback."""
    return [line for record in caplog.records if (line := problem_line(record)) is not None]


class ProblemRecorder(logging.Handler):
    """Records the messages from warnings up."""

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Record the message where it is a problem."""
        line = problem_line(record)
        if line is not None:
            self.lines.append(line)


@contextmanager
def recorded_problem_lines() -> Iterator[list[str]]:
    """Record the messages from warnings up within this context."""
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
    """Return all messages but those for debugging."""
    return [record.getMessage() for record in caplog.records if record.levelno != logging.DEBUG]
