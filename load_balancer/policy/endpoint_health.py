"""The health checks of one endpoint: which are out, which were missed, and when the next one is due."""

from __future__ import annotations

MAX_MISSED_CHECKS = 2  # checks without an answer after which it counts as silent: one may meet a pause
FIRST_BACKOFF_US = 400_000  # before the next check, doubled each time: most attempts that hang are just long
SILENT_INTERVAL_US = 500_000  # a silent endpoint is asked this often


class EndpointHealth:
    """The health checks of one incarnation of an endpoint."""

    def __init__(self) -> None:
        """Start unchecked."""
        self.pending = False
        self.checked_at_us = 0
        self.backoff_us = 0
        self.missed = 0  # checks without an answer, in a row

    @property
    def is_silent(self) -> bool:
        """Tell whether it counts as gone without a word."""
        return self.missed >= MAX_MISSED_CHECKS

    def is_due(self, now_us: int, *, has_hanging_attempt: bool) -> bool:
        """Tell whether to ask it now what it holds: attempts hang, or it was silent when last asked."""
        if self.pending:
            return False
        if self.is_silent:
            return now_us >= self.checked_at_us + SILENT_INTERVAL_US
        if not has_hanging_attempt:
            self.backoff_us = 0
            return False
        return now_us >= self.checked_at_us + self.backoff_us

    def start(self, now_us: int) -> None:
        """Count a check as sent."""
        self.pending = True
        self.checked_at_us = now_us
        self.backoff_us = max(FIRST_BACKOFF_US, 2 * self.backoff_us)
