"""The health checks of one endpoint: whether one is pending, how many were missed, when the next is due."""

from __future__ import annotations

MAX_MISSED_CHECKS = (
    2  # in a row, after which the endpoint counts as silent: one may meet a pause of its process
)
FIRST_BACKOFF_US = 400_000  # before the next check, doubled each time: most attempts that hang just take long
SILENT_INTERVAL_US = 500_000  # a silent endpoint is checked this often


class EndpointHealth:
    """The health checks of one incarnation of an endpoint."""

    def __init__(self) -> None:
        """Start unchecked."""
        self.is_pending = False
        self.checked_at_us = 0
        self.backoff_us = 0
        self.missed_checks = 0  # checks without an answer, in a row

    @property
    def is_silent(self) -> bool:
        """Tell whether the endpoint has left too many checks in a row unanswered."""
        return self.missed_checks >= MAX_MISSED_CHECKS

    def is_due(self, now_us: int, *, has_hanging_attempt: bool) -> bool:
        """Tell whether a check is due: own attempts hang, or the endpoint was silent at the last check."""
        if self.is_pending:
            return False
        if self.is_silent:
            return now_us >= self.checked_at_us + SILENT_INTERVAL_US
        if not has_hanging_attempt:
            self.backoff_us = 0
            return False
        return now_us >= self.checked_at_us + self.backoff_us

    def check_started(self, now_us: int) -> None:
        """Note that a check was sent."""
        self.is_pending = True
        self.checked_at_us = now_us
        self.backoff_us = max(FIRST_BACKOFF_US, 2 * self.backoff_us)
