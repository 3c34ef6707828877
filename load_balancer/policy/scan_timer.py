"""The timer of the periodic scan of attempts in flight, shared by the components that set it."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.outbox import AttemptScan, Outbox

SCAN_INTERVAL_US = 100_000  # between scans of the attempts in flight


class ScanTimer:
    """Timer that is set while attempts are in flight or endpoints silent, if attempts may be cancelled."""

    def __init__(self, limits: messages.Limits, outbox: Outbox) -> None:
        """Start with no timer set."""
        self._limits = limits
        self._outbox = outbox
        self._is_set = False

    def schedule(self, now_us: int) -> None:
        """Set the timer, unless it is already set or attempts may not be cancelled."""
        if not self._is_set and self._limits.cancel:
            self._is_set = True
            self._outbox.set_timer(now_us + SCAN_INTERVAL_US, AttemptScan())

    def mark_fired(self) -> None:
        """Record that the timer has fired."""
        self._is_set = False
