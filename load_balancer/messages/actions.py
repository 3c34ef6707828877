"""The actions that a balancer returns. All times are integers in microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Draw:
    """A candidate of an endpoint selection, with the share that it was drawn by and its load."""

    endpoint_id: int
    share: float
    # Attempts of this balancer in flight. An overdue attempt counts as two, and a recently failed one still
    # counts as one; see `EndpointState.load`.
    load: int


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt that ends with `Outcome.TIMEOUT` after `timeout_us`."""

    request_id: str
    endpoint_id: int
    timeout_us: int
    draws: tuple[Draw, ...] = ()  # the candidates of the selection, the selected one first
    # Within this time of the decision, an attempt whose connects are late may end before it is written, so
    # that the request can still go to another endpoint. 0: it may not end early for this reason.
    failover_within_us: int = 0


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check the health of an endpoint and read its load report: how many requests it has in flight."""

    endpoint_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    request_id: str
    attempt_number: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Send a rejection as the final response; the client can safely send the request again."""

    request_id: str
    retry_after_us: int = 0  # for the Retry-After header; 0: no header


@dataclass(frozen=True, slots=True)
class Fail:
    """Send a failure as the final response; the request may or may not have been run."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer, which is reported as `TimerFired` at `at_us`."""

    timer_id: int
    at_us: int


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Cancel a timer. It may still fire if it is too late to cancel it."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the endpoint list and all later changes from discovery."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint that has left the subset but is still up."""

    endpoint_id: int


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line for the operators."""

    text: str


Action = (
    StartAttempt
    | CheckHealth
    | CancelAttempt
    | Reject
    | Fail
    | SetTimer
    | CancelTimer
    | Subscribe
    | CloseIdle
    | Log
)
