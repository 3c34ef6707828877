"""One attempt: a request on its way to one endpoint, up to its single outcome.

An attempt takes an idle connection, or waits in the connection queue. It ends with exactly one outcome.
Nothing is sent again from here: whether a retry follows is the policy's decision.
"""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connection_wait import ConnectionWait
from load_balancer.net.upstream.pool_components import PoolComponents
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import OnOutcome, UpstreamRequest, UpstreamResponse

LONG_IDLE_S = 1.0  # a connection that breaks after less idle time has hardly gone stale by it


@dataclass(frozen=True, slots=True)
class AttemptTimes:
    """When an attempt was decided and how long it may take.

    Attributes:
        decided_at_s: When the policy decided to send it, by the event loop's clock.
        timeout_s: Seconds from then until it ends without a response.
        failover_within_s: Seconds from then within which it may end, if its connections do not come up, so
            that another endpoint is tried.
    """

    decided_at_s: float
    timeout_s: float
    failover_within_s: float


class UpstreamAttempt:
    """One request on its way to one endpoint.

    Attributes:
        endpoint: The endpoint.
        request: The request.
        connection: The connection on which the request was sent, or None while there is none.
    """

    def __init__(
        self,
        components: PoolComponents,
        endpoint: EndpointAddress,
        request: UpstreamRequest,
        times: AttemptTimes,
        on_outcome: OnOutcome,
    ) -> None:
        """Prepare an attempt; `begin` starts it.

        Args:
            components: Where it gets its connection.
            endpoint: The endpoint.
            request: The request.
            times: When it was decided and how long it may take.
            on_outcome: Is called exactly once, at the end.
        """
        self._loop = components.loop
        self._components = components
        self.endpoint = endpoint
        self.request = request
        self._on_outcome = on_outcome
        self.connection: UpstreamConnection | None = None
        self._assigned_at_s = 0.0  # when that connection was taken
        self._is_over = False
        # The policy counts on it for retries with an idempotency key: past this an endpoint may have
        # forgotten the key, and would run the request a second time.
        self._write_deadline_s = times.decided_at_s + components.pacing.connect_timeout_s
        self._timer = self._loop.call_at(times.decided_at_s + times.timeout_s, self.time_out)
        self._failover_deadline_s = times.decided_at_s + times.failover_within_s
        # Kept only while it waits: the two refer to each other, and could otherwise be freed by the garbage
        # collector alone.
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
        """Whether it was sent on a connection that had been idle for so long that it may have gone stale."""
        used = self.connection
        return used is not None and used.was_idle and self._assigned_at_s - used.idle_since_s >= LONG_IDLE_S

    @property
    def _may_have_run(self) -> bool:
        """Whether the endpoint may have run the request.

        Without the last byte written it cannot have, and the connection is closed before that byte is.
        """
        return self.connection is not None and self.connection.has_written_request

    def begin(self) -> None:
        """Send the request on an idle connection, or wait for one."""
        # If the endpoint has closed an idle connection and the end is still under way, it is unknown whether
        # the request ran. What must not run twice could then not be sent again, so it gets a new connection.
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
            self.finish(Outcome.NOT_SENT)  # a lack of sockets here is no sign of a fault of the endpoint

    def send_on(self, connection: UpstreamConnection) -> bool:
        """Send the request on a connection; return False if that is too late, which ends the attempt."""
        # The timer of the write deadline is late itself if the process was stalled until now.
        if self._loop.time() > self._write_deadline_s:
            self.miss_write_deadline()
            return False
        self._stop_waiting()
        self.connection, self._assigned_at_s = connection, self._loop.time()
        failure = connection.send(self, self.request)
        if failure is not None:
            self.finish(failure)
        return True

    def miss_write_deadline(self) -> None:
        """End the attempt, as its request may not be written any more. The connects go on."""
        self.finish(Outcome.NO_CONNECTION, keep_connecting=True)

    def _stop_waiting(self) -> None:
        if self._wait is not None:
            self._wait.cancel()
            self._wait = None
        self._components.queue.stop_waiting(self)

    def time_out(self) -> None:
        """End the attempt, as its time is up; called by its own timer."""
        may_have_run = self._may_have_run
        self._close_silent_idle()
        self.finish(Outcome.TIMEOUT if may_have_run else Outcome.NO_CONNECTION)

    def cancel(self) -> None:
        """End the attempt, as its response is of no use any more."""
        self.finish(Outcome.CANCELLED)

    def cancel_without_response(self) -> None:
        """Cancel the attempt because no response came, which casts doubt on idle connections like its own."""
        self._close_silent_idle()
        self.cancel()

    def cancel_if_unsent(self) -> None:
        """End the attempt unless the complete request has been written."""
        if not self._may_have_run:
            self.finish(Outcome.NOT_SENT)

    def _close_silent_idle(self) -> None:
        """Close other idle connections if an idle one brought nothing: an endpoint may forget them all."""
        if not self._is_over and self.connection is not None and self.connection.was_idle:
            self._components.connections.close_silent_idle(self.endpoint, self._assigned_at_s)

    def finish(self, outcome: Outcome, *, keep_connecting: bool = False) -> None:
        """End the attempt without a response; do nothing if it is over.

        Args:
            outcome: How it ended.
            keep_connecting: Whether connects that no attempt waits for now go on.
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
        """End the attempt, as the endpoint has ended the exchange; called by its connection."""
        self._end()
        if reusable:
            self._release_connection(connection)
        self._on_outcome(outcome, response)

    def _end(self) -> None:
        self._timer.cancel()
        self._stop_waiting()
        self._is_over = True

    def _release_connection(self, connection: UpstreamConnection) -> None:
        if not self.request.is_idempotent:  # it used none of the idle connections, which must not pile up
            self._components.connections.idle.close_oldest(self.endpoint)
        self._components.reuse.release(connection)
