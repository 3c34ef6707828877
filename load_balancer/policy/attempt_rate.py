"""The rate of first attempts, from which slow start estimates the usual load of an endpoint."""

from __future__ import annotations

import math

RATE_TIME_CONSTANT_US = 2_000_000  # of the exponential decay


class AttemptRate:
    """Exponentially decaying rate of first attempts; retries would distort the estimate of the usual load."""

    def __init__(self) -> None:
        """Start at a rate of zero."""
        self._count = 0.0
        self._updated_at_us = 0

    def per_us(self, now_us: int) -> float:
        """Return the current rate, in first attempts per microsecond."""
        self._count *= math.exp((self._updated_at_us - now_us) / RATE_TIME_CONSTANT_US)
        self._updated_at_us = now_us
        return self._count / RATE_TIME_CONSTANT_US

    def add(self, now_us: int) -> None:
        """Count a first attempt."""
        self.per_us(now_us)
        self._count += 1.0
