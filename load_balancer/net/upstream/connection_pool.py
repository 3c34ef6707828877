"""The connections to all backends: attempts wait here for one, and connects are started as they need them.

The pool owns the open and pending connections and the attempts that wait. The driver starts attempts and
says which backends are in use; connections and attempts report back.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import math

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.socket_state import has_never_connected
from load_balancer.net.upstream.connect_pacing import ConnectPacing
from load_balancer.net.upstream.idle_connections import IdleConnections
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import OnOutcome, UpstreamRequest

log = logging.getLogger(__name__)

# Connections to a backend that may be pending at once, besides one for each attempt that waits.
MAX_SPARE_CONNECTS = 2
MAX_UNUSED_IDLE = 1  # idle connections to a backend beside which one that nobody waits for is closed


class PendingConnection:
    """A connection that is being opened.

    Attributes:
        endpoint: The backend.
        started_at: When the connect began, by the event loop's clock.
        attempt: The attempt that it was opened for; any attempt on that backend may get it.
        task: The task that connects.
    """

    def __init__(self, endpoint: EndpointAddress, started_at: float, attempt: UpstreamAttempt) -> None:
        """Records a connect that begins now; the pool adds the task."""
        self.endpoint, self.started_at, self.attempt = endpoint, started_at, attempt
        self.task: asyncio.Task[None]


class ConnectionPool:
    """The connections to all backends.

    An attempt that finds no idle connection waits for one, and takes whichever is first: one that comes up,
    for it or for another attempt on that backend, or one that falls idle. The longest waiting go first. There
    are always as many pending as attempts wait for them, so each ends at the latest as its own would have.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        idle_limit_s: float,
        max_connections: int,
        handshake_cost: float = 0.0,
    ) -> None:
        """Starts with no connections; needs a running event loop.

        Args:
            connect_timeout_s: Seconds after which a connect is given up.
            idle_limit_s: Seconds after which a backend closes an idle connection.
            max_connections: Limit on connections, open and pending, to all backends together.
            handshake_cost: The price of a new connection, as a share of a request's priority weight.
        """
        self.loop = asyncio.get_running_loop()
        self._max_connections = max_connections
        self._open: set[UpstreamConnection] = set()
        self._idle = IdleConnections(self.loop, idle_limit_s)
        self._pacing = ConnectPacing(self.loop, connect_timeout_s, handshake_cost)
        self._pending: dict[EndpointAddress, list[PendingConnection]] = {}
        # The attempts that wait for a connection, the longest waiting first.
        self._waiting: dict[EndpointAddress, dict[UpstreamAttempt, None]] = {}
        # When a connection last came up, or brought something.
        self._last_activity: dict[EndpointAddress, float] = {}

    @property
    def connect_timeout_s(self) -> float:
        """Seconds after which a connect is given up."""
        return self._pacing.connect_timeout_s

    def start_attempt(
        self,
        endpoint: EndpointAddress,
        request: UpstreamRequest,
        timeout_s: float,
        on_outcome: OnOutcome,
        failover_within_s: float = 0.0,
        decided_at: float | None = None,
    ) -> UpstreamAttempt:
        """Starts an attempt, which ends after `timeout_s` seconds at the latest.

        Args:
            endpoint: The backend.
            request: The request.
            timeout_s: Seconds until it ends without a response.
            on_outcome: Called exactly once, at the end, which may come before this returns.
            failover_within_s: Seconds within which it may end, as its connections stay away, for another
                backend to be tried.
            decided_at: From when on all times count, by the event loop's clock; none: from now.
        """
        if decided_at is None:
            decided_at = self.loop.time()
        attempt = UpstreamAttempt(
            self, endpoint, request, timeout_s, on_outcome, failover_within_s, decided_at
        )
        attempt.begin()
        return attempt

    # Idle connections

    def take_idle(self, endpoint: EndpointAddress) -> UpstreamConnection | None:
        """Takes an idle connection that can be used at once."""
        return self._idle.take(endpoint)

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Takes a connection back that nothing uses any more."""
        if self._idle.add(connection) and connection.endpoint in self._waiting:
            self._offer_once_settled(connection)

    def _offer_once_settled(self, connection: UpstreamConnection) -> None:
        self.loop.call_at(self._idle.settled_at(connection), self._offer_idle, connection.endpoint)

    def _offer_idle(self, endpoint: EndpointAddress) -> None:
        """Hands idle connections that have settled to attempts that wait for one."""
        for attempt in list(self._waiting.get(endpoint, ())):
            if attempt.request.is_idempotent and not attempt.is_over:
                connection = self.take_idle(endpoint)
                if connection is None:
                    return
                if not attempt.send_on(connection):
                    self.add_idle(connection)

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Makes sure that a connection is not used again."""
        self._idle.remove(connection)

    def close_oldest_idle(self, endpoint: EndpointAddress) -> None:
        """Closes the connection to a backend that has been idle for longest: another takes its place."""
        self._idle.close_oldest(endpoint)

    def close_idle(self, endpoint: EndpointAddress) -> None:
        """Closes the connections to a backend that nothing uses now."""
        self._idle.close_all(endpoint)

    def close_silent_idle(self, endpoint: EndpointAddress, since: float) -> None:
        """Closes the idle connections to a backend that has been silent since that moment.

        A connection that the backend has forgotten without a word takes a request and brings nothing. Each of
        those that are left would cost a request of its own.

        Args:
            endpoint: The backend.
            since: The moment, by the event loop's clock.
        """
        if self._last_activity.get(endpoint, -math.inf) < since:
            self._idle.close_all(endpoint)

    def suspend_reuse(self, endpoint: EndpointAddress) -> None:
        """Keeps no idle connections to a backend for a while, as it broke one under a request."""
        self._idle.suspend(endpoint)

    # Attempts that wait

    def wait_for_connection(self, attempt: UpstreamAttempt) -> bool:
        """Lets an attempt wait for a connection; false where there is no room for one."""
        if not self._has_capacity and not self._idle.close_oldest_of_all():
            return False
        endpoint = attempt.endpoint
        self._waiting.setdefault(endpoint, {})[attempt] = None
        if self._may_open_more(endpoint):
            self._start_connecting(attempt)
        if attempt.request.is_idempotent:
            for connection in self._idle.by_endpoint.get(endpoint, ()):
                self._offer_once_settled(connection)
        return True

    def stop_waiting(self, attempt: UpstreamAttempt) -> None:
        """Takes an attempt from those that wait."""
        waiting = self._waiting.get(attempt.endpoint, {})
        waiting.pop(attempt, None)
        if not waiting:
            self._waiting.pop(attempt.endpoint, None)

    @property
    def late_after_s(self) -> float:
        """Seconds after which a connection is late."""
        return self._pacing.late_after_s

    def extra_connection_pays(self, attempt: UpstreamAttempt) -> bool:
        """Tells whether one more connection would save enough of the time that an attempt has left."""
        now, time_remaining_s = self.loop.time(), attempt.time_remaining_s
        ages_s = [now - pending.started_at for pending in self._pending.get(attempt.endpoint, ())]
        return self._pacing.extra_pays(attempt.endpoint, ages_s, time_remaining_s)

    def open_extra(self, attempt: UpstreamAttempt) -> bool:
        """Opens one more connection; false where as many are pending as may, or there is no room."""
        # With a local shortage each one would fail at once, and the next be opened, beside one that is late.
        if self._pacing.is_short or not self._has_capacity or not self._may_open_more(attempt.endpoint):
            return False
        self._start_connecting(attempt)
        return True

    def outcome_without_connection(self, endpoint: EndpointAddress) -> Outcome:
        """The outcome of an attempt whose connection has not come up in time."""
        last_activity = self._last_activity.get(endpoint, -math.inf)
        was_active = last_activity >= self.loop.time() - self.connect_timeout_s
        return Outcome.NOT_SENT if was_active else Outcome.NO_CONNECTION

    # Pending connections

    @property
    def _has_capacity(self) -> bool:
        return len(self._open) + sum(map(len, self._pending.values())) < self._max_connections

    def _may_open_more(self, endpoint: EndpointAddress) -> bool:
        """Backends hold few connections: many at once that nobody waits for would keep others out."""
        return len(self._pending.get(endpoint, ())) < len(self._waiting[endpoint]) + MAX_SPARE_CONNECTS

    def _start_connecting(self, attempt: UpstreamAttempt) -> None:
        attempt.has_own_connect = True
        pending = PendingConnection(attempt.endpoint, self.loop.time(), attempt)
        self._pending.setdefault(attempt.endpoint, []).append(pending)
        pending.task = self.loop.create_task(self._finish_connecting(pending))

    async def _finish_connecting(self, pending: PendingConnection) -> None:
        try:
            connection = await self.connect(pending.endpoint)
        except OSError as error:
            age_s = self.loop.time() - pending.started_at
            outcome = self._pacing.record_failure(pending.endpoint, error, age_s)
            self._on_connect_failed(pending, outcome)
        except Exception:  # in the task, it would leave the attempt waiting until it times out
            log.exception("connecting to %s:%d failed", *pending.endpoint.address)
            self._on_connect_failed(pending, Outcome.NO_CONNECTION)
        else:
            self._on_connected(pending, connection)

    async def connect(self, endpoint: EndpointAddress) -> UpstreamConnection:
        """Opens a connection.

        Args:
            endpoint: The backend.

        Raises:
            OSError: The connect failed; TimeoutError where it took too long.
        """
        async with asyncio.timeout(self.connect_timeout_s):
            transport, connection = await self.loop.create_connection(
                lambda: UpstreamConnection(self, endpoint), *endpoint.address
            )
        if has_never_connected(transport):
            connection.close()
            raise BlockingIOError(errno.EAGAIN, "the system has no means for a connection")
        return connection

    def _on_connected(self, pending: PendingConnection, connection: UpstreamConnection) -> None:
        endpoint = pending.endpoint
        if connection.transport.is_closing():
            self._on_connect_failed(pending, Outcome.NO_CONNECTION)
            return
        self._remove_pending(pending)
        self._pacing.record_success(endpoint, self.loop.time() - pending.started_at)
        for attempt in list(self._waiting.get(endpoint, ())):
            if not attempt.is_over and attempt.send_on(connection):
                return
        if self._idle.count(endpoint) < MAX_UNUSED_IDLE:
            self.add_idle(connection)
        else:
            connection.close()

    def _on_connect_failed(self, pending: PendingConnection, outcome: Outcome) -> None:
        """Ends an attempt where fewer connections are pending now than attempts wait."""
        endpoint = pending.endpoint
        self._remove_pending(pending)
        waiting, others = self._waiting.get(endpoint, {}), self._pending.get(endpoint, [])
        if len(waiting) <= len(others):
            return
        have_own_pending = {other.attempt for other in others}
        without_own = [attempt for attempt in waiting if attempt not in have_own_pending]
        attempt = pending.attempt if pending.attempt in without_own else without_own[0]
        # One that has only waited on others' connections gets one of its own: these may have begun long
        # before it, so that it would end early.
        if attempt.has_own_connect or outcome is Outcome.NOT_SENT or self._pacing.is_failing(endpoint):
            attempt.finish(outcome)
        else:
            self._start_connecting(attempt)

    def _remove_pending(self, pending: PendingConnection) -> None:
        others = self._pending[pending.endpoint]
        others.remove(pending)
        if not others:
            del self._pending[pending.endpoint]

    def cancel_surplus_connects(self, endpoint: EndpointAddress) -> None:
        """Cancels the connects to a backend that no attempt waits for any more."""
        all_pending, waiting = self._pending.get(endpoint, []), self._waiting.get(endpoint, {})
        for pending in all_pending[len(waiting) :]:
            pending.task.cancel()
            self._remove_pending(pending)
            self._pacing.record_cancelled(self.loop.time() - pending.started_at)

    # Backends

    def enable_endpoint(self, endpoint: EndpointAddress) -> None:
        """Keeps idle connections to a backend from now on."""
        self._idle.enable(endpoint)

    def disable_endpoint(self, endpoint: EndpointAddress) -> None:
        """Sends no more to a backend that drains or is gone: what it has been sent goes on."""
        self._last_activity.pop(endpoint, None)
        self._pacing.forget(endpoint)
        self._idle.disable(endpoint)
        for attempt in list(self._waiting.get(endpoint, ())):
            attempt.finish(Outcome.NOT_SENT)
        self.cancel_surplus_connects(endpoint)

    def record_activity(self, endpoint: EndpointAddress) -> None:
        """Notes that a backend is there: a connection came up, or brought something."""
        if self._idle.is_enabled(endpoint):
            self._last_activity[endpoint] = self.loop.time()

    # Open connections

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Notes that a connection is up."""
        self._open.add(connection)
        self.record_activity(connection.endpoint)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Notes that a connection is closed."""
        self._open.discard(connection)
        self._idle.remove(connection)

    def close(self) -> None:
        """Closes all connections, and cancels the connects."""
        for all_pending in list(self._pending.values()):
            for pending in all_pending:
                pending.task.cancel()
        self._pending.clear()
        for connection in list(self._open):
            connection.close()
