"""One request and its response in HTTP/1.1, without input or output.

A connection to an endpoint has one exchange object, begins it anew for each request, and feeds it what the
endpoint sends.
"""

from __future__ import annotations

from enum import Enum, auto

import h11

from load_balancer.errors import WireError
from load_balancer.net.http_messages import MAX_BODY_BYTES, Headers
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse

MAX_HEAD_BYTES = 16 * 1024  # of a response's status line and headers
MAX_LENGTH_DIGITS = 18  # of a Content-Length: far more than any that is allowed, and quick to parse
MAX_INTERIM_RESPONSES = 16  # responses 1xx before the final one
STATUS_LINE_PREFIX = b"HTTP/1."  # how every response begins


class InvalidResponseError(WireError):
    """The endpoint sent what cannot be a response to this request; the message gives the reason."""


class NoHttpResponseError(InvalidResponseError):
    """What the endpoint sent does not begin like a response."""

    def __init__(self) -> None:
        """State the fault."""
        super().__init__("not a response")


class ResponseTooLongError(InvalidResponseError):
    """The response has, or announces, a body longer than the protocol allows."""

    def __init__(self) -> None:
        """State the fault with the limit."""
        super().__init__(f"body longer than {MAX_BODY_BYTES} bytes")


class TooManyInterimResponsesError(InvalidResponseError):
    """The endpoint sent interim responses (1xx) without an end."""

    def __init__(self) -> None:
        """State the fault with the limit."""
        super().__init__(f"more than {MAX_INTERIM_RESPONSES} interim responses")


class ExchangeState(Enum):
    """Where the exchange on a connection is.

    IDLE goes to WRITING as a request begins, WRITING to AWAITING with the request's last byte, and either of
    them to IDLE as the exchange ends.
    """

    IDLE = auto()
    WRITING = auto()
    AWAITING_RESPONSE = auto()


class HttpExchange:
    """The present request and its response on one connection.

    Attributes:
        state: Where the exchange is.
    """

    def __init__(self) -> None:
        """Start before the first request of a connection."""
        self.state = ExchangeState.IDLE
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._interim_count = 0  # responses 1xx so far

    @property
    def has_interim_response(self) -> bool:
        """Whether an interim response (1xx) to the present request has come."""
        return self._interim_count > 0

    @property
    def has_begun_response(self) -> bool:
        """Whether a part of the final response has come, or of an interim one that is not complete."""
        return self._head is not None or bool(self._http.trailing_data[0])

    def begin(self) -> None:
        """Forget the response to the last request, as the next request is about to be written."""
        self.state = ExchangeState.WRITING
        self._head = None
        self._interim_count = 0
        self._body.clear()

    def request_written(self) -> None:
        """Record that the last byte of the request has been written; do nothing if none is being written."""
        if self.state is ExchangeState.WRITING:
            self.state = ExchangeState.AWAITING_RESPONSE

    def end(self) -> None:
        """End the exchange, with or without its response."""
        self.state = ExchangeState.IDLE

    def encode_request(self, request: UpstreamRequest, headers: Headers) -> bytes:
        """Return the bytes of a request.

        Args:
            request: The request.
            headers: Its headers, in place of those of `request`.

        Raises:
            h11.LocalProtocolError: It cannot be written as HTTP/1.1.
        """
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def receive(self, data: bytes) -> UpstreamResponse | None:
        """Take what the endpoint has sent, with no bytes standing for the end of its stream.

        Returns:
            The response, once its last byte has come; None before.

        Raises:
            InvalidResponseError: It cannot be a response to the request.
            h11.RemoteProtocolError: It is not HTTP/1.1.
        """
        self._http.receive_data(data)
        while True:
            match self._http.next_event():
                case h11.Response() as head:
                    self._accept_head(head)
                case h11.Data(data=part):
                    self._accept_body(part)
                case h11.InformationalResponse():
                    self._accept_interim_response()
                case h11.EndOfMessage() if self._head is not None:
                    return self._response(self._head)
                case _:
                    self._check_response_prefix()
                    return None

    def finish_cycle(self) -> bool:
        """Prepare for the next request on the same connection.

        Returns:
            False if the connection cannot carry one, as a side ends it or surplus bytes have come.
        """
        is_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not is_done or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        return True

    def _accept_head(self, head: h11.Response) -> None:
        length = dict(head.headers).get(b"content-length")
        if length is not None and (len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES):
            raise ResponseTooLongError
        self._head = head

    def _accept_body(self, part: bytes) -> None:
        self._body += part
        if len(self._body) > MAX_BODY_BYTES:  # the protocol allows none, and it would fill the memory
            raise ResponseTooLongError

    def _accept_interim_response(self) -> None:
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES:
            raise TooManyInterimResponsesError

    def _check_response_prefix(self) -> None:
        """Raise an error if what has come cannot become a response.

        h11 waits for the end of the first line, which noise may never have.
        """
        beginning = self._http.trailing_data[0][: len(STATUS_LINE_PREFIX)]
        if self._head is None and not STATUS_LINE_PREFIX.startswith(beginning):
            raise NoHttpResponseError

    def _response(self, head: h11.Response) -> UpstreamResponse:
        return UpstreamResponse(head.status_code, list(head.headers), bytes(self._body))
