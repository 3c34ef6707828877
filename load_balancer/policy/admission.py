"""Admission: the limit on attempts in flight, and the queue of requests that wait for an endpoint."""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

from load_balancer.policy.class_state import ClassState
from load_balancer.policy.endpoint_state import EndpointAttempt, EndpointState
from load_balancer.policy.request_state import RequestState

INITIAL_LIMIT = 4.0  # attempts an endpoint may have in flight before anything is known, of all balancers
INITIAL_SHARED_LIMIT = 10.0  # the same where many balancers share it, so that each can have up to one
MIN_LIMIT = 1.0  # the least attempts an endpoint may have in flight, from all balancers
# The limit falls below one attempt of each balancer where answers take this many times as long as good ones.
OVERLOAD_LATENCY = 1.6
LIMIT_DECREASE = 0.9  # the limit is multiplied by this when an answer comes late
LIMIT_INCREASE = 0.5  # attempts an endpoint that the limit grows by in a round of answers in good time
MIN_LATENCY_SAMPLES = 4.0  # answers in the running mean of relative latencies, at least
MIN_MEAN_WEIGHT = 1e-9  # keeps the priority finite where no class has any weight


class ConcurrencyLimit:
    """One limit for all endpoints of the subset, split by share.

    The signal of each endpoint alone is too noisy, as one heavy request looks like a queue.
    """

    def __init__(self) -> None:
        """Start without a limit: it is set by the first endpoint list."""
        self.attempts = 0.0  # own ones in flight an endpoint may have
        self.sharing_balancers = 1.0  # balancers that have each endpoint in their subset
        self._found_no_place = False  # since the limit last grew
        self._relative_latency = 0.0  # running mean
        self._decreased_at_us = 0

    def share_among(self, balancers: float) -> None:
        """Take over the number of balancers that have each endpoint in their subset.

        The starting limit is divided by it: all of them together would overload the endpoints before
        the first late answers.
        """
        balancers = max(1.0, balancers)
        total = self.attempts * self.sharing_balancers if self.attempts else 0.0
        initial = max(INITIAL_LIMIT, min(INITIAL_SHARED_LIMIT, balancers))
        self.sharing_balancers = balancers
        self.attempts = (total or initial) / balancers

    def note_no_place(self) -> None:
        """A request has found no endpoint within its limit."""
        self._found_no_place = True

    def add_answer(
        self,
        now_us: int,
        attempt: EndpointAttempt,
        relative_latency: float,
        subset: Sequence[EndpointState],
        total_in_flight: int,
    ) -> None:
        """Grow the limit a little while it binds, cut it once for each round of late answers."""
        # Of many answers a few are always late together by chance, so the mean runs over one round of
        # those in flight; where there are few it must be quick, and others even it out.
        capped = min(relative_latency, 2.0 * OVERLOAD_LATENCY)
        self._relative_latency += (capped - self._relative_latency) / max(
            MIN_LATENCY_SAMPLES, total_in_flight
        )
        if self._relative_latency > (1.0 if self.attempts > 1.0 else OVERLOAD_LATENCY):
            self._decrease(now_us, attempt)
        elif self._found_no_place or self._binds(attempt.endpoint):
            self._increase(len(subset))
        self.split(subset)

    def _decrease(self, now_us: int, attempt: EndpointAttempt) -> None:
        if attempt.sent_at_us < self._decreased_at_us:
            return
        self.attempts = max(MIN_LIMIT / self.sharing_balancers, self.attempts * LIMIT_DECREASE)
        self._decreased_at_us = now_us

    def _increase(self, subset_size: int) -> None:
        self.attempts += LIMIT_INCREASE / self.sharing_balancers / max(1.0, self.attempts * subset_size)
        self._found_no_place = False

    @staticmethod
    def _binds(state: EndpointState) -> bool:
        return 1.0 <= state.concurrency_limit - 1 <= len(state.in_flight) + 1

    def split(self, subset: Sequence[EndpointState]) -> None:
        """Give each endpoint its part of the limit."""
        # Worked out at each change of the list, for up to 64 endpoints: written so as to call nothing.
        mean_share = sum([state.share for state in subset]) / max(1, len(subset))
        highest = self.attempts
        lowest = min(1.0, highest)
        for state in subset:
            part = highest * (state.share / mean_share) if state.share < mean_share else highest
            # A low share alone pauses no endpoint: the draws lower it, and it must be seen to recover.
            state.concurrency_limit = part if part > lowest else lowest


def request_priority(
    request_class: ClassState, classes: Collection[ClassState], worst_class_weight: float
) -> float:
    """Return what an answer adds to the goal for each microsecond of work that it takes."""
    requests = sum(other.requests for other in classes)
    mean_weight = sum(other.requests * other.settings.priority_weight for other in classes) / requests
    value = (1.0 - worst_class_weight) * request_class.settings.priority_weight
    value /= max(mean_weight, MIN_MEAN_WEIGHT)
    # Without this one class could go all but unserved where the goal counts the worst one by itself.
    if request_class.served_share <= min(other.served_share for other in classes):
        value += worst_class_weight * requests / request_class.requests
    return value / request_class.usual_latency_us


@dataclass(frozen=True, slots=True, order=True)
class QueueEntry:
    """A place in the queue: the most valuable request first, then in order of arrival."""

    negative_priority: float
    queued_at_us: int
    sequence: int
    request_id: str = field(compare=False)


class AdmissionQueue:
    """Requests that wait for an endpoint, the most valuable first."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: list[QueueEntry] = []
        self._sequence = 0

    def __bool__(self) -> bool:
        """Tell whether a request waits."""
        return bool(self._entries)

    @property
    def request_ids(self) -> list[str]:
        """The ids of the requests that wait, the most valuable first."""
        return [entry.request_id for entry in self._entries]

    def add(self, now_us: int, request: RequestState) -> None:
        """Queue a request."""
        self._sequence += 1
        insort(self._entries, QueueEntry(-request.priority, now_us, self._sequence, request.id))

    def work_off(
        self,
        now_us: int,
        requests: Mapping[str, RequestState],
        send: Callable[[RequestState], bool],
        finish: Callable[[RequestState], None],
    ) -> None:
        """Send queued requests as endpoints come free, the most valuable first; end those that are due."""
        waiting = self._entries
        self._entries = []
        first_attempts_fit = True
        further_attempts_fit = True
        for entry in waiting:
            request = requests.get(entry.request_id)
            if request is None:
                continue
            if now_us >= request.queued_until_us:
                finish(request)
                continue
            fits = first_attempts_fit and (further_attempts_fit or not request.has_left)
            if fits and send(request):
                continue
            # A further attempt finds less open than a first one, so it closes nothing for those.
            if not request.may_have_run:
                first_attempts_fit = first_attempts_fit and request.has_left
                further_attempts_fit = False
            self._entries.append(entry)
