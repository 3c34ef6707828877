"""Detects shifts of a latency stream with a two-sided Cusum over an exponentially weighted mean.

After Cardellini and Iannucci, "Improving SOA Applications Response Time with Service Overload
Detection" (HPDC 2012); see docs/design.md. Each `EndpointState` owns one detector and feeds it.
"""

from __future__ import annotations

import math

MEAN_ALPHA = 0.05  # weight of a new sample in the mean; the poster's 0.5 scored lower everywhere, by little
DETECTABLE_SHIFT = 0.25  # smallest shift looked for, as a share of the first-epoch mean; the poster's value
RUN_LENGTH = 30  # samples between false alarms that the threshold is set for; at size a day brings ten
SPREAD_ALPHA = 0.05  # weight of a new sample in the running spread: slower than the mean by far
PRIOR_SAMPLES = 5.0  # samples that a new detector counts as seen at the usual value
MIN_EPOCH_MEAN = 0.05  # an epoch mean never falls below this, so that a share stays finite
MAX_EXPONENT = 700.0  # math.exp overflows just above
BISECTION_STEPS = 40


def siegmund_threshold(shift: float, spread: float, run_length: float) -> float:
    """Return the Cusum threshold at which a stream without change alarms once in `run_length` samples.

    `shift` and `spread` are in the unit of the samples, and so is the result. Inverts Siegmund's
    ARL = (exp(2kb) - 2kb - 1) / (2k^2) with k = shift/spread and b = H/spread + 1.166. As
    e^x >= 1 + x + x^2/2, x = 2kb lies below 2k sqrt(ARL).
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
    """A mean that follows the samples, and two sums that tell when it has really moved.

    Samples come in units of what is usual, so that the first epoch's mean is 1.
    """

    def __init__(self) -> None:
        """Start the first epoch, with the usual value counted as the first few samples."""
        self.mean = 1.0
        self.spread_squared = 1.0  # latencies spread about as widely as their mean
        # Without these prior samples a handful of calls would open an epoch.
        self.first_epoch_sum = PRIOR_SAMPLES
        self.first_epoch_count = PRIOR_SAMPLES
        self.upper_sum = 0.0
        self.lower_sum = 0.0
        self.upper_count = 0  # samples since the upper edge last changed
        self.lower_count = 0
        self.epoch = 0
        self.epoch_mean = 1.0

    def add(self, sample: float) -> bool:
        """Add a sample; return True where it opens a new epoch, whose mean is then `epoch_mean`."""
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
        """Move the mean and the spread, and return the mean before."""
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
