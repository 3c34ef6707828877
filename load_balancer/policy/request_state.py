"""One request from its arrival to its final response, with the attempts that were made for it."""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer import messages
from load_balancer.policy.class_state import ClassState
from load_balancer.policy.endpoint_state import EndpointAttempt

# No endpoint got the complete request.
UNWRITTEN_OUTCOMES = (
    messages.Outcome.NOT_SENT,
    messages.Outcome.NO_CONNECTION,
    messages.Outcome.UNREACHABLE,
)


@dataclass(slots=True, eq=False)
class RequestState:
    """A request from its arrival to its final response. Times are those of the balancer's clock."""

    id: str
    request_class: ClassState
    priority: float  # what an answer adds to the goal for each microsecond of work
    deadline_us: int
    useful_until_us: int  # past this an answer earns nothing
    deadline_timer: int = 0
    queued_until_us: int = 0
    max_queue_wait_us: int = 0  # in the admission queue at once
    free_rejection_until_us: int = 0  # past this a rejection costs also where nothing was written
    is_streaming: bool = False  # the answer has begun: the client has it, and no deadline runs
    attempts: list[EndpointAttempt] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """Return False only where every attempt is proved never to have run."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def may_have_been_written(self) -> bool:
        """Tell whether an attempt may have been written completely to an endpoint."""
        return any(attempt.outcome not in UNWRITTEN_OUTCOMES for attempt in self.attempts)

    @property
    def was_sent(self) -> bool:
        """Tell whether any attempt was sent. One that ended unsent has cost no endpoint anything."""
        return any(attempt.outcome is not messages.Outcome.NOT_SENT for attempt in self.attempts)

    @property
    def is_safe_to_retry(self) -> bool:
        """Tell whether the client may be told "not done, trying again is harmless".

        By rule 2 of the wire: of an idempotent class, of a class with keys that all endpoints share, and
        of any request that is proved never to have run.
        """
        settings = self.request_class.settings
        if settings.idempotency is messages.Idempotency.SAFE:
            return True
        if settings.idempotency is messages.Idempotency.KEYED and settings.key_scope is messages.KeyScope.ALL:
            return True
        return not self.may_have_run

    def has_attempts_left(self, max_attempts: int) -> bool:
        """Tell whether the site's limit allows a further attempt."""
        return len(self.attempts) < max_attempts

    def can_finish_in_time(self, now_us: int) -> bool:
        """Tell whether an answer would come in time that takes as long as is usual for the class."""
        return now_us + self.request_class.usual_latency_us <= self.useful_until_us
