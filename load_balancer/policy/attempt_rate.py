"""The rate of a balancer's own first attempts, by which slow start estimates what endpoints usually get."""

from __future__ import annotations

import math

RATE_TIME_CONSTANT_US = 2_000_000  # time constant of the decay


class AttemptRate:
    """An exponentially decaying count of first attempts. Retries tell nothing of what an endpoint takes."""

    def __init__(self) -> None:
        """Start at zero."""
        self._count = 0.0
        self._updated_at_us = 0

    def per_us(self, now_us: int) -> float:
        """Return the recent rate, in first attempts per microsecond."""
        self._count *= math.exp((self._updated_at_us - now_us) / RATE_TIME_CONSTANT_US)
        self._updated_at_us = now_us
        return self._count / RATE_TIME_CONSTANT_US

    def add(self, now_us: int) -> None:
        """Count a first attempt."""
        self.per_us(now_us)
        self._count += 1.0
