"""The tests that `KNOWN-RED.txt` lists as failing because of a fault that is still open.

They run with all others. Their failure doesn't fail the run, and is printed; that they pass fails it, as
their entry then has to be removed.
"""

from __future__ import annotations

import re
from pathlib import Path

KNOWN_FAILURES_FILE = Path(__file__).parent.parent.parent / "KNOWN-RED.txt"
ENTRY = re.compile(r"^test: (\S+)$", re.MULTILINE)


def listed_tests(text: str) -> frozenset[str]:
    """Return the ids of the tests that the text of the file lists, one in each line `test: ID`."""
    return frozenset(ENTRY.findall(text))


def read_listed_tests() -> frozenset[str]:
    """Return the ids of the listed tests; none if the file does not exist."""
    return listed_tests(KNOWN_FAILURES_FILE.read_text()) if KNOWN_FAILURES_FILE.exists() else frozenset()
