"""The events that go into a balancer. All times are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from load_balancer.messages.endpoints import Endpoint
from load_balancer.messages.outcomes import Outcome


class EndpointListKind(Enum):
    """What an `EndpointListUpdate` holds."""

    CHANGES = "changes"  # only what changed
    COMPLETE = "full"  # everything; an endpoint that is absent is removed
    CACHED = "remembered"  # everything as last known before a start, perhaps stale
    FAILED = "failed"  # a subscription or a fetch failed, or the subscription broke


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An update of the endpoint list."""

    kind: EndpointListKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A request that is owed exactly one final response within the time left."""

    id: str
    class_name: str
    time_remaining_us: int
    tenant: str | None = None
    retry: bool = False  # the client says that it has sent the request before


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; every `StartAttempt` gets exactly one of these."""

    request_id: str
    attempt_number: int  # numbered 0, 1, 2 ... in the order in which they were sent
    endpoint_id: int
    outcome: Outcome
    duration_us: int
    is_request_finished: bool  # the request is over: its response went to the client


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer of a streamed request has begun; it belongs to the client from now on."""

    request_id: str
    attempt_number: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by this balancer is due."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check has ended; every `CheckHealth` gets exactly one of these."""

    endpoint_id: int
    is_alive: bool  # the endpoint answered, or could not be asked
    in_flight: float | None = None  # by its load report, where it has one: late and a little noisy


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has left; no response is owed any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The proxy shuts down: every open request is owed its final response now."""


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
