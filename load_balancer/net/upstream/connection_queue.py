"""Queue of the attempts that wait for a connection; it starts connects according to demand.

The queue decides how many connects are pending and which waiting attempt gets a newly established connection.
It calls the waiting attempts (`send_on`, `finish`); attempts enter and leave it with `wait` and
`stop_waiting`.
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

# Limit on the pending connects to an endpoint in excess of its waiting attempts.
MAX_SPARE_CONNECTS = 2
MAX_UNUSED_IDLE = 1  # an unneeded new connection is closed if the endpoint has this many idle ones


class ConnectionQueue:
    """The attempts that wait for a connection, and the pending connects that serve them.

    A waiting attempt gets the first connection to its endpoint that becomes available: a newly established
    one, whichever attempt it was started for, or one that becomes idle. Attempts are served in order of
    arrival. Each endpoint has at least as many pending connects as waiting attempts, so that an attempt never
    waits longer than a connect of its own would take.
    """

    def __init__(
        self,
        connections: OpenConnections,
        pending: PendingConnects,
        waiting: WaitingAttempts,
        reuse: ConnectionReuse,
        pacing: ConnectPacing,
    ) -> None:
        """Create an empty queue.

        Args:
            connections: The open connections, which count towards the limit on connections.
            pending: The pending connects; only the queue starts and removes connects.
            waiting: The waiting attempts; only the queue adds and removes attempts.
            reuse: Keeps connections that no attempt waits for.
            pacing: Decides whether an extra connect is worth its cost.
        """
        self._connections = connections
        self._pending = pending
        self._waiting = waiting
        self._reuse = reuse
        self._pacing = pacing

    def wait(self, attempt: WaitingAttempt) -> bool:
        """Add an attempt to the queue; return False if there is no capacity for another connection."""
        if not self._has_capacity and not self._connections.idle.close_oldest_of_all():
            return False
        self._waiting.add(attempt)
        if self._may_start_connect(attempt.endpoint):
            self._start_connecting(attempt)
        if attempt.request.is_idempotent:
            self._reuse.offer_all_once_settled(attempt.endpoint)
        return True

    def stop_waiting(self, attempt: WaitingAttempt) -> None:
        """Remove an attempt from the queue; do nothing if it is not waiting."""
        self._waiting.remove(attempt)

    def is_extra_connect_worthwhile(self, attempt: WaitingAttempt) -> bool:
        """Return whether an extra connect is expected to save enough of an attempt's time remaining."""
        endpoint = attempt.endpoint
        ages_s = self._pending.ages_s(endpoint)
        return self._pacing.is_extra_connect_worthwhile(endpoint, ages_s, attempt.time_remaining_s)

    def start_extra_connect(self, attempt: WaitingAttempt) -> bool:
        """Start an extra connect for a waiting attempt.

        Returns:
            False in a local shortage, without capacity for another connection, or if the endpoint may get no
            more connects.
        """
        # In a local shortage each extra connect would fail immediately and be followed by the next one for as
        # long as another connect is late.
        if self._pacing.has_local_shortage or not self._has_capacity:
            return False
        if not self._may_start_connect(attempt.endpoint):
            return False
        self._start_connecting(attempt)
        return True

    def cancel_surplus_connects(self, endpoint: EndpointAddress) -> None:
        """Cancel the newest pending connects to an endpoint that exceed its number of waiting attempts."""
        all_pending = self._pending.by_endpoint.get(endpoint, [])
        for pending in all_pending[self._waiting.count(endpoint) :]:
            pending.task.cancel()
            self._pending.remove(pending)
            self._pacing.record_cancelled(self._pending.age_s(pending))

    def disable(self, endpoint: EndpointAddress) -> None:
        """End all attempts waiting for an endpoint that is draining or gone, and cancel its connects."""
        self._pacing.forget(endpoint)
        for attempt in self._waiting.for_endpoint(endpoint):
            attempt.finish(Outcome.NOT_SENT)
        self.cancel_surplus_connects(endpoint)

    @property
    def _has_capacity(self) -> bool:
        return self._connections.has_capacity(self._pending.total_count)

    def _may_start_connect(self, endpoint: EndpointAddress) -> bool:
        """Return whether an endpoint may get another connect.

        Endpoints accept a limited number of connections: many unneeded ones would keep other clients out.
        """
        return self._pending.count(endpoint) < self._waiting.count(endpoint) + MAX_SPARE_CONNECTS

    def _start_connecting(self, attempt: WaitingAttempt) -> None:
        self._waiting.mark_own_connect(attempt)
        self._pending.start(attempt, self)

    def connect_succeeded(self, pending: PendingConnect, connection: UpstreamConnection) -> None:
        """Assign an established connection to the longest waiting attempt, or else keep or close it."""
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
        """Record the failure of a connect; end an attempt left without a connect, or start one for it."""
        outcome = self._pacing.record_failure(pending.endpoint, error, self._pending.age_s(pending))
        self._remove_failed(pending, outcome)

    def connect_crashed(self, pending: PendingConnect) -> None:
        """Handle an unexpected exception: end an attempt left without a connect, or start one for it."""
        self._remove_failed(pending, Outcome.NO_CONNECTION)

    def _remove_failed(self, pending: PendingConnect, outcome: Outcome) -> None:
        """Remove a failed connect.

        If fewer connects than waiting attempts remain, end one attempt or start another connect for it.
        """
        endpoint = pending.endpoint
        self._pending.remove(pending)
        others = self._pending.by_endpoint.get(endpoint, [])
        if self._waiting.count(endpoint) <= len(others):
            return
        with_own_connect = {other.attempt for other in others}
        without_own_connect = [a for a in self._waiting.for_endpoint(endpoint) if a not in with_own_connect]
        attempt = pending.attempt if pending.attempt in without_own_connect else without_own_connect[0]
        had_own_connect = self._waiting.had_own_connect(attempt)
        # An attempt that relied on connects started for other attempts gets a connect of its own: the others
        # may have started long before the attempt, which would fail too early if it ended with them.
        if had_own_connect or outcome is Outcome.NOT_SENT or self._pacing.is_failing(endpoint):
            attempt.finish(outcome)
        else:
            self._start_connecting(attempt)
