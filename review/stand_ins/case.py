"""The frame of a case: its record, its temporary folder, its time limit and its exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0

Play = Callable[[Record, Path], Awaitable[bool]]


def is_troubled() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Play) -> int:
    """Play a case, and return the exit code of its script.

    Args:
        folder: The folder of the case, for its record.
        play: Plays the case, and returns whether the rule held.
    """
    record = Record(folder)
    record.say("with the disruption" if is_troubled() else "without the disruption")
    try:
        code = asyncio.run(_play(record, play))
    except (Exception, asyncio.CancelledError):  # noqa: BLE001 - the stand-ins failed, or were told to end
        record.say(traceback.format_exc())
        code = COULD_NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}[code])
    return code


async def _play(record: Record, play: Play) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        async with asyncio.timeout(TIME_LIMIT_S):
            return HELD if await play(record, Path(folder)) else BROKEN
