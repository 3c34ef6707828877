"""When one more connection to an endpoint is worth its cost, by how earlier connects ended.

The connection queue records how each connect ended, and asks before it opens one beside others that are late.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.socket_state import LOCAL_SHORTAGE_ERRNOS, NO_ROUTE_ERRNOS
from load_balancer.net.upstream.connect_latency import ConnectLatency

LATE_FACTOR = 2.0  # a connection is late after this many times the median
MIN_LATE_S = 0.002  # and after this at least: an event loop is not quicker
# One more is opened if it saves this share of the time left, besides what the settings say a handshake costs:
# it takes some of the endpoint's work.
MIN_SAVED_SHARE = 0.02
SHORTAGE_PAUSE_S = 0.05  # for this long after a local shortage none is opened beside others


class ConnectPacing:
    """How connects have ended, to all endpoints and to each.

    Attributes:
        connect_timeout_s: Seconds after which a connect is given up.
        latency: How long connects take.
        no_extra_connect_until_s: The endpoints whose last connect failed at once, and until when no connection is
            opened beside another one, by the event loop's clock.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connect_timeout_s: float, handshake_cost: float
    ) -> None:
        """Start with nothing known.

        Args:
            loop: The event loop, whose clock counts.
            connect_timeout_s: Seconds after which a connect is given up.
            handshake_cost: The price of a new connection, as a share of a request's priority weight.
        """
        self._loop = loop
        self.connect_timeout_s = connect_timeout_s
        self._min_saved_share = MIN_SAVED_SHARE + handshake_cost
        self.latency = ConnectLatency()
        self.no_extra_connect_until_s: dict[EndpointAddress, float] = {}
        self._shortage_until_s = -math.inf  # the system may have nothing for one more connection

    @property
    def late_after_s(self) -> float:
        """Seconds after which a connection is late."""
        median_s = self.latency.median_s
        return self.connect_timeout_s if median_s is None else max(MIN_LATE_S, LATE_FACTOR * median_s)

    @property
    def has_local_shortage(self) -> bool:
        """Whether this machine has lately had nothing for one more connection."""
        return self._loop.time() < self._shortage_until_s

    def is_extra_connect_worthwhile(
        self, endpoint: EndpointAddress, ages_s: Sequence[float], time_remaining_s: float
    ) -> bool:
        """Return whether one more connection would save enough of the time that an attempt has left.

        Args:
            endpoint: The endpoint.
            ages_s: For how many seconds each connect to it has been pending.
            time_remaining_s: Seconds until the attempt times out.
        """
        saved_s = self.latency.expected_saving_s(ages_s, min(time_remaining_s, self.connect_timeout_s))
        is_blocked = self._loop.time() < self.no_extra_connect_until_s.get(endpoint, -math.inf)
        return not is_blocked and saved_s > self._min_saved_share * time_remaining_s

    def is_failing(self, endpoint: EndpointAddress) -> bool:
        """Return whether the last connect to an endpoint failed at once."""
        return endpoint in self.no_extra_connect_until_s

    def record_success(self, endpoint: EndpointAddress, duration_s: float) -> None:
        """Record that a connect succeeded after this time."""
        self.latency.add(duration_s)
        self.no_extra_connect_until_s.pop(endpoint, None)

    def record_cancelled(self, duration_s: float) -> None:
        """Record that a connect was cancelled after this time."""
        # Late connects mostly end so. Were none of them counted, all would seem to be quick.
        if duration_s > (self.latency.median_s or 0.0):
            self.latency.add(duration_s)

    def record_failure(self, endpoint: EndpointAddress, error: OSError, duration_s: float) -> Outcome:
        """Record that a connect failed, and return the outcome of an attempt that ends by it.

        Args:
            endpoint: The endpoint.
            error: The error with which the connect failed.
            duration_s: Seconds that it took.
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
        """Drop what is known of an endpoint that is gone."""
        self.no_extra_connect_until_s.pop(endpoint, None)
