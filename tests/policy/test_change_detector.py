"""The change detector, checked against values that are computed independently of it."""

from __future__ import annotations

import math
import random

import pytest

from load_balancer.messages import Endpoint
from load_balancer.policy.change_detector import (
    MIN_EPOCH_MEAN,
    RUN_LENGTH,
    ChangeDetector,
    siegmund_threshold,
)
from load_balancer.policy.endpoint_state import EndpointState
from load_balancer.policy.token_bucket import TokenBucket
from load_balancer.policy.warming_state import WarmingState


def mean_run_length(shift: float, spread: float, threshold: float) -> float:
    """Return the mean run length by Siegmund's approximation as stated in the design."""
    delta = -shift / spread
    adjusted_threshold = threshold / spread + 1.166
    return (math.exp(-2 * delta * adjusted_threshold) + 2 * delta * adjusted_threshold - 1) / (2 * delta**2)


@pytest.mark.parametrize("target_run_length", [50.0, 100.0, 500.0, 5000.0])
@pytest.mark.parametrize("spread", [0.3, 1.0, 4.0])
def test_threshold_inverts_siegmund_run_length(target_run_length: float, spread: float) -> None:
    threshold = siegmund_threshold(0.25, spread, target_run_length)
    assert threshold > 0
    assert mean_run_length(0.25, spread, threshold) == pytest.approx(target_run_length, rel=1e-6)


def test_threshold_for_degenerate_spread_or_shift() -> None:
    assert siegmund_threshold(0.25, 0.0, 100) == 0.0
    assert siegmund_threshold(0.25, 1e-9, 100) == pytest.approx(0.0, abs=1e-6)
    # For a shift close to zero the run length approaches the square of the adjusted threshold.
    assert siegmund_threshold(1e-6, 1.0, 100) == pytest.approx(10 - 1.166, rel=1e-3)


def noisy_sample(rng: random.Random, mean: float) -> float:
    return mean * rng.uniform(0.5, 1.5)


def samples_until_epoch(detector: ChangeDetector, rng: random.Random, mean: float, max_samples: int) -> int:
    for number in range(1, max_samples + 1):
        if detector.add(noisy_sample(rng, mean)):
            return number
    return max_samples + 1


def test_constant_stream_raises_no_alarm() -> None:
    detector = ChangeDetector()
    assert not any(detector.add(1.0) for _ in range(2000))


def test_false_alarms_are_rarer_than_target_run_length() -> None:
    alarms = 0
    for seed in range(20):
        rng, detector = random.Random(seed), ChangeDetector()
        alarms += sum(detector.add(noisy_sample(rng, 1.0)) for _ in range(500))
    assert alarms < 20 * 500 / RUN_LENGTH


def test_shifts_up_and_down_open_epochs_with_matching_means() -> None:
    for seed in range(20):
        rng, detector = random.Random(seed), ChangeDetector()
        for _ in range(50):
            detector.add(noisy_sample(rng, 1.0))
        epoch = detector.epoch
        assert samples_until_epoch(detector, rng, 5.0, 40) <= 40
        assert detector.epoch == epoch + 1
        assert detector.epoch_mean > 1.1
        for _ in range(40):
            detector.add(noisy_sample(rng, 5.0))
        high_mean = detector.epoch_mean
        for _ in range(60):
            detector.add(noisy_sample(rng, 1.0))
        assert high_mean > 2.5
        assert detector.epoch_mean < high_mean / 2


def test_alarm_resets_its_sums_and_sets_mean_to_epoch_mean() -> None:
    detector = ChangeDetector()
    while not detector.add(20.0):
        pass
    assert (detector.upper_sum, detector.lower_sum, detector.upper_count) == (0.0, 0.0, 0)
    assert detector.lower_count > 0
    assert detector.mean == detector.epoch_mean


def test_epoch_mean_never_falls_below_its_minimum() -> None:
    detector = ChangeDetector()
    for _ in range(500):
        detector.add(0.0)
    assert detector.epoch > 0
    assert detector.epoch_mean == MIN_EPOCH_MEAN


def test_share_changes_only_when_an_epoch_opens() -> None:
    rng, state, epoch_count = (
        random.Random(3),
        EndpointState(Endpoint(1), WarmingState(0.0, 0, TokenBucket(0.0))),
        0,
    )
    for number in range(300):
        share_before = state.share
        epoch_opened = state.add_latency(noisy_sample(rng, 1.0 if number < 150 else 6.0))
        assert epoch_opened or state.share == share_before
        if epoch_opened:
            epoch_count += 1
            assert state.share == 1.0 / state.detector.epoch_mean
    assert epoch_count >= 1
    assert state.share < 0.5
