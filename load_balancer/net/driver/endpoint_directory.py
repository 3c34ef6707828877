"""Where the endpoints are, by the list as it was last applied.

Owned by `EventLoopDriver`. Which of them is better is the policy's matter; this says only where a number's
connections go to and which numbers may get new ones.
"""

from __future__ import annotations

import logging

from load_balancer import messages
from load_balancer.net.addresses import Address, EndpointAddress
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.repeated_log_lines import LogLine, RepeatedLogLines, RunLimits
from load_balancer.net.upstream.connection_pool import ConnectionPool

log = logging.getLogger(__name__)

CHANGE_LOG_WINDOW_S = 10.0
MAX_LOGGED_CHANGES = 20  # in each window; the others are counted


class EndpointDirectory:
    """The addresses of the endpoints on the list, those that drain among them."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Starts with an empty list.

        Args:
            pool: Learns of each endpoint that is in service.
        """
        self._pool = pool
        self.by_number: dict[int, EndpointAddress] = {}
        self.up_numbers: set[int] = set()  # of those in service
        self._change_log = RepeatedLogLines(
            log,
            line=LogLine(logging.INFO, "backend %d is %s, cell %d, %s"),
            summary=LogLine(logging.INFO, "%d more changes of backends"),
            limits=RunLimits(window_s=CHANGE_LOG_WINDOW_S, max_lines=MAX_LOGGED_CHANGES),
        )

    def update(self, now_s: float, message: EndpointListMessage) -> list[EndpointAddress]:
        """Applies a list.

        Args:
            now_s: The event loop's time.
            message: A complete list or changes.

        Returns:
            The endpoints, as they were before, that are out of service or elsewhere now.
        """
        # Endpoints that the list leaves as they are need no look: it may name one of thousands.
        named = message.uids.keys() | (self.by_number.keys() if message.is_complete else ())
        before = [self.by_number[number] for number in named if number in self.by_number]
        if message.is_complete:
            for number in self.by_number.keys() - message.addresses.keys():
                self._remove(number)
        for entry in message.endpoints:
            address = message.addresses.get(entry.id)
            self._log_change(now_s, entry, message.uids[entry.id], address)
            self._apply(entry, address)
        if message.is_complete:
            self._change_log.summarize()
        return [endpoint for endpoint in before if not self._is_in_service(endpoint)]

    def _is_in_service(self, endpoint: EndpointAddress) -> bool:
        number = endpoint.number
        return number in self.up_numbers and self.by_number[number] == endpoint

    def _apply(self, entry: messages.Endpoint, address: Address | None) -> None:
        if address is None:
            self._remove(entry.id)
            return
        self.by_number[entry.id] = endpoint = EndpointAddress(entry.id, address)
        if entry.status is messages.EndpointStatus.UP:
            self.up_numbers.add(entry.id)
            self._pool.enable_endpoint(endpoint)
        else:
            self.up_numbers.discard(entry.id)

    def _remove(self, number: int) -> None:
        self.up_numbers.discard(number)
        self.by_number.pop(number, None)

    def _log_change(self, now_s: float, entry: messages.Endpoint, uid: str, address: Address | None) -> None:
        """Logs an entry that is about to be applied, where it changes something.

        A watch that ends over and over brings the complete list each time, which would fill the log.
        """
        known = self.by_number.get(entry.id)
        was_up, is_up = entry.id in self.up_numbers, entry.status is messages.EndpointStatus.UP
        if known is None or known.address != address or is_up != was_up:
            self._change_log.record(now_s, entry.id, uid, entry.cell, entry.status.value)
