"""The tests that `KNOWN-RED.txt` lists as failing because of a fault that is still open.

They run with all others. Their failure doesn't fail the run, and is printed. That a test of a `test:` line
passes fails the run, as its entry then has to be removed; a test of an `intermittent:` line may pass.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path

KNOWN_FAILURES_FILE = Path(__file__).parent.parent.parent / "KNOWN-RED.txt"
ENTRY = re.compile(r"^(test|intermittent): (\S+)$", re.MULTILINE)


def listed_tests(text: str) -> Mapping[str, bool]:
    """Return whether each test that the text of the file lists fails always, by the id of the test.

    A line `test: ID` lists one that always fails, a line `intermittent: ID` one that fails at times.
    """
    return {test_id: keyword == "test" for keyword, test_id in ENTRY.findall(text)}


def read_listed_tests() -> Mapping[str, bool]:
    """Return the listed tests as `listed_tests` does; none if the file does not exist."""
    return listed_tests(KNOWN_FAILURES_FILE.read_text()) if KNOWN_FAILURES_FILE.exists() else {}
