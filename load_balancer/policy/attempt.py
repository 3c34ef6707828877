"""One attempt of a request: a record that endpoints, requests and health checks share.

It refers to its endpoint without knowing what the policy keeps of endpoints: `endpoint_state` names the type.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Generic, TypeVar

from load_balancer import messages
from load_balancer.policy.class_state import ClassState

EndpointT = TypeVar("EndpointT")


class LastAttemptResult(Enum):
    """How the last attempt at an endpoint ended."""

    NONE = auto()
    SUCCEEDED = auto()
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class HangLimit:
    """When an attempt counts as hanging: after so many usual latencies, and this long at least."""

    usual_latencies: float
    min_us: int


@dataclass(slots=True, eq=False)
class Attempt(Generic[EndpointT]):
    """One attempt of a request at one endpoint."""

    request_id: str
    number: int
    endpoint: EndpointT
    request_class: ClassState
    sent_at_us: int
    timeout_us: int
    outcome: messages.Outcome | None = None  # none while it is in flight
    is_abandoned: bool = False  # given up, its end still to come

    def is_hanging(self, now_us: int, limit: HangLimit) -> bool:
        """Tell whether the attempt has been in flight for longer than the limit."""
        usual_us = int(limit.usual_latencies * self.request_class.usual_latency_us)
        return now_us >= self.sent_at_us + max(limit.min_us, usual_us)

    @property
    def may_have_run(self) -> bool:
        """Return False only where the outcome proves that the endpoint never ran the request."""
        return self.outcome is None or not self.outcome.proves_never_run
