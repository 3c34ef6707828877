"""Updates of the endpoint, the request class and the concurrency limit from the outcome of an attempt."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.attempt import LastAttemptResult
from load_balancer.policy.concurrency_limit import ConcurrencyLimit
from load_balancer.policy.endpoint_list import EndpointList
from load_balancer.policy.endpoint_state import EndpointAttempt, EndpointState
from load_balancer.policy.outbox import Outbox
from load_balancer.policy.slow_start import SlowStart

# Caused by the balancer or the client: these outcomes are no evidence about the endpoint.
OUTCOMES_WITHOUT_EVIDENCE = (
    messages.Outcome.CANCELLED,
    messages.Outcome.NOT_SENT,
    messages.Outcome.UNUSABLE,
)
RESPONSE_OUTCOMES = (messages.Outcome.OK, messages.Outcome.ERROR, messages.Outcome.REJECTED)
# The endpoint may fail only requests of the same class.
CLASS_FAILURE_OUTCOMES = (messages.Outcome.ERROR, messages.Outcome.TIMEOUT)
# These don't indicate the load of the endpoints: a connection that is not established, for example, is a
# failure of that endpoint alone and is reported immediately.
OUTCOMES_WITHOUT_LOAD_SIGNAL = (
    messages.Outcome.ERROR,
    messages.Outcome.RESET,
    messages.Outcome.NO_CONNECTION,
    messages.Outcome.UNKNOWN,
)


class OutcomeLearner:
    """Updates endpoint states, request classes and the concurrency limit from the outcomes of attempts."""

    def __init__(
        self, outbox: Outbox, endpoints: EndpointList, slow_start: SlowStart, limit: ConcurrencyLimit
    ) -> None:
        """Create a learner that updates these parts of the policy."""
        self._outbox = outbox
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._limit = limit

    def learn(
        self,
        now_us: int,
        attempt: EndpointAttempt,
        outcome: messages.Outcome,
        duration_us: int,
        in_flight: int,
    ) -> None:
        """Update the state from the outcome of an attempt.

        Args:
            now_us: The present time.
            attempt: The attempt that ended.
            outcome: Its outcome.
            duration_us: The time from its start to its end.
            in_flight: The number of other attempts of this balancer in flight.
        """
        if outcome in OUTCOMES_WITHOUT_EVIDENCE:
            return
        if outcome is messages.Outcome.UNREACHABLE:
            attempt.endpoint.mark_unreachable(now_us)
            return
        latency_us = duration_us if outcome is messages.Outcome.OK else attempt.timeout_us
        self._update_endpoint(now_us, attempt, outcome, latency_us)
        if outcome not in OUTCOMES_WITHOUT_LOAD_SIGNAL:
            relative = attempt.request_class.relative_latency(latency_us)
            self._limit.add_latency_sample(now_us, attempt, relative, self._endpoints.subset, in_flight)

    def _update_endpoint(
        self, now_us: int, attempt: EndpointAttempt, outcome: messages.Outcome, latency_us: int
    ) -> None:
        state = attempt.endpoint
        request_class = attempt.request_class
        if outcome in RESPONSE_OUTCOMES:
            state.record_response(now_us)
        self._add_latency(state, latency_us / request_class.usual_latency_us)
        if outcome is messages.Outcome.OK:
            state.last_attempt = LastAttemptResult.SUCCEEDED
            self._slow_start.add_response_credit(now_us, state)
            request_class.add_latency(latency_us)
        else:
            state.last_attempt = LastAttemptResult.FAILED
            penalty_ends_us = attempt.sent_at_us + int(request_class.usual_latency_us)
            state.failure_penalty_ends_us.append(penalty_ends_us)
        if outcome in CLASS_FAILURE_OUTCOMES:
            state.start_cool_down(now_us, request_class.settings.name)

    def _add_latency(self, state: EndpointState, relative_latency: float) -> None:
        if not state.add_latency(relative_latency):
            return
        epoch, mean = state.detector.epoch, state.detector.epoch_mean
        text = (
            f"latency shift: epoch {epoch} of endpoint {state.endpoint.id} opened with a mean of {mean:.2f} "
            f"times the usual latency; the endpoint's share is now {state.share:.2f}"
        )
        self._outbox.add(messages.Log(text))
