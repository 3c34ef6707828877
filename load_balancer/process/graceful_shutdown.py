"""The graceful shutdown: from SIGTERM to the moment at which nothing is left to be answered.

State: when the signal came, and which phase is on. `server` makes one `GracefulShutdown` as the signal comes
and waits for its `run`.
"""

from __future__ import annotations

import asyncio

from load_balancer.net.client.client_listener import ClientListener
from load_balancer.net.driver.event_loop_driver import EventLoopDriver

ACCEPT_GRACE_S = 0.6  # after SIGTERM: new connections go on coming for 0.2 to 0.4 s
# SIGKILL follows SIGTERM after the longest deadline, or after this if that is more, and 0.7 s.
MAX_DEADLINE_S = 3.0
DRAIN_GRACE_S = 0.2  # all is answered this long after the longest deadline, or after MAX_DEADLINE_S
MIN_REQUEST_TIME_S = 1.2  # time that the last request which is accepted has until then
FLUSH_TIMEOUT_S = 0.2  # for the last answers to be written
POLL_INTERVAL_S = 0.01  # connections are looked at this often


def drain_timeout_s(longest_deadline_s: float) -> float:
    """Return the seconds after SIGTERM within which all requests are answered."""
    return min(MAX_DEADLINE_S, longest_deadline_s) + DRAIN_GRACE_S


def min_accept_time_s(drain_timeout_s: float) -> float:
    """Return the seconds after SIGTERM for which new connections are accepted in any case.

    Never longer than `drain_timeout_s`, the seconds after SIGTERM within which all is answered: the time of the
    last answers runs from the end of the listener, and SIGKILL comes 0.5 s after `drain_timeout_s`. With
    ACCEPT_GRACE_S alone, deadlines below 0.4 s would leave less than that.
    """
    return min(ACCEPT_GRACE_S, drain_timeout_s)


class GracefulShutdown:
    """The end of the process after SIGTERM, as phases in this order.

    All times count from the signal; D is the longest deadline of the settings, 3 s at the most.

    1. `fail_readiness_check`, at 0: the readiness check fails, and no request gets more than D + 0.2 s from the signal.
    2. `keep_accepting`, until 0.6 s in any case (D + 0.2 s if that is less), then until D - 1 s for as long
       as clients have connections open: the last request that is accepted has 1.2 s left.
    3. `finish_requests`: the listener's queue is taken in and the listener closed; each connection is
       closed once it is answered and brings nothing more, until D + 0.2 s.
    4. `fail_remaining`: what is still open gets its final answer, and 0.2 s to be written.
    5. `close`: what is left is closed, by D + 0.4 s. SIGKILL comes at D + 0.7 s; 0.3 s are left for a stall
       of the machine and the end of the process.
    """

    def __init__(self, listener: ClientListener, driver: EventLoopDriver, longest_deadline_s: float) -> None:
        """Start the clock of the phases: construct it as the signal comes.

        Args:
            listener: Accepts the clients' connections.
            driver: Carries out the requests that are open.
            longest_deadline_s: The longest deadline of all request classes, seconds.
        """
        self._listener = listener
        self._driver = driver
        self._loop = asyncio.get_running_loop()
        self._drain_timeout_s = drain_timeout_s(longest_deadline_s)
        self._drain_deadline_s = self._loop.time() + self._drain_timeout_s  # by the event loop's clock

    async def run(self) -> None:
        """Go through all phases."""
        self.fail_readiness_check()
        await self.keep_accepting()
        await self.finish_requests()
        await self.fail_remaining()
        self.close()

    def fail_readiness_check(self) -> None:
        """Fail the readiness check, so that clients go elsewhere, and cut the deadlines of requests."""
        self._listener.clients.is_shutting_down = True
        self._driver.limit_deadlines(self._drain_timeout_s)

    async def keep_accepting(self) -> None:
        """Serve as before, for as long as clients may not know yet or have nobody else.

        Clients go on using the connections that they have. A listener that closed at once would leave them
        with nobody where the proxy that was restarted just before is not back yet.
        """
        await asyncio.sleep(min_accept_time_s(self._drain_timeout_s))
        last_request_at_s = self._drain_deadline_s - MIN_REQUEST_TIME_S
        while self._loop.time() < last_request_at_s and self._listener.clients.open_connections:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def finish_requests(self) -> None:
        """Stop listening, and answer what was accepted."""
        self._listener.stop_listening()
        await self._close_connections(until_s=self._drain_deadline_s)

    async def fail_remaining(self) -> None:
        """End the requests that are still open, and let their answers be written."""
        self._driver.end_all_requests()
        await self._close_connections(until_s=self._loop.time() + FLUSH_TIMEOUT_S)

    def close(self) -> None:
        """Close all that is left: clients' connections, the watch, connections to endpoints."""
        self._listener.close()
        self._driver.close()

    async def _close_connections(self, until_s: float) -> None:
        """Close clients' connections as they fall idle, until none has a request, or until that time.

        Args:
            until_s: By the event loop's clock, seconds.
        """
        self._listener.close_idle_connections()
        while self._loop.time() < until_s and not self._listener.is_drained:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._listener.close_idle_connections()
