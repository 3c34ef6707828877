"""One client's connection: bytes in, requests to the driver, exactly one final response for each out.

A connection has one request open at a time; what comes behind it waits in its `http_server_protocol`. It
reports to `client_registry` whether it may be closed to make room. The event loop calls it with bytes, the
driver with responses, and `client_listener` to check its time limits and to close it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Mapping

import h11

from load_balancer import messages
from load_balancer.net.client import client_limits as limits
from load_balancer.net.client.client_connection_state import TRANSITIONS, ConnectionState
from load_balancer.net.client.client_registry import ClientRegistry
from load_balancer.net.client.http_request import BadRequestError, RequestHead, check_framing, read_head
from load_balancer.net.client.http_response import INTERNAL_SERVER_ERROR, REQUEST_TIMEOUT, SERVICE_UNAVAILABLE
from load_balancer.net.client.http_server_protocol import HttpServerProtocol, ParsedEvent
from load_balancer.net.driver.client_messages import ClientRequest, ClientResponse
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.http_messages import MAX_BODY_BYTES
from load_balancer.net.socket_state import has_unread_bytes, is_closed_by_remote

log = logging.getLogger(__name__)


class ClientConnection(asyncio.BufferedProtocol):
    """The protocol of one client's connection.

    Attributes:
        transport: The connection itself.
    """

    transport: asyncio.Transport

    def __init__(
        self,
        clients: ClientRegistry[ClientConnection],
        driver: EventLoopDriver,
        classes: Mapping[str, messages.RequestClass],
    ) -> None:
        """Starts to wait for a request.

        Args:
            clients: All open connections; this one is added as soon as it is made.
            driver: Takes the requests.
            classes: The request classes of the settings, by name.
        """
        self._clients = clients
        self._driver = driver
        self._classes = classes
        self._loop = asyncio.get_running_loop()
        self._state = ConnectionState.READING
        self._last_progress_at_s = self._loop.time()  # of a connect, a request's first byte or a response
        self._http = HttpServerProtocol(clients.buffered, self._last_progress_at_s)
        # The request that is being read or waits for its response.
        self._is_readiness_check = False
        self._head: RequestHead | None = None
        self._body = bytearray()
        self._request_key: str | None = None  # the driver's
        self._is_over_limit = False  # each request is answered with 503
        self._has_responded = False
        self._is_processing_scheduled = False  # for the next turn of the event loop
        self._has_final_check = False  # its time is over, but it is checked once more before it is closed

    # What the registry and the listener ask.

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request is here."""
        return not self._is_lingering and self._http.is_between_requests

    @property
    def has_unanswered_request(self) -> bool:
        """Whether a part of a request has come that has no response yet."""
        return not self._is_lingering and not self.is_idle

    @property
    def is_writing(self) -> bool:
        """Whether the system has not taken all of a response yet."""
        return self.transport.get_write_buffer_size() > 0

    @property
    def is_finished(self) -> bool:
        """Whether the connection is closing, with all responses written."""
        is_closing = self._is_lingering or self.transport.is_closing()
        return is_closing and not self.is_writing

    @property
    def has_unprocessed_bytes(self) -> bool:
        """Whether more of a request has come, from a client that is still there."""
        if self._is_lingering or not (self._is_processing_scheduled or has_unread_bytes(self.transport)):
            return False
        return not is_closed_by_remote(self.transport)

    def can_be_closed(self, now_s: float) -> bool:
        """Whether no request is here, nor its first one likely on its way.

        Args:
            now_s: The event loop's time.
        """
        if not self.is_idle or self.has_unprocessed_bytes:
            return False
        return self._has_responded or now_s - self._last_progress_at_s > limits.FIRST_REQUEST_GRACE_S

    def is_client_present(self) -> bool:
        """Whether the client is still there, by what the system knows now; closes the connection if not."""
        if not self.transport.is_closing() and is_closed_by_remote(self.transport):
            self.transport.abort()
        return not self.transport.is_closing()

    def check_time_limits(self, now_s: float) -> None:
        """Closes the connection if nothing has moved on it for too long.

        Args:
            now_s: The event loop's time.
        """
        if self._is_waiting:
            return  # the driver ends each request in time
        still_s = now_s - self._last_progress_at_s
        limit_s = self._time_limit_s()
        if still_s <= limit_s:
            self._has_final_check = False
            return
        if self.has_unprocessed_bytes:
            if not self.is_idle and still_s <= limit_s + limits.PARTIAL_REQUEST_GRACE_S:
                return
            # A request may just have come. Not more than once: a client that sends empty lines now and then
            # would keep its connection for ever.
            if self.is_idle and not self._has_final_check:
                self._has_final_check = True
                self._loop.call_later(limits.FINAL_CHECK_DELAY_S, self._run_final_check)
                return
        self.abort(REQUEST_TIMEOUT)

    def _time_limit_s(self) -> float:
        if self.is_writing:
            return limits.WRITE_TIMEOUT_S
        if self._is_lingering:
            return limits.LINGER_TIMEOUT_S
        if self.is_idle and self._has_responded:
            return limits.KEEP_ALIVE_TIMEOUT_S
        return limits.REQUEST_TIMEOUT_S

    def _run_final_check(self) -> None:
        if not self.transport.is_closing():
            self.check_time_limits(self._loop.time())

    def abort(self, response: ClientResponse) -> None:
        """Closes the connection at once.

        Args:
            response: What an incomplete request gets; one that is with the driver gets none.
        """
        if self.has_unanswered_request and not self._is_waiting:
            self._reject(response)
        self.transport.abort()

    # What the event loop tells.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, or closes it where there are far too many."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing tells when all is written
        self._is_over_limit = self._clients.add(self)
        if self._clients.is_overfull:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Frees what the connection holds, and withdraws its request from the driver."""
        self._clients.descriptor_count -= 1  # the transport closes its socket right after this
        self._clients.remove(self)
        self._http.received.clear()
        if self._is_waiting:
            self._finish_request()
            if self._request_key is not None:
                self._driver.cancel_request(self._request_key)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next bytes are read into."""
        return self._clients.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes the bytes that have been read."""
        if self._is_lingering or self.transport.is_closing():
            return
        now_s, was_idle = self._loop.time(), self.is_idle
        if not self._http.receive(now_s, bytes(self._clients.read_buffer[:nbytes])):
            return
        if was_idle and self._has_responded:
            self._last_progress_at_s = now_s
            self._clients.mark_active(self)
        if not self._is_processing_scheduled:
            self._process_received()

    def resume_writing(self) -> None:
        """Goes on as all that was written has been taken by the system."""
        if self._is_lingering:
            self._last_progress_at_s = self._loop.time()
        self._process_received()

    # From bytes to requests.

    def _process_received(self) -> None:
        """Parses what has come, up to the end of a request.

        One request at the most in one turn of the event loop: a client may send thousands of requests or
        chunks at once, and all others would wait for them.
        """
        if self.transport.is_closing():  # the client has left: what it sent ahead is not forwarded
            return
        try:
            self._parse_events()
        except h11.RemoteProtocolError as error:
            self._reject(ClientResponse(error.error_status_hint))
        except BadRequestError as error:
            self._reject(ClientResponse(error.status))
        except Exception:  # the event loop would close the connection without a final response
            log.exception("taking in a request failed")
            self._reject(INTERNAL_SERVER_ERROR)
        if self.transport.is_closing():
            return
        if self.is_idle and self._has_responded and not self.is_writing:
            self._clients.mark_idle(self)  # nothing but empty lines had come ahead
        self._pause_or_resume_reading()

    def _parse_events(self) -> None:
        for _ in range(limits.MAX_EVENTS_PER_TURN):
            # A response that is not read holds the next request back: its response would fill our memory.
            if self._state is not ConnectionState.READING or self.is_writing:
                return
            if not self._handle_event(self._http.next_event()):
                return
        self._schedule_processing()

    def _handle_event(self, event: ParsedEvent) -> bool:
        """Takes one event of h11's, and returns whether to go on with the next one."""
        match event:
            case h11.Request():
                self._on_request_head(event)
                return True
            case h11.Data():
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:
                    raise BadRequestError(413, "too long")
                return True
            case h11.EndOfMessage():
                self._on_request_complete()
                return False
            case h11.NEED_DATA:
                return self._http.feed()
            case _:
                return False

    def _schedule_processing(self) -> None:
        if not self._is_processing_scheduled:
            self._is_processing_scheduled = True
            self._loop.call_soon(self._run_scheduled_processing)

    def _run_scheduled_processing(self) -> None:
        self._is_processing_scheduled = False
        self._process_received()

    def _pause_or_resume_reading(self) -> None:
        if self._http.received.is_over_limit:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        if self._is_waiting and not self.transport.is_reading():
            self._clients.watch_presence(self)
        else:
            self._clients.unwatch_presence(self)

    def _on_request_head(self, event: h11.Request) -> None:
        self._body.clear()
        self._is_readiness_check = event.target.partition(b"?")[0] == b"/ready"
        if self._is_readiness_check:
            check_framing(event)
        else:
            self._head = read_head(event, self._classes)
        if interim := self._http.interim_response():
            self.transport.write(interim)

    def _on_request_complete(self) -> None:
        self._clients.mark_active(self)
        if self._is_readiness_check:
            is_ready = self._driver.is_ready and not self._clients.is_shutting_down
            self._respond(ClientResponse(200 if is_ready else 503))
            return
        assert self._head is not None
        if self._is_over_limit:
            self._respond(SERVICE_UNAVAILABLE)
            return
        if self._head.request_id in self._clients.open_request_ids:
            # An endpoint would take this one for a retry of the open request, and might drop it.
            self._head = None
            raise BadRequestError(409, "the id of an open request")
        self._forward(self._head)

    def _forward(self, head: RequestHead) -> None:
        """Hands a complete request to the driver."""
        caller = self._to_caller(head)
        if not self.is_client_present():
            return
        self._clients.open_request_ids.add(head.request_id)
        self._enter(ConnectionState.WAITING_FOR_RESPONSE)
        key = self._driver.accept_request(caller)
        if self._is_waiting:  # the driver may have responded at once
            self._request_key = key

    def _to_caller(self, head: RequestHead) -> ClientRequest:
        headers = list(head.headers)
        if self._body or head.method != b"GET":
            headers.append((b"content-length", b"%d" % len(self._body)))
        # Its time counts from when its last byte came, however long it waited behind another.
        now_s = self._loop.time()
        waited_s = now_s - self._http.parsed_received_at_s
        return ClientRequest(
            class_name=head.class_name,
            time_remaining_us=round(1e6 * max(0.0, head.time_left_s - waited_s)),
            measured_at_s=now_s,
            tenant=head.tenant,
            is_retry=head.retry,
            method=head.method,
            target=head.target,
            headers=headers,
            body=bytes(self._body),
            respond=self._respond,
            is_client_connected=self.is_client_present,
        )

    # Responses and states.

    @property
    def _is_waiting(self) -> bool:
        return self._state is ConnectionState.WAITING_FOR_RESPONSE

    @property
    def _is_lingering(self) -> bool:
        return self._state is ConnectionState.LINGERING

    def _enter(self, state: ConnectionState) -> None:
        assert state in TRANSITIONS[self._state], f"{self._state.name} to {state.name}"
        self._state = state

    def _respond(self, response: ClientResponse, is_last: bool = False) -> None:
        """Writes the one final response to the present request."""
        self._finish_request()
        self._request_key = None
        self._body.clear()
        if self._is_lingering or self.transport.is_closing():
            return
        if self._clients.is_draining or self._is_over_limit:
            # A request that has come behind this one is owed its own response.
            is_last = is_last or not (self._http.has_unparsed_bytes or self.has_unprocessed_bytes)
        self.transport.write(self._http.final_response(response, is_last))
        self._last_progress_at_s = self._loop.time()
        self._has_responded = True
        if not self._http.start_next_request():
            self._linger()
        elif self._http.has_unparsed_bytes:  # the next request came early
            self._schedule_processing()
        else:
            self._clients.mark_idle(self)

    def _reject(self, response: ClientResponse) -> None:
        """Responds to what is not HTTP, too large or not to be served, and lingers."""
        self._finish_request()
        if self._http.can_respond:
            self._respond(response, is_last=True)
        self._linger()

    def _finish_request(self) -> None:
        """Ends the present request: it is no longer open."""
        if self._is_waiting:
            if self._head is not None:
                self._clients.open_request_ids.discard(self._head.request_id)
            self._enter(ConnectionState.READING)
        self._head = None
        self._clients.unwatch_presence(self)

    def _linger(self) -> None:
        """Closes our side, and the connection once the client has closed its side.

        A close over unread bytes resets the connection, and the client may lose the response: the rest is
        read and dropped first.
        """
        if self._is_lingering or self.transport.is_closing():
            return
        self._enter(ConnectionState.LINGERING)
        self._http.received.clear()
        self.transport.resume_reading()
        self._clients.mark_unused(self)
        if self.transport.can_write_eof():
            with contextlib.suppress(OSError):  # it has been reset just now, which the next read tells
                self.transport.write_eof()
