"""What a run of the soak test records, in the order in which it is collected.

All times are seconds of the system's monotonic clock, which all processes of a run share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RequestEnd(StrEnum):
    """How a client's request ended."""

    ANSWERED = "answered"  # a complete final response arrived
    CLOSED = "closed"  # the connection ended without a complete response
    SILENT = "silent"  # nothing arrived until the client stopped waiting
    LEFT = "left"  # the client closed the connection on purpose
    NOT_TAKEN = "not taken"  # the request was never completely written to an accepted connection


@dataclass(slots=True)
class SentRequest:
    """One request that a client has sent completely.

    Attributes:
        id: The value of `Req-Id`.
        kind: The request class.
        deadline_s: The time that the client waits, counted from `sent_at_s`.
        sent_at_s: The time of the request's last byte.
        end: How the request ended.
        ended_at_s: The time of that.
        status: The status of the response; 0 without one.
        has_own_body: Whether a 200 response carried the body that an endpoint made for this request.
    """

    id: str
    kind: str
    deadline_s: float
    sent_at_s: float
    end: RequestEnd = RequestEnd.SILENT
    ended_at_s: float = 0.0
    status: int = 0
    has_own_body: bool = True


@dataclass(slots=True)
class PeerStay:
    """The stay of a peer that sends no complete request.

    Attributes:
        kind: What the peer does.
        connected_at_s: The time of its connect.
        ended_at_s: The time at which it got an error response or a close; None if it got neither.
        limit_s: The time after its connect by which the proxy owes it one of them.
    """

    kind: str
    connected_at_s: float
    ended_at_s: float | None = None
    limit_s: float = 3.0


@dataclass(slots=True)
class PeerReport:
    """What the peers of one process have seen.

    Attributes:
        requests: The requests of sound clients, and of those that leave.
        stays: The stays of the other peers.
        stopped_at_s: The time at which the peers stopped.
        longest_lag_s: The longest time by which the peers' own event loop was late.
    """

    requests: list[SentRequest] = field(default_factory=list)
    stays: list[PeerStay] = field(default_factory=list)
    stopped_at_s: float = 0.0
    longest_lag_s: float = 0.0


@dataclass(slots=True)
class Execution:
    """One request that an endpoint has received completely.

    Attributes:
        request_id: The value of `Req-Id`.
        began_at_s: The time of its first byte.
        ran_at_s: The time of its last byte.
    """

    request_id: str
    began_at_s: float
    ran_at_s: float


class ProcessEnd(StrEnum):
    """How a proxy process ended."""

    MEMORY = "killed at its memory limit"
    PLANNED_KILL = "killed by the plan"
    KILLED_LATE = "killed after SIGTERM, as it had not exited in time"
    EXIT = "exited"


@dataclass(slots=True)
class ProcessLife:
    """One proxy process from its start to its end.

    Attributes:
        started_at_s: The start.
        listening_at_s: The time at which it listened; None if it never did.
        terminated_at_s: The first SIGTERM; None without one.
        ended_at_s: The end.
        end: How it ended.
        exit_code: The exit code; negative for a signal.
        ready_bytes: Resident memory when it listened.
        peak_bytes: Peak resident memory.
        last_line: The end of its log if it was killed for memory.
    """

    started_at_s: float
    listening_at_s: float | None = None
    terminated_at_s: float | None = None
    ended_at_s: float = 0.0
    end: ProcessEnd = ProcessEnd.EXIT
    exit_code: int = 0
    ready_bytes: int = 0
    peak_bytes: int = 0
    last_line: str = ""


@dataclass(slots=True)
class RunRecord:
    """All that one run has recorded."""

    lives: list[ProcessLife] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    reports: list[PeerReport] = field(default_factory=list)
    log_line_count: int = 0
    traceback_count: int = 0
    longest_lag_s: float = 0.0
