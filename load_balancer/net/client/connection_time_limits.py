"""Time limits of client connections: closes connections that make no progress.

`client_listener` checks all connections at regular intervals. The limits are defined in `client_limits`.
"""

from __future__ import annotations

import asyncio

from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.http_response import REQUEST_TIMEOUT
from load_balancer.net.event_counters import EventCounters, EventKind


class ConnectionTimeLimits:
    """Checks the time limits of client connections, one connection per call."""

    def __init__(self, counters: EventCounters) -> None:
        """Bind to the running event loop, whose clock the limits use.

        Args:
            counters: Counts the connections that are closed.
        """
        self._counters = counters
        self._loop = asyncio.get_running_loop()

    def check(self, connection: ClientConnection, now_s: float) -> None:
        """Close a connection if its time limit has expired.

        Args:
            connection: The connection.
            now_s: Event loop time.
        """
        if connection.is_waiting_for_response:
            return  # the driver enforces the deadline of a forwarded request
        inactive_s = now_s - connection.last_progress_at_s
        limit_s = _time_limit_s(connection)
        if inactive_s <= limit_s:
            connection.has_scheduled_final_check = False
            return
        if connection.has_unprocessed_bytes:
            if not connection.is_idle and inactive_s <= limit_s + limits.PARTIAL_REQUEST_GRACE_S:
                return
            # A request may have just been received. The check is postponed only once: otherwise a client that
            # keeps sending empty lines would hold its connection open indefinitely.
            if connection.is_idle and not connection.has_scheduled_final_check:
                connection.has_scheduled_final_check = True
                self._loop.call_later(limits.FINAL_CHECK_DELAY_S, self._run_final_check, connection)
                return
        self._count_end(connection)
        connection.abort(REQUEST_TIMEOUT)

    def _count_end(self, connection: ClientConnection) -> None:
        if connection.is_writing:
            self._counters.count(EventKind.CLIENT_DID_NOT_READ)
        elif connection.has_pending_request:
            self._counters.count(EventKind.REQUEST_TIMED_OUT)

    def can_be_closed(self, connection: ClientConnection, now_s: float) -> bool:
        """Return whether a connection has no request, and no first request is expected on it.

        Args:
            connection: The connection.
            now_s: Event loop time.
        """
        if not connection.is_idle or connection.has_unprocessed_bytes:
            return False
        return (
            connection.has_responded or now_s - connection.last_progress_at_s > limits.FIRST_REQUEST_GRACE_S
        )

    def _run_final_check(self, connection: ClientConnection) -> None:
        if not connection.transport.is_closing():
            self.check(connection, self._loop.time())


def _time_limit_s(connection: ClientConnection) -> float:
    if connection.is_writing:
        return limits.WRITE_TIMEOUT_S
    if connection.is_lingering:
        return limits.LINGER_TIMEOUT_S
    if connection.is_idle and connection.has_responded:
        return limits.KEEP_ALIVE_TIMEOUT_S
    return limits.REQUEST_TIMEOUT_S
