"""The events that a balancer handles. All times are integers in microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from load_balancer.messages.endpoints import Endpoint
from load_balancer.messages.outcomes import Outcome


class EndpointListKind(Enum):
    """The kind of an `EndpointListUpdate`."""

    CHANGES = "changes"  # only the entries that have changed
    COMPLETE = "full"  # the complete list; endpoints that are not in it are removed
    CACHED = "remembered"  # a complete list from before the start of the process, which may be stale
    FAILED = "failed"  # a request to discovery failed, or the watch was interrupted


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An update of the endpoint list."""

    kind: EndpointListKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A request, which needs exactly one final response within `time_remaining_us`."""

    id: str
    class_name: str
    time_remaining_us: int
    tenant: str | None = None
    retry: bool = False  # the client has marked the request as a retry of its own


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended. Each `StartAttempt` leads to exactly one such event."""

    request_id: str
    attempt_number: int  # counts the attempts of the request from 0, in the order of their start
    endpoint_id: int
    outcome: Outcome
    duration_us: int
    is_request_finished: bool  # the client has received its response, or has left


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The response to a streamed request has begun and is being forwarded to the client."""

    request_id: str
    attempt_number: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that this balancer has set is due."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check has ended. Each `CheckHealth` leads to exactly one such event."""

    endpoint_id: int
    is_alive: bool  # False: the check timed out or could not reach the endpoint, or the endpoint is unknown
    in_flight: float | None = None  # from its load report if it has one; delayed and slightly noisy


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has disconnected and needs no response any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The proxy is shutting down, and every open request needs its final response now."""


Event = (
    ShutdownStarted
    | EndpointListUpdate
    | Request
    | AttemptEnded
    | StreamStarted
    | TimerFired
    | HealthCheckEnded
    | ClientGone
)
