"""Counters of the events that an operator asks about: why a request was refused, ended or waited.

`server` creates the one `EventCounters` of the process; the parts count their events in it. The totals since
the start are written to the log at intervals, while they change.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from enum import Enum

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 10.0


class EventKind(Enum):
    """Kind of event that is counted, with its name in the log."""

    REQUEST_WAITED_FOR_MEMORY = "requests that waited for memory"
    REQUEST_REFUSED_FOR_MEMORY = "requests refused after waiting for memory"
    REQUEST_ENDED_FOR_MEMORY = "incomplete requests ended for memory"
    RESPONSE_WAITED_FOR_MEMORY = "responses that waited for memory"
    CLIENT_CLOSED_FOR_MEMORY = "clients closed for memory as they did not read"
    MEMORY_SHED = "times that the process was near its memory limit"
    REQUEST_TIMED_OUT = "requests not received in time"
    CLIENT_DID_NOT_READ = "clients that did not read their response in time"
    CONNECTION_EVICTED = "connections evicted for a new one"
    CONNECTION_OVER_LIMIT = "connections over the limit"
    REQUEST_INVALID = "invalid requests"
    ID_IN_USE = "requests with an id in use"
    ID_TABLE_FULL = "unsafe requests refused as no further id can be kept"
    CLIENT_LEFT = "requests whose client left"
    POLICY_REJECTED = "requests rejected by the policy"
    POLICY_FAILED = "requests failed by the policy"
    RETRY = "retries"


class EventCounters:
    """Number of events of each kind since the start of the process.

    Attributes:
        counts: The number of events of each kind that has occurred.
    """

    def __init__(self) -> None:
        """Start without events."""
        self.counts: Counter[EventKind] = Counter()
        self._logged_total = 0  # counts only grow, so their sum shows whether any has changed
        self._logged_at_s = -math.inf

    def count(self, kind: EventKind) -> None:
        """Count one event."""
        self.counts[kind] += 1

    def log_if_due(self, now_s: float, details: str) -> None:
        """Write the totals to the log if they have changed and the interval has passed.

        Args:
            now_s: The event loop's time, seconds.
            details: Further figures for the line.
        """
        if now_s - self._logged_at_s < LOG_INTERVAL_S or self.counts.total() == self._logged_total:
            return
        self._logged_at_s = now_s
        self.log_totals(details)

    def log_totals(self, details: str) -> None:
        """Write the totals to the log, if there are any.

        Args:
            details: Further figures for the line.
        """
        if not self.counts:
            return
        self._logged_total = self.counts.total()
        totals = ", ".join(f"{kind.value} {count}" for kind, count in self.counts.items())
        log.info("totals since the start: %s; %s", totals, details)
