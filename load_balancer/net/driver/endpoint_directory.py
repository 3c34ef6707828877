"""Addresses of the endpoints, from the endpoint list as last applied.

`EndpointListReceiver` owns the directory. It holds only the address of each endpoint and which endpoints may
get new connections; the policy chooses between endpoints.
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
MAX_LOGGED_CHANGES = 20  # per window; the others are counted


class EndpointDirectory:
    """Directory of the endpoints on the list.

    Attributes:
        by_id: The endpoints by id, including draining ones.
        up_ids: The ids of the endpoints in service.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        """Create an empty directory.

        Args:
            pool: Keeps idle connections to the endpoints in service.
        """
        self._pool = pool
        self.by_id: dict[int, EndpointAddress] = {}
        self.up_ids: set[int] = set()
        self._change_log = RepeatedLogLines(
            log,
            line=LogLine(logging.INFO, "endpoint %d at %s: uid %s, cell %d, status %s"),
            summary=LogLine(logging.INFO, "%d more changes of endpoints"),
            limits=RunLimits(window_s=CHANGE_LOG_WINDOW_S, max_lines=MAX_LOGGED_CHANGES),
        )

    def find(self, endpoint_id: int) -> EndpointAddress | None:
        """Return an endpoint, or None if it is not on the list."""
        return self.by_id.get(endpoint_id)

    def update(self, now_s: float, message: EndpointListMessage) -> list[EndpointAddress]:
        """Apply an endpoint list.

        Args:
            now_s: The event loop's time, seconds.
            message: A complete list or changes.

        Returns:
            The previous entries of the endpoints that are now out of service or have another address.
        """
        # Only endpoints that the message can change are checked: it may contain one entry, and the directory
        # thousands.
        affected_ids = message.uids.keys() | (self.by_id.keys() if message.is_complete else ())
        before = [self.by_id[endpoint_id] for endpoint_id in affected_ids if endpoint_id in self.by_id]
        if message.is_complete:
            for endpoint_id in self.by_id.keys() - message.addresses.keys():
                self._remove(endpoint_id)
        for entry in message.endpoints:
            address = message.addresses.get(entry.id)
            self._log_change(now_s, entry, message.uids[entry.id], address)
            self._apply(entry, address)
        if message.is_complete:
            self._change_log.summarize()
        return [endpoint for endpoint in before if not self._is_in_service(endpoint)]

    def _is_in_service(self, endpoint: EndpointAddress) -> bool:
        endpoint_id = endpoint.id
        return endpoint_id in self.up_ids and self.by_id[endpoint_id] == endpoint

    def _apply(self, entry: messages.Endpoint, address: Address | None) -> None:
        if address is None:
            self._remove(entry.id)
            return
        self.by_id[entry.id] = endpoint = EndpointAddress(entry.id, address)
        if entry.status is messages.EndpointStatus.UP:
            self.up_ids.add(entry.id)
            self._pool.enable_endpoint(endpoint)
        else:
            self.up_ids.discard(entry.id)

    def _remove(self, endpoint_id: int) -> None:
        self.up_ids.discard(endpoint_id)
        self.by_id.pop(endpoint_id, None)

    def _log_change(self, now_s: float, entry: messages.Endpoint, uid: str, address: Address | None) -> None:
        """Log an entry that is about to be applied, if it changes the endpoint's address or service state.

        A watch that fails repeatedly delivers the complete list each time, which would fill the log.
        """
        known = self.by_id.get(entry.id)
        was_up, is_up = entry.id in self.up_ids, entry.status is messages.EndpointStatus.UP
        if known is None or known.address != address or is_up != was_up:
            last_address = address or (known.address if known is not None else None)
            shown_address = "no address" if last_address is None else "{}:{}".format(*last_address)
            self._change_log.record(now_s, entry.id, shown_address, uid, entry.cell, entry.status.value)
