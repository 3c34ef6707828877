"""The record of a case: what was sent, answered and run, and the verdict."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import NoReturn

from review.peers.backend import Run
from review.peers.clients import Sent

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TIME_LIMIT_S = 110.0


class Record:
    """Lines of `record.txt` in the folder of a case."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty record."""
        self._file = (folder / "record.txt").open("w")
        self._began_at_s = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line, with the seconds since the beginning."""
        self._file.write(f"{time.monotonic() - self._began_at_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Add a line, and print it if standard output is still read."""
        self.add(text)
        with contextlib.suppress(OSError):
            sys.stdout.write(text + "\n")
            sys.stdout.flush()

    def add_requests(self, requests: Iterable[Sent]) -> None:
        """Add a line for each request, with times since the beginning."""
        for sent in requests:
            times = f"{sent.sent_at_s - self._began_at_s:.3f} to {sent.ended_at_s - self._began_at_s:.3f}"
            self.add(
                f"request {sent.request_id} {sent.kind}, time {sent.deadline_s} s, "
                f"from {times}: {sent.end} {sent.status}"
            )

    def add_runs(self, runs: Iterable[Run]) -> None:
        """Add a line for each run at a backend, with times since the beginning."""
        for run in runs:
            self.add(
                f"run {run.request_id} at {run.backend}, last byte {run.at_s - self._began_at_s:.3f}, "
                f"told {run.deadline_s:.3f} s, took effect: {run.is_effective}"
            )


def has_trouble() -> bool:
    """Return whether the disruption is played: not with `TROUBLE=0` in the environment."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(case: Callable[[Record], Awaitable[bool]], file: str) -> None:
    """Play a case, which returns whether its rule was broken, and exit as a case does.

    Args:
        case: The case.
        file: The path of its script, beside which the record is written.
    """
    record = Record(Path(file).resolve().parent)
    record.add(f"disruption: {has_trouble()}")

    async def within_limit() -> bool:
        playing = asyncio.ensure_future(case(record))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        async with asyncio.timeout(TIME_LIMIT_S):
            return await playing

    try:
        is_broken = asyncio.run(within_limit())
    except (Exception, asyncio.CancelledError):  # noqa: BLE001 - whatever it was, the case was not played
        record.say("could not run: " + traceback.format_exc())
        end(COULD_NOT_RUN)
    record.say("RULE BROKEN" if is_broken else "rule held")
    end(BROKEN if is_broken else HELD)


def end(code: int) -> NoReturn:
    """End this process at once: streams that outlive their event loop would write tracebacks."""
    os._exit(code)
