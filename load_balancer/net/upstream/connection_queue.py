"""Attempts queue here for a connection, and connects are started as they need them.

The queue decides how many connects are pending and which waiting attempt gets a connection that comes up. It
calls the attempts that wait (`send_on`, `finish`); attempts enter and leave by `wait` and `stop_waiting`.
"""

from __future__ import annotations

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connect_pacing import ConnectPacing
from load_balancer.net.upstream.connection_reuse import ConnectionReuse
from load_balancer.net.upstream.open_connections import OpenConnections
from load_balancer.net.upstream.pending_connects import PendingConnect, PendingConnects
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.waiting_attempts import WaitingAttempt, WaitingAttempts

# Connections to an endpoint that may be pending at once, besides one for each attempt that waits.
MAX_SPARE_CONNECTS = 2
MAX_UNUSED_IDLE = 1  # idle connections to an endpoint beside which a new one is closed if no attempt waits


class ConnectionQueue:
    """The attempts that wait for a connection, and the connects that are pending for them.

    An attempt that waits takes whichever connection is first: one that comes up, for it or for another
    attempt on that endpoint, or one that falls idle. The longest waiting go first. There are always at least
    as many connects pending as attempts wait, so each attempt ends at the latest as its own connect would.
    """

    def __init__(
        self,
        connections: OpenConnections,
        pending: PendingConnects,
        waiting: WaitingAttempts,
        reuse: ConnectionReuse,
        pacing: ConnectPacing,
    ) -> None:
        """Start with an empty queue.

        Args:
            connections: The open connections, which count against the limit on connections.
            pending: The pending connects; only the queue starts and removes any.
            waiting: The attempts that wait; only the queue adds and removes any.
            reuse: Takes connections that no attempt waits for.
            pacing: Decides when one more connect is worth its cost.
        """
        self._connections = connections
        self._pending = pending
        self._waiting = waiting
        self._reuse = reuse
        self._pacing = pacing

    def wait(self, attempt: WaitingAttempt) -> bool:
        """Let an attempt wait for a connection; return False if there is no capacity for one."""
        if not self._has_capacity and not self._connections.idle.close_oldest_of_all():
            return False
        self._waiting.add(attempt)
        if self._may_start_connect(attempt.endpoint):
            self._start_connecting(attempt)
        if attempt.request.is_idempotent:
            self._reuse.offer_all_once_settled(attempt.endpoint)
        return True

    def stop_waiting(self, attempt: WaitingAttempt) -> None:
        """Remove an attempt from the queue; do nothing if it does not wait."""
        self._waiting.remove(attempt)

    def is_extra_connect_worthwhile(self, attempt: WaitingAttempt) -> bool:
        """Return whether one more connection would save enough of the time that an attempt has left."""
        endpoint = attempt.endpoint
        ages_s = self._pending.ages_s(endpoint)
        return self._pacing.is_extra_connect_worthwhile(endpoint, ages_s, attempt.time_remaining_s)

    def start_extra_connect(self, attempt: WaitingAttempt) -> bool:
        """Begin one more connect for an attempt that waits.

        Returns:
            False if no more connects may be pending, or if there is no capacity for one.
        """
        # With a local shortage each connect would fail at once, and the next one begin, beside a late one.
        if self._pacing.has_local_shortage or not self._has_capacity:
            return False
        if not self._may_start_connect(attempt.endpoint):
            return False
        self._start_connecting(attempt)
        return True

    def cancel_surplus_connects(self, endpoint: EndpointAddress) -> None:
        """Cancel the connects to an endpoint that no attempt waits for any more."""
        all_pending = self._pending.by_endpoint.get(endpoint, [])
        for pending in all_pending[self._waiting.count(endpoint) :]:
            pending.task.cancel()
            self._pending.remove(pending)
            self._pacing.record_cancelled(self._pending.age_s(pending))

    def disable(self, endpoint: EndpointAddress) -> None:
        """End all attempts that wait for an endpoint that drains or is gone, and cancel its connects."""
        self._pacing.forget(endpoint)
        for attempt in self._waiting.for_endpoint(endpoint):
            attempt.finish(Outcome.NOT_SENT)
        self.cancel_surplus_connects(endpoint)

    @property
    def _has_capacity(self) -> bool:
        return self._connections.has_capacity(self._pending.total_count)

    def _may_start_connect(self, endpoint: EndpointAddress) -> bool:
        """Return whether an endpoint may get one more connect.

        Endpoints accept few connections: many at once that no attempt waits for would keep other clients out.
        """
        return self._pending.count(endpoint) < self._waiting.count(endpoint) + MAX_SPARE_CONNECTS

    def _start_connecting(self, attempt: WaitingAttempt) -> None:
        self._waiting.mark_own_connect(attempt)
        self._pending.start(attempt, self)

    def connect_succeeded(self, pending: PendingConnect, connection: UpstreamConnection) -> None:
        """Hand a connection that has come up to the attempt that has waited longest."""
        endpoint = pending.endpoint
        if connection.transport.is_closing():
            self._remove_failed(pending, Outcome.NO_CONNECTION)
            return
        self._pending.remove(pending)
        self._pacing.record_success(endpoint, self._pending.age_s(pending))
        for attempt in self._waiting.for_endpoint(endpoint):
            if not attempt.is_over and attempt.send_on(connection):
                return
        if self._connections.idle.count(endpoint) < MAX_UNUSED_IDLE:
            self._reuse.release(connection)
        else:
            connection.close()

    def connect_failed(self, pending: PendingConnect, error: OSError) -> None:
        """Record why a connect failed, and end or serve the attempt that is left without one."""
        outcome = self._pacing.record_failure(pending.endpoint, error, self._pending.age_s(pending))
        self._remove_failed(pending, outcome)

    def connect_crashed(self, pending: PendingConnect) -> None:
        """End or serve the attempt that is left without a connect by a fault of this program."""
        self._remove_failed(pending, Outcome.NO_CONNECTION)

    def _remove_failed(self, pending: PendingConnect, outcome: Outcome) -> None:
        """Remove a failed connect; end an attempt if more attempts wait now than connects are pending."""
        endpoint = pending.endpoint
        self._pending.remove(pending)
        others = self._pending.by_endpoint.get(endpoint, [])
        if self._waiting.count(endpoint) <= len(others):
            return
        with_own_connect = {other.attempt for other in others}
        without_own_connect = [a for a in self._waiting.for_endpoint(endpoint) if a not in with_own_connect]
        attempt = pending.attempt if pending.attempt in without_own_connect else without_own_connect[0]
        had_own_connect = self._waiting.had_own_connect(attempt)
        # An attempt that has only waited on others' connects gets one of its own: theirs may have begun long
        # before it, so that it would end early.
        if had_own_connect or outcome is Outcome.NOT_SENT or self._pacing.is_failing(endpoint):
            attempt.finish(outcome)
        else:
            self._start_connecting(attempt)
