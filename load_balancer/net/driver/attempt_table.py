"""The attempts whose outcome is not known yet, by the request that they belong to.

An attempt may outlive its request: once it is completely written, only the policy may cancel it.
"""

from __future__ import annotations

from typing import NamedTuple

from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt


class AttemptKey(NamedTuple):
    """One attempt of one request.

    Attributes:
        request_id: The request's id at the driver.
        number: Counts from 0, in the order of the request's attempts.
    """

    request_id: str
    number: int


class AttemptTable:
    """The attempts in flight.

    Attributes:
        in_flight: Each attempt that has no outcome yet.
    """

    def __init__(self) -> None:
        """Start with no attempt."""
        self.in_flight: dict[AttemptKey, UpstreamAttempt] = {}

    def cancel_unsent(self, request_id: str, attempt_count: int) -> None:
        """Drop the attempts of a request that nobody waits for, unless they are completely written.

        An endpoint would work on them for nothing. One that is written can only be cancelled, which is for
        the policy to decide where the settings allow it.

        Args:
            request_id: The request's id at the driver.
            attempt_count: How many attempts the request has had, those that have ended included.
        """
        for number in range(attempt_count):
            attempt = self.in_flight.get(AttemptKey(request_id, number))
            if attempt is not None:
                attempt.cancel_if_unsent()
