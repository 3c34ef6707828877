"""How an attempt ended."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    UNREACHABLE = "unreachable"  # there was no route to the endpoint, which may be as it was
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    UNUSABLE = "unusable"  # the endpoint can't use the request as it is; no other one could
    UNKNOWN = "unknown"

    @property
    def proves_never_run(self) -> bool:
        """Tell whether the outcome proves that the endpoint did not run the request."""
        return self in (
            Outcome.REJECTED,
            Outcome.NO_CONNECTION,
            Outcome.UNREACHABLE,
            Outcome.NOT_SENT,
        )
