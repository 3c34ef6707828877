"""The dispatch of a balancer's events to the parts that decide.

`Balancer.handle` is called by the event loop driver and by the simulator's adapter, which carry out the
actions that it returns. One instance owns all of its parts; instances share nothing.
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

MARGIN_TICKS = 2  # of the settings' `tick_us`: kept back from deadlines


class Balancer:
    """One instance. Feed it events with `handle`, carry out the actions it returns, in order."""

    def __init__(self, settings: messages.Settings, seed: int) -> None:
        """Build the parts, from what endpoints are to what requests do. Equal seeds and events act alike."""
        limits = settings.limits
        self.settings = settings
        self.margin_us = MARGIN_TICKS * settings.tick_us
        self.outbox = outbox = Outbox()
        # A random stream of its own: asking discovery again leaves the draws alone.
        self.subscription = Subscription(settings, random.Random(seed + 1), outbox)

        self.selector = Selector(settings, seed)
        self.slow_start = SlowStart(settings)
        self.endpoints = EndpointList(settings, outbox, self.selector.is_remote, self.slow_start)
        self.limit = ConcurrencyLimit()
        self.router = Router(settings, self.endpoints, self.slow_start, self.selector, self.margin_us)

        self.scan_timer = ScanTimer(limits, outbox)
        self.dispatcher = AttemptDispatcher(limits, outbox, self.router, self.slow_start, self.scan_timer)
        self.open_requests = OpenRequests(limits, outbox, self.margin_us)
        self.queue = AdmissionQueue(outbox, self.open_requests, self.dispatcher, self.limit)
        self.request_factory = RequestFactory(settings, self.margin_us)
        self.retry_budget = RetryBudget()
        self.requests = self._new_request_handler()

        self.health = HealthChecker(
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
            OutcomeLearner(self.outbox, self.endpoints, self.slow_start, self.limit),
            RetryRule(self.settings.limits, self.router, self.retry_budget),
        )

    def start(self, now_us: int) -> list[messages.Action]:
        """Return the first actions, before any event."""
        self.subscription.start()
        return self.outbox.drain()

    def handle(self, now_us: int, event: messages.Event) -> list[messages.Action]:
        """Take one event and return the actions to perform, in order. `now_us` never runs backwards."""
        self._dispatch(now_us, event)
        self.queue.dispatch_waiting(now_us)
        return self.outbox.drain()

    def _dispatch(self, now_us: int, event: messages.Event) -> None:
        match event:
            case messages.Request():
                self.requests.request_arrived(now_us, event)
            case messages.AttemptEnded():
                self.requests.attempt_ended(now_us, event)
            case messages.TimerFired():
                self._timer_fired(now_us, event.timer)
            case messages.EndpointListUpdate():
                self._list_updated(now_us, event)
            case messages.HealthCheckEnded():
                self.health.check_ended(now_us, event)
            case messages.ClientGone():
                self.open_requests.client_gone(event.request)
            case messages.ShutdownStarted():
                self.open_requests.finish_all()
            case messages.StreamStarted():
                self.open_requests.stream_started(event.request)

    def _timer_fired(self, now_us: int, timer: int) -> None:
        match self.outbox.timer_fired(timer):
            case RequestDeadline(request_id=request_id):
                self.open_requests.deadline_due(request_id)
            case QueueScan():
                self.queue.scan_due()
            case AttemptScan():
                self._scan_attempts(now_us)
            case Resubscribe():
                self.subscription.subscribe(now_us)

    def _scan_attempts(self, now_us: int) -> None:
        self.scan_timer.fired()
        if self.settings.limits.health_checks:
            self.health.check_endpoints(now_us, self.endpoints, self.dispatcher.in_flight.values())
        else:
            self.silent_attempts.abandon_silent(now_us)

    def _list_updated(self, now_us: int, update: messages.EndpointListUpdate) -> None:
        if update.kind is messages.EndpointListKind.FAILED:
            self.subscription.subscription_failed(now_us)
            return
        if update.kind is not messages.EndpointListKind.CACHED:
            self.subscription.list_received()
        self.endpoints.apply(now_us, update)
        sharing_balancers = self.endpoints.sharing_balancers
        self.slow_start.subset_changed(now_us, self.endpoints.subset, sharing_balancers)
        self.limit.set_sharing_balancers(sharing_balancers)
        self.limit.split(self.endpoints.subset)
