"""Server side of HTTP/1.1 on a client connection, without I/O: parses requests, serializes responses.

The protocol buffers pipelined bytes in a `receive_buffer`, skips empty lines between requests, and records
when the last parsed bytes were received. Each `client_connection` has one.
"""

from __future__ import annotations

import h11

from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.receive_buffer import BufferedTotal, ReceiveBuffer
from load_balancer.net.driver.client_messages import ClientResponse
from load_balancer.net.http_parser import new_parser
from load_balancer.net.receive_scheduler import expected_parsing_s

LINE_END_BYTES = b"\r\n"

ParsedEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


def _new_h11_connection() -> h11.Connection:
    return new_parser(h11.SERVER, limits.MAX_HEAD_BYTES)


class HttpServerProtocol:
    """Parses requests and serializes responses, one request at a time.

    Attributes:
        received: The bytes that have not been passed to h11 yet.
        last_parsed_received_at_s: Event loop time at which the bytes last passed to h11 were received.
    """

    def __init__(self, total: BufferedTotal, now_s: float) -> None:
        """Initialize without a request.

        Args:
            total: The number of bytes that all connections have buffered.
            now_s: Event loop time.
        """
        self.received = ReceiveBuffer(total)
        self.last_parsed_received_at_s = now_s
        self._h11 = _new_h11_connection()
        self._needs_data = True  # whether h11 cannot return an event without further bytes
        # Bytes that h11 holds: exact between requests and once one is complete, an upper bound within a body.
        self._parser_bytes = 0

    @property
    def has_unparsed_bytes(self) -> bool:
        """Whether received bytes have not been parsed yet."""
        return bool(self.received or self._parser_bytes)

    @property
    def memory_bytes(self) -> int:
        """Memory that received bytes take until they are parsed."""
        return self.received.memory_bytes + self._parser_bytes

    @property
    def buffered_bytes(self) -> int:
        """Upper bound of the received bytes that have not been parsed."""
        return self.received.size_bytes + self._parser_bytes

    @property
    def incomplete_head_bytes(self) -> int:
        """Number of bytes received of a head that is not complete; 0 if no head is being received."""
        is_in_head = self._h11.their_state is h11.IDLE and self._needs_data
        return self._parser_bytes if is_in_head else 0

    @property
    def expected_event_s(self) -> float:
        """Expected time to parse the next event in seconds, by the bytes that it may consist of."""
        expected_s = self.received.expected_parsing_s
        if self._parser_bytes:
            expected_s += expected_parsing_s(self._h11.trailing_data[0])
        return expected_s

    @property
    def is_between_requests(self) -> bool:
        """Whether no part of a request has been received."""
        return self._h11.their_state is h11.IDLE and not self.has_unparsed_bytes

    @property
    def can_respond(self) -> bool:
        """Whether a final response may be sent: none has been sent to the current request."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def receive(self, now_s: float, data: bytes) -> bool:
        """Buffer the bytes of one read; return False if they were only empty lines between requests."""
        if self.is_between_requests:
            data = data.lstrip(LINE_END_BYTES)
        if data:
            self.received.append(now_s, data)
        return bool(data)

    def next_event(self) -> ParsedEvent:
        """Return the next parsed event. Raise h11.RemoteProtocolError if the bytes are not valid HTTP."""
        if self._needs_data and not self.feed():
            return h11.NEED_DATA
        self._skip_empty_lines()
        event = self._h11.next_event()
        self._needs_data = event is h11.NEED_DATA
        if self._needs_data or isinstance(event, h11.EndOfMessage):
            self._parser_bytes = len(self._h11.trailing_data[0])
        return event

    def feed(self) -> bool:
        """Pass the oldest buffered piece to h11, and return whether there was one."""
        if not self.received:
            return False
        piece = self.received.pop()
        self.last_parsed_received_at_s = piece.received_at_s
        self._h11.receive_data(piece.data)
        self._parser_bytes += len(piece.data)
        self._needs_data = False
        return True

    def discard_received(self) -> None:
        """Discard all received bytes. No request or response may follow."""
        self.received.clear()
        self._h11 = _new_h11_connection()
        self._parser_bytes = 0

    def _skip_empty_lines(self) -> None:
        # Empty lines may precede a request, for example after the body of the previous one. h11 rejects them,
        # so the remaining bytes go to a new h11 connection without the empty lines.
        if self._h11.their_state is not h11.IDLE or not self._parser_bytes:
            return
        rest = self._h11.trailing_data[0]
        if rest[:1] not in (b"\r", b"\n"):
            return
        self._h11 = _new_h11_connection()
        rest = rest.lstrip(LINE_END_BYTES)
        self._parser_bytes = len(rest)
        if rest:  # h11 takes empty data for the end of the stream
            self._h11.receive_data(rest)

    def interim_response(self) -> bytes:
        """Return a 100 response if the client is waiting for one, otherwise no bytes."""
        if not self._h11.they_are_waiting_for_100_continue:
            return b""
        return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def final_response(self, response: ClientResponse, *, is_last: bool) -> bytes:
        """Return the serialized final response to the current request.

        Args:
            response: The response.
            is_last: Whether to add `Connection: close`.
        """
        headers = [*response.headers, (b"content-length", b"%d" % len(response.body))]
        if is_last:
            headers.append((b"connection", b"close"))
        parts = [self._h11.send(h11.Response(status_code=response.status, headers=headers))]
        if response.body:
            parts.append(self._h11.send(h11.Data(data=response.body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def start_next_request(self) -> bool:
        """Prepare for the next request, and return whether the connection can be reused."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self._needs_data = not self._parser_bytes
        return True
