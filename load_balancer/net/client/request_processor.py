"""Parses the bytes of a client connection into requests, one at a time.

A connection has one open request at a time; pipelined bytes wait in its `http_server_protocol`.
`client_protocol` passes received bytes to the processor; the scheduler of received bytes decides when they
are parsed; complete requests go to `request_forwarder`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping

import h11

from load_balancer import messages
from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.client.client_connection_state import ConnectionState
from load_balancer.net.client.client_registry import ClientRegistry
from load_balancer.net.client.http_request import BadRequestError
from load_balancer.net.client.http_response import INTERNAL_SERVER_ERROR
from load_balancer.net.client.http_server_protocol import ParsedEvent
from load_balancer.net.client.incoming_request import IncomingRequest
from load_balancer.net.client.read_pacer import SMALL_PIECE_BYTES
from load_balancer.net.client.request_forwarder import RequestForwarder
from load_balancer.net.client.request_memory import request_cost_bytes
from load_balancer.net.driver.client_messages import ClientResponse
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.event_counters import EventKind
from load_balancer.net.http_parser import forget_frames
from load_balancer.net.receive_scheduler import ReceiveScheduler, ReceiveState
from load_balancer.net.socket_state import unread_byte_count

log = logging.getLogger(__name__)


class RequestProcessor:
    """Parses the requests of one connection.

    Attributes:
        receive_state: The state of the connection in the scheduler of received bytes.
    """

    def __init__(
        self,
        connection: ClientConnection,
        clients: ClientRegistry[ClientConnection],
        driver: EventLoopDriver,
        classes: Mapping[str, messages.RequestClass],
        scheduler: ReceiveScheduler,
    ) -> None:
        """Initialize without a request.

        Args:
            connection: The client connection.
            clients: The registry of open connections.
            driver: The driver that requests are forwarded to.
            classes: The request classes of the settings, by name.
            scheduler: Decides when received bytes are processed.
        """
        self.receive_state: ReceiveState = connection.receive_state
        self._scheduler = scheduler
        self._connection = connection
        self._transport = connection.transport
        self._http = connection.http
        self._clients = clients
        self._incoming = IncomingRequest(classes)
        self._memory = clients.memory
        self._memory_state = clients.memory.add(self)
        self._forwarder = RequestForwarder(connection, self._incoming, self._memory_state, clients, driver)
        self._loop = asyncio.get_running_loop()
        self._request_began_at_s = 0.0  # first byte of the request that is being received
        self._received_at_s = 0.0  # latest byte

    def receive(self, data: memoryview) -> None:
        """Process the bytes of one read. They are copied before the method returns."""
        connection = self._connection
        if connection.is_lingering or self._transport.is_closing():
            return
        now_s = self._loop.time()
        was_idle = connection.is_idle
        if not self._http.receive(now_s, bytes(data)):
            return
        self._received_at_s = now_s
        if was_idle or connection.is_waiting_for_response:  # bytes of the next request
            self._request_began_at_s = now_s
        if was_idle and connection.has_responded:
            connection.last_progress_at_s = now_s
            self._clients.mark_active(connection)
        self._scheduler.submit(self)
        if self.receive_state.is_queued:  # further bytes may be received before the next step
            self._pause_or_resume_reading()
            self._update_memory()
        if len(data) < SMALL_PIECE_BYTES and self._is_request_incomplete:
            self._clients.read_pacer.count_small_read(self)
            self._pause_or_resume_reading()

    @property
    def _is_request_incomplete(self) -> bool:
        """Whether the latest bytes belong to a request that is not complete, or that waits to be parsed."""
        if self._connection.is_lingering or self._transport.is_closing():
            return False
        is_receiving = self._connection.state is ConnectionState.READING and not self._connection.is_idle
        return is_receiving or bool(self._http.received)

    def resume_after_pause(self) -> None:
        """Read the connection again after it was paused for sending tiny pieces."""
        if not (self._transport.is_closing() or self._connection.is_lingering):
            self._pause_or_resume_reading()

    def resume(self) -> None:
        """Continue after the previous response has been written out."""
        self._scheduler.submit(self)

    @property
    def expected_step_s(self) -> float:
        """Expected duration of the next step in seconds."""
        return self._http.expected_event_s

    def process_received(self) -> bool:
        """Parse received bytes up to the end of one request; called by the scheduler.

        One step handles at most one request and `MAX_EVENTS_PER_ITERATION` parser events: a client may send
        thousands of requests or chunks at once.

        Returns:
            Whether further bytes can be parsed now.
        """
        if self._transport.is_closing():  # requests pipelined before the disconnect are not forwarded
            return False
        has_more = self._parse_or_reject()
        if self._transport.is_closing():
            return False
        connection = self._connection
        if connection.is_idle and connection.has_responded and not connection.is_writing:
            self._clients.mark_idle(connection)  # only empty lines were buffered
        if not connection.is_lingering:
            self._limit_incomplete_head()
        self._pause_or_resume_reading()
        self._update_memory()
        return has_more

    def _parse_or_reject(self) -> bool:
        """Parse received bytes and reject an invalid request; return whether parsing can go on."""
        try:
            return self._parse_events()
        except h11.RemoteProtocolError as error:
            forget_frames(error)
            self._clients.counters.count(EventKind.REQUEST_INVALID)
            self._forwarder.reject(ClientResponse(error.error_status_hint))
        except BadRequestError as error:
            self._clients.counters.count(EventKind.REQUEST_INVALID)
            self._forwarder.reject(ClientResponse(error.status))
        except Exception:  # otherwise the client would wait for its response until a time limit
            log.exception("unexpected error while processing a client request; rejecting it with status 500")
            self._forwarder.reject(INTERNAL_SERVER_ERROR)
        return False

    def close(self) -> None:
        """Cancel the open request and release all memory after the connection is lost."""
        self._forwarder.cancel_open_request()
        self._memory.remove(self._memory_state)
        self._clients.read_pacer.remove(self)

    # Memory

    @property
    def may_read_fully(self) -> bool:
        """Whether the next read may have the usual size: its bytes are discarded, or there is memory."""
        return self._connection.is_lingering or self._memory.may_read_fully(self._memory_state)

    @property
    def is_receiving_request(self) -> bool:
        """Whether a request has been received in part and is neither complete nor waiting for memory."""
        connection = self._connection
        is_receiving = connection.state is ConnectionState.READING and not connection.is_idle
        return is_receiving and not (connection.is_processing_scheduled or self._transport.is_closing())

    @property
    def is_waiting_for_memory(self) -> bool:
        """Whether the request that is being received waits for memory, and the connection is not closing."""
        return self._connection.is_waiting_for_memory and not self._transport.is_closing()

    @property
    def has_request_arrived(self) -> bool:
        """Whether all bytes of the request that waits for memory have arrived.

        Only a request with a known length, or without a body, can be known to be complete.
        """
        if self._http.incomplete_head_bytes:
            return False
        received_bytes = len(self._incoming.body) + self._http.buffered_bytes
        missing_bytes = self._incoming.max_body_bytes - received_bytes
        return missing_bytes <= 0 or missing_bytes <= unread_byte_count(self._transport)

    @property
    def request_age_s(self) -> float:
        """Time since the first byte of the request that is being received, in seconds."""
        return self._loop.time() - self._request_began_at_s

    @property
    def request_idle_s(self) -> float:
        """Time since the latest byte of the request that is being received, in seconds."""
        return self._loop.time() - self._received_at_s

    def resume_request(self) -> None:
        """Go on with the request that waited for memory, which it has now."""
        if not self._connection.is_client_connected():
            return
        self._connection.transition_to(ConnectionState.READING)
        self._invite_body()
        self._pause_or_resume_reading()
        self._schedule_processing()

    def refuse_request(self, response: ClientResponse) -> None:
        """End the request, which has not been forwarded, with a response, and discard what it holds."""
        if not self._transport.is_closing():
            self._forwarder.reject(response)

    def _update_memory(self) -> None:
        if self._memory_state.reserved_bytes and not self._http.received:
            return  # what the request holds is reserved
        self._memory.update(self._memory_state, self._http.memory_bytes + len(self._incoming.body))

    def _limit_incomplete_head(self) -> None:
        """Stop reading an incomplete head that is no longer small, while no memory is free for it."""
        if self._connection.state is not ConnectionState.READING or self._memory_state.reserved_bytes:
            return
        if self._http.incomplete_head_bytes > limits.UNRESERVED_HEAD_BYTES and self._memory.is_short:
            self._reserve(limits.HEAD_RESERVATION_BYTES, limits.HEAD_MEMORY_WAIT_S)

    def _reserve_for_request(self) -> bool:
        """Reserve memory for the request whose head has just been parsed; return whether it has it."""
        head = self._incoming.head
        body_bytes = self._incoming.max_body_bytes
        if head is None:  # a readiness check
            return self._reserve(request_cost_bytes(body_bytes), limits.HEAD_MEMORY_WAIT_S)
        max_wait_s = min(limits.MEMORY_WAIT_SHARE * head.time_remaining_s, limits.MAX_MEMORY_WAIT_S)
        head_bytes = 0
        if self._http.memory_bytes > limits.UNCHARGED_HEAD_BYTES:
            head_bytes = head.size_bytes
        return self._reserve(request_cost_bytes(body_bytes, head_bytes), max_wait_s)

    def _reserve(self, needed_bytes: int, max_wait_s: float) -> bool:
        if self._memory.reserve(self._memory_state, needed_bytes, max_wait_s):
            return True
        self._connection.transition_to(ConnectionState.WAITING_FOR_MEMORY)
        return False

    def _invite_body(self) -> None:
        """Write a 100 response if the client waits for it before it sends the body."""
        if interim := self._http.interim_response():
            self._transport.write(interim)

    def _parse_events(self) -> bool:
        """Parse up to the end of one request; return whether the limit on parser events was reached first."""
        for _ in range(limits.MAX_EVENTS_PER_ITERATION):
            # The next request waits until the previous response is written out: otherwise a client that does
            # not read its responses would fill the memory.
            if self._connection.state is not ConnectionState.READING or self._connection.is_writing:
                return False
            if not self._handle_event(self._http.next_event()):
                return False
        return True

    def _handle_event(self, event: ParsedEvent) -> bool:
        """Handle one h11 event, and return whether to continue with the next one."""
        match event:
            case h11.Request():
                self._incoming.begin(event)
                if not self._reserve_for_request():
                    return False
                self._invite_body()
                return True
            case h11.Data():
                self._incoming.add_body(event.data)
                return True
            case h11.EndOfMessage():
                self._forwarder.handle_request(self._schedule_processing)
                return False
            case h11.NEED_DATA:
                return self._http.feed()
            case _:
                return False

    def _schedule_processing(self) -> None:
        self._scheduler.enqueue(self)

    def _pause_or_resume_reading(self) -> None:
        connection = self._connection
        is_waiting = connection.state is ConnectionState.WAITING_FOR_MEMORY
        is_paced = self._clients.read_pacer.is_paused(self)
        if not (is_waiting or is_paced or self._http.received.is_over_limit):
            self._transport.resume_reading()
            self._clients.disconnect_poller.stop_polling(connection)
            return
        self._transport.pause_reading()
        if is_waiting or connection.is_waiting_for_response:
            self._clients.disconnect_poller.start_polling(connection)
        else:
            self._clients.disconnect_poller.stop_polling(connection)
