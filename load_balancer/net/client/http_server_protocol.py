"""HTTP on one client's connection, without I/O: bytes in, h11's events and the bytes of responses out.

The protocol keeps what came before its turn in a `receive_buffer`, skips empty lines between requests, and
tells when the bytes came that the present request ends with. Each `client_connection` has one.
"""

from __future__ import annotations

import h11

from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.receive_buffer import BufferedTotal, ReceiveBuffer
from load_balancer.net.driver.client_messages import ClientResponse

LINE_END_BYTES = b"\r\n"

ParsedEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


def _new_h11_connection() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.MAX_HEAD_BYTES)


class HttpServerProtocol:
    """Parses requests and serializes responses, one request at a time.

    Attributes:
        received: The bytes that h11 has not got yet.
        last_parsed_received_at_s: When the bytes came that h11 has got last, in the event loop's time.
    """

    def __init__(self, total: BufferedTotal, now_s: float) -> None:
        """Start before the first request.

        Args:
            total: The count of the bytes that all connections have buffered.
            now_s: The event loop's time.
        """
        self.received = ReceiveBuffer(total)
        self.last_parsed_received_at_s = now_s
        self._h11 = _new_h11_connection()

    @property
    def has_unparsed_bytes(self) -> bool:
        """Whether more has come than has been parsed."""
        return bool(self.received or self._h11.trailing_data[0])

    @property
    def is_between_requests(self) -> bool:
        """Whether nothing of a request is here."""
        return self._h11.their_state is h11.IDLE and not self.has_unparsed_bytes

    @property
    def can_respond(self) -> bool:
        """Whether a response may be sent: none has been to the present request."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def receive(self, now_s: float, data: bytes) -> bool:
        """Take what one read brought, and return whether it was more than empty lines between requests."""
        if self.is_between_requests:
            data = data.lstrip(LINE_END_BYTES)
        if data:
            self.received.append(now_s, data)
        return bool(data)

    def next_event(self) -> ParsedEvent:
        """Parse the next part of a request. Raise h11.RemoteProtocolError where it is not HTTP."""
        self._skip_empty_lines()
        return self._h11.next_event()

    def feed(self) -> bool:
        """Hand h11 the next piece that was received, and return whether there was one."""
        if not self.received:
            return False
        piece = self.received.pop()
        self.last_parsed_received_at_s = piece.received_at_s
        self._h11.receive_data(piece.data)
        return True

    def _skip_empty_lines(self) -> None:
        # They may come before a request, as behind the body of the one before; h11 rejects them there.
        rest = self._h11.trailing_data[0]
        if self._h11.their_state is not h11.IDLE or rest[:1] not in (b"\r", b"\n"):
            return
        self._h11 = _new_h11_connection()
        if rest := rest.lstrip(LINE_END_BYTES):  # no bytes would tell h11 that the client has closed
            self._h11.receive_data(rest)

    def interim_response(self) -> bytes:
        """Return the bytes of a 100 where the client waits for one, otherwise none."""
        if not self._h11.they_are_waiting_for_100_continue:
            return b""
        return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def final_response(self, response: ClientResponse, *, is_last: bool) -> bytes:
        """Return the bytes of the final response to the present request.

        Args:
            response: The response.
            is_last: Whether it tells the client that no other one follows.
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
        """Get ready for another request, and return whether one may follow on this connection."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True
