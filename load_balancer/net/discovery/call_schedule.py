"""Decisions on the calls to discovery: when one is late, and which one is closed for a new one.

A call without a response may be slow or dead, and nothing tells the two apart before the response. So a late
call stays open, and another one is opened beside it: a slow discovery is heard at the first call, a call that
died is replaced. The module performs no I/O and reads no clock. `OpenCalls` owns one schedule.
"""

from __future__ import annotations

from collections.abc import Sequence

# A pushed list is due at once, because the agent that sends it runs on this machine. The first calls follow
# each other closely: of three calls after a change of the address, the list of the last one must be applied
# within 4 s after SIGHUP. The later ones leave a call that is sent just before discovery returns half of the
# 6 s in which a change must be applied.
PUSHED_LIST_TIMEOUTS_S = (1.0, 1.0, 2.0, 3.0)
# If lists are polled, the call is queued first, for up to 2 s before discovery rejects it.
POLLED_LIST_TIMEOUT_S = 2.5
POLLED_LIST_TIMEOUTS_S = (POLLED_LIST_TIMEOUT_S,)
# With these timeouts a call stays open for at least 6 s, also beside a watch that has become silent.
MAX_OPEN_CALLS = 5


class CallSchedule:
    """Timeouts of successive calls to discovery. They grow until discovery responds."""

    def __init__(self, timeouts_s: tuple[float, ...]) -> None:
        """Create the schedule of a discovery that has not been called.

        Args:
            timeouts_s: Time until a call without a response is late, by the number of late calls before it,
                seconds. The last one applies to all further calls.
        """
        self._timeouts_s = timeouts_s
        self._late_count = 0

    @property
    def next_timeout_s(self) -> float:
        """The time until the next call is late, seconds."""
        return self._timeouts_s[min(self._late_count, len(self._timeouts_s) - 1)]

    def record_late_call(self) -> None:
        """Record that a call has no response before its timeout."""
        self._late_count += 1

    def reset(self) -> None:
        """Start again from the first timeout, as discovery has responded or another one is called."""
        self._late_count = 0


def call_to_close(has_fallen_silent: Sequence[bool]) -> int | None:
    """Return the index of the call that is closed before another one is opened, or None if none is.

    A call that has fallen silent is closed first. Otherwise the oldest one stays open: each newer one would
    be closed before a very slow discovery responds.

    Args:
        has_fallen_silent: For each open call, the oldest first, whether it has stopped after a response.
    """
    if len(has_fallen_silent) < MAX_OPEN_CALLS:
        return None
    return has_fallen_silent.index(True) if True in has_fallen_silent else 1
