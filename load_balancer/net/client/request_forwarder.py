"""Forwards complete requests to the driver and the driver's responses to the client.

`request_processor` calls the forwarder with each complete request, the driver with each response.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.client_connection_state import ConnectionState
from load_balancer.net.client.client_registry import ClientRegistry
from load_balancer.net.client.http_request import BadRequestError, RequestHead
from load_balancer.net.client.http_response import SERVICE_UNAVAILABLE
from load_balancer.net.client.incoming_request import IncomingRequest
from load_balancer.net.client.request_memory import RequestMemoryState, request_cost_bytes
from load_balancer.net.driver.client_messages import ClientRequest, ClientResponse
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.event_counters import EventKind


class RequestForwarder:
    """Forwards the requests of one connection and ensures that each gets one final response."""

    def __init__(
        self,
        connection: ClientConnection,
        incoming: IncomingRequest,
        memory_state: RequestMemoryState,
        clients: ClientRegistry[ClientConnection],
        driver: EventLoopDriver,
    ) -> None:
        """Initialize without a request.

        Args:
            connection: The client connection.
            incoming: The request that is being received on the connection.
            memory_state: What the connection holds for its requests.
            clients: The registry of open connections.
            driver: The driver that requests are forwarded to.
        """
        self._memory_state = memory_state
        self._connection = connection
        self._incoming = incoming
        self._clients = clients
        self._driver = driver
        self._loop = asyncio.get_running_loop()

    def handle_request(self, on_next_request: Callable[[], None]) -> None:
        """Respond to a complete request, or forward it to the driver.

        Args:
            on_next_request: Called after the response if bytes of the next request have already been
                received. The callback is not kept longer than the request: otherwise a closed connection
                and its handlers would form a reference cycle.

        Raises:
            BadRequestError: The same id is in use.
        """
        self._clients.mark_active(self._connection)
        head = self._incoming.head
        if head is None:  # readiness check
            is_ready = self._driver.is_ready and not self._clients.is_shutting_down
            self._respond(on_next_request, ClientResponse(200 if is_ready else 503))
            return
        if self._connection.is_over_limit:
            self._respond(on_next_request, SERVICE_UNAVAILABLE)
            return
        self._check_id(head)
        if head.is_unsafe and not self._driver.can_retain_id():
            self._clients.counters.count(EventKind.ID_TABLE_FULL)
            self._respond(on_next_request, SERVICE_UNAVAILABLE)
            return
        self._forward(head, on_next_request)

    def _check_id(self, head: RequestHead) -> None:
        """Raise BadRequestError if a request with this id is open, or may still be running or have run."""
        if head.request_id in self._clients.open_request_ids:
            # An endpoint would take this request for a retry of the open one, and might drop it.
            raise BadRequestError(409, "Req-Id is already used by an open request")
        if self._driver.is_id_in_use(head.request_id):
            self._clients.counters.count(EventKind.ID_IN_USE)
            # A 429 or 503 would promise that nothing has run.
            raise BadRequestError(409, "Req-Id was used by a request that may have run")

    def reject(self, response: ClientResponse) -> None:
        """End the current request with an error response and linger."""
        self._end_request()
        self._connection.forwarded_request_id = None
        self._connection.reject(response)

    def cancel_open_request(self) -> None:
        """Cancel the open request after the connection is lost. Do nothing if no request is open."""
        if not self._connection.is_waiting_for_response:
            self._incoming.clear()
            return
        self._clients.counters.count(EventKind.CLIENT_LEFT)
        self._end_request()
        if self._connection.forwarded_request_id is not None:
            self._driver.cancel_request(self._connection.forwarded_request_id)

    def _forward(self, head: RequestHead, on_next_request: Callable[[], None]) -> None:
        connection = self._connection
        client_request = self._to_client_request(head, on_next_request)
        if not connection.is_client_connected():
            return
        if len(client_request.body) < head.max_body_bytes:  # the size of a chunked body is known only now
            cost_bytes = request_cost_bytes(len(client_request.body), head.size_bytes)
            self._clients.memory.settle(self._memory_state, cost_bytes)
        self._clients.open_request_ids.add(head.request_id)
        connection.transition_to(ConnectionState.WAITING_FOR_RESPONSE)
        request_id = self._driver.accept_request(client_request)
        if connection.is_waiting_for_response:  # the driver may have responded already
            connection.forwarded_request_id = request_id

    def _to_client_request(self, head: RequestHead, on_next_request: Callable[[], None]) -> ClientRequest:
        # The time remaining counts from the receipt of the last byte, also if the request waited behind
        # another one.
        now_s = self._loop.time()
        received_at_s = self._connection.http.last_parsed_received_at_s
        if self._memory_state.waited_from_s is not None:
            # Bytes that arrived while the connection was not read count as received when the wait began.
            received_at_s = min(received_at_s, self._memory_state.waited_from_s)
        waited_s = now_s - received_at_s
        headers = self._incoming.forwarded_headers(head)
        return ClientRequest(
            request_id=head.request_id,
            class_name=head.class_name,
            time_remaining_us=round(1e6 * max(0.0, head.time_remaining_s - waited_s)),
            measured_at_s=now_s,
            tenant=head.tenant,
            is_retry=head.is_retry,
            method=head.method,
            target=head.target,
            headers=headers,
            body=self._incoming.take_body(),
            respond=partial(self._respond, on_next_request),
            is_client_connected=self._connection.is_client_connected,
        )

    def _respond(self, on_next_request: Callable[[], None], response: ClientResponse) -> None:
        """Write the final response to the current request."""
        self._end_request()
        self._connection.forwarded_request_id = None
        if self._connection.write_response(response):
            on_next_request()

    def _end_request(self) -> None:
        """Remove the current request: it is no longer open."""
        head = self._incoming.head
        if self._connection.is_waiting_for_response:
            if head is not None:
                self._clients.open_request_ids.discard(head.request_id)
            self._connection.transition_to(ConnectionState.READING)
        self._incoming.clear()
        self._clients.memory.release(self._memory_state, self._connection.http.memory_bytes)
        self._clients.disconnect_poller.stop_polling(self._connection)
