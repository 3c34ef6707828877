"""Detection of shifts in a latency stream with a two-sided CUSUM over an exponentially weighted mean.

After Cardellini and Iannucci, "Improving SOA Applications Response Time with Service Overload
Detection" (HPDC 2012); see docs/design.md. Each `EndpointState` has one detector.
"""

from __future__ import annotations

import math

MEAN_ALPHA = 0.05  # weight of a new sample in the mean; Cardellini and Iannucci use 0.5
DETECTABLE_SHIFT = 0.25  # smallest shift to detect, as a share of the first-epoch mean, as published
# Mean number of samples between false alarms, from which the threshold is calculated. A larger number would
# delay detection: in a large fleet a balancer takes only about ten samples of each endpoint a day.
RUN_LENGTH = 30
SPREAD_ALPHA = 0.05  # weight of a new sample in the running variance
PRIOR_SAMPLES = 5.0  # samples of the usual value that a new detector starts with
MIN_EPOCH_MEAN = 0.05  # lower bound of an epoch mean, so that a share stays finite
MAX_EXPONENT = 700.0  # math.exp overflows slightly above
BISECTION_STEPS = 40


def siegmund_threshold(shift: float, spread: float, run_length: float) -> float:
    """Return the CUSUM threshold at which a stream without a shift alarms once per `run_length` samples.

    `shift`, `spread` (the standard deviation) and the result are in the unit of the samples. The function
    inverts Siegmund's formula ARL = (exp(2kb) - 2kb - 1) / (2k^2) for the average run length, with
    k = shift/spread and b = H/spread + 1.166, where H is the threshold. As e^x >= 1 + x + x^2/2, x = 2kb is
    at most 2k sqrt(ARL).
    """
    if spread <= 0.0:
        return 0.0
    k = shift / spread
    target = 2.0 * k * k * run_length
    low, high = 0.0, min(2.0 * k * math.sqrt(run_length), MAX_EXPONENT)
    for _ in range(BISECTION_STEPS):
        x = (low + high) / 2.0
        if math.exp(x) - x - 1.0 < target:
            low = x
        else:
            high = x
    return max(0.0, spread * (high / (2.0 * k) - 1.166))


class ChangeDetector:
    """Moving mean of the samples, with an upper and a lower CUSUM that detect its shifts.

    A detected shift opens a new epoch. Samples are relative to the usual value, so the first epoch has a mean
    of 1.
    """

    def __init__(self) -> None:
        """Open the first epoch, with `PRIOR_SAMPLES` samples of the usual value."""
        self.mean = 1.0
        self.spread_squared = 1.0  # the standard deviation of latencies is close to their mean
        # Without these prior samples a few latencies would open an epoch.
        self.first_epoch_sum = PRIOR_SAMPLES
        self.first_epoch_count = PRIOR_SAMPLES
        self.upper_sum = 0.0
        self.lower_sum = 0.0
        self.upper_count = 0  # samples since the last upward shift
        self.lower_count = 0  # samples since the last downward shift
        self.epoch = 0
        self.epoch_mean = 1.0

    def add(self, sample: float) -> bool:
        """Add a sample; return True if it opens a new epoch, whose mean is then `epoch_mean`."""
        previous_mean = self._update_mean(sample)
        allowance = DETECTABLE_SHIFT * self.first_epoch_sum / self.first_epoch_count
        self.upper_sum = max(0.0, self.upper_sum + sample - (self.mean + allowance))
        self.lower_sum = max(0.0, self.lower_sum + (self.mean - allowance) - sample)
        self.upper_count += 1
        self.lower_count += 1
        threshold = siegmund_threshold(allowance, math.sqrt(self.spread_squared), RUN_LENGTH)
        if self.upper_sum > threshold:
            new_mean = previous_mean + allowance + self.upper_sum / self.upper_count
            self.upper_count = 0
        elif self.lower_sum > threshold:
            new_mean = previous_mean - allowance - self.lower_sum / self.lower_count
            self.lower_count = 0
        else:
            return False
        self._open_epoch(new_mean)
        return True

    def _update_mean(self, sample: float) -> float:
        """Update the mean and the spread, and return the previous mean."""
        alpha = MEAN_ALPHA
        if self.epoch == 0:
            self.first_epoch_sum += sample
            self.first_epoch_count += 1.0
            alpha = max(MEAN_ALPHA, 1.0 / self.first_epoch_count)
        previous_mean = self.mean
        self.mean = alpha * sample + (1.0 - alpha) * previous_mean
        self.spread_squared += SPREAD_ALPHA * ((sample - previous_mean) ** 2 - self.spread_squared)
        return previous_mean

    def _open_epoch(self, mean: float) -> None:
        self.epoch += 1
        self.epoch_mean = self.mean = max(MIN_EPOCH_MEAN, mean)
        self.upper_sum = 0.0
        self.lower_sum = 0.0
