"""The state of a request, from its arrival to its final response, with all of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer import messages
from load_balancer.policy.class_state import ClassState
from load_balancer.policy.endpoint_state import EndpointAttempt

# The outcomes of attempts for which no endpoint has received the complete request.
UNWRITTEN_OUTCOMES = (
    messages.Outcome.NOT_SENT,
    messages.Outcome.NO_CONNECTION,
    messages.Outcome.UNREACHABLE,
)


@dataclass(slots=True, eq=False)
class RequestState:
    """The state of a request, from its arrival to its final response. Times are on the balancer's clock."""

    id: str
    request_class: ClassState
    priority: float  # value of a response per microsecond of work
    deadline_us: int
    useful_until_us: int  # a later response has no value
    deadline_timer_id: int = 0
    queued_until_us: int = 0
    max_queue_wait_us: int = 0  # longest time in the admission queue without an attempt in between
    # A later rejection has a cost even if nothing was written to an endpoint.
    free_rejection_until_us: int = 0
    is_streaming: bool = False  # the response is being forwarded, and the deadline no longer applies
    attempts: list[EndpointAttempt] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request; False only if every attempt provably did not run."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def may_have_been_written(self) -> bool:
        """Whether an endpoint may have received the complete request."""
        return any(attempt.outcome not in UNWRITTEN_OUTCOMES for attempt in self.attempts)

    @property
    def was_sent(self) -> bool:
        """Whether an attempt was sent. An attempt that ended as not sent has put no load on an endpoint."""
        return any(attempt.outcome is not messages.Outcome.NOT_SENT for attempt in self.attempts)

    @property
    def is_safe_to_retry(self) -> bool:
        """Whether the client may be told that it can safely send the request again.

        By rule 2 of the wire protocol, this holds for idempotent classes, for keyed classes whose keys all
        endpoints share, and for requests that provably have not run.
        """
        settings = self.request_class.settings
        if settings.idempotency is messages.Idempotency.SAFE:
            return True
        if settings.idempotency is messages.Idempotency.KEYED and settings.key_scope is messages.KeyScope.ALL:
            return True
        return not self.may_have_run

    def has_attempts_left(self, max_attempts: int) -> bool:
        """Return whether the limit on attempts per request allows a further attempt."""
        return len(self.attempts) < max_attempts

    def can_finish_in_time(self, now_us: int) -> bool:
        """Return whether a response with the usual latency of the class would still have a value."""
        return now_us + self.request_class.usual_latency_us <= self.useful_until_us
