"""HTTP/1.1 codec for one request and its response at a time; it performs no I/O.

Each connection to an endpoint owns one exchange object. It begins a new exchange for each request and passes
the bytes received from the endpoint to it.
"""

from __future__ import annotations

from collections import deque
from enum import Enum, auto

import h11

from load_balancer.errors import WireError
from load_balancer.net.http_messages import MAX_BODY_BYTES, Headers
from load_balancer.net.http_parser import new_parser
from load_balancer.net.receive_scheduler import expected_parsing_s
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse

MAX_HEAD_BYTES = 16 * 1024  # limit on the status line and headers of a response
# Limit on the digits of a Content-Length: far above any allowed value, and quick to parse.
MAX_LENGTH_DIGITS = 18
# Parser events (a head, a part of a body, an end of message) handled in one step. The limit on the body alone
# would allow tens of thousands.
MAX_EVENTS_PER_STEP = 100
# The parser gets this many bytes at a time: it checks its limit on a head only when it needs further bytes.
MAX_PIECE_BYTES = 16 * 1024
MAX_INTERIM_RESPONSES = 16  # limit on the interim responses (1xx) before the final response
STATUS_LINE_PREFIX = b"HTTP/1."  # the first bytes of every response


class InvalidResponseError(WireError):
    """The endpoint sent bytes that are not a valid response; the message states the reason."""


class NoHttpResponseError(InvalidResponseError):
    """The received bytes do not begin with an HTTP/1.x status line."""

    def __init__(self) -> None:
        """Set the error message."""
        super().__init__("invalid response: does not begin with an HTTP/1.x status line")


class ResponseTooLongError(InvalidResponseError):
    """The body of the response, or its Content-Length, exceeds the limit of the protocol."""

    def __init__(self) -> None:
        """Set the error message with the limit."""
        super().__init__(f"invalid response: body longer than {MAX_BODY_BYTES} bytes")


class TooManyInterimResponsesError(InvalidResponseError):
    """The endpoint sent too many interim responses (1xx) to one request."""

    def __init__(self) -> None:
        """Set the error message with the limit."""
        super().__init__(f"invalid response: more than {MAX_INTERIM_RESPONSES} interim responses")


class ExchangeState(Enum):
    """State of the exchange on a connection.

    IDLE changes to WRITING when a request begins, and WRITING to AWAITING_RESPONSE when the last byte of the
    request has been written. Both change to IDLE when the exchange ends.
    """

    IDLE = auto()
    WRITING = auto()
    AWAITING_RESPONSE = auto()


class HttpExchange:
    """The current request and its response on one connection.

    Attributes:
        state: The state of the exchange.
    """

    def __init__(self) -> None:
        """Create an idle exchange for a new connection."""
        self.state = ExchangeState.IDLE
        self._http = new_parser(h11.CLIENT, MAX_HEAD_BYTES)
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._interim_count = 0  # interim responses (1xx) received so far
        self._unparsed_pieces: deque[bytes] = deque()  # not passed to h11 yet; an empty one is the end
        self._has_unhandled_events = False  # whether h11 may return further events without further bytes
        self._expected_partial_event_s = 0.0  # expected time to parse the bytes that h11 has not parsed yet
        self._unparsed_bytes = 0  # in the pieces
        self._parser_bytes = 0  # bytes that h11 has not parsed

    @property
    def has_unprocessed_bytes(self) -> bool:
        """Whether received bytes, or the end of the stream, wait for the next step."""
        return self._has_unhandled_events or bool(self._unparsed_pieces)

    @property
    def memory_bytes(self) -> int:
        """Memory that the received part of a response takes."""
        return self._unparsed_bytes + self._parser_bytes + len(self._body)

    @property
    def max_response_bytes(self) -> int:
        """The largest size that the current response may have, by its head if that has been received."""
        if self._head is None:
            return MAX_HEAD_BYTES + MAX_PIECE_BYTES + MAX_BODY_BYTES
        length = dict(self._head.headers).get(b"content-length")
        return MAX_PIECE_BYTES + (MAX_BODY_BYTES if length is None else int(length))

    @property
    def expected_event_s(self) -> float:
        """Expected time to parse the next event in seconds, by the bytes that it may consist of."""
        expected_s = expected_parsing_s(self._unparsed_pieces[0]) if self._unparsed_pieces else 0.0
        return expected_s + self._expected_partial_event_s

    @property
    def has_interim_response(self) -> bool:
        """Whether an interim response (1xx) to the current request has been received."""
        return self._interim_count > 0

    @property
    def has_begun_response(self) -> bool:
        """Whether a part of the final response, or of an incomplete interim response, has been received."""
        return self._head is not None or bool(self._http.trailing_data[0])

    def begin(self) -> None:
        """Begin the exchange of the next request, and discard the response to the previous one."""
        self.state = ExchangeState.WRITING
        self._head = None
        self._interim_count = 0
        self._expected_partial_event_s = 0.0
        self._body.clear()

    def request_written(self) -> None:
        """Record that the last byte of the request has been written; do nothing outside the WRITING state."""
        if self.state is ExchangeState.WRITING:
            self.state = ExchangeState.AWAITING_RESPONSE

    def end(self) -> None:
        """End the exchange, with or without its response, and discard unprocessed bytes."""
        self.state = ExchangeState.IDLE
        self._has_unhandled_events = False
        self._parser_bytes = 0
        self._body = bytearray()  # an idle connection keeps no memory of its last response
        if self._unparsed_pieces:
            self._unparsed_pieces.clear()
            self._unparsed_bytes = 0

    def encode_request(self, request: UpstreamRequest, headers: Headers) -> bytes:
        """Return the encoded bytes of a request.

        Args:
            request: The request.
            headers: The headers to send instead of those of `request`.

        Raises:
            h11.LocalProtocolError: The request cannot be encoded as HTTP/1.1.
        """
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def receive(self, data: bytes) -> None:
        """Buffer bytes received from the endpoint; empty `data` means the end of the stream."""
        self._unparsed_bytes += len(data)
        if len(data) <= MAX_PIECE_BYTES:
            self._unparsed_pieces.append(data)
            return
        for start in range(0, len(data), MAX_PIECE_BYTES):
            self._unparsed_pieces.append(data[start : start + MAX_PIECE_BYTES])

    def process(self) -> UpstreamResponse | None:
        """Process up to `MAX_EVENTS_PER_STEP` parser events of the buffered bytes, with at most one head.

        Returns:
            The final response if it is complete, else None.

        Raises:
            InvalidResponseError: The bytes are not a valid response to the request.
            h11.RemoteProtocolError: The bytes are not valid HTTP/1.1.
        """
        if not self._has_unhandled_events:
            self._feed_parser()
        self._has_unhandled_events = True
        for _ in range(MAX_EVENTS_PER_STEP):
            match self._http.next_event():
                case h11.Response() as head:
                    self._accept_head(head)
                case h11.Data(data=part):
                    self._accept_body(part)
                case h11.InformationalResponse():
                    self._accept_interim_response()
                    break  # the next head may take as long to parse again
                case h11.EndOfMessage() if self._head is not None:
                    self._has_unhandled_events = False
                    return self._response(self._head)
                case _:
                    self._check_response_prefix()
                    if not self._feed_parser():
                        self._has_unhandled_events = False
                        break
        unparsed = self._http.trailing_data[0]
        self._parser_bytes = len(unparsed)
        self._expected_partial_event_s = expected_parsing_s(unparsed)
        return None

    def _feed_parser(self) -> bool:
        """Pass the oldest buffered piece to h11, and return whether there was one."""
        if not self._unparsed_pieces:
            return False
        piece = self._unparsed_pieces.popleft()
        self._unparsed_bytes -= len(piece)
        self._http.receive_data(piece)
        return True

    def finish_cycle(self) -> bool:
        """Prepare for the next request on the same connection.

        Returns:
            False if the connection cannot carry another request, because either side closes it, the endpoint
            has ended the stream, or it sent bytes after the response.
        """
        is_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        surplus_bytes, has_ended = self._http.trailing_data
        if not is_done or has_ended or surplus_bytes or self._unparsed_pieces:
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
        if len(self._body) > MAX_BODY_BYTES:  # not allowed by the protocol, and would exhaust memory
            raise ResponseTooLongError

    def _accept_interim_response(self) -> None:
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES:
            raise TooManyInterimResponsesError

    def _check_response_prefix(self) -> None:
        """Raise an error if the received bytes cannot be the beginning of a response.

        h11 waits for the end of the first line, which arbitrary bytes may never contain.
        """
        beginning = self._http.trailing_data[0][: len(STATUS_LINE_PREFIX)]
        if self._head is None and not STATUS_LINE_PREFIX.startswith(beginning):
            raise NoHttpResponseError

    def _response(self, head: h11.Response) -> UpstreamResponse:
        return UpstreamResponse(head.status_code, list(head.headers), bytes(self._body))
