"""A client connection: its transport, its state, and the writing of responses.

`client_protocol` creates one for each accepted connection. `request_forwarder` changes its state,
`client_registry` may evict it when the connection limit is reached, and `client_listener` closes it when a
time limit expires and when the process shuts down. Requests are read in `request_processor`.
"""

from __future__ import annotations

import asyncio
import contextlib

from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.client_connection_state import TRANSITIONS, ConnectionState
from load_balancer.net.client.client_registry import ClientRegistry
from load_balancer.net.client.http_server_protocol import HttpServerProtocol
from load_balancer.net.driver.client_messages import ClientResponse
from load_balancer.net.memory_budget import MemoryAccount, MemoryOwner
from load_balancer.net.receive_scheduler import ReceiveState
from load_balancer.net.socket_state import has_unread_bytes, is_closed_by_remote


class ClientConnection:
    """Connection to one client.

    Attributes:
        transport: The event loop's transport.
        http: The HTTP parser and serializer of this connection.
        state: The current state, which determines how received bytes are handled.
        last_progress_at_s: Event loop time of the latest of: the accept, the first byte of a further request,
            a final response, the end of writing the last response.
        has_responded: Whether any final response has been written.
        is_over_limit: Whether the connection exceeds the connection limit, so that each of its requests gets
            a 503.
        receive_state: The state of the connection in the scheduler of received bytes.
        has_scheduled_final_check: Whether the time limit has expired and the final check before the close has
            been scheduled.
        forwarded_request_id: The driver's id of the request that is waiting for its response.
        unsent_account: Charge of the responses that the client has not read.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        http: HttpServerProtocol,
        clients: ClientRegistry[ClientConnection],
        connected_at_s: float,
    ) -> None:
        """Initialize in the state READING and add the connection to the registry.

        Args:
            transport: The event loop's transport.
            http: The HTTP parser and serializer of this connection.
            clients: The registry of open connections. Adding this connection may evict another one.
            connected_at_s: Event loop time at which the connection was accepted.
        """
        self.transport = transport
        self.http = http
        self.state = ConnectionState.READING
        self.last_progress_at_s = connected_at_s
        self.has_responded = False
        self.receive_state = ReceiveState()
        self.has_scheduled_final_check = False
        self.forwarded_request_id: str | None = None
        self.unsent_account = MemoryAccount(clients.memory.budget, MemoryOwner.UNSENT_RESPONSES)
        self._clients = clients
        self._loop = asyncio.get_running_loop()
        self.is_over_limit = clients.add(self)

    @property
    def is_waiting_for_response(self) -> bool:
        """Whether a request has been forwarded to the driver and has no response yet."""
        return self.state is ConnectionState.WAITING_FOR_RESPONSE

    @property
    def is_waiting_for_memory(self) -> bool:
        """Whether the request that is being received waits for memory."""
        return self.state is ConnectionState.WAITING_FOR_MEMORY

    @property
    def is_lingering(self) -> bool:
        """Whether the last response has been written and received bytes are discarded."""
        return self.state is ConnectionState.LINGERING

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has been received since the last response."""
        return not self.is_lingering and self.http.is_between_requests

    @property
    def has_pending_request(self) -> bool:
        """Whether a request has been received, at least in part, and has no response yet."""
        return not self.is_lingering and not self.is_idle

    @property
    def is_writing(self) -> bool:
        """Whether a part of a response has not been written to the socket yet."""
        return self.transport.get_write_buffer_size() > 0

    @property
    def has_slow_request(self) -> bool:
        """Whether a request has been incomplete for longer than a sound client takes to send one."""
        if self.is_waiting_for_response or not self.has_pending_request:
            return False
        return self._loop.time() - self.last_progress_at_s > limits.SLOW_REQUEST_S

    @property
    def is_finished(self) -> bool:
        """Whether the connection is closing and all responses have been written to the socket."""
        is_closing = self.is_lingering or self.transport.is_closing()
        return is_closing and not self.is_writing

    @property
    def is_processing_scheduled(self) -> bool:
        """Whether received bytes will be parsed in a later iteration of the event loop."""
        return self.receive_state.is_queued

    @property
    def has_unprocessed_bytes(self) -> bool:
        """Whether bytes of a request wait to be parsed or read, and the client is still connected.

        A request that waits for memory may be ended at any time.
        """
        if self.is_lingering or self.is_waiting_for_memory:
            return False
        if not (self.is_processing_scheduled or has_unread_bytes(self.transport)):
            return False
        return not is_closed_by_remote(self.transport)

    def is_client_connected(self) -> bool:
        """Return whether the client is still connected, judged by its socket; abort the connection if not."""
        if not self.transport.is_closing() and is_closed_by_remote(self.transport):
            self.transport.abort()
        return not self.transport.is_closing()

    def transition_to(self, state: ConnectionState) -> None:
        """Change the state. The transition must be listed in `TRANSITIONS`."""
        assert state in TRANSITIONS[self.state], f"{self.state.name} to {state.name}"
        self.state = state

    def write_response(self, response: ClientResponse, *, is_last: bool = False) -> bool:
        """Write the final response to the current request; do nothing if the connection is closing.

        Args:
            response: The response.
            is_last: Whether to close the connection after the response.

        Returns:
            Whether bytes of the next request have already been received.
        """
        if self.is_lingering or self.transport.is_closing():
            return False
        if self._clients.is_draining or self.is_over_limit:
            # A pipelined request that has already been received still needs a response.
            is_last = is_last or not (self.http.has_unparsed_bytes or self.has_unprocessed_bytes)
        self.transport.write(self.http.final_response(response, is_last=is_last))
        self.unsent_account.set(self.transport.get_write_buffer_size())
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
        """Respond to an invalid, oversized or rejected request, if no response has been sent, and linger."""
        self._clients.disconnect_poller.stop_polling(self)
        if self.http.can_respond:
            self.write_response(response, is_last=True)
        self.linger()

    def linger(self) -> None:
        """Close the sending side; the connection stays open until the client or a time limit closes it.

        Closing a socket with unread bytes resets the connection, and the client may lose the response.
        Therefore the remaining bytes are read and discarded first.
        """
        if self.is_lingering or self.transport.is_closing():
            return
        self.transition_to(ConnectionState.LINGERING)
        self.http.discard_received()
        self.transport.resume_reading()
        self._clients.mark_unused(self)
        if self.transport.can_write_eof():
            with contextlib.suppress(OSError):  # connection was just reset; the next read reports it
                self.transport.write_eof()

    def abort(self, response: ClientResponse) -> None:
        """Close the connection at once.

        Args:
            response: The response to an incomplete request. A request that has been forwarded to the driver
                gets none.
        """
        if self.has_pending_request and not self.is_waiting_for_response:
            self.reject(response)
        self.transport.abort()
