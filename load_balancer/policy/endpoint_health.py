"""Health-check state of one endpoint: a pending check, missed checks in a row, when the next one is due."""

from __future__ import annotations

# In a row, after which an endpoint counts as silent. A pause of its process may cause a single missed check.
MAX_MISSED_CHECKS = 2
FIRST_BACKOFF_US = 400_000  # before the next check, doubled each time: most hanging attempts are only slow
SILENT_INTERVAL_US = 500_000  # between checks of a silent endpoint


class EndpointHealth:
    """Health-check state of one incarnation of an endpoint."""

    def __init__(self) -> None:
        """Create a state without checks."""
        self.is_pending = False
        self.checked_at_us = 0
        self.backoff_us = 0
        self.missed_checks = 0  # checks without a response, in a row

    @property
    def is_silent(self) -> bool:
        """Return whether the endpoint has missed `MAX_MISSED_CHECKS` checks in a row."""
        return self.missed_checks >= MAX_MISSED_CHECKS

    def is_due(self, now_us: int, *, has_hanging_attempt: bool) -> bool:
        """Return whether a check is due: an attempt of this balancer hangs, or the endpoint is silent.

        Consecutive checks are separated by the backoff, or by `SILENT_INTERVAL_US` if the endpoint is silent.
        Resets the backoff if no attempt hangs and the endpoint is not silent.
        """
        if self.is_pending:
            return False
        if self.is_silent:
            return now_us >= self.checked_at_us + SILENT_INTERVAL_US
        if not has_hanging_attempt:
            self.backoff_us = 0
            return False
        return now_us >= self.checked_at_us + self.backoff_us

    def check_started(self, now_us: int) -> None:
        """Record that a check was sent, and double the backoff."""
        self.is_pending = True
        self.checked_at_us = now_us
        self.backoff_us = max(FIRST_BACKOFF_US, 2 * self.backoff_us)
