"""The dispatch of a balancer's events to the parts that decide.

`Balancer.handle` is called by the event loop driver and by the simulator's adapter, which carry out the
actions that it returns. One instance owns all of its parts; instances share nothing.
"""

from __future__ import annotations

import random

from load_balancer import messages
from load_balancer.policy.endpoint_list import EndpointList
from load_balancer.policy.health_check import HealthChecker
from load_balancer.policy.outbox import AttemptScan, Outbox, QueueScan, RequestDeadline, Resubscribe
from load_balancer.policy.request_handler import RequestHandler
from load_balancer.policy.router import Router
from load_balancer.policy.scan_timer import ScanTimer
from load_balancer.policy.selection import Selector
from load_balancer.policy.slow_start import SlowStart
from load_balancer.policy.subscription import Subscription

MARGIN_TICKS = 2  # of the settings' `tick_us`: kept back from deadlines


class Balancer:
    """One instance. Feed it events with `handle`, carry out the actions it returns, in order."""

    def __init__(self, settings: messages.Settings, seed: int) -> None:
        """Build the parts. The same seed and events give the same actions."""
        self.settings = settings
        self.margin_us = MARGIN_TICKS * settings.tick_us
        self.outbox = Outbox()
        # A random stream of its own: asking discovery again leaves the draws alone.
        self.subscription = Subscription(settings, random.Random(seed + 1), self.outbox)
        self.selector = Selector(settings, seed)
        self.slow_start = SlowStart(settings)
        self.endpoints = EndpointList(settings, self.outbox, self.selector.is_remote, self.slow_start)
        self.router = Router(settings, self.endpoints, self.slow_start, self.selector, self.margin_us)
        self.scan_timer = ScanTimer(settings.limits, self.outbox)
        self.requests = RequestHandler(
            settings,
            self.outbox,
            self.endpoints,
            self.slow_start,
            self.router,
            self.scan_timer,
            self.margin_us,
        )
        self.health = HealthChecker(
            self.outbox,
            self.scan_timer,
            may_check=self.slow_start.pay_for_check,
            abandon=self.requests.abandon,
        )

    def start(self, now_us: int) -> list[messages.Action]:
        """Return the first actions, before any event."""
        self.subscription.start()
        return self.outbox.take()

    def handle(self, now_us: int, event: messages.Event) -> list[messages.Action]:
        """Take one event and return the actions to perform, in order. `now_us` never runs backwards."""
        self._dispatch(now_us, event)
        self.requests.work_off_queue(now_us)
        return self.outbox.take()

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
                self.requests.client_gone(event.request)
            case messages.ShutdownStarted():
                self.requests.finish_all()
            case messages.StreamStarted():
                self.requests.stream_started(event.request)

    def _timer_fired(self, now_us: int, timer: int) -> None:
        match self.outbox.timer_fired(timer):
            case RequestDeadline(request_id=request_id):
                self.requests.deadline_due(request_id)
            case QueueScan():
                self.requests.queue_scan_due()
            case AttemptScan():
                self._scan_attempts(now_us)
            case Resubscribe():
                self.subscription.subscribe(now_us)

    def _scan_attempts(self, now_us: int) -> None:
        self.scan_timer.fired()
        if self.settings.limits.health_checks:
            self.health.check_hanging(now_us, self.endpoints, self.requests.in_flight.values())
        else:
            self.requests.abandon_silent(now_us)

    def _list_updated(self, now_us: int, update: messages.EndpointListUpdate) -> None:
        if update.kind is messages.EndpointListKind.FAILED:
            self.subscription.failed(now_us)
            return
        if update.kind is not messages.EndpointListKind.CACHED:
            self.subscription.list_came()
        self.endpoints.apply(now_us, update)
        sharing_balancers = self.endpoints.sharing_balancers
        self.slow_start.subset_changed(now_us, self.endpoints.subset, sharing_balancers)
        self.requests.limit.share_among(sharing_balancers)
        self.requests.limit.split(self.endpoints.subset)
