"""Start times of endpoints by the policy's clock, which later steps of wall clocks do not change.

The driver owns one `StartTimes` and passes each endpoint list through it before the policy gets the list.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from load_balancer import messages
from load_balancer.net.clock import Clock

# Far above the largest fleet. Each restart of an endpoint adds a start time, so without a limit the memory
# would grow for as long as the process runs.
MAX_START_TIMES = 20_000


class Incarnation(NamedTuple):
    """Identity of one run of an endpoint.

    Attributes:
        endpoint_id: The endpoint's id, as in the policy.
        reported_start_us: The start that discovery reports, Unix time in microseconds.
    """

    endpoint_id: int
    reported_start_us: int


class StartTimes:
    """Converts the starts that discovery reports in Unix time to times of the policy's clock.

    The reported start identifies an incarnation and is not changed. The converted time is fixed when the
    incarnation is first seen: no later step of any clock changes the endpoint's age.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the table without any start times.

        Args:
            clock: The policy's clock.
        """
        self._clock = clock
        self._start_times_us: dict[Incarnation, int] = {}  # the most recently seen last
        # When discovery last sent or confirmed the held list, by the policy's clock.
        self._confirmed_at_us: int | None = None

    @property
    def remembered_count(self) -> int:
        """The number of remembered start times, at most MAX_START_TIMES."""
        return len(self._start_times_us)

    def confirm(self) -> None:
        """Record that the held list is discovery's current one."""
        self._clock.observe()
        self._confirmed_at_us = self._clock.now_us()

    def assign(self, entries: Iterable[messages.Endpoint]) -> tuple[messages.Endpoint, ...]:
        """Return the entries of a list just received, with the start times of those that report a start."""
        return tuple(
            replace(entry, started_us=self._start_time_us(entry)) if entry.incarnation_us > 0 else entry
            for entry in entries
        )

    def _start_time_us(self, entry: messages.Endpoint) -> int:
        """Return an incarnation's start by the policy's clock, and mark it as the most recently seen."""
        incarnation = Incarnation(entry.id, entry.incarnation_us)
        # Start times are also kept for endpoints that left the list: one that was only cut off for a while is
        # warm, and would otherwise go through slow start when it returns.
        start_time_us = self._start_times_us.pop(incarnation, None)
        if start_time_us is None:
            start_time_us = self._initial_start_time_us(entry.incarnation_us)
        self._start_times_us[incarnation] = start_time_us
        if len(self._start_times_us) > MAX_START_TIMES:
            del self._start_times_us[next(iter(self._start_times_us))]
        return start_time_us

    def _initial_start_time_us(self, reported_start_us: int) -> int:
        """Return the start time of an incarnation that is seen for the first time.

        It is the reported time, or now if that time is in the future or before the last confirmation of the
        held list, which did not contain this incarnation. The wall clock may be wrong, here or where the
        start was recorded: a start in the future would keep the endpoint in slow start for too long, and one
        too far in the past would make it count as warm at once. If the clocks are right and only discovery
        was late, the slow start lasts longer than necessary, by the delay of discovery.
        """
        start_time_us = self._clock.from_unix_us(reported_start_us)
        if self._confirmed_at_us is not None and start_time_us < self._confirmed_at_us:
            start_time_us = self._clock.now_us()
        return max(1, start_time_us)  # 0 would exempt the endpoint from slow start
