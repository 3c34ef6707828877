"""What the outcome of an attempt teaches of its endpoint, of its class and of the load of all endpoints."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.attempt import LastAttempt
from load_balancer.policy.concurrency_limit import ConcurrencyLimit
from load_balancer.policy.endpoint_list import EndpointList
from load_balancer.policy.endpoint_state import EndpointAttempt, EndpointState
from load_balancer.policy.outbox import Outbox
from load_balancer.policy.slow_start import SlowStart

# The fault is the balancer's or the client's: the outcome says nothing of the endpoint.
OUTCOMES_WITHOUT_EVIDENCE = (
    messages.Outcome.CANCELLED,
    messages.Outcome.NOT_SENT,
    messages.Outcome.UNUSABLE,
)
RESPONSE_OUTCOMES = (messages.Outcome.OK, messages.Outcome.ERROR, messages.Outcome.REJECTED)
# The endpoint may fail requests of this class alone.
CLASS_FAILURE_OUTCOMES = (messages.Outcome.ERROR, messages.Outcome.TIMEOUT)
# These tell nothing of how crowded endpoints are: a connection that does not come up tells of that endpoint
# alone, and says so at once.
OUTCOMES_WITHOUT_LOAD_SIGNAL = (
    messages.Outcome.ERROR,
    messages.Outcome.RESET,
    messages.Outcome.NO_CONNECTION,
    messages.Outcome.UNKNOWN,
)


class OutcomeLearner:
    """Updates endpoint states, classes and the concurrency limit from the outcomes of attempts."""

    def __init__(
        self, outbox: Outbox, endpoints: EndpointList, slow_start: SlowStart, limit: ConcurrencyLimit
    ) -> None:
        """Take the parts that learn."""
        self._outbox = outbox
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._limit = limit

    def learn(
        self, now_us: int, attempt: EndpointAttempt, outcome: messages.Outcome, took_us: int, in_flight: int
    ) -> None:
        """Learn from an attempt that took `took_us`; `in_flight` counts the other own attempts in flight."""
        if outcome in OUTCOMES_WITHOUT_EVIDENCE:
            return
        if outcome is messages.Outcome.UNREACHABLE:
            attempt.endpoint.mark_unreachable(now_us)
            return
        latency_us = took_us if outcome is messages.Outcome.OK else attempt.timeout_us
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
            state.last_attempt = LastAttempt.SUCCEEDED
            self._slow_start.add_response_credit(now_us, state)
            request_class.add_latency(latency_us)
        else:
            state.last_attempt = LastAttempt.FAILED
            penalty_ends_us = attempt.sent_at_us + int(request_class.usual_latency_us)
            state.failure_penalty_ends_us.append(penalty_ends_us)
        if outcome in CLASS_FAILURE_OUTCOMES:
            state.cool_down(now_us, request_class.settings.name)

    def _add_latency(self, state: EndpointState, relative_latency: float) -> None:
        if not state.add_latency(relative_latency):
            return
        epoch, mean = state.detector.epoch, state.detector.epoch_mean
        text = f"epoch {epoch} of {state.endpoint.id}: mean {mean:.2f}, share {state.share:.2f}"
        self._outbox.add(messages.Log(text))
