"""When endpoints started, by the policy's clock, whatever is done to wall clocks.

Owned by `EventLoopDriver`, which passes each list of endpoints through it before the policy sees the list.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from load_balancer import messages
from load_balancer.net.clock import Clock

# Far above the largest fleet. Endpoints that restart come with ever new starts, so without a bound the
# memory would grow for as long as the process runs.
MAX_START_TIMES = 20_000


class Incarnation(NamedTuple):
    """One run of one endpoint."""

    endpoint_number: int
    stated_us: int  # its start as discovery states it, Unix time


class StartTimes:
    """Gives each start that discovery states in Unix time its moment on the policy's clock.

    The stated start names an incarnation and is left as it is. The moment is fixed when that incarnation
    is first seen: no later step of any clock makes it older or younger.
    """

    def __init__(self, clock: Clock) -> None:
        """Knows no start yet.

        Args:
            clock: The policy's clock.
        """
        self._clock = clock
        self._start_times_us: dict[Incarnation, int] = {}  # the last seen last
        # When discovery last sent or confirmed the list that is held.
        self._confirmed_at_us: int | None = None

    def confirm(self) -> None:
        """Notes that the list that is held is the one that discovery has at this moment."""
        self._clock.observe()
        self._confirmed_at_us = self._clock.now_us()

    def assign(self, entries: Iterable[messages.Endpoint]) -> tuple[messages.Endpoint, ...]:
        """The entries of a list that came now, with the moments of their starts."""
        return tuple(
            replace(entry, started_us=self._start_time_us(entry)) if entry.incarnation_us > 0 else entry
            for entry in entries
        )

    def _start_time_us(self, entry: messages.Endpoint) -> int:
        incarnation = Incarnation(entry.id, entry.incarnation_us)
        # Remembered also while the endpoint is off the list: one that was cut off for a while is warm, and
        # would go through slow start at its return.
        start_time_us = self._start_times_us.pop(incarnation, None)
        if start_time_us is None:
            start_time_us = self._first_seen_us(entry.incarnation_us)
        self._start_times_us[incarnation] = start_time_us
        if len(self._start_times_us) > MAX_START_TIMES:
            del self._start_times_us[next(iter(self._start_times_us))]
        return start_time_us

    def _first_seen_us(self, stated_us: int) -> int:
        """The stated moment where it lies between the last moment without that start and now, else now.

        The wall clock may be wrong, here or where the start was stated: a start to come would keep the
        endpoint in slow start for as long, one too old would count it as warm at once. Where it is only
        discovery that was late, the endpoint counts as colder than it is for as long as discovery took.
        """
        start_time_us = self._clock.from_unix_us(stated_us)
        if self._confirmed_at_us is not None and start_time_us < self._confirmed_at_us:
            start_time_us = self._clock.now_us()
        return max(1, start_time_us)  # 0 would mean long ago
