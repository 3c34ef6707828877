"""Latency statistics of connects to endpoints, and the expected benefit of an extra connect.

The sample covers the most recent connects to all endpoints together, because a single endpoint receives too
few connects for a useful estimate. `ConnectPacing` adds the samples and uses the estimates.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Sequence

WINDOW_SIZE = 32  # number of most recent connects in the sample
NEW_CONNECT_INDEX = -1  # index of the extra connect, which is not in the list of pending ones
MIN_SAMPLES = 5  # the median is available from this number of samples


class ConnectLatency:
    """Sliding window of the durations of the most recent connects.

    Extra connects follow the idea of hedged requests (Dean and Barroso, "The Tail at Scale", CACM 2013).
    The time to start one is derived from the whole distribution of durations and not from a fixed quantile:
    if a third of all connects are late, the 95th percentile is itself a late connect.
    """

    def __init__(self) -> None:
        """Create an empty window."""
        self._recent_s: deque[float] = deque()
        self._sorted_s: list[float] = []

    def add(self, duration_s: float) -> None:
        """Add the duration of a connect; for one that was cancelled or timed out, a lower bound."""
        if len(self._recent_s) == WINDOW_SIZE:
            self._sorted_s.remove(self._recent_s.popleft())
        self._recent_s.append(duration_s)
        insort(self._sorted_s, duration_s)

    @property
    def median_s(self) -> float | None:
        """The median duration in seconds, or None with fewer than `MIN_SAMPLES` samples."""
        return self._sorted_s[len(self._sorted_s) // 2] if len(self._recent_s) >= MIN_SAMPLES else None

    def expected_saving_s(self, ages_s: Sequence[float], limit_s: float) -> float:
        """Return by how many seconds one more connect is expected to shorten the time to a connection.

        S(u) is the probability that no pending connect succeeds within u seconds, and F(u) the probability
        that a new connect does. The expected reduction is the integral of S(u) F(u) du. Both are step
        functions, estimated from the sample.

        Args:
            ages_s: Seconds since the start of each pending connect.
            limit_s: Seconds from now after which a connection is no longer useful.
        """
        count = len(self._sorted_s)
        # For each pending connect, the number of sampled durations longer than its age, that is, those at
        # which it can still succeed. A connect older than all samples is assumed not to succeed.
        longer_counts = [count - bisect_right(self._sorted_s, age_s) for age_s in ages_s]
        pending_survival, new_connect_cdf = 1.0, 0.0  # S(u) and F(u)
        saved_s = last_step_s = 0.0
        # A single pass over all steps, because an endpoint may have many pending connects, and every waiting
        # attempt calls this method repeatedly.
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
        """Return the possible success times of all connects in seconds from now, with indexes in `ages_s`."""
        durations_s = self._sorted_s
        steps = [(duration_s, NEW_CONNECT_INDEX) for duration_s in durations_s]
        for index, age_s in enumerate(ages_s):
            remaining_durations_s = durations_s[len(durations_s) - longer_counts[index] :]
            steps += [(duration_s - age_s, index) for duration_s in remaining_durations_s]
        return steps
