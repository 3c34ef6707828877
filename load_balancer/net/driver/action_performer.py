"""Dispatches the policy's actions to the parts of the driver that carry them out."""

from __future__ import annotations

import logging

from load_balancer import messages
from load_balancer.net.driver.attempt_dispatcher import AttemptDispatcher
from load_balancer.net.driver.client_messages import BAD_GATEWAY, ClientResponse
from load_balancer.net.driver.endpoint_list_receiver import EndpointListReceiver
from load_balancer.net.driver.health_check_sender import HealthCheckSender
from load_balancer.net.driver.open_requests import OpenRequests
from load_balancer.net.driver.policy_timers import PolicyTimers
from load_balancer.net.event_counters import EventKind
from load_balancer.net.upstream.connection_pool import ConnectionPool

log = logging.getLogger(__name__)


class ActionPerformer:
    """Dispatches each action to the part that carries it out; has no state of its own."""

    def __init__(
        self,
        requests: OpenRequests,
        attempts: AttemptDispatcher,
        timers: PolicyTimers,
        endpoint_list: EndpointListReceiver,
        health_checks: HealthCheckSender,
        pool: ConnectionPool,
    ) -> None:
        """Create a performer that uses the given parts. It counts final responses in the pool's counters.

        Args:
            requests: Sends final responses.
            attempts: Starts and cancels attempts.
            timers: Sets and cancels timers.
            endpoint_list: Opens the watch on discovery.
            health_checks: Sends health checks.
            pool: Closes idle connections.
        """
        self._requests = requests
        self._attempts = attempts
        self._timers = timers
        self._endpoint_list = endpoint_list
        self._health_checks = health_checks
        self._pool = pool
        self._counters = pool.memory.shared.counters

    def perform_all(self, actions: list[messages.Action], decided_at_s: float) -> None:
        """Carry out the actions of one decision, in order.

        Args:
            actions: The actions.
            decided_at_s: A time of the event loop at or before the decision.
        """
        for action in actions:
            try:
                self.perform(action, decided_at_s)
            except Exception:  # otherwise other requests would lose their timers and final responses
                log.exception("failed to carry out an action of the policy: %.200r", action)

    def perform(self, action: messages.Action, decided_at_s: float) -> None:
        """Carry out one action that was decided at or after `decided_at_s`."""
        match action:
            case messages.StartAttempt():
                self._attempts.start(action, decided_at_s)
            case messages.CancelAttempt():
                self._attempts.cancel(action)
            case messages.CheckHealth():
                self._health_checks.send(action)
            case messages.CloseIdle():
                self._close_idle(action)
            case messages.SetTimer():
                self._timers.set(action)
            case messages.CancelTimer():
                self._timers.cancel(action)
            case messages.Reject() | messages.Fail():
                self._end_request(action)
            case messages.Subscribe():
                self._endpoint_list.watch.start()
            case messages.Log():
                log.info("%s", action.text)

    def _close_idle(self, action: messages.CloseIdle) -> None:
        endpoint = self._endpoint_list.endpoints.find(action.endpoint_id)
        if endpoint is not None:
            self._pool.close_idle(endpoint)

    def _end_request(self, action: messages.Reject | messages.Fail) -> None:
        if isinstance(action, messages.Fail):
            self._counters.count(EventKind.POLICY_FAILED)
            self._requests.respond(action.request_id, BAD_GATEWAY)
            return
        self._counters.count(EventKind.POLICY_REJECTED)
        after_us = action.retry_after_us
        headers = ((b"retry-after", b"%.3f" % (after_us / 1e6)),) if after_us > 0 else ()
        self._requests.respond(action.request_id, ClientResponse(503, headers=headers))
