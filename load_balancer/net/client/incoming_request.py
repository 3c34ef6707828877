"""The request that is being read on one connection: its head once that has come, and its body so far."""

from __future__ import annotations

from collections.abc import Mapping

import h11

from load_balancer import messages
from load_balancer.net.client.http_request import BadRequestError, RequestHead, check_framing, read_head
from load_balancer.net.http_messages import MAX_BODY_BYTES, Headers

READINESS_PATH = b"/ready"


class IncomingRequest:
    """The parts of one request, in the order in which they come.

    Attributes:
        head: The checked head; None for a readiness check, and between requests.
        body: What has come of the body.
    """

    def __init__(self, classes: Mapping[str, messages.RequestClass]) -> None:
        """Start between requests.

        Args:
            classes: The request classes of the settings, by name.
        """
        self.head: RequestHead | None = None
        self.body = bytearray()
        self._classes = classes

    def begin(self, event: h11.Request) -> None:
        """Begin a request by its head.

        Args:
            event: The request line and headers as h11 has read them.

        Raises:
            BadRequestError: The head is malformed or does not fit its request class.
        """
        self.body.clear()
        path = event.target.partition(b"?")[0]
        if path == READINESS_PATH:
            check_framing(event)
        else:
            self.head = read_head(event, self._classes)

    def add_body(self, data: bytes) -> None:
        """Add a part of the body.

        Raises:
            BadRequestError: The body is too long.
        """
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            raise BadRequestError(413, "the body is too long")

    def forwarded_headers(self, head: RequestHead) -> Headers:
        """Return the headers that go to the endpoint, those of the head and the length of the body."""
        headers = list(head.headers)
        if self.body or head.method != b"GET":
            headers.append((b"content-length", b"%d" % len(self.body)))
        return headers

    def clear(self) -> None:
        """Forget the request, which has its response."""
        self.head = None
        self.body.clear()
