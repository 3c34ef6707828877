"""Table of the attempts whose outcome is not known yet.

An attempt may outlive its request: once it is completely written, only the policy may cancel it.
"""

from __future__ import annotations

from typing import NamedTuple

from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt


class AttemptKey(NamedTuple):
    """Key of one attempt of one request.

    Attributes:
        request_id: The request's id in the driver.
        number: The position among the request's attempts, from 0.
    """

    request_id: str
    number: int


class AttemptTable:
    """Table of the attempts in flight.

    Attributes:
        in_flight: The attempts that have no outcome yet, by key.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.in_flight: dict[AttemptKey, UpstreamAttempt] = {}

    def cancel_unsent(self, request_id: str, attempt_count: int) -> None:
        """Cancel the attempts of an ended request, except those that are completely written.

        If the others were written later, an endpoint would process them for nothing. For a completely written
        attempt, the policy decides whether to cancel it, as the settings may not allow that.

        Args:
            request_id: The request's id in the driver.
            attempt_count: The number of attempts of the request, including ended ones.
        """
        for number in range(attempt_count):
            attempt = self.in_flight.get(AttemptKey(request_id, number))
            if attempt is not None:
                attempt.cancel_if_unsent()
