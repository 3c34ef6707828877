"""What the proxy has logged in a test."""

from __future__ import annotations

import logging

import pytest

# In what asyncio logs of the test's own servers as they are stopped.
STAND_IN_PROTOCOL = "StreamReaderProtocol"


def problem_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the messages from warnings up; " Traceback" stands behind one that has a traceback."""
    problems = [
        record
        for record in caplog.records
        if record.levelno >= logging.WARNING and STAND_IN_PROTOCOL not in record.getMessage()
    ]
    return [record.getMessage() + (" Traceback" if record.exc_info else "") for record in problems]


def traceback_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the messages with a traceback."""
    return [line for line in problem_lines(caplog) if "Traceback" in line]


def info_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return all messages but those for debugging."""
    return [record.getMessage() for record in caplog.records if record.levelno != logging.DEBUG]
