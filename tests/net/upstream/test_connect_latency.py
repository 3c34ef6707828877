"""The time that an extra connection is expected to save, from the durations of recent connects."""

from __future__ import annotations

from bisect import bisect_right

import pytest

from load_balancer.net.upstream.connect_latency import WINDOW_SIZE, ConnectLatency


def test_expected_saving_follows_from_recent_connect_durations() -> None:
    latency = ConnectLatency()
    assert latency.median_s is None
    for duration_s in [0.25] * 6 + [1.0] * 2:
        latency.add(duration_s)
    assert latency.median_s == 0.25
    # A new connect completes in 0.25 s with probability 6/8; one pending for 0.5 s takes another 0.5 s.
    assert latency.expected_saving_s([0.5], 10.0) == pytest.approx(0.25 * 0.75)
    assert latency.expected_saving_s([0.5], 0.4) == pytest.approx(0.15 * 0.75)
    assert latency.expected_saving_s([0.5, 0.0], 10.0) == pytest.approx(0.25 * 0.75 * 0.25)
    # Pending for longer than any earlier connect.
    assert latency.expected_saving_s([2.0], 3.0) == pytest.approx(0.75 * 0.75 + 2.0)
    assert latency.expected_saving_s([0.0], 10.0) == pytest.approx(0.75 * 0.75 * 0.25)
    assert ConnectLatency().expected_saving_s([0.5], 10.0) == 0.0
    for _ in range(WINDOW_SIZE):
        latency.add(0.5)
    assert latency.median_s == 0.5
    assert latency.expected_saving_s([0.25], 10.0) == 0.0


def test_expected_saving_tolerates_rounding_of_ages() -> None:
    """`age + (time - age)` may be below `time`; the connect must not count as pending for a step longer."""
    latency, (age_s, slowest_s) = ConnectLatency(), (0.09, 0.34)
    assert age_s + (slowest_s - age_s) < slowest_s
    for duration_s in (0.05, slowest_s):
        latency.add(duration_s)
    assert latency.expected_saving_s([age_s], 9.0) == pytest.approx(0.5 * (slowest_s - age_s - 0.05))


def test_cost_of_the_expected_saving_is_linear_in_pending_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each waiting attempt computes it repeatedly, which blocks the event loop."""
    search_count = 0

    def count_and_search(values: list[float], value: float) -> int:
        nonlocal search_count
        search_count += 1
        return bisect_right(values, value)

    monkeypatch.setattr("load_balancer.net.upstream.connect_latency.bisect_right", count_and_search)
    latency, connection_count = ConnectLatency(), 80
    for number in range(WINDOW_SIZE):
        latency.add(0.005 if number % 3 else 0.1 + number / 100)
    latency.expected_saving_s([number / 7000 for number in range(connection_count)], 1.5)
    assert 0 < search_count <= 2 * connection_count
