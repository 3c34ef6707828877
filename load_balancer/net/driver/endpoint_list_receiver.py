"""Passes endpoint lists from the watch on discovery to the directory and the policy."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from load_balancer import messages
from load_balancer.net.addresses import Address
from load_balancer.net.clock import Clock
from load_balancer.net.discovery.call_schedule import POLLED_LIST_TIMEOUTS_S, PUSHED_LIST_TIMEOUTS_S
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_watch import (
    CallFailure,
    EndpointWatch,
    WatchCallbacks,
    WatchTimeouts,
)
from load_balancer.net.discovery.start_times import StartTimes
from load_balancer.net.driver.endpoint_directory import EndpointDirectory
from load_balancer.net.driver.event_queue import EventQueue
from load_balancer.net.upstream.connection_pool import ConnectionPool


class EndpointListReceiver:
    """Applies the lists of the watch on discovery.

    Attributes:
        watch: The watch on discovery, opened at the start of the driver if lists are pushed, and when the
            policy requests it.
        endpoints: The addresses of the endpoints, from the list as last applied.
        start_times: The start times of the endpoints, by the policy's clock.
        discovery_reported: Set once a call has delivered a list or ended, or if there is no need to wait for
            either. A late call does not set it, as discovery may be slow.
    """

    def __init__(
        self, events: EventQueue, pool: ConnectionPool, clock: Clock, discovery: Address, *, is_polled: bool
    ) -> None:
        """Create the receiver without a list and without opening the watch.

        Args:
            events: Receives an `EndpointListUpdate` for each list and for each failure of the watch.
            pool: The connections to endpoints.
            clock: The policy's clock.
            discovery: The address of discovery.
            is_polled: Whether the policy must request lists; otherwise they are pushed.
        """
        self.endpoints = EndpointDirectory(pool)
        self.start_times = StartTimes(clock)
        self.watch = EndpointWatch(
            discovery,
            WatchCallbacks(self.receive, self.handle_call_failure, self.start_times.confirm),
            WatchTimeouts(POLLED_LIST_TIMEOUTS_S if is_polled else PUSHED_LIST_TIMEOUTS_S),
        )
        self.discovery_reported = asyncio.Event()
        self._events = events
        self._pool = pool
        self._is_polled = is_polled
        self._loop = asyncio.get_running_loop()

    def restore(self, cached: EndpointListMessage) -> None:
        """Apply the list cached before the start of the process, which may be out of date."""
        self.watch.resume_from(cached.version)
        self._apply(cached, messages.EndpointListKind.CACHED)
        if self._is_polled:  # until a list is received, the cached one is the valid list for attempts
            self.discovery_reported.set()

    def receive(self, message: EndpointListMessage) -> None:
        """Apply a list that discovery has sent."""
        self.discovery_reported.set()
        kind = (
            messages.EndpointListKind.COMPLETE if message.is_complete else messages.EndpointListKind.CHANGES
        )
        self._apply(message, kind)
        self.start_times.confirm()

    def _apply(self, message: EndpointListMessage, kind: messages.EndpointListKind) -> None:
        message = replace(message, endpoints=self.start_times.assign(message.endpoints))
        out_of_service = self.endpoints.update(self._loop.time(), message)
        self._events.put(messages.EndpointListUpdate(kind, message.version, message.endpoints))
        # Done last: it ends waiting attempts, and the policy must decide on their retries with the new list.
        for endpoint in out_of_service:
            self._pool.disable_endpoint(endpoint)

    def handle_call_failure(self, failure: CallFailure) -> None:
        """Report the failure of a call to the policy, which decides when to open another one."""
        if failure is CallFailure.ENDED:
            self.discovery_reported.set()
        self._events.put(messages.EndpointListUpdate(messages.EndpointListKind.FAILED))
