"""What client connections and the driver hand to each other: a request and its one final response.

The module holds no state. `net/client` builds requests, the driver builds responses.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from load_balancer.net.http_messages import Headers


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """The one final response to a request.

    Attributes:
        status: The HTTP status code.
        body: The whole body.
        headers: Further headers, names in lower case; length and connection headers are not among them.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


# The request was forwarded, or may have been, and no endpoint's response can be passed on.
BAD_GATEWAY = ClientResponse(502)


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete request as a client sent it.

    Attributes:
        class_name: The request class, one of those in the settings.
        time_remaining_us: Microseconds for which the client still waited at `measured_at_s`.
        measured_at_s: The event loop's time at which `time_remaining_us` was measured.
        tenant: The tenant that the request belongs to, if the client named one.
        is_retry: Whether the client marked the request as a retry of its own.
        method: The HTTP method.
        target: The path with its query.
        headers: The headers that are forwarded to the endpoint.
        body: The whole body.
        respond: Takes the final response. It is called at most once, and never after the request has been
            cancelled.
        is_client_connected: Tells whether the client is still connected, by what the system knows at the
            moment of the call.
    """

    class_name: str
    time_remaining_us: int
    measured_at_s: float
    tenant: str | None
    is_retry: bool
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    respond: Callable[[ClientResponse], None]
    is_client_connected: Callable[[], bool]
