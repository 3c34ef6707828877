"""The outcomes of attempts."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """The outcome of an attempt."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    UNREACHABLE = "unreachable"  # there was no route to the endpoint, which may be healthy
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    UNUSABLE = "unusable"  # the endpoint refused the request as invalid, as any other would
    UNKNOWN = "unknown"

    @property
    def proves_never_run(self) -> bool:
        """Whether the outcome proves that the endpoint did not run the request."""
        return self in (
            Outcome.REJECTED,
            Outcome.NO_CONNECTION,
            Outcome.UNREACHABLE,
            Outcome.NOT_SENT,
        )
