"""The attempts that wait for a connection, in order of arrival for each endpoint.

The connection queue adds and removes attempts. Modules that assign connections look up the waiting attempts
here.
"""

from __future__ import annotations

from typing import Protocol

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamRequest


class WaitingAttempt(Protocol):
    """Interface of a waiting attempt to the modules that assign connections."""

    endpoint: EndpointAddress
    request: UpstreamRequest

    @property
    def is_over(self) -> bool:
        """Whether the attempt has reported its outcome."""

    @property
    def time_remaining_s(self) -> float:
        """Seconds until the attempt times out, never below zero."""

    def send_on(self, connection: UpstreamConnection) -> bool:
        """Send the request on a connection; past the write deadline, end the attempt and return False."""

    def miss_write_deadline(self) -> None:
        """End the attempt because its write deadline has passed. Pending connects continue."""

    def finish(self, outcome: Outcome, *, keep_connecting: bool = False) -> None:
        """End the attempt without a response; do nothing if it is over."""


class WaitingAttempts:
    """The attempts that wait for a connection.

    Attributes:
        by_endpoint: The attempts waiting for a connection to each endpoint, the longest waiting first.
    """

    def __init__(self) -> None:
        """Start without waiting attempts."""
        self.by_endpoint: dict[EndpointAddress, dict[WaitingAttempt, None]] = {}
        # The waiting attempts for which a connect was started, as opposed to those that rely on connects
        # started for other attempts on the same endpoint.
        self._with_own_connect: set[WaitingAttempt] = set()

    def add(self, attempt: WaitingAttempt) -> None:
        """Append an attempt to those waiting for its endpoint."""
        self.by_endpoint.setdefault(attempt.endpoint, {})[attempt] = None

    def remove(self, attempt: WaitingAttempt) -> None:
        """Remove an attempt; do nothing if it is not waiting."""
        self._with_own_connect.discard(attempt)
        attempts = self.by_endpoint.get(attempt.endpoint, {})
        attempts.pop(attempt, None)
        if not attempts:
            self.by_endpoint.pop(attempt.endpoint, None)

    def for_endpoint(self, endpoint: EndpointAddress) -> list[WaitingAttempt]:
        """Return a copy of the list of attempts waiting for an endpoint, the longest waiting first."""
        return list(self.by_endpoint.get(endpoint, ()))

    def count(self, endpoint: EndpointAddress) -> int:
        """Return the number of attempts waiting for an endpoint."""
        return len(self.by_endpoint.get(endpoint, ()))

    def mark_own_connect(self, attempt: WaitingAttempt) -> None:
        """Record that a connect was started for this attempt."""
        self._with_own_connect.add(attempt)

    def had_own_connect(self, attempt: WaitingAttempt) -> bool:
        """Return whether a connect was started for this attempt."""
        return attempt in self._with_own_connect
