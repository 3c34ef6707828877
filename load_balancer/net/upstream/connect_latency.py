"""How long connections to backends take to come up, and what one more would save.

It remembers the last connects over all backends: each backend alone gets too few to tell. The pacing of
connects adds to it and asks it.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Sequence

WINDOW_SIZE = 32  # connects that are remembered
MIN_SAMPLES = 5  # before as many have ended, nothing is said of what is usual


class ConnectLatency:
    """The durations of the last connects.

    In the manner of hedged requests (Dean and Barroso, "The Tail at Scale", CACM 2013), but the moment for
    another connect comes from these durations and not from a fixed quantile: where a third of all connects
    is late, so is the 95th percentile.
    """

    def __init__(self) -> None:
        """Starts with none."""
        self._recent_s: deque[float] = deque()
        self._sorted_s: list[float] = []

    def add(self, seconds: float) -> None:
        """Remembers a connect that took so long, or at least so long where it was given up."""
        if len(self._recent_s) == WINDOW_SIZE:
            self._sorted_s.remove(self._recent_s.popleft())
        self._recent_s.append(seconds)
        insort(self._sorted_s, seconds)

    @property
    def median_s(self) -> float | None:
        """The median in seconds, or none while too little is known."""
        return self._sorted_s[len(self._sorted_s) // 2] if len(self._recent_s) >= MIN_SAMPLES else None

    def expected_saving_s(self, ages_s: Sequence[float], limit_s: float) -> float:
        """The seconds by which the first of several connections comes up sooner, on average, with one more.

        With S(u) the chance that none of them is up in u seconds and F(u) that a new one is, the first is
        sooner by the integral of S(u) F(u) du, both of which are steps.

        Args:
            ages_s: For how long those that are pending have been.
            limit_s: Seconds after which none is of use.
        """
        times, count = self._sorted_s, len(self._sorted_s)
        # How many of the times are longer than each age: those by which it may still come up. One that is
        # later than any before tells nothing of its end.
        longer = [count - bisect_right(times, age) for age in ages_s]
        steps = [(time, -1) for time in times]
        for number, age in enumerate(ages_s):
            steps += [(time - age, number) for time in times[count - longer[number] :]]
        none_up, new_up = 1.0, 0.0  # S and F
        saved = since = 0.0
        # In one go over all steps: many may be pending at a backend at once, and each attempt looks often.
        for at, number in sorted(steps):
            if at >= limit_s:
                break
            saved += none_up * new_up * (at - since)
            since = at
            if number < 0:
                new_up += 1.0 / count
            else:
                none_up *= 1.0 - 1.0 / longer[number]
                longer[number] -= 1
                if longer[number] == 0:
                    return saved
        return saved + none_up * new_up * max(0.0, limit_s - since)
