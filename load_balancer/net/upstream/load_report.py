"""Parser of endpoints' load reports, the bodies of their responses to health checks."""

from __future__ import annotations

import re

REQUESTS_IN_FLIGHT_PATTERN = re.compile(
    rb"(?:^|,)(?:busy_reqs|inflight)=([0-9]{1,9}(?:\.[0-9]{1,9})?)(?:,|$)"
)


def read_requests_in_flight(report: bytes) -> float | None:
    """Return the number of requests in flight from a load report, or None if the report is invalid."""
    found = REQUESTS_IN_FLIGHT_PATTERN.search(report)
    return None if found is None else float(found[1])
