"""When endpoints started, by the policy's clock, whatever is done to wall clocks.

The driver owns one `StartTimes` and passes each endpoint list through it before the policy gets the list.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from load_balancer import messages
from load_balancer.net.clock import Clock

# Far above the largest fleet. Endpoints that restart bring new starts each time, so that without a bound the
# memory would grow for as long as the process runs.
MAX_START_TIMES = 20_000


class Incarnation(NamedTuple):
    """One run of one endpoint.

    Attributes:
        endpoint_id: The endpoint's id, as in the policy.
        reported_start_us: Its start as discovery states it, Unix time in microseconds.
    """

    endpoint_id: int
    reported_start_us: int


class StartTimes:
    """Translates each start that discovery states in Unix time to a moment of the policy's clock.

    The stated start identifies an incarnation and is left as it is. The moment is fixed when that incarnation
    is first seen: no later step of any clock makes it older or younger.
    """

    def __init__(self, clock: Clock) -> None:
        """Begin without any known start.

        Args:
            clock: The policy's clock.
        """
        self._clock = clock
        self._start_times_us: dict[Incarnation, int] = {}  # the last seen last
        # When discovery last sent or confirmed the list that is held.
        self._confirmed_at_us: int | None = None

    @property
    def remembered_count(self) -> int:
        """How many starts are remembered, at most MAX_START_TIMES."""
        return len(self._start_times_us)

    def confirm(self) -> None:
        """Record that the list that is held is the one that discovery has at this moment."""
        self._clock.observe()
        self._confirmed_at_us = self._clock.now_us()

    def assign(self, entries: Iterable[messages.Endpoint]) -> tuple[messages.Endpoint, ...]:
        """Return the entries of a list that came now, with the moments of their starts."""
        return tuple(
            replace(entry, started_us=self._start_time_us(entry)) if entry.incarnation_us > 0 else entry
            for entry in entries
        )

    def _start_time_us(self, entry: messages.Endpoint) -> int:
        """Return when an incarnation started, by the policy's clock, and remember it as the last one seen."""
        incarnation = Incarnation(entry.id, entry.incarnation_us)
        # Remembered also while the endpoint is off the list: one that was cut off for a while is warm, and
        # would go through slow start at its return.
        start_time_us = self._start_times_us.pop(incarnation, None)
        if start_time_us is None:
            start_time_us = self._initial_start_time_us(entry.incarnation_us)
        self._start_times_us[incarnation] = start_time_us
        if len(self._start_times_us) > MAX_START_TIMES:
            del self._start_times_us[next(iter(self._start_times_us))]
        return start_time_us

    def _initial_start_time_us(self, reported_start_us: int) -> int:
        """Return the moment of a start that is seen for the first time.

        It is the stated moment if that lies between the last moment without that start and now, else now. The
        wall clock may be wrong, here or where the start was stated: a start in the future would keep the
        endpoint in slow start for as long, and one too old would make it count as warm at once. If only
        discovery was late, the endpoint counts as colder than it is for as long as discovery took.
        """
        start_time_us = self._clock.from_unix_us(reported_start_us)
        if self._confirmed_at_us is not None and start_time_us < self._confirmed_at_us:
            start_time_us = self._clock.now_us()
        return max(1, start_time_us)  # 0 would mean long ago
