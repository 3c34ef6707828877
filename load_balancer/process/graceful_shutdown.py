"""Graceful shutdown: completes all requests between the stop signal and the exit of the process.

State: the time of the signal and the current phase. `server` creates one `GracefulShutdown` when the signal
arrives and awaits its `run`.
"""

from __future__ import annotations

import asyncio

from load_balancer.net.client.client_listener import ClientListener
from load_balancer.net.driver.event_loop_driver import EventLoopDriver

ACCEPT_GRACE_S = 0.6  # after SIGTERM; clients keep opening connections for 0.2 to 0.4 s
# SIGKILL follows SIGTERM after min(longest deadline, MAX_DEADLINE_S) + 0.7 s.
MAX_DEADLINE_S = 3.0
DRAIN_GRACE_S = 0.2  # added to min(longest deadline, MAX_DEADLINE_S) for the drain timeout
MIN_REQUEST_TIME_S = 1.2  # accepting is prolonged at most until this long before the drain timeout
FLUSH_TIMEOUT_S = 0.2  # for writing the last responses
MIN_FLUSH_TIMEOUT_S = 0.05  # the same after an event loop that was late
POLL_INTERVAL_S = 0.01  # between two checks of the open connections


def drain_timeout_s(longest_deadline_s: float) -> float:
    """Return the time from SIGTERM until every request has its response."""
    return min(MAX_DEADLINE_S, longest_deadline_s) + DRAIN_GRACE_S


def min_accept_time_s(drain_timeout_s: float) -> float:
    """Return the minimum time after SIGTERM during which new connections are accepted.

    The time is limited to `drain_timeout_s`. The last responses are written after the listener has closed,
    and SIGKILL comes 0.5 s after `drain_timeout_s`. With ACCEPT_GRACE_S alone, deadlines below 0.4 s would
    leave less than 0.5 s.

    Args:
        drain_timeout_s: The time from SIGTERM until every request has its response.
    """
    return min(ACCEPT_GRACE_S, drain_timeout_s)


class GracefulShutdown:
    """The phases of the shutdown after SIGTERM.

    Times count from the signal. D is the longest deadline in the settings, at most 3 s.

    1. `fail_readiness_check`, at 0: the readiness check fails, and new requests have to end by D + 0.2 s.
    2. `keep_accepting`, until 0.6 s (or D + 0.2 s if that is earlier), and then until D - 1 s while clients
       have open connections. A request accepted at D - 1 s has 1.2 s until the end of phase 3.
    3. `finish_requests`, until D + 0.2 s: the connections in the listener's queue are accepted and the
       listener is closed. Each connection is closed when its requests have responses and no further request
       arrives.
    4. `fail_remaining`, for at most 0.2 s: open requests get their final responses, which are then written.
    5. `close`, by D + 0.4 s: the remaining connections are closed. SIGKILL comes at D + 0.7 s, which leaves
       0.3 s for a stall of the machine and the exit of the process.
    """

    def __init__(self, listener: ClientListener, driver: EventLoopDriver, longest_deadline_s: float) -> None:
        """Start the clock of the shutdown; call this when the signal arrives.

        Args:
            listener: The listener for client connections.
            driver: The driver that executes the open requests.
            longest_deadline_s: The longest deadline of all request classes.
        """
        self._listener = listener
        self._driver = driver
        self._loop = asyncio.get_running_loop()
        self._drain_timeout_s = drain_timeout_s(longest_deadline_s)
        self._drain_deadline_s = self._loop.time() + self._drain_timeout_s  # in event loop time

    async def run(self) -> None:
        """Run all phases in order."""
        self.fail_readiness_check()
        await self.keep_accepting()
        await self.finish_requests()
        await self.fail_remaining()
        self.close()

    def fail_readiness_check(self) -> None:
        """Fail the readiness check and limit the deadlines of new requests.

        Clients that see the failed check use other proxies.
        """
        self._listener.clients.is_shutting_down = True
        self._driver.limit_deadlines(self._drain_timeout_s)

    async def keep_accepting(self) -> None:
        """Keep serving while clients may not have seen the failed readiness check or have no other proxy.

        Clients keep using their open connections. If the listener closed at once, clients would have no proxy
        if another one, restarted just before, is not ready yet.
        """
        await asyncio.sleep(min_accept_time_s(self._drain_timeout_s))
        last_request_at_s = self._drain_deadline_s - MIN_REQUEST_TIME_S
        while self._loop.time() < last_request_at_s and self._listener.clients.open_connections:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def finish_requests(self) -> None:
        """Stop listening, and wait for the responses to accepted requests."""
        self._listener.stop_listening()
        await self._close_connections(until_s=self._drain_deadline_s)

    async def fail_remaining(self) -> None:
        """Give each open or incomplete request its final response, and wait until these are written."""
        self._driver.end_all_requests()
        self._listener.refuse_incomplete_requests()
        # Counted from the deadline, not from now: a late event loop must not make the exit late as well.
        until_s = self._drain_deadline_s + FLUSH_TIMEOUT_S
        await self._close_connections(until_s=max(until_s, self._loop.time() + MIN_FLUSH_TIMEOUT_S))

    def close(self) -> None:
        """Close the remaining client connections, the watch and the connections to endpoints."""
        self._listener.close()
        self._driver.close()

    async def _close_connections(self, until_s: float) -> None:
        """Close client connections when they become idle, until no request is open or a time is reached.

        Args:
            until_s: The latest end of the wait, in event loop time.
        """
        self._listener.close_idle_connections()
        while self._loop.time() < until_s and not self._listener.is_drained:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._listener.close_idle_connections()
