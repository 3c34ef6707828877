"""How long connects to endpoints take, and how much time one more connect would save.

It remembers the last connects to all endpoints together: each endpoint alone gets too few to tell. The pacing
of connects adds to it and asks it.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Sequence

WINDOW_SIZE = 32  # connects that are remembered
NEW_CONNECT_INDEX = -1  # the index of the connect that is not pending yet
MIN_SAMPLES = 5  # before this many connects have ended, no median is given


class ConnectLatency:
    """The durations of the last connects.

    In the manner of hedged requests (Dean and Barroso, "The Tail at Scale", CACM 2013), but the moment for
    another connect comes from these durations and not from a fixed quantile: if a third of all connects
    is late, so is the 95th percentile.
    """

    def __init__(self) -> None:
        """Start with no connect."""
        self._recent_s: deque[float] = deque()
        self._sorted_s: list[float] = []

    def add(self, duration_s: float) -> None:
        """Remember a connect that took this long, or at least this long if it was given up."""
        if len(self._recent_s) == WINDOW_SIZE:
            self._sorted_s.remove(self._recent_s.popleft())
        self._recent_s.append(duration_s)
        insort(self._sorted_s, duration_s)

    @property
    def median_s(self) -> float | None:
        """The median in seconds, or None while too few connects have ended."""
        return self._sorted_s[len(self._sorted_s) // 2] if len(self._recent_s) >= MIN_SAMPLES else None

    def expected_saving_s(self, ages_s: Sequence[float], limit_s: float) -> float:
        """Return how many seconds sooner the first of several connects succeeds, on average, with one more.

        Let S(u) be the probability that none of them is up within u seconds, and F(u) that a new one is. Then
        the first is sooner by the integral of S(u) F(u) du; both are step functions.

        Args:
            ages_s: For how many seconds each pending connect has been.
            limit_s: Seconds after which no connection is of use.
        """
        count = len(self._sorted_s)
        # How many of the remembered durations are longer than each age: those at which that connect may still
        # end. For a connect that is pending for longer than any of them nothing can be expected.
        longer_counts = [count - bisect_right(self._sorted_s, age_s) for age_s in ages_s]
        pending_survival, new_connect_cdf = 1.0, 0.0  # S and F
        saved_s = last_step_s = 0.0
        # One pass over all steps: many connects to an endpoint may be pending, and each attempt asks often.
        for step_s, index in sorted(self._completion_times(ages_s, longer_counts)):
            if step_s >= limit_s:
                break
            saved_s += pending_survival * new_connect_cdf * (step_s - last_step_s)
            last_step_s = step_s
            if index == NEW_CONNECT_INDEX:
                new_connect_cdf += 1.0 / count
                continue
            pending_survival *= 1.0 - 1.0 / longer_counts[index]
            longer_counts[index] -= 1
            if longer_counts[index] == 0:
                return saved_s
        return saved_s + pending_survival * new_connect_cdf * max(0.0, limit_s - last_step_s)

    def _completion_times(
        self, ages_s: Sequence[float], longer_counts: Sequence[int]
    ) -> list[tuple[float, int]]:
        """Return when each connect may come up, in seconds from now, with its index in `ages_s`."""
        durations_s = self._sorted_s
        steps = [(duration_s, NEW_CONNECT_INDEX) for duration_s in durations_s]
        for index, age_s in enumerate(ages_s):
            later_s = durations_s[len(durations_s) - longer_counts[index] :]
            steps += [(duration_s - age_s, index) for duration_s in later_s]
        return steps
