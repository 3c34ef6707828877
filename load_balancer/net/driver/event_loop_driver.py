"""Driver of the balancer: passes all events to the policy and carries out its actions, in order.

The driver creates the parts of this package and connects them to one balancer. It receives requests from the
client connections, outcomes of attempts from the upstream side, and endpoint lists from the watch on
discovery. It maps events and actions to connections and makes no balancing decisions itself.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace

from load_balancer import messages
from load_balancer.net.addresses import Address
from load_balancer.net.clock import Clock
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.driver.action_performer import ActionPerformer
from load_balancer.net.driver.attempt_dispatcher import AttemptDispatcher
from load_balancer.net.driver.client_messages import ClientRequest
from load_balancer.net.driver.endpoint_list_receiver import EndpointListReceiver
from load_balancer.net.driver.event_queue import EventQueue
from load_balancer.net.driver.health_check_sender import HealthCheckSender
from load_balancer.net.driver.open_requests import OpenRequests
from load_balancer.net.driver.policy_timers import PolicyTimers
from load_balancer.net.driver.request_ids import RequestIds
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.policy.balancer import Balancer

log = logging.getLogger(__name__)


class EventLoopDriver:
    """Passes events to one balancer and carries out its actions.

    Attributes:
        balancer: The policy.
        clock: The policy's clock.
        events: The queue of events for the policy.
        requests: The requests that have no final response yet, and their attempts.
        endpoint_list: The watch on discovery, and the addresses of the endpoints.
        timers: The timers that the policy has set.
        attempts: Starts and cancels attempts.
        actions: Carries out the policy's actions.
    """

    def __init__(
        self,
        settings: messages.Settings,
        seed: int,
        pool: ConnectionPool,
        discovery: Address,
        clock: Clock | None = None,
    ) -> None:
        """Create all parts; nothing is sent before `start`. Requires a running event loop.

        Args:
            settings: The settings of the balancer.
            seed: The seed of the balancer's random numbers.
            pool: The connections to endpoints; closed with the driver.
            discovery: The address of discovery.
            clock: The policy's clock; given only by tests.
        """
        self.balancer = Balancer(settings, seed)
        self.clock = clock or Clock()
        self.events = EventQueue(self._handle_event)
        self._loop = asyncio.get_running_loop()
        self.requests = OpenRequests(self.events, RequestIds(settings.longest_deadline_s))
        self.endpoint_list = EndpointListReceiver(
            self.events, pool, self.clock, discovery, is_polled=settings.must_subscribe
        )
        self.timers = PolicyTimers(self.events, self.clock)
        endpoints = self.endpoint_list.endpoints
        self.attempts = AttemptDispatcher(
            self.requests, endpoints, self.events, pool, self.clock, settings.classes
        )
        self.actions = ActionPerformer(
            self.requests,
            self.attempts,
            self.timers,
            self.endpoint_list,
            HealthCheckSender(self.events, endpoints, pool),
            pool,
        )
        self._pool = pool

    def start(self, cached_list: EndpointListMessage | None) -> None:
        """Start the balancer, apply the cached list, and open the watch unless the policy must request it.

        The order is that of the simulator.

        Args:
            cached_list: The endpoint list known before the start, if any.
        """
        decided_at_s = self._loop.time()
        self.actions.perform_all(self.balancer.start(self.clock.now_us()), decided_at_s)
        if cached_list is not None:
            self.endpoint_list.restore(cached_list)
        if not self.balancer.settings.must_subscribe:
            self.endpoint_list.watch.start()

    @property
    def is_ready(self) -> bool:
        """Whether any endpoint is in service."""
        return bool(self.endpoint_list.endpoints.up_ids)

    @property
    def is_idle(self) -> bool:
        """Whether no request is open."""
        return not self.requests

    @property
    def discovery_reported(self) -> asyncio.Event:
        """The event that is set once discovery has reported or failed, or need not be waited for."""
        return self.endpoint_list.discovery_reported

    def is_id_in_use(self, request_id: bytes) -> bool:
        """Return whether a request with this client's id must not be forwarded now."""
        return self.requests.ids.is_in_use(self._loop.time(), request_id)

    def can_retain_id(self) -> bool:
        """Return whether the id of another unsafe request could be kept after the request."""
        return self.requests.ids.has_capacity(self._loop.time())

    def accept_request(self, request: ClientRequest) -> str:
        """Accept a request; its `respond` may be called before this method returns.

        Returns:
            The request's id, for `cancel_request`.
        """
        return self.requests.accept(request)

    def cancel_request(self, request_id: str) -> None:
        """End a request whose client has disconnected; do nothing if it has ended."""
        self.requests.cancel(request_id)

    def change_discovery_address(self, address: Address) -> None:
        """Reopen the watch at another address of discovery. All state is kept."""
        self.endpoint_list.watch.change_address(address)

    def limit_deadlines(self, within_s: float) -> None:
        """Limit the deadlines of requests accepted from now on to `within_s` seconds from now."""
        self.requests.limit_deadlines(within_s)

    def end_all_requests(self) -> None:
        """Make the policy end each open request with a final response now."""
        self.events.put(messages.ShutdownStarted())

    def close(self) -> None:
        """Close the watch and all connections to endpoints."""
        self.endpoint_list.watch.close()
        self._pool.close()

    def _handle_event(self, event: messages.Event) -> None:
        # The process may stall between any two of these lines, and deadlines and time windows must hold even
        # then: the time from which the limits of attempts count is read before the policy's time, and the
        # time remaining of a request is measured after it.
        decided_at_s = self._loop.time()
        now_us = self.clock.now_us()
        if isinstance(event, messages.Request):
            event = replace(event, time_remaining_us=self.requests.time_remaining_us(event.id))
        try:
            actions = self.balancer.handle(now_us, event)
        except Exception:  # an error in one request must not lose all other open requests
            log.exception("policy failed to handle event: %.200r", event)
            self._fail_request_of(event)
            return
        self.actions.perform_all(actions, decided_at_s)

    def _fail_request_of(self, event: messages.Event) -> None:
        """Fail the request that the event names; others that the error affects end at their deadline."""
        match event:
            case messages.Request(id=request_id) | messages.AttemptEnded(request_id=request_id):
                self.requests.fail(request_id)
