"""One attempt: a single transmission of a request to one endpoint, with exactly one outcome.

An attempt takes an idle connection or waits in the connection queue. It never sends the request again:
retries are the decision of the policy.
"""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connection_wait import ConnectionWait
from load_balancer.net.upstream.pool_components import PoolComponents
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import (
    WRITTEN_IDEMPOTENT_REQUEST,
    WRITTEN_UNSAFE_REQUEST,
    OnOutcome,
    UpstreamRequest,
    UpstreamResponse,
)

LONG_IDLE_S = 1.0  # idle time below which a broken connection is unlikely to be a stale one


@dataclass(frozen=True, slots=True)
class AttemptTimes:
    """Start time and time limits of an attempt.

    Attributes:
        decided_at_s: The time of the policy's decision to send the attempt, by the event loop's clock.
        timeout_s: Seconds from the decision after which the attempt ends without a response.
        failover_within_s: Seconds from the decision within which the attempt may end early, if its connects
            are late, so that another endpoint can be tried.
    """

    decided_at_s: float
    timeout_s: float
    failover_within_s: float


class UpstreamAttempt:
    """One attempt to send a request to an endpoint and receive its response.

    Attributes:
        endpoint: The endpoint.
        request: The request.
        connection: The connection assigned to the attempt, or None while it has none.
    """

    def __init__(
        self,
        components: PoolComponents,
        endpoint: EndpointAddress,
        request: UpstreamRequest,
        times: AttemptTimes,
        on_outcome: OnOutcome,
    ) -> None:
        """Create an attempt and start its timeout; `begin` starts the attempt.

        Args:
            components: The components of the connection pool.
            endpoint: The endpoint.
            request: The request.
            times: The start time and the time limits of the attempt.
            on_outcome: Called exactly once, when the attempt ends.
        """
        self._loop = components.loop
        self._components = components
        self.endpoint = endpoint
        self.request = request
        self._on_outcome = on_outcome
        self.connection: UpstreamConnection | None = None
        self._assigned_at_s = 0.0  # when the connection was assigned
        self._is_over = False
        # The policy relies on this deadline for retries with an idempotency key: a later write may reach an
        # endpoint that no longer remembers the key and would run the request a second time.
        self._write_deadline_s = times.decided_at_s + components.pacing.connect_timeout_s
        self._timer = self._loop.call_at(times.decided_at_s + times.timeout_s, self.time_out)
        self._failover_deadline_s = times.decided_at_s + times.failover_within_s
        # Set only while the attempt waits: attempt and wait refer to each other, and a permanent reference
        # cycle would leave both to the garbage collector.
        self._wait: ConnectionWait | None = None

    @property
    def is_over(self) -> bool:
        """Whether the outcome has been reported."""
        return self._is_over

    @property
    def time_remaining_s(self) -> float:
        """Seconds until the attempt times out, never below zero."""
        return max(0.0, self._timer.when() - self._loop.time())

    @property
    def is_on_long_idle_connection(self) -> bool:
        """Whether the request was sent on a connection idle for `LONG_IDLE_S` or more, which may be stale."""
        used = self.connection
        return used is not None and used.was_idle and self._assigned_at_s - used.idle_since_s >= LONG_IDLE_S

    @property
    def _may_have_run(self) -> bool:
        """Whether the endpoint may have run the request.

        It cannot have run before the last byte of the request was written. An attempt that ends earlier
        closes the connection, so that the last byte is never written.
        """
        return self.connection is not None and self.connection.has_written_request

    def begin(self) -> None:
        """Send the request on an idle connection, or wait for one."""
        # If the endpoint has closed an idle connection and the end of the stream is still in transit, it is
        # unknown whether the request ran. A request that is not idempotent could then not be retried, so it
        # always gets a new connection.
        idle = self._components.connections.idle
        connection = idle.take(self.endpoint) if self.request.is_idempotent else None
        if connection is not None:
            if not self.send_on(connection):
                self._components.reuse.release(connection)
        elif self._components.queue.wait(self):
            self._wait = ConnectionWait(
                self._components, self, self._write_deadline_s, self._failover_deadline_s
            )
        else:
            self.finish(Outcome.NOT_SENT)  # a local lack of sockets does not indicate a fault of the endpoint

    def send_on(self, connection: UpstreamConnection) -> bool:
        """Send the request on a connection; past the write deadline, end the attempt and return False."""
        # After a stall of the process the timer of the write deadline may not have run yet.
        if self._loop.time() > self._write_deadline_s:
            self.miss_write_deadline()
            return False
        self._stop_waiting()
        self.connection, self._assigned_at_s = connection, self._loop.time()
        failure = connection.send(self, self.request)
        is_idempotent = self.request.is_idempotent
        self.request = WRITTEN_IDEMPOTENT_REQUEST if is_idempotent else WRITTEN_UNSAFE_REQUEST
        if failure is not None:
            self.finish(failure)
        return True

    def miss_write_deadline(self) -> None:
        """End the attempt because its write deadline has passed. Pending connects continue."""
        self.finish(Outcome.NO_CONNECTION, keep_connecting=True)

    def _stop_waiting(self) -> None:
        if self._wait is not None:
            self._wait.cancel()
            self._wait = None
        self._components.queue.stop_waiting(self)

    def time_out(self) -> None:
        """End the attempt because its timeout has expired; called by the attempt's timer."""
        may_have_run = self._may_have_run
        self._close_silent_idle()
        self.finish(Outcome.TIMEOUT if may_have_run else Outcome.NO_CONNECTION)

    def cancel(self) -> None:
        """End the attempt because its response is no longer needed."""
        self.finish(Outcome.CANCELLED)

    def cancel_without_response(self) -> None:
        """Cancel the attempt for lack of a response, and close idle connections that may be stale as well."""
        self._close_silent_idle()
        self.cancel()

    def cancel_if_unsent(self) -> None:
        """End the attempt unless the complete request has been written."""
        if not self._may_have_run:
            self.finish(Outcome.NOT_SENT)

    def _close_silent_idle(self) -> None:
        """Close the endpoint's idle connections if it stayed silent since the attempt reused one.

        All of them may be stale.
        """
        if not self._is_over and self.connection is not None and self.connection.was_idle:
            self._components.connections.close_silent_idle(self.endpoint, self._assigned_at_s)

    def finish(self, outcome: Outcome, *, keep_connecting: bool = False) -> None:
        """End the attempt without a response; do nothing if it is over.

        Args:
            outcome: The outcome to report.
            keep_connecting: Whether pending connects in excess of the waiting attempts continue.
        """
        if self._is_over:
            return
        self._end()
        if self.connection is not None:
            self.connection.abandon()
        elif not keep_connecting:
            self._components.queue.cancel_surplus_connects(self.endpoint)
        self._on_outcome(outcome, None)

    def exchange_ended(
        self,
        connection: UpstreamConnection,
        outcome: Outcome,
        response: UpstreamResponse | None,
        *,
        reusable: bool,
    ) -> None:
        """End the attempt because the exchange has ended on the endpoint's side; called by its connection."""
        self._end()
        if reusable:
            self._release_connection(connection)
        self._on_outcome(outcome, response)

    def _end(self) -> None:
        self._timer.cancel()
        self._stop_waiting()
        self._is_over = True

    def _release_connection(self, connection: UpstreamConnection) -> None:
        # The attempt used a new connection, so keeping it as idle must not increase the number of idle ones.
        if not self.request.is_idempotent:
            self._components.connections.idle.close_oldest(self.endpoint)
        self._components.reuse.release(connection)
