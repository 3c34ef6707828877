"""The wait of one attempt for a connection: extra connects, failover and the write deadline.

An attempt creates its wait when it enters the connection queue, and cancels it when it leaves the queue.
"""

from __future__ import annotations

import asyncio

from load_balancer.messages import Outcome
from load_balancer.net.upstream.pool_components import PoolComponents
from load_balancer.net.upstream.waiting_attempts import WaitingAttempt

# Iterations of the event loop to allow between the establishment of a connection and its use: it takes three,
# and two are a margin.
LOOP_ITERATIONS_BEFORE_USE = 5


class ConnectionWait:
    """Timers of one attempt that waits for a connection."""

    def __init__(
        self,
        components: PoolComponents,
        attempt: WaitingAttempt,
        write_deadline_s: float,
        failover_deadline_s: float,
    ) -> None:
        """Start the timers.

        Args:
            components: The components of the connection pool.
            attempt: The attempt, which is ended if it gets no connection in time.
            write_deadline_s: The latest time at which the request may be written, by the event loop's clock.
            failover_deadline_s: The latest time at which the attempt may end early so that another endpoint
                is tried, by the event loop's clock.
        """
        self._loop = components.loop
        self._queue = components.queue
        self._connections = components.connections
        self._pacing = components.pacing
        self._attempt = attempt
        self._failover_deadline_s = failover_deadline_s
        self._late_timer: asyncio.Handle = self._start_late_timer(self._pacing.late_after_s)
        self._write_timer = self._loop.call_at(write_deadline_s, attempt.miss_write_deadline)

    def cancel(self) -> None:
        """Stop the timers."""
        self._late_timer.cancel()
        self._write_timer.cancel()

    def _start_late_timer(self, delay_s: float) -> asyncio.TimerHandle:
        """Start a timer for the next check; the interval to the check after it is twice as long."""
        return self._loop.call_later(
            delay_s, self._handle_late_connect, 2.0 * delay_s, LOOP_ITERATIONS_BEFORE_USE
        )

    def _schedule_check(self, delay_s: float) -> None:
        self._late_timer = self._start_late_timer(delay_s)

    def _handle_late_connect(self, next_interval_s: float, iterations_remaining: int) -> None:
        """Start an extra connect, fail over to another endpoint, or schedule the next check.

        Args:
            next_interval_s: Seconds until the next check if neither is possible or worthwhile now.
            iterations_remaining: Iterations of the event loop to wait before the check.
        """
        if iterations_remaining:
            # If the event loop itself is late, a connection may be established that the loop has not
            # processed yet. Without waiting these iterations, an extra connect would be started needlessly.
            self._late_timer = self._loop.call_soon(
                self._handle_late_connect, next_interval_s, iterations_remaining - 1
            )
        elif not self._queue.is_extra_connect_worthwhile(self._attempt):
            self._schedule_check(next_interval_s)
        elif self._queue.start_extra_connect(self._attempt):
            self._schedule_check(self._pacing.late_after_s)
        elif self._loop.time() < self._failover_deadline_s:
            self._fail_over()
        else:
            self._schedule_check(next_interval_s)

    def _fail_over(self) -> None:
        """End the attempt early so that another endpoint is tried; connects continue for other attempts."""
        active_since_s = self._loop.time() - self._pacing.connect_timeout_s
        was_active = self._connections.was_active_since(self._attempt.endpoint, active_since_s)
        outcome = Outcome.NOT_SENT if was_active else Outcome.NO_CONNECTION
        self._attempt.finish(outcome, keep_connecting=True)
