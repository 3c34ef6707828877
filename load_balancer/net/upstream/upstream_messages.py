"""The typed values that pass between the driver and the connections to endpoints.

They hold no state and make no decision. The driver builds requests, the connections build responses.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from load_balancer.messages import Outcome
from load_balancer.net.http_messages import Headers

# With these statuses and this header an endpoint says that it has not begun the request and never will.
REJECTING_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
REJECTION_HEADER = (b"srv-declined", b"1")


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it is sent to an endpoint.

    Attributes:
        method: The HTTP method.
        target: The request target, as the client sent it.
        headers: All headers but the deadline.
        body: The complete body.
        is_idempotent: Whether it may run twice. Only such a request may go on a connection that was idle:
            that may turn out closed once the request is written, and whether it ran is then unknown.
        adds_deadline_header: Whether `req-deadline` is added, with the seconds left as it is written.
        is_client_waiting: Returns whether the client still waits for the response at the moment of the call.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    is_idempotent: bool = field(kw_only=True)
    adds_deadline_header: bool = field(default=True, kw_only=True)
    is_client_waiting: Callable[[], bool] = field(default=lambda: True, kw_only=True)


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete final response of an endpoint.

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
        """The outcome of the attempt that got this response, by the protocol's table of statuses."""
        if self.status == HTTPStatus.OK:
            return Outcome.OK
        if 400 <= self.status < 500:
            return Outcome.UNUSABLE
        if self.status in REJECTING_STATUSES and REJECTION_HEADER in self.headers:
            return Outcome.REJECTED
        return Outcome.ERROR


# Called once, at the end of an attempt, with the response if there is one.
OnOutcome = Callable[[Outcome, UpstreamResponse | None], None]
