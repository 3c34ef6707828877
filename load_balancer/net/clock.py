"""The one place where clocks are read: the policy's clock, and what the wall clock showed when.

All other waits and spans of the program run on the event loop's clock, which is monotonic too.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

# The wall clock has been stepped where it has moved against the monotonic one by more than this between two
# readings. Slewing moves it by 500 us a second, and the process may be stalled between the two.
MIN_STEP_US = 250_000
MAX_OFFSETS = 16  # the wall clock's offsets that are remembered, one for each step


def unix_us() -> int:
    """Return the Unix time, microseconds. It may be stepped at any time, forwards and backwards."""
    return time.time_ns() // 1_000


def monotonic_us() -> int:
    """Return the microseconds since some moment; this clock never steps."""
    return time.monotonic_ns() // 1_000


class WallClockOffset(NamedTuple):
    """How far the wall clock was ahead of the policy's clock, and until when.

    Attributes:
        offset_us: The wall clock less the policy's clock, microseconds.
        valid_until_us: The last moment at which the offset may have been this, by the policy's clock.
    """

    offset_us: int
    valid_until_us: int


class Clock:
    """The policy's clock: Unix time at the start, monotonic from there on. It never steps.

    Starts of endpoints are stated in Unix time, so this clock also converts times of the wall clock into its
    own.
    """

    def __init__(
        self, wall_us: Callable[[], int] = unix_us, monotonic_us: Callable[[], int] = monotonic_us
    ) -> None:
        """Start at the Unix time of this moment.

        Args:
            wall_us: Reads the wall clock, microseconds; only tests give another one.
            monotonic_us: Reads the monotonic clock, microseconds; only tests give another one.
        """
        self._wall_us = wall_us
        self._monotonic_us = monotonic_us
        self._start_offset_us = wall_us() - monotonic_us()
        self._offsets = [WallClockOffset(0, 0)]  # the newest last

    def now_us(self) -> int:
        """Return the time by this clock, microseconds."""
        return self._monotonic_us() + self._start_offset_us

    @property
    def remembered_offset_count(self) -> int:
        """The number of the wall clock's offsets that are remembered, one more than the steps seen."""
        return len(self._offsets)

    def observe(self) -> None:
        """Read the wall clock anew, to follow its slewing and to see its steps."""
        now_us = self.now_us()
        offset_us = self._wall_us() - now_us
        newest = self._offsets[-1]
        if abs(offset_us - newest.offset_us) > MIN_STEP_US:
            self._offsets[-1] = WallClockOffset(newest.offset_us, now_us)
            self._offsets = [*self._offsets[1 - MAX_OFFSETS :], WallClockOffset(offset_us, now_us)]
        else:
            self._offsets[-1] = WallClockOffset(offset_us, now_us)

    def from_unix_us(self, unix_us: int) -> int:
        """Return the time by this clock at which the wall clock showed a Unix time, at the latest now.

        A time that was stated before a step is converted by the offset of then. Where a wall clock that was
        set back has shown it twice, the later time counts: an endpoint then counts as colder than it is.

        Args:
            unix_us: A time of the wall clock, microseconds.
        """
        self.observe()
        candidates_us = [
            unix_us - offset.offset_us
            for offset in self._offsets
            if unix_us - offset.offset_us <= offset.valid_until_us
        ]
        return max(candidates_us, default=self._offsets[-1].valid_until_us)
