"""The handling of requests: on arrival, and when one of their attempts ends."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.admission_queue import AdmissionQueue
from load_balancer.policy.attempt_dispatcher import AttemptDispatcher
from load_balancer.policy.open_requests import OpenRequests
from load_balancer.policy.outcome_learner import OutcomeLearner
from load_balancer.policy.request_factory import RequestFactory
from load_balancer.policy.request_state import RequestState
from load_balancer.policy.retry import RetryRule


class RequestHandler:
    """Sends, queues, retries or finishes requests. It keeps no state of its own."""

    def __init__(
        self,
        factory: RequestFactory,
        open_requests: OpenRequests,
        dispatcher: AttemptDispatcher,
        queue: AdmissionQueue,
        learner: OutcomeLearner,
        retry_rule: RetryRule,
    ) -> None:
        """Store the components.

        Args:
            factory: Creates the state of a new request.
            open_requests: The requests without a final response.
            dispatcher: Starts attempts.
            queue: Holds requests for which no endpoint is available.
            learner: Updates endpoint and class statistics from the outcomes of attempts.
            retry_rule: Decides about retries.
        """
        self._factory = factory
        self._open_requests = open_requests
        self._dispatcher = dispatcher
        self._queue = queue
        self._learner = learner
        self._retry_rule = retry_rule

    def handle_request(self, now_us: int, event: messages.Request) -> None:
        """Send, queue or finish a new request. A request whose id is open already is ignored."""
        if event.id in self._open_requests.by_id:
            return
        request = self._factory.create(now_us, event)
        self._open_requests.add(now_us, request)
        self._retry_rule.budget.earn()
        self._dispatch(now_us, request)

    def handle_attempt_ended(self, now_us: int, event: messages.AttemptEnded) -> None:
        """Learn from the outcome of an attempt, and complete, retry or finish its request."""
        attempt = self._dispatcher.finish(event)
        if attempt is None:
            return
        in_flight = len(self._dispatcher.in_flight)
        self._learner.learn(now_us, attempt, event.outcome, event.duration_us, in_flight)
        request = self._open_requests.by_id.get(event.request_id)
        if request is None:
            return
        if event.is_request_finished or event.outcome is messages.Outcome.OK:
            self._complete(request, event)
        elif event.outcome is messages.Outcome.UNUSABLE:
            self._open_requests.finish(request, is_unusable=True)
        elif self._retry_rule.claim_retry(now_us, request, event.outcome):
            self._dispatch(now_us, request)
        else:
            self._open_requests.finish(request)

    def _complete(self, request: RequestState, event: messages.AttemptEnded) -> None:
        """Remove a request that has its response, and count in its class whether it was served in time."""
        objective_us = request.request_class.settings.latency_objective_us
        in_time = event.outcome is messages.Outcome.OK and event.duration_us <= objective_us
        request.request_class.add_result(served_in_time=in_time)
        self._open_requests.remove(request)

    def _dispatch(self, now_us: int, request: RequestState) -> None:
        """Send the request, or queue it if no endpoint is available, or finish it if it is too late."""
        if not request.can_finish_in_time(now_us):
            self._open_requests.finish(request)
        elif not self._dispatcher.send(now_us, request):
            self._queue.add(now_us, request)
