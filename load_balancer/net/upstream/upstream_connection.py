"""One connection to an endpoint, which carries one request at a time.

A connection owns its transport and the state of the present exchange. It reports to its owner that it opens,
closes and receives something, and to the attempt that uses it how the exchange ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol

import h11

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.http_exchange import ExchangeState, HttpExchange, InvalidResponseError
from load_balancer.net.upstream.request_checks import encode_request, reason_not_to_write
from load_balancer.net.upstream.response_timer import ResponseTimer
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse

# Seconds from a response's first byte to its last: the endpoint's work is done by the first.
RESPONSE_COMPLETION_TIMEOUT_S = 1.0


class ConnectionOwner(Protocol):
    """What a connection reports to its owner."""

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Add a connection that has come up."""

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that is closed."""

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Make sure that a connection is not used again."""

    def record_activity(self, endpoint: EndpointAddress) -> None:
        """Record that an endpoint has sent something."""

    def suspend_reuse(self, endpoint: EndpointAddress) -> None:
        """Keep no idle connections to an endpoint for a while."""


class ConnectionUser(Protocol):
    """What a connection needs of the attempt that uses it."""

    @property
    def time_remaining_s(self) -> float:
        """Seconds until the attempt times out."""

    def exchange_ended(
        self,
        connection: UpstreamConnection,
        outcome: Outcome,
        response: UpstreamResponse | None,
        *,
        reusable: bool,
    ) -> None:
        """End the attempt, as the exchange has ended on the endpoint's side.

        Args:
            connection: The connection, which the attempt does not use any more.
            outcome: How the exchange ended.
            response: The response, or None if there is none.
            reusable: Whether the connection can carry further requests; if not, it is closed.
        """


class UpstreamConnection(asyncio.Protocol):
    """One connection to an endpoint.

    Attributes:
        transport: The transport; the event loop sets it before anybody else gets the connection.
        endpoint: The endpoint.
        attempt: The attempt that uses the connection now, or None.
        was_idle: Whether it has been idle before, and so may have been closed by the endpoint.
        idle_since_s: When it last fell idle, by the event loop's clock.
    """

    transport: asyncio.Transport

    def __init__(
        self, loop: asyncio.AbstractEventLoop, owner: ConnectionOwner, endpoint: EndpointAddress
    ) -> None:
        """Prepare a connection that is about to be opened.

        Args:
            loop: The event loop.
            owner: The owner, to which it reports.
            endpoint: The endpoint.
        """
        self._loop = loop
        self._owner = owner
        self.endpoint = endpoint
        self.attempt: ConnectionUser | None = None
        self.was_idle = False
        self.idle_since_s = 0.0
        self._exchange = HttpExchange()
        self._response_timer = ResponseTimer(loop)

    @property
    def has_written_request(self) -> bool:
        """Whether the last byte of the present request has been written."""
        return self._exchange.state is ExchangeState.AWAITING_RESPONSE

    def mark_idle(self) -> None:
        """Record that it is idle from now on."""
        self.was_idle = True
        self.idle_since_s = self._loop.time()

    def send(self, attempt: ConnectionUser, request: UpstreamRequest) -> Outcome | None:
        """Write a request.

        Args:
            attempt: The attempt that uses the connection from now on.
            request: Its request.

        Returns:
            The outcome that the attempt has to end with if the request cannot be written, else None.
        """
        if self.transport.is_closing():
            return Outcome.NO_CONNECTION
        self.attempt = attempt
        self._exchange.begin()
        # Read now: the connection may have come up long after the decision to send.
        time_remaining_s = attempt.time_remaining_s if request.adds_deadline_header else None
        data = encode_request(self._exchange, request, self.endpoint, time_remaining_s)
        if data is None:
            return Outcome.NOT_SENT
        failure = reason_not_to_write(self.transport, request, was_idle=self.was_idle)
        return self._write(data) if failure is None else failure

    def _write(self, data: bytes) -> Outcome | None:
        """Write a request; return the attempt's outcome if the connection has failed, else None."""
        self.transport.write(data)
        if self.transport.is_closing():  # the write failed, so the last byte was not taken
            return Outcome.NO_CONNECTION
        if self.transport.get_write_buffer_size() == 0:
            self._exchange.request_written()
        return None

    def abandon(self) -> None:
        """End the exchange without its response, as the attempt is over, and close the connection."""
        self._detach_attempt()
        self.close()

    def _detach_attempt(self) -> None:
        self.attempt = None
        self._exchange.end()
        self._response_timer.stop()

    def close(self) -> None:
        """Close the connection at once, with whatever is still to be written."""
        # `abort` closes in the loop's next turn. By then the next attempt may have been written on another
        # connection, and without the shutdown the endpoint would have two copies at once.
        with contextlib.suppress(OSError):
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self.transport.abort()

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, as the connection is up."""
        assert isinstance(transport, asyncio.Transport)  # what the event loop passes for a TCP connection
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing is called once all is written
        self._owner.connection_opened(self)

    def resume_writing(self) -> None:
        """Record that the complete request has been written."""
        self._exchange.request_written()

    def data_received(self, data: bytes) -> None:
        """Take bytes of the endpoint."""
        self._owner.record_activity(self.endpoint)
        self._receive(data)

    def eof_received(self) -> None:
        """Take the end of the endpoint's stream; the event loop then closes the connection."""
        self._suspend_reuse_if_stale()
        # A response without a length ends here, and only here: bytes come in order, so one that was reset has
        # no end, be it after its last byte. Any other response is broken.
        self._receive(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt that still uses the connection, as it is closed."""
        self._owner.connection_closed(self)
        self._suspend_reuse_if_stale()
        self._fail_exchange()

    # Receiving

    def _receive(self, data: bytes) -> None:
        if self.attempt is None:  # nothing was requested: the end of an idle connection, or a fault
            self._owner.remove_idle(self)
            self.close()
            return
        if not self.has_written_request:  # it cannot answer the request that is still being written
            self._fail_exchange()
            return
        try:
            response = self._exchange.receive(data)
        except (h11.RemoteProtocolError, InvalidResponseError):
            self._fail_exchange()
            return
        if response is None:
            self._limit_response_time()
            return
        reusable = not self.transport.is_closing() and self._exchange.finish_cycle()
        self._end_exchange(response.outcome, response, reusable=reusable)

    def _limit_response_time(self) -> None:
        """Limit the time from a response's first byte: it may begin and never end on an open connection.

        An endpoint that sends an interim response (1xx) is still at work, so that no time runs after it.
        """
        if self._exchange.has_begun_response:
            self._response_timer.start(RESPONSE_COMPLETION_TIMEOUT_S, self._fail_exchange)
        else:
            self._response_timer.stop()

    def _fail_exchange(self) -> None:
        """End the exchange if there is one, as the connection is of no use any more."""
        self._end_exchange(Outcome.RESET if self.has_written_request else Outcome.NO_CONNECTION)

    def _end_exchange(
        self, outcome: Outcome, response: UpstreamResponse | None = None, *, reusable: bool = False
    ) -> None:
        """End the exchange if there is one, close the connection unless it is reusable, and report both."""
        attempt = self.attempt
        if attempt is None:
            return
        self._detach_attempt()
        if not reusable:
            self.close()
        attempt.exchange_ended(self, outcome, response, reusable=reusable)

    def _suspend_reuse_if_stale(self) -> None:
        """Suspend reuse if the endpoint ends an idle connection without a byte of a response to a request."""
        is_silent = not self._response_timer.is_running and not self._exchange.has_interim_response
        if self.attempt is not None and self.was_idle and is_silent:
            self._owner.suspend_reuse(self.endpoint)
