"""The record of a case: every line goes to `record.txt` with the seconds since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes `record.txt` line by line."""

    def __init__(self, folder: Path) -> None:
        """Create the file, or empty it."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started_s

    def line(self, text: str) -> None:
        """Write one line, with the time."""
        self._file.write(f"{self.now_s():9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line, and print it too."""
        self.line(text)
        print(text, flush=True)
