"""HTTP/1.1 on one connection to a backend, one request at a time.

A connection owns its transport and the state of the present exchange. It tells its pool when it opens and
closes, and the attempt that uses it how the exchange ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from enum import Enum, auto
from typing import Protocol

import h11

from load_balancer.errors import LoadBalancerError
from load_balancer.messages import Outcome
from load_balancer.net import socket_state
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.http_messages import MAX_BODY_BYTES, Headers
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 16 * 1024  # of a response's status line and headers
MAX_LENGTH_DIGITS = 18  # of a Content-Length: far more than any that is allowed, and quick to parse
MAX_INTERIM_RESPONSES = 16  # responses 1xx before the final one
# Seconds from a response's first byte to its last: the backend's work is done by the first.
RESPONSE_COMPLETION_S = 1.0
STATUS_LINE_PREFIX = b"HTTP/1."  # how every response begins


class InvalidResponseError(LoadBalancerError):
    """The backend sent what cannot be a response to this request; the text says why."""


class ExchangeState(Enum):
    """Where the exchange on a connection is.

    IDLE goes to WRITING as a request is sent, WRITING to AWAITING with the request's last byte, and either
    of them to IDLE as the attempt ends.
    """

    IDLE = auto()
    WRITING = auto()
    AWAITING = auto()


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that it belongs to."""

    loop: asyncio.AbstractEventLoop

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Notes that a connection is up."""

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Notes that a connection is closed."""

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Makes sure that a connection is not used again."""

    def record_activity(self, endpoint: EndpointAddress) -> None:
        """Notes that a backend has sent something."""

    def suspend_reuse(self, endpoint: EndpointAddress) -> None:
        """Keeps no idle connections to a backend for a while."""


class ConnectionUser(Protocol):
    """What a connection needs of the attempt that uses it."""

    @property
    def time_remaining_s(self) -> float:
        """Seconds until the attempt times out."""

    def finish(
        self, outcome: Outcome, response: UpstreamResponse | None = None, reusable: bool = False
    ) -> None:
        """Ends the attempt; does nothing where it is over."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to a backend.

    Attributes:
        transport: The transport, once the connection is up.
        endpoint: The backend.
        attempt: The attempt that uses the connection now.
        was_idle: Whether it has been idle before, and so may have been closed by the backend.
        idle_since: When it last fell idle, by the event loop's clock.
        idle_timer: Closes it once it has been idle for too long.
    """

    transport: asyncio.Transport

    def __init__(self, pool: ConnectionOwner, endpoint: EndpointAddress) -> None:
        """Prepares a connection that is about to be opened.

        Args:
            pool: The pool that it belongs to.
            endpoint: The backend.
        """
        self._pool, self.endpoint = pool, endpoint
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.attempt: ConnectionUser | None = None
        self._state = ExchangeState.IDLE
        self.idle_timer: asyncio.TimerHandle | None = None
        self.idle_since = 0.0
        self._response_head: h11.Response | None = None
        self._body = bytearray()
        self._interim_count = 0  # responses 1xx so far
        self.was_idle = False
        self._response_timer: asyncio.TimerHandle | None = None  # runs while a response is coming

    @property
    def has_written_request(self) -> bool:
        """Whether the last byte of the present request has been written."""
        return self._state is ExchangeState.AWAITING

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing tells when all is written
        self._pool.connection_opened(self)

    def send(self, attempt: ConnectionUser, request: UpstreamRequest) -> None:
        """Sends a request. The attempt is finished at once where that cannot be done.

        Args:
            attempt: The attempt that uses the connection from now on.
            request: Its request.
        """
        if self.transport.is_closing():
            attempt.finish(Outcome.NO_CONNECTION)
            return
        self._begin_exchange(attempt)
        failure = self._write(attempt, request)
        if failure is not None:
            attempt.finish(failure)

    def _begin_exchange(self, attempt: ConnectionUser) -> None:
        self.attempt, self._state = attempt, ExchangeState.WRITING
        self._response_head = None
        self._interim_count = 0
        self._body.clear()

    def _write(self, attempt: ConnectionUser, request: UpstreamRequest) -> Outcome | None:
        """Writes a request, or returns the outcome of an attempt whose request can't be written."""
        headers = request.headers
        if request.adds_deadline_header:  # now: the connection may have come up long after the decision
            time_remaining_s = attempt.time_remaining_s
            # The attempt's timer is late itself where the process was held up: the work would be for nobody.
            if time_remaining_s <= 0.0:
                return Outcome.NOT_SENT
            headers = [*headers, (b"req-deadline", b"%.6f" % time_remaining_s)]
        try:
            data = self._encode(request, headers)
        except h11.LocalProtocolError as error:
            log.error("a request can't be sent: %s", error)
            return Outcome.NOT_SENT
        # Since the pool looked, a second response to the last request may have come, which would be taken for
        # this request's; or the stream's end, and what is sent into that counts as what may have run. Where
        # the system cannot tell, an idle connection is not used and a new one has to do.
        if socket_state.has_unread_bytes(self.transport, unknown=self.was_idle):
            # An idle connection may go stale at any backend; one that has just come up has failed.
            return Outcome.NOT_SENT if self.was_idle else Outcome.NO_CONNECTION
        # The client may have left since the decision to send, its end still unread, and the process may have
        # been held up at any line above: the work would be for nobody.
        if not request.is_awaited():
            return Outcome.NOT_SENT
        self.transport.write(data)
        if self.transport.is_closing():  # the write failed, so the last byte was not taken
            return Outcome.NO_CONNECTION
        if self.transport.get_write_buffer_size() == 0:
            self._state = ExchangeState.AWAITING
        return None

    def _encode(self, request: UpstreamRequest, headers: Headers) -> bytes:
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def resume_writing(self) -> None:
        """Notes that all has been written; called by the event loop."""
        if self._state is ExchangeState.WRITING:
            self._state = ExchangeState.AWAITING

    def data_received(self, data: bytes) -> None:
        """Takes what has been read; called by the event loop."""
        self._pool.record_activity(self.endpoint)
        self._receive(data)

    def eof_received(self) -> None:
        """Takes the end of the stream; called by the event loop."""
        self._suspend_reuse_if_stale()
        # A response without a length ends here, and only here: bytes come in order, so one that was reset has
        # no end, be it after its last byte. Any other response is broken.
        self._receive(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the attempt that is still out; called by the event loop."""
        self._pool.connection_closed(self)
        self._suspend_reuse_if_stale()
        self._fail_attempt()

    def release(self) -> None:
        """Ends the exchange, as its attempt is over."""
        self.attempt, self._state = None, ExchangeState.IDLE
        self._stop_response_timer()

    def close(self) -> None:
        """Closes the connection at once, with whatever is still to be written."""
        # `abort` closes in the loop's next turn. By then the next attempt may have been written on another
        # connection, and without the shutdown the backend would have two copies at once.
        with contextlib.suppress(OSError):
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self.transport.abort()

    def _suspend_reuse_if_stale(self) -> None:
        """The backend ends the connection: an idle one without a byte of a response had gone stale."""
        is_silent = self._response_timer is None and not self._interim_count
        if self.attempt is not None and self.was_idle and is_silent:
            self._pool.suspend_reuse(self.endpoint)

    def _fail_attempt(self) -> None:
        if self.attempt is not None:
            self.attempt.finish(Outcome.RESET if self.has_written_request else Outcome.NO_CONNECTION)

    def _receive(self, data: bytes) -> None:
        if self.attempt is None:  # nothing was asked: the end of an idle connection, or a fault
            self._pool.remove_idle(self)
            self.close()
            return
        if not self.has_written_request:  # what is answered isn't the request that is still being written
            self._fail_attempt()
            return
        try:
            self._parse(data)
        except (h11.RemoteProtocolError, InvalidResponseError):
            self._fail_attempt()
            return
        # A response may begin and never end, on a connection that stays open.
        if self.attempt is not None:
            self._limit_response_time()

    def _parse(self, data: bytes) -> None:
        self._http.receive_data(data)
        while self._handle_next_event():
            pass
        if self._response_head is not None:
            return
        begun = self._http.trailing_data[0][: len(STATUS_LINE_PREFIX)]
        if not STATUS_LINE_PREFIX.startswith(begun):
            # h11 waits for the end of the line, which noise may never have.
            raise InvalidResponseError("not a response")

    def _limit_response_time(self) -> None:
        """Limits the time from a response's first byte; a backend that sends 1xx is still at work."""
        has_begun = self._response_head is not None or bool(self._http.trailing_data[0])
        if not has_begun:
            self._stop_response_timer()
        elif self._response_timer is None:
            self._response_timer = self._pool.loop.call_later(RESPONSE_COMPLETION_S, self._fail_attempt)

    def _stop_response_timer(self) -> None:
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None

    def _handle_next_event(self) -> bool:
        """Handles one event of the parser; false where there is no further one for now."""
        event = self._http.next_event()
        match event:
            case h11.Response():
                self._accept_head(event)
            case h11.Data():
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:  # the protocol allows none, and it would fill the memory
                    raise InvalidResponseError("too long")
            case h11.EndOfMessage():
                self._complete_response()
                return False
            case h11.InformationalResponse():
                self._interim_count += 1
                if self._interim_count > MAX_INTERIM_RESPONSES:
                    raise InvalidResponseError("no end of 1xx")
            case _:
                return False
        return True

    def _accept_head(self, head: h11.Response) -> None:
        length = dict(head.headers).get(b"content-length")
        if length is not None and (len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES):
            raise InvalidResponseError("too long")
        self._response_head = head

    def _complete_response(self) -> None:
        assert self._response_head is not None
        assert self.attempt is not None
        head = self._response_head
        response = UpstreamResponse(head.status_code, list(head.headers), bytes(self._body))
        reusable = (
            not self.transport.is_closing()
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        if reusable:
            self._http.start_next_cycle()
        self.attempt.finish(response.outcome, response, reusable)
