"""One request from its arrival to its final response, with the attempts that were made for it."""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer import messages
from load_balancer.policy.class_state import ClassState
from load_balancer.policy.endpoint_state import EndpointAttempt

UNWRITTEN = (messages.Outcome.NOT_SENT, messages.Outcome.NO_CONNECTION, messages.Outcome.UNREACHABLE)


@dataclass(slots=True, eq=False)
class RequestState:
    """A request from its arrival to its final answer. Times are microseconds of the module's clock."""

    id: str
    request_class: ClassState
    priority: float  # what an answer adds to the goal for each microsecond of work
    deadline_us: int
    useful_until_us: int  # past this an answer earns nothing
    deadline_timer: int = 0
    queued_until_us: int = 0
    max_wait_us: int = 0  # in the admission queue at once
    free_rejection_until_us: int = 0  # past this a rejection costs if nothing was written
    streaming: bool = False  # the answer has begun: the client has it, and no deadline runs
    attempts: list[EndpointAttempt] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """False only where every attempt is proved never to have run."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def may_be_written(self) -> bool:
        """Tell whether an attempt may have been written whole to an endpoint."""
        return any(attempt.outcome not in UNWRITTEN for attempt in self.attempts)

    @property
    def has_left(self) -> bool:
        """Tell whether any attempt has left us. One that ended unsent has cost no endpoint anything."""
        return any(attempt.outcome is not messages.Outcome.NOT_SENT for attempt in self.attempts)
