"""The actions that come out of a balancer. All times are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Draw:
    """An endpoint that a selection looked at, with the numbers that decided."""

    endpoint_id: int
    share: float
    load: int  # own attempts; an overdue one counts twice, one that failed for a while longer


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt and end it with a time-out after `timeout_us`."""

    request_id: str
    endpoint_id: int
    timeout_us: int
    draws: tuple[Draw, ...] = ()  # why this endpoint: the draws, the winner first
    # Where no connection to this endpoint comes up, the attempt should end as not sent within this time, so
    # that the request may still go to another endpoint. 0: the attempt should wait for a connection.
    max_connection_wait_us: int = 0


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check the health of an endpoint, and ask how many requests it has in flight."""

    endpoint_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Give up waiting for an attempt."""

    request_id: str
    attempt_number: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final response: not done, and trying again is harmless."""

    request_id: str
    retry_after_us: int = 0  # when the client may best come back; 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    """Final response: failed, with no promise about the effect."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` at a time."""

    timer_id: int
    at_us: int


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Cancel a timer. One that cannot be cancelled any more may still fire."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for the endpoint list and all later changes."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint that has left the subset but is still up."""

    endpoint_id: int


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line for whoever is on call."""

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
