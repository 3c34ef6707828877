"""The messages between the policy and its edges: settings and events go in, actions come out.

A proxy builds a `Settings`, makes one `load_balancer.Balancer` from it, feeds it events with the
current time, and carries out the actions it gets back, in their order. All times are whole
microseconds of one clock that never runs backwards. Nothing here decides anything.
"""

from load_balancer.messages.actions import (
    Action,
    CancelAttempt,
    CancelTimer,
    CheckHealth,
    CloseIdle,
    Draw,
    Fail,
    Log,
    Reject,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from load_balancer.messages.endpoints import Endpoint, EndpointStatus
from load_balancer.messages.events import (
    AttemptEnded,
    ClientGone,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    Request,
    ShutdownStarted,
    StreamStarted,
    TimerFired,
)
from load_balancer.messages.outcomes import Outcome
from load_balancer.messages.settings import (
    Idempotency,
    ImpossibleValueError,
    KeyScope,
    Limits,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

__all__ = [
    "Action",
    "AttemptEnded",
    "CancelAttempt",
    "CancelTimer",
    "CheckHealth",
    "ClientGone",
    "CloseIdle",
    "Draw",
    "Endpoint",
    "EndpointListKind",
    "EndpointListUpdate",
    "EndpointStatus",
    "Event",
    "Fail",
    "HealthCheckEnded",
    "Idempotency",
    "ImpossibleValueError",
    "KeyScope",
    "Limits",
    "Log",
    "Outcome",
    "Reject",
    "Request",
    "RequestClass",
    "Rules",
    "SetTimer",
    "Settings",
    "ShutdownStarted",
    "StartAttempt",
    "StreamStarted",
    "Subscribe",
    "Tenant",
    "TimerFired",
]
