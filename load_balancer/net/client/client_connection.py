"""Where one client's connection stands: its transport, its state, and what may be done with it now.

`client_protocol` makes one for each accepted connection. `request_forwarder` moves it from state to state,
`client_registry` asks whether it may be closed to make room, and `client_listener` closes it at its time
limits and at the end of the process. Responses are written here, requests are read in `request_processor`.
"""

from __future__ import annotations

import asyncio
import contextlib

from load_balancer.net.client.client_connection_state import TRANSITIONS, ConnectionState
from load_balancer.net.client.client_registry import ClientRegistry
from load_balancer.net.client.http_server_protocol import HttpServerProtocol
from load_balancer.net.driver.client_messages import ClientResponse
from load_balancer.net.socket_state import has_unread_bytes, is_closed_by_remote


class ClientConnection:
    """One client's connection.

    Attributes:
        transport: The event loop's transport.
        http: HTTP on this connection.
        state: What the connection does with the bytes that come.
        last_progress_at_s: The event loop's time of the connect, of a request's first byte or of a response,
            whichever was last.
        has_responded: Whether any final response has been written.
        is_over_limit: Whether there are too many connections, so that each request is answered with 503.
        is_processing_scheduled: Whether what has come is parsed in the next turn of the event loop.
        has_scheduled_final_check: Whether the connection is past its time limit and is checked once more before it is
            closed.
        forwarded_request_id: The driver's id of the request that waits for its response.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        http: HttpServerProtocol,
        clients: ClientRegistry[ClientConnection],
        connected_at_s: float,
    ) -> None:
        """Start to wait for a request, and register the connection.

        Args:
            transport: The event loop's transport.
            http: HTTP on this connection.
            clients: All open connections. Another one may be closed to make room for this one.
            connected_at_s: The event loop's time of the connect.
        """
        self.transport = transport
        self.http = http
        self.state = ConnectionState.READING
        self.last_progress_at_s = connected_at_s
        self.has_responded = False
        self.is_processing_scheduled = False
        self.has_scheduled_final_check = False
        self.forwarded_request_id: str | None = None
        self._clients = clients
        self._loop = asyncio.get_running_loop()
        self.is_over_limit = clients.add(self)

    @property
    def is_waiting_for_response(self) -> bool:
        """Whether a request is with the driver."""
        return self.state is ConnectionState.WAITING_FOR_RESPONSE

    @property
    def is_lingering(self) -> bool:
        """Whether the last response has been written and what still comes is dropped."""
        return self.state is ConnectionState.LINGERING

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request is here."""
        return not self.is_lingering and self.http.is_between_requests

    @property
    def has_pending_request(self) -> bool:
        """Whether a part of a request has come that has no response yet."""
        return not self.is_lingering and not self.is_idle

    @property
    def is_writing(self) -> bool:
        """Whether the system has not taken all of a response yet."""
        return self.transport.get_write_buffer_size() > 0

    @property
    def is_finished(self) -> bool:
        """Whether the connection is closing, with all responses written."""
        is_closing = self.is_lingering or self.transport.is_closing()
        return is_closing and not self.is_writing

    @property
    def has_unprocessed_bytes(self) -> bool:
        """Whether more of a request has come, from a client that is still there."""
        if self.is_lingering or not (self.is_processing_scheduled or has_unread_bytes(self.transport)):
            return False
        return not is_closed_by_remote(self.transport)

    def is_client_connected(self) -> bool:
        """Return whether the client is still there, by what the system knows now; abort if it is not."""
        if not self.transport.is_closing() and is_closed_by_remote(self.transport):
            self.transport.abort()
        return not self.transport.is_closing()

    def transition_to(self, state: ConnectionState) -> None:
        """Go to another state, which has to be one that may follow the present one."""
        assert state in TRANSITIONS[self.state], f"{self.state.name} to {state.name}"
        self.state = state

    def write_response(self, response: ClientResponse, *, is_last: bool = False) -> bool:
        """Write the final response to the present request; do nothing where no response may follow.

        Args:
            response: The response.
            is_last: Whether the connection is to be closed after it.

        Returns:
            Whether bytes of the next request are here already.
        """
        if self.is_lingering or self.transport.is_closing():
            return False
        if self._clients.is_draining or self.is_over_limit:
            # A request that has come behind this one needs a response of its own.
            is_last = is_last or not (self.http.has_unparsed_bytes or self.has_unprocessed_bytes)
        self.transport.write(self.http.final_response(response, is_last=is_last))
        self.last_progress_at_s = self._loop.time()
        self.has_responded = True
        if not self.http.start_next_request():
            self.linger()
            return False
        if self.http.has_unparsed_bytes:
            return True
        self._clients.mark_idle(self)
        return False

    def reject(self, response: ClientResponse) -> None:
        """Respond to what is not HTTP, too large or not to be served, and linger."""
        self._clients.disconnect_poller.stop_polling(self)
        if self.http.can_respond:
            self.write_response(response, is_last=True)
        self.linger()

    def linger(self) -> None:
        """Close the proxy's side, and the connection once the client has closed its side.

        A close over unread bytes resets the connection, and the client may lose the response: the rest is
        read and dropped first.
        """
        if self.is_lingering or self.transport.is_closing():
            return
        self.transition_to(ConnectionState.LINGERING)
        self.http.received.clear()
        self.transport.resume_reading()
        self._clients.mark_unused(self)
        if self.transport.can_write_eof():
            with contextlib.suppress(OSError):  # it has just been reset, which the next read reports
                self.transport.write_eof()

    def abort(self, response: ClientResponse) -> None:
        """Close the connection at once.

        Args:
            response: What an incomplete request gets; one that is with the driver gets none.
        """
        if self.has_pending_request and not self.is_waiting_for_response:
            self.reject(response)
        self.transport.abort()
