"""The time that one more connection is expected to save, by the durations of recent connects."""

from __future__ import annotations

from bisect import bisect_right

import pytest

from load_balancer.net.upstream.connect_latency import WINDOW_SIZE, ConnectLatency


def test_expected_saving_follows_from_recent_connect_durations() -> None:
    times = ConnectLatency()
    assert times.median_s is None
    for seconds in [0.25] * 6 + [1.0] * 2:
        times.add(seconds)
    assert times.median_s == 0.25
    # A new one is up at 0.25 s with 6 in 8, one that is 0.5 s old in another 0.5 s.
    assert times.expected_saving_s([0.5], 10.0) == pytest.approx(0.25 * 0.75)
    assert times.expected_saving_s([0.5], 0.4) == pytest.approx(0.15 * 0.75)
    assert times.expected_saving_s([0.5, 0.0], 10.0) == pytest.approx(0.25 * 0.75 * 0.25)
    assert times.expected_saving_s([2.0], 3.0) == pytest.approx(0.75 * 0.75 + 2.0)  # later than any before
    assert times.expected_saving_s([0.0], 10.0) == pytest.approx(0.75 * 0.75 * 0.25)
    assert ConnectLatency().expected_saving_s([0.5], 10.0) == 0.0
    for _ in range(WINDOW_SIZE):
        times.add(0.5)
    assert times.median_s == 0.5
    assert times.expected_saving_s([0.25], 10.0) == 0.0


def test_expected_saving_tolerates_rounding_of_ages() -> None:
    """`age + (time - age)` may be below `time`: the connection then counted as pending for a step more."""
    times, (age, longest) = ConnectLatency(), (0.09, 0.34)
    assert age + (longest - age) < longest
    for seconds in (0.05, longest):
        times.add(seconds)
    assert times.expected_saving_s([age], 9.0) == pytest.approx(0.5 * (longest - age - 0.05))


def test_cost_of_the_expected_saving_is_linear_in_pending_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each waiting attempt computes it repeatedly, and blocks the event loop meanwhile."""
    searched = 0

    def counted(among: list[float], value: float) -> int:
        nonlocal searched
        searched += 1
        return bisect_right(among, value)

    monkeypatch.setattr("load_balancer.net.upstream.connect_latency.bisect_right", counted)
    times, most = ConnectLatency(), 80
    for number in range(WINDOW_SIZE):
        times.add(0.005 if number % 3 else 0.1 + number / 100)
    times.expected_saving_s([number / 7000 for number in range(most)], 1.5)
    assert 0 < searched <= 2 * most
