"""Decides from the results of earlier connects whether an extra connect is worth its cost.

The connection queue records the result of each connect, and consults this module before it starts an extra
connect while others are late.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.socket_state import LOCAL_SHORTAGE_ERRNOS, NO_ROUTE_ERRNOS
from load_balancer.net.upstream.connect_latency import ConnectLatency

LATE_FACTOR = 2.0  # multiple of the median duration after which a connect is late
MIN_LATE_S = 0.002  # lower bound of that time: shorter times are within the event loop's latency
# Share of the time remaining that an extra connect must be expected to save, on top of the handshake cost
# from the settings, because each connect costs the endpoint some work.
MIN_SAVED_SHARE = 0.02
SHORTAGE_PAUSE_S = 0.05  # no extra connects for this long after a local resource shortage


class ConnectPacing:
    """Results of connects, and the limits on extra connects that follow from them.

    Attributes:
        connect_timeout_s: The timeout of a connect in seconds.
        latency: Durations of recent connects to all endpoints.
        no_extra_connect_until_s: The endpoints to which a connect was refused or found no route since the
            last successful one, with the time before which no extra connect is started, by the event loop's
            clock.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connect_timeout_s: float, handshake_cost: float
    ) -> None:
        """Start without recorded results.

        Args:
            loop: The event loop, used for its clock.
            connect_timeout_s: The timeout of a connect in seconds.
            handshake_cost: The cost of a new connection, as a share of a request's priority weight.
        """
        self._loop = loop
        self.connect_timeout_s = connect_timeout_s
        self._min_saved_share = MIN_SAVED_SHARE + handshake_cost
        self.latency = ConnectLatency()
        self.no_extra_connect_until_s: dict[EndpointAddress, float] = {}
        self._shortage_until_s = -math.inf  # end of the pause after a local shortage

    @property
    def late_after_s(self) -> float:
        """Seconds after which a pending connect is late."""
        median_s = self.latency.median_s
        return self.connect_timeout_s if median_s is None else max(MIN_LATE_S, LATE_FACTOR * median_s)

    @property
    def has_local_shortage(self) -> bool:
        """Whether a connect recently failed for lack of local resources, such as descriptors or ports."""
        return self._loop.time() < self._shortage_until_s

    def is_extra_connect_worthwhile(
        self, endpoint: EndpointAddress, ages_s: Sequence[float], time_remaining_s: float
    ) -> bool:
        """Return whether an extra connect is expected to save enough of an attempt's time remaining.

        It is not worthwhile while an earlier failure forbids extra connects to the endpoint.

        Args:
            endpoint: The endpoint.
            ages_s: Seconds since the start of each pending connect to it.
            time_remaining_s: Seconds until the attempt times out.
        """
        saved_s = self.latency.expected_saving_s(ages_s, min(time_remaining_s, self.connect_timeout_s))
        is_blocked = self._loop.time() < self.no_extra_connect_until_s.get(endpoint, -math.inf)
        return not is_blocked and saved_s > self._min_saved_share * time_remaining_s

    def is_failing(self, endpoint: EndpointAddress) -> bool:
        """Return whether a connect to an endpoint was refused or found no route since its last success."""
        return endpoint in self.no_extra_connect_until_s

    def record_success(self, endpoint: EndpointAddress, duration_s: float) -> None:
        """Record that a connect succeeded after `duration_s`."""
        self.latency.add(duration_s)
        self.no_extra_connect_until_s.pop(endpoint, None)

    def record_cancelled(self, duration_s: float) -> None:
        """Record that a connect was cancelled after `duration_s`."""
        # Most late connects end by cancellation. Without them the sample would underestimate the latency.
        if duration_s > (self.latency.median_s or 0.0):
            self.latency.add(duration_s)

    def record_failure(self, endpoint: EndpointAddress, error: OSError, duration_s: float) -> Outcome:
        """Record that a connect failed, and return the outcome for an attempt that ends because of it.

        Args:
            endpoint: The endpoint.
            error: The error of the connect.
            duration_s: Seconds from the start of the connect to the error.
        """
        if isinstance(error, TimeoutError):
            self.latency.add(duration_s)
            return Outcome.NO_CONNECTION
        if error.errno in LOCAL_SHORTAGE_ERRNOS:
            self._shortage_until_s = self._loop.time() + SHORTAGE_PAUSE_S
            return Outcome.NOT_SENT
        if error.errno in NO_ROUTE_ERRNOS:
            self.no_extra_connect_until_s[endpoint] = self._loop.time() + self.connect_timeout_s
            return Outcome.UNREACHABLE
        self.no_extra_connect_until_s[endpoint] = math.inf
        return Outcome.NO_CONNECTION

    def forget(self, endpoint: EndpointAddress) -> None:
        """Drop the record of an endpoint that is draining or removed."""
        self.no_extra_connect_until_s.pop(endpoint, None)
