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
from load_balancer.net.client.request_forwarder import RequestForwarder
from load_balancer.net.driver.client_messages import ClientResponse
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.receive_scheduler import ReceiveScheduler, ReceiveState

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
        self._forwarder = RequestForwarder(connection, self._incoming, clients, driver)
        self._loop = asyncio.get_running_loop()

    def receive(self, data: memoryview) -> None:
        """Process the bytes of one read. They are copied before the method returns."""
        connection = self._connection
        if connection.is_lingering or self._transport.is_closing():
            return
        now_s = self._loop.time()
        was_idle = connection.is_idle
        if not self._http.receive(now_s, bytes(data)):
            return
        if was_idle and connection.has_responded:
            connection.last_progress_at_s = now_s
            self._clients.mark_active(connection)
        self._scheduler.submit(self)
        if self.receive_state.is_queued:  # further bytes may be received before the next step
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
        self._pause_or_resume_reading()
        return has_more

    def _parse_or_reject(self) -> bool:
        """Parse received bytes and reject an invalid request; return whether parsing can go on."""
        try:
            return self._parse_events()
        except h11.RemoteProtocolError as error:
            self._forwarder.reject(ClientResponse(error.error_status_hint))
        except BadRequestError as error:
            self._forwarder.reject(ClientResponse(error.status))
        except Exception:  # otherwise the client would wait for its response until a time limit
            log.exception("unexpected error while processing a client request; rejecting it with status 500")
            self._forwarder.reject(INTERNAL_SERVER_ERROR)
        return False

    def cancel_open_request(self) -> None:
        """Cancel the open request after the connection is lost."""
        self._forwarder.cancel_open_request()

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
                if interim := self._http.interim_response():
                    self._transport.write(interim)
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
        if self._http.received.is_over_limit:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
        if self._connection.is_waiting_for_response and not self._transport.is_reading():
            self._clients.disconnect_poller.start_polling(self._connection)
        else:
            self._clients.disconnect_poller.stop_polling(self._connection)
