"""The request that is being received on a client connection."""

from __future__ import annotations

from collections.abc import Mapping

import h11

from load_balancer import messages
from load_balancer.net.client.http_request import (
    BadRequestError,
    RequestHead,
    check_framing,
    max_body_bytes,
    read_head,
)
from load_balancer.net.http_messages import MAX_BODY_BYTES, Headers

READINESS_PATH = b"/ready"


class IncomingRequest:
    """Collects the head and body of one request at a time.

    Attributes:
        head: The validated head; None for a readiness check and between requests.
        body: The part of the body received so far.
        max_body_bytes: The largest size that the body may have.
    """

    def __init__(self, classes: Mapping[str, messages.RequestClass]) -> None:
        """Initialize without a request.

        Args:
            classes: The request classes of the settings, by name.
        """
        self.head: RequestHead | None = None
        self.body = bytearray()
        self.max_body_bytes = 0
        self._classes = classes

    def begin(self, event: h11.Request) -> None:
        """Start a request with its head.

        Args:
            event: The request line and headers as parsed by h11.

        Raises:
            BadRequestError: The head is malformed or does not fit its request class.
        """
        self.body.clear()
        path = event.target.partition(b"?")[0]
        if path == READINESS_PATH:
            self.max_body_bytes = max_body_bytes(check_framing(event))
        else:
            self.head = read_head(event, self._classes)
            self.max_body_bytes = self.head.max_body_bytes

    def add_body(self, data: bytes) -> None:
        """Append a part of the body.

        Raises:
            BadRequestError: The body exceeds the limit.
        """
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            raise BadRequestError(413, "body exceeds the limit")

    def take_body(self) -> bytes:
        """Return the complete body, and keep no copy of it."""
        body = bytes(self.body)
        self.body.clear()
        return body

    def forwarded_headers(self, head: RequestHead) -> Headers:
        """Return the headers for the endpoint: those of the head, and the content length except for a GET."""
        headers = list(head.headers)
        if self.body or head.method != b"GET":
            headers.append((b"content-length", b"%d" % len(self.body)))
        return headers

    def clear(self) -> None:
        """Discard the request after its response."""
        self.head = None
        self.max_body_bytes = 0
        self.body.clear()
