"""Types of the values exchanged between the driver and the connections to endpoints.

The driver builds the requests, and the connections build the responses.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from load_balancer.messages import Outcome
from load_balancer.net.http_messages import Headers

# An endpoint that responds with one of these statuses and this header has not begun and will not run the
# request.
REJECTING_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
REJECTION_HEADER = (b"srv-declined", b"1")


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an endpoint.

    Attributes:
        method: The HTTP method.
        target: The request target, as the client sent it.
        headers: All headers except the deadline header.
        body: The complete body.
        is_idempotent: Whether the request may run twice. Only such a request may be sent on a connection that
            was idle: the endpoint may have closed it already, and it is then unknown whether the request ran.
        adds_deadline_header: Whether `req-deadline` is added, with the seconds remaining at the time of the
            write.
        is_client_waiting: Returns whether the client is still waiting for the response.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    is_idempotent: bool = field(kw_only=True)
    adds_deadline_header: bool = field(default=True, kw_only=True)
    is_client_waiting: Callable[[], bool] = field(default=lambda: True, kw_only=True)


# What attempts keep of their requests once these are written: the rest takes memory, and an attempt may
# outlive its request.
WRITTEN_IDEMPOTENT_REQUEST = UpstreamRequest(b"", b"", [], b"", is_idempotent=True)
WRITTEN_UNSAFE_REQUEST = UpstreamRequest(b"", b"", [], b"", is_idempotent=False)


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete final response from an endpoint.

    Attributes:
        status: The status code.
        headers: All headers.
        body: The complete body.
    """

    status: int
    headers: Headers
    body: bytes

    @property
    def outcome(self) -> Outcome:
        """The outcome of the attempt that received this response, by the protocol's status table."""
        if self.status == HTTPStatus.OK:
            return Outcome.OK
        if 400 <= self.status < 500:
            return Outcome.UNUSABLE
        if self.status in REJECTING_STATUSES and REJECTION_HEADER in self.headers:
            return Outcome.REJECTED
        return Outcome.ERROR


# Callback at the end of an attempt, with the response if there is one. Called exactly once.
OnOutcome = Callable[[Outcome, UpstreamResponse | None], None]
