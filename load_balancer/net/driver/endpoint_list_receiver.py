"""Takes the endpoint list from the watch on discovery, and hands it to the directory and to the policy."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from load_balancer import messages
from load_balancer.net.addresses import Address
from load_balancer.net.clock import Clock
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_watch import (
    POLLED_LIST_TIMEOUT_S,
    PUSHED_LIST_TIMEOUT_S,
    EndpointWatch,
)
from load_balancer.net.discovery.start_times import StartTimes
from load_balancer.net.driver.endpoint_directory import EndpointDirectory
from load_balancer.net.driver.event_queue import EventQueue
from load_balancer.net.upstream.connection_pool import ConnectionPool


class EndpointListReceiver:
    """The watch on discovery and what its lists change.

    Attributes:
        watch: The watch on discovery. It opens as the policy asks for it.
        endpoints: Where the endpoints are, by the list as it was last applied.
        start_times: When the endpoints started, by the policy's clock.
        discovery_reported: Set once a watch has brought a list or ended, or where neither need be waited
            for.
    """

    def __init__(
        self, events: EventQueue, pool: ConnectionPool, clock: Clock, discovery: Address, *, is_polled: bool
    ) -> None:
        """Start with no list; open no watch yet.

        Args:
            events: Takes an `EndpointListUpdate` for each list and for each end of a watch.
            pool: The connections to endpoints.
            clock: The policy's clock.
            discovery: Where discovery is.
            is_polled: Whether the policy has to ask for lists; they are pushed otherwise.
        """
        self.endpoints = EndpointDirectory(pool)
        self.start_times = StartTimes(clock)
        self.watch = EndpointWatch(
            discovery,
            self.receive,
            self.handle_watch_failure,
            POLLED_LIST_TIMEOUT_S if is_polled else PUSHED_LIST_TIMEOUT_S,
            on_heartbeat=self.start_times.confirm,
        )
        self.discovery_reported = asyncio.Event()
        self._events = events
        self._pool = pool
        self._is_polled = is_polled
        self._loop = asyncio.get_running_loop()

    def restore(self, cached: EndpointListMessage) -> None:
        """Apply the list as it was known before the start of the process, which may be old."""
        self.watch.resume_from(cached.version)
        self._apply(cached, messages.EndpointListKind.CACHED)
        if self._is_polled:  # attempts are judged by no other list before one has come
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
        # Only now: attempts that this gives back are decided anew, when the policy knows the new list.
        for endpoint in out_of_service:
            self._pool.disable_endpoint(endpoint)

    def handle_watch_failure(self) -> None:
        """Tell the policy that the watch has ended; it decides when to open the next one."""
        self.discovery_reported.set()
        self._events.put(messages.EndpointListUpdate(messages.EndpointListKind.FAILED))
