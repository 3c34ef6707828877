"""The balancer, which dispatches events to the components of the policy and collects their actions.

`Balancer.handle` is called by the event loop driver and by the simulator's adapter, which perform the
actions that it returns. Each balancer owns all of its components; balancers share no state.
"""

from __future__ import annotations

import random

from load_balancer import messages
from load_balancer.policy.admission_queue import AdmissionQueue
from load_balancer.policy.attempt_dispatcher import AttemptDispatcher
from load_balancer.policy.concurrency_limit import ConcurrencyLimit
from load_balancer.policy.endpoint_list import EndpointList
from load_balancer.policy.health_check import HealthChecker
from load_balancer.policy.open_requests import OpenRequests
from load_balancer.policy.outbox import AttemptScan, Outbox, QueueScan, RequestDeadline, Resubscribe
from load_balancer.policy.outcome_learner import OutcomeLearner
from load_balancer.policy.request_factory import RequestFactory
from load_balancer.policy.request_handler import RequestHandler
from load_balancer.policy.retry import RetryRule
from load_balancer.policy.retry_budget import RetryBudget
from load_balancer.policy.router import Router
from load_balancer.policy.scan_timer import ScanTimer
from load_balancer.policy.selection import Selector
from load_balancer.policy.silent_attempts import SilentAttemptDetector
from load_balancer.policy.slow_start import SlowStart
from load_balancer.policy.subscription import Subscription

DEADLINE_MARGIN_TICKS = 2  # ticks of `Settings.tick_us` by which deadlines are brought forward


class Balancer:
    """One load balancer, which turns events into actions that are to be performed in order."""

    def __init__(self, settings: messages.Settings, seed: int) -> None:
        """Create the components of the policy.

        Args:
            settings: The settings of this balancer.
            seed: The seed of its random numbers. The same seed and events give the same actions.
        """
        limits = settings.limits
        self.settings = settings
        self.margin_us = DEADLINE_MARGIN_TICKS * settings.tick_us
        self.outbox = outbox = Outbox()
        # A separate random number generator, so that subscriptions do not change the selection of endpoints.
        self.subscription = Subscription(settings, random.Random(seed + 1), outbox)

        self.selector = Selector(settings, seed)
        self.slow_start = SlowStart(settings)
        self.endpoints = EndpointList(settings, outbox, self.selector.is_remote, self.slow_start)
        self.concurrency_limit = ConcurrencyLimit()
        self.router = Router(settings, self.endpoints, self.slow_start, self.selector, self.margin_us)

        self.scan_timer = ScanTimer(limits, outbox)
        self.dispatcher = AttemptDispatcher(limits, outbox, self.router, self.slow_start, self.scan_timer)
        self.open_requests = OpenRequests(limits, outbox, self.margin_us)
        self.queue = AdmissionQueue(outbox, self.open_requests, self.dispatcher, self.concurrency_limit)
        self.request_factory = RequestFactory(settings, self.margin_us)
        self.retry_budget = RetryBudget()
        self.request_handler = self._new_request_handler()

        self.health_checker = HealthChecker(
            outbox,
            self.scan_timer,
            try_spend_check_token=self.slow_start.try_spend_check_token,
            abandon=self.dispatcher.abandon,
        )
        self.silent_attempts = SilentAttemptDetector(
            limits, self.open_requests, self.dispatcher, self.router, self.retry_budget, self.scan_timer
        )

    def _new_request_handler(self) -> RequestHandler:
        return RequestHandler(
            self.request_factory,
            self.open_requests,
            self.dispatcher,
            self.queue,
            OutcomeLearner(self.outbox, self.endpoints, self.slow_start, self.concurrency_limit),
            RetryRule(self.settings.limits, self.router, self.retry_budget),
        )

    def start(self, now_us: int) -> list[messages.Action]:
        """Return the actions to perform before the first event."""
        self.subscription.start()
        return self.outbox.drain()

    def handle(self, now_us: int, event: messages.Event) -> list[messages.Action]:
        """Handle one event and return the actions to perform, in order. `now_us` must never decrease."""
        self._dispatch(now_us, event)
        self.queue.dispatch_waiting(now_us)
        return self.outbox.drain()

    def _dispatch(self, now_us: int, event: messages.Event) -> None:
        match event:
            case messages.Request():
                self.request_handler.handle_request(now_us, event)
            case messages.AttemptEnded():
                self.request_handler.handle_attempt_ended(now_us, event)
            case messages.TimerFired():
                self._handle_timer(now_us, event.timer_id)
            case messages.EndpointListUpdate():
                self._apply_list_update(now_us, event)
            case messages.HealthCheckEnded():
                self.health_checker.check_ended(now_us, event)
            case messages.ClientGone():
                self.open_requests.handle_client_gone(event.request_id)
            case messages.ShutdownStarted():
                self.open_requests.finish_all()
            case messages.StreamStarted():
                self.open_requests.handle_stream_started(event.request_id)

    def _handle_timer(self, now_us: int, timer_id: int) -> None:
        match self.outbox.pop_timer(timer_id):
            case RequestDeadline(request_id=request_id):
                self.open_requests.handle_deadline(request_id)
            case QueueScan():
                self.queue.mark_scan_fired()
            case AttemptScan():
                self._scan_attempts(now_us)
            case Resubscribe():
                self.subscription.subscribe(now_us)

    def _scan_attempts(self, now_us: int) -> None:
        self.scan_timer.mark_fired()
        if self.settings.limits.health_checks:
            self.health_checker.check_endpoints(now_us, self.endpoints, self.dispatcher.in_flight.values())
        else:
            self.silent_attempts.abandon_silent(now_us)

    def _apply_list_update(self, now_us: int, update: messages.EndpointListUpdate) -> None:
        if update.kind is messages.EndpointListKind.FAILED:
            self.subscription.handle_failure(now_us)
            return
        if update.kind is not messages.EndpointListKind.CACHED:
            self.subscription.reset_backoff()
        self.endpoints.apply(now_us, update)
        balancers_per_endpoint = self.endpoints.balancers_per_endpoint
        self.slow_start.subset_changed(now_us, self.endpoints.subset, balancers_per_endpoint)
        self.concurrency_limit.set_sharing_balancers(balancers_per_endpoint)
        self.concurrency_limit.set_endpoint_limits(self.endpoints.subset)
