"""Clock of the policy, and its conversion from Unix time.

Only this module reads the system's clocks. All other waits and durations of the program use the event loop's
clock, which is monotonic too.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

# A larger change of the wall clock against the monotonic clock between two readings is a step. A smaller one
# may come from slewing, by 500 us per second, or from a stall of the process between reading the two clocks.
MIN_STEP_US = 250_000
MAX_OFFSETS = 16  # remembered offsets of the wall clock, one per step


def unix_us() -> int:
    """Return the Unix time, microseconds. It can step forwards or backwards at any time."""
    return time.time_ns() // 1_000


def monotonic_us() -> int:
    """Return the microseconds since an arbitrary origin. This clock never steps."""
    return time.monotonic_ns() // 1_000


class WallClockOffset(NamedTuple):
    """Offset of the wall clock from the policy's clock, and when it was last valid.

    Attributes:
        offset_us: The wall clock minus the policy's clock, microseconds.
        valid_until_us: The latest time, by the policy's clock, at which the offset may have been valid.
    """

    offset_us: int
    valid_until_us: int


class Clock:
    """Clock of the policy: Unix time at the start of the process, monotonic from then on. It never steps.

    Discovery reports the starts of endpoints in Unix time, so this clock also converts Unix time to its own.
    """

    def __init__(
        self, wall_us: Callable[[], int] = unix_us, monotonic_us: Callable[[], int] = monotonic_us
    ) -> None:
        """Set the clock to the current Unix time.

        Args:
            wall_us: Reads the wall clock, microseconds; replaced only in tests.
            monotonic_us: Reads the monotonic clock, microseconds; replaced only in tests.
        """
        self._wall_us = wall_us
        self._monotonic_us = monotonic_us
        self._start_offset_us = wall_us() - monotonic_us()
        self._offsets = [WallClockOffset(0, 0)]  # the newest last

    def now_us(self) -> int:
        """Return the current time of this clock, microseconds."""
        return self._monotonic_us() + self._start_offset_us

    @property
    def remembered_offset_count(self) -> int:
        """Number of remembered wall clock offsets: one more than the steps detected, up to MAX_OFFSETS."""
        return len(self._offsets)

    def observe(self) -> None:
        """Read the wall clock and update its offset, which changes by slewing and by steps."""
        now_us = self.now_us()
        offset_us = self._wall_us() - now_us
        newest = self._offsets[-1]
        if abs(offset_us - newest.offset_us) > MIN_STEP_US:
            self._offsets[-1] = WallClockOffset(newest.offset_us, now_us)
            self._offsets = [*self._offsets[1 - MAX_OFFSETS :], WallClockOffset(offset_us, now_us)]
        else:
            self._offsets[-1] = WallClockOffset(offset_us, now_us)

    def from_unix_us(self, unix_us: int) -> int:
        """Return the time of this clock at which the wall clock showed a Unix time, at the latest now.

        A time from before a step is converted with the offset that was valid at that time. If the wall clock
        was set back and showed the time twice, the later occurrence is used: an endpoint then counts as
        started later than it was, which only prolongs its slow start.

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
