"""The attempts that wait for a connection, first come, first served for each endpoint.

The connection queue adds and removes them. Whoever has a connection to give away asks who waits for one.
"""

from __future__ import annotations

from typing import Protocol

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamRequest


class WaitingAttempt(Protocol):
    """What those who hand out connections need of an attempt that waits for one."""

    endpoint: EndpointAddress
    request: UpstreamRequest

    @property
    def is_over(self) -> bool:
        """Whether the attempt has reported its outcome."""

    @property
    def time_remaining_s(self) -> float:
        """Seconds until the attempt times out, never below zero."""

    def send_on(self, connection: UpstreamConnection) -> bool:
        """Send the request on a connection; return False if that is too late, which ends the attempt."""

    def miss_write_deadline(self) -> None:
        """End the attempt, as its request may not be written any more. The connects go on."""

    def finish(self, outcome: Outcome, *, keep_connecting: bool = False) -> None:
        """End the attempt without a response; do nothing if it is over."""


class WaitingAttempts:
    """The attempts that wait for a connection.

    Attributes:
        by_endpoint: The attempts that wait for a connection to each endpoint, the longest waiting first.
    """

    def __init__(self) -> None:
        """Start with no attempt."""
        self.by_endpoint: dict[EndpointAddress, dict[WaitingAttempt, None]] = {}
        # The waiting attempts for which a connect was started, and not just for others on their endpoint.
        self._with_own_connect: set[WaitingAttempt] = set()

    def add(self, attempt: WaitingAttempt) -> None:
        """Put an attempt behind all others that wait for its endpoint."""
        self.by_endpoint.setdefault(attempt.endpoint, {})[attempt] = None

    def remove(self, attempt: WaitingAttempt) -> None:
        """Remove an attempt; do nothing if it does not wait."""
        self._with_own_connect.discard(attempt)
        attempts = self.by_endpoint.get(attempt.endpoint, {})
        attempts.pop(attempt, None)
        if not attempts:
            self.by_endpoint.pop(attempt.endpoint, None)

    def for_endpoint(self, endpoint: EndpointAddress) -> list[WaitingAttempt]:
        """Return a copy of the attempts that wait for an endpoint, the longest waiting first."""
        return list(self.by_endpoint.get(endpoint, ()))

    def count(self, endpoint: EndpointAddress) -> int:
        """Return the number of attempts that wait for an endpoint."""
        return len(self.by_endpoint.get(endpoint, ()))

    def mark_own_connect(self, attempt: WaitingAttempt) -> None:
        """Record that a connect was started for this attempt."""
        self._with_own_connect.add(attempt)

    def had_own_connect(self, attempt: WaitingAttempt) -> bool:
        """Return whether a connect was started for this attempt."""
        return attempt in self._with_own_connect
