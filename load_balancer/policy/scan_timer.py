"""The timer of the regular look at attempts in flight, set by the parts that dispatch and that check them."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.outbox import AttemptScan, Outbox

SCAN_INTERVAL_US = 100_000  # attempts in flight are looked at this often


class ScanTimer:
    """Keeps one timer at most. It is set while attempts are in flight, where giving one up is allowed."""

    def __init__(self, limits: messages.Limits, outbox: Outbox) -> None:
        """Start without a timer."""
        self._limits = limits
        self._outbox = outbox
        self._is_set = False

    def schedule(self, now_us: int) -> None:
        """Set the timer, unless it is set already or no attempt may be given up."""
        if not self._is_set and self._limits.cancel:
            self._is_set = True
            self._outbox.set_timer(now_us + SCAN_INTERVAL_US, AttemptScan())

    def mark_fired(self) -> None:
        """Note that the timer has fired."""
        self._is_set = False
