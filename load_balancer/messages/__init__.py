"""The interface of the policy: settings and events are its input, actions are its output.

A proxy builds a `Settings` and creates one `load_balancer.Balancer` from it. It calls `start` once and then
`handle` for each event, both with the current time, and performs the actions that they return in order. All
times are integers in microseconds on one monotonic clock. This package contains data types only, none of the
policy's decisions.
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
