"""The record of one attempt, which is shared by endpoints, requests and health checks.

The type of the endpoint is a parameter, which `endpoint_state` fills in, to avoid a circular import.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Generic, TypeVar

from load_balancer import messages
from load_balancer.policy.class_state import ClassState

EndpointT = TypeVar("EndpointT")


class LastAttemptResult(Enum):
    """The result of the last attempt at an endpoint."""

    NONE = auto()
    SUCCEEDED = auto()
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class HangLimit:
    """The time in flight after which an attempt counts as hanging: the longer of two limits."""

    usual_latencies: float  # as a multiple of the usual latency of the class
    min_us: int


@dataclass(slots=True, eq=False)
class Attempt(Generic[EndpointT]):
    """An attempt of a request at one endpoint."""

    request_id: str
    number: int
    endpoint: EndpointT
    request_class: ClassState
    sent_at_us: int
    timeout_us: int
    outcome: messages.Outcome | None = None  # None while the attempt is in flight
    is_abandoned: bool = False  # cancelled by the balancer, but its end is not reported yet

    def is_hanging(self, now_us: int, limit: HangLimit) -> bool:
        """Return whether the attempt has been in flight for at least the limit."""
        usual_us = int(limit.usual_latencies * self.request_class.usual_latency_us)
        return now_us >= self.sent_at_us + max(limit.min_us, usual_us)

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have run the request; False only if the outcome proves that it did not."""
        return self.outcome is None or not self.outcome.proves_never_run
