"""The way of a request: what happens as it arrives, and as one of its attempts ends."""

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
    """Sends, queues, retries or finishes requests. It has no state of its own."""

    def __init__(
        self,
        factory: RequestFactory,
        open_requests: OpenRequests,
        dispatcher: AttemptDispatcher,
        queue: AdmissionQueue,
        learner: OutcomeLearner,
        retry_rule: RetryRule,
    ) -> None:
        """Take the parts that a request goes through."""
        self._factory = factory
        self._open_requests = open_requests
        self._dispatcher = dispatcher
        self._queue = queue
        self._learner = learner
        self._retry_rule = retry_rule

    def handle_request(self, now_us: int, event: messages.Request) -> None:
        """Take in a request, and send, queue or finish it. One that is open already is left as it is."""
        if event.id in self._open_requests.by_id:
            return
        request = self._factory.create(now_us, event)
        self._open_requests.add(now_us, request)
        self._retry_rule.budget.earn()
        self._dispatch(now_us, request)

    def handle_attempt_ended(self, now_us: int, event: messages.AttemptEnded) -> None:
        """Learn from an attempt's end, and retry or finish its request."""
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
        """Forget a request that has had its response from the endpoint."""
        objective_us = request.request_class.settings.latency_objective_us
        in_time = event.outcome is messages.Outcome.OK and event.duration_us <= objective_us
        request.request_class.add_result(served_in_time=in_time)
        self._open_requests.remove(request)

    def _dispatch(self, now_us: int, request: RequestState) -> None:
        """Send the request, queue it for a while, or finish it where it can't be useful any more."""
        if not request.can_finish_in_time(now_us):
            self._open_requests.finish(request)
        elif not self._dispatcher.send(now_us, request):
            self._queue.add(now_us, request)
