"""One attempt: a request on its way to one backend, up to its single outcome.

An attempt takes an idle connection, or waits for one that the pool opens. It ends with exactly one outcome.
Nothing is sent again from here: whether a retry follows is for the decision module to say.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import OnOutcome, UpstreamRequest, UpstreamResponse

LONG_IDLE_S = 1.0  # a connection that breaks after less idle time has hardly gone stale by it
# Turns of the event loop from a connection's establishment to its use: three, and two to spare.
LOOP_TURNS_TO_USE = 5


class AttemptPool(Protocol):
    """What an attempt needs of the pool that started it."""

    loop: asyncio.AbstractEventLoop

    @property
    def connect_timeout_s(self) -> float:
        """Seconds after which a connect is given up."""

    @property
    def late_after_s(self) -> float:
        """Seconds after which a connection is late."""

    def take_idle(self, endpoint: EndpointAddress) -> UpstreamConnection | None:
        """Takes an idle connection that can be used at once."""

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Takes a connection back that nothing uses any more."""

    def close_oldest_idle(self, endpoint: EndpointAddress) -> None:
        """Closes the connection to a backend that has been idle for longest."""

    def close_silent_idle(self, endpoint: EndpointAddress, since: float) -> None:
        """Closes the idle connections to a backend that has been silent since that moment."""

    def wait_for_connection(self, attempt: UpstreamAttempt) -> bool:
        """Lets an attempt wait for a connection; false where none can be opened."""

    def stop_waiting(self, attempt: UpstreamAttempt) -> None:
        """Takes an attempt from those that wait."""

    def extra_connection_pays(self, attempt: UpstreamAttempt) -> bool:
        """Tells whether one more connection would save the attempt enough time."""

    def open_extra(self, attempt: UpstreamAttempt) -> bool:
        """Opens one more connection; false where none may be opened."""

    def cancel_surplus_connects(self, endpoint: EndpointAddress) -> None:
        """Cancels the connects to a backend that no attempt waits for."""

    def outcome_without_connection(self, endpoint: EndpointAddress) -> Outcome:
        """The outcome of an attempt whose connection has not come up in time."""


class UpstreamAttempt:
    """One request on its way to one backend.

    Attributes:
        endpoint: The backend.
        request: The request.
        is_over: Whether the outcome has been reported.
        has_own_connect: Whether a connection has been opened for this attempt, and not just for others.
    """

    def __init__(
        self,
        pool: AttemptPool,
        endpoint: EndpointAddress,
        request: UpstreamRequest,
        timeout_s: float,
        on_outcome: OnOutcome,
        failover_within_s: float,
        decided_at: float,
    ) -> None:
        """Prepares an attempt; `begin` starts it. All times count from `decided_at`.

        Args:
            pool: The pool whose connections it uses.
            endpoint: The backend.
            request: The request.
            timeout_s: Seconds until it ends without a response.
            on_outcome: Called exactly once, at the end.
            failover_within_s: Seconds within which it may end for another backend to be tried.
            decided_at: When the module decided to send it, by the event loop's clock.
        """
        self._pool, self.endpoint, self.request, self._on_outcome = pool, endpoint, request, on_outcome
        self._failover_deadline = decided_at + failover_within_s
        # The module counts on it for retries with an idempotency key: past this a backend may have forgotten
        # the key, and would run the request a second time.
        self._write_deadline = decided_at + pool.connect_timeout_s
        self._connection: UpstreamConnection | None = None
        self._assigned_at = 0.0  # when that connection was taken
        self.is_over = False
        self.has_own_connect = False
        self._timer = pool.loop.call_at(decided_at + timeout_s, self._time_out)
        self._delay_timer: asyncio.Handle | None = None
        self._write_timer: asyncio.TimerHandle | None = None

    @property
    def time_remaining_s(self) -> float:
        """Seconds until it times out, never below zero."""
        return max(0.0, self._timer.when() - self._pool.loop.time())

    @property
    def is_on_long_idle_connection(self) -> bool:
        """Whether it was sent on a connection that had been idle for so long that it may have gone stale."""
        used = self._connection
        return used is not None and used.was_idle and self._assigned_at - used.idle_since >= LONG_IDLE_S

    def begin(self) -> None:
        """Sends the request on an idle connection, or waits for one."""
        # Where the backend has closed an idle connection and the end is still under way, it is unknown
        # whether the request ran. What must not run twice could then not be sent again, so it gets a new one.
        connection = self._pool.take_idle(self.endpoint) if self.request.is_idempotent else None
        if connection is not None:
            if not self.send_on(connection):
                self._pool.add_idle(connection)
        elif self._pool.wait_for_connection(self):
            self._check_delay_after(self._pool.late_after_s)
            self._write_timer = self._pool.loop.call_at(self._write_deadline, self._miss_write_deadline)
        else:
            self.finish(Outcome.NOT_SENT)  # our own lack of sockets says nothing of the backend

    def _check_delay_after(self, seconds: float) -> None:
        self._delay_timer = self._pool.loop.call_later(
            seconds, self._check_delay, 2.0 * seconds, LOOP_TURNS_TO_USE
        )

    def _check_delay(self, next_s: float, turns: int) -> None:
        """Acts on a connection that is late.

        Args:
            next_s: Seconds until the next look, where nothing can be done yet.
            turns: Turns of the event loop to wait before.
        """
        if turns:
            # Where the event loop itself is late, a connection may be up that it has not come to yet. Without
            # these turns another one would be opened beside it, to no use.
            self._delay_timer = self._pool.loop.call_soon(self._check_delay, next_s, turns - 1)
        elif not self._pool.extra_connection_pays(self):
            self._check_delay_after(next_s)
        elif self._pool.open_extra(self):
            self._check_delay_after(self._pool.late_after_s)
        elif self._pool.loop.time() < self._failover_deadline:
            self._fail_over()
        else:
            self._check_delay_after(next_s)

    def _fail_over(self) -> None:
        """Leaves this backend in time for another. The connects go on, for other attempts to use."""
        self.finish(self._pool.outcome_without_connection(self.endpoint), keep_connecting=True)

    def _miss_write_deadline(self) -> None:
        self.finish(Outcome.NO_CONNECTION, keep_connecting=True)

    def send_on(self, connection: UpstreamConnection) -> bool:
        """Sends the request on a connection; false, and the attempt ends, where that has become too late."""
        # The timer of the write deadline is late itself where the process was held up until now.
        if self._pool.loop.time() > self._write_deadline:
            self._miss_write_deadline()
            return False
        self._stop_waiting()
        self._connection, self._assigned_at = connection, self._pool.loop.time()
        connection.send(self, self.request)
        return True

    def _stop_waiting(self) -> None:
        for timer in (self._delay_timer, self._write_timer):
            if timer is not None:
                timer.cancel()
        self._pool.stop_waiting(self)

    @property
    def _may_have_run(self) -> bool:
        """Without the last byte written nothing can have run, and the connection is closed before it is."""
        return self._connection is not None and self._connection.has_written_request

    def _time_out(self) -> None:
        may_have_run = self._may_have_run
        self._close_silent_idle()
        self.finish(Outcome.TIMEOUT if may_have_run else Outcome.NO_CONNECTION)

    def cancel(self) -> None:
        """Ends the attempt, whose response is of no use any more."""
        self.finish(Outcome.CANCELLED)

    def cancel_unanswered(self) -> None:
        """Cancels the attempt for want of a response, which tells something of the connection."""
        self._close_silent_idle()
        self.cancel()

    def _close_silent_idle(self) -> None:
        """Where an idle connection brought nothing, the backend may have forgotten it, and others like it."""
        if not self.is_over and self._connection is not None and self._connection.was_idle:
            self._pool.close_silent_idle(self.endpoint, self._assigned_at)

    def cancel_if_unsent(self) -> None:
        """Ends the attempt unless the whole request has been written."""
        if not self._may_have_run:
            self.finish(Outcome.NOT_SENT)

    def finish(
        self,
        outcome: Outcome,
        response: UpstreamResponse | None = None,
        reusable: bool = False,
        keep_connecting: bool = False,
    ) -> None:
        """Ends the attempt and reports its outcome; does nothing where it is over.

        Args:
            outcome: How it ended.
            response: The response, where one came.
            reusable: Whether its connection can carry further requests.
            keep_connecting: Whether connects that nobody waits for now go on.
        """
        if self.is_over:
            return
        self._timer.cancel()
        self._stop_waiting()
        self.is_over = True
        if self._connection is not None:
            self._release(self._connection, reusable)
        elif not keep_connecting:
            self._pool.cancel_surplus_connects(self.endpoint)
        self._on_outcome(outcome, response)

    def _release(self, connection: UpstreamConnection, reusable: bool) -> None:
        connection.release()
        if not reusable:
            connection.close()
            return
        if not self.request.is_idempotent:  # it used none of those idle, which must not pile up
            self._pool.close_oldest_idle(self.endpoint)
        self._pool.add_idle(connection)
