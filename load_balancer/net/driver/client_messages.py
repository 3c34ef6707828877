"""Messages between client connections and the driver: a request and its one final response.

The module has no state. `net/client` creates the requests, and the responses to requests that it does not
forward; the driver creates the responses to forwarded requests.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from load_balancer.net.http_messages import Headers


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """The single final response to a request.

    Attributes:
        status: The HTTP status code.
        body: The complete body.
        headers: Additional headers with lower-case names, without length and connection headers.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


# The request was forwarded, or may have been, but there is no endpoint response to pass on.
BAD_GATEWAY = ClientResponse(502)


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete request as received from a client.

    Attributes:
        request_id: The id that the client gave it.
        class_name: The name of its request class in the settings.
        time_remaining_us: How long the client would still wait at `measured_at_s`, microseconds.
        measured_at_s: The event loop's time at which `time_remaining_us` was measured.
        tenant: The tenant that the request belongs to, if the client specified one.
        is_retry: Whether the client marked the request as a retry.
        method: The HTTP method.
        target: The path and query.
        headers: The headers that are forwarded to the endpoint.
        body: The complete body.
        respond: Called with the final response, at most once and never after the request was cancelled.
        is_client_connected: Returns whether the client is still connected, according to the operating system
            at the time of the call.
    """

    request_id: bytes
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
