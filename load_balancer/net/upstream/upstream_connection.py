"""One connection to an endpoint, which carries one request at a time.

A connection owns its transport and the state of the current exchange. It notifies its owner when it is opened
or closed and when it receives bytes, and the attempt that uses it when the exchange ends. The scheduler of
received bytes decides when they are processed; until then the connection isn't read.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from typing import Protocol

import h11

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.http_parser import forget_frames
from load_balancer.net.memory_budget import MemoryAccount, MemoryOwner
from load_balancer.net.receive_scheduler import ReceiveScheduler, ReceiveState
from load_balancer.net.upstream.http_exchange import ExchangeState, HttpExchange, InvalidResponseError
from load_balancer.net.upstream.request_checks import encode_request, reason_not_to_write
from load_balancer.net.upstream.response_memory import ResponseMemory
from load_balancer.net.upstream.response_timer import ResponseTimer
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse

log = logging.getLogger(__name__)

SMALL_READ_SIZE_BYTES = 2 * 1024  # maximum size of one read while memory is short
UNRESERVED_RESPONSE_BYTES = 4 * 1024  # the received part of a response that needs no reservation
# Limit on the time from a response's first byte to its last; the endpoint has finished its work by the first.
RESPONSE_COMPLETION_TIMEOUT_S = 1.0


class ConnectionOwner(Protocol):
    """Receiver of the events of a connection."""

    @property
    def read_buffer(self) -> memoryview:
        """The buffer that all connections read into; each copies its bytes before the next read."""

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Add an established connection."""

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the idle ones so that it is not reused."""

    def record_activity(self, endpoint: EndpointAddress) -> None:
        """Record that bytes from an endpoint have been received."""

    def suspend_reuse(self, endpoint: EndpointAddress) -> None:
        """Suspend reuse of connections to an endpoint."""


class ConnectionUser(Protocol):
    """Interface of an attempt to the connection that it uses."""

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
        """End the attempt because the exchange has ended on the endpoint's side.

        Args:
            connection: The connection, now detached from the attempt.
            outcome: The outcome of the attempt.
            response: The response, or None if there is none.
            reusable: Whether the connection can carry further requests; if not, it has been closed.
        """


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to an endpoint.

    Attributes:
        receive_state: The state of the connection in the scheduler of received bytes.
        transport: The transport; set by `connection_made` before the connection is available to other code.
        endpoint: The endpoint.
        attempt: The attempt that uses the connection now, or None.
        was_idle: Whether the connection has been idle before, so that the endpoint may have closed it.
        idle_since_s: The time at which the connection last became idle, by the event loop's clock.
    """

    transport: asyncio.Transport

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        scheduler: ReceiveScheduler,
        memory: ResponseMemory,
        owner: ConnectionOwner,
        endpoint: EndpointAddress,
    ) -> None:
        """Create the protocol object of a connection that is about to be opened.

        Args:
            loop: The event loop.
            scheduler: Decides when received bytes are processed.
            memory: The memory that responses hold.
            owner: The owner, which is notified of events.
            endpoint: The endpoint.
        """
        self.receive_state = ReceiveState()
        self._is_reading_paused = False  # while received bytes wait to be processed
        self._scheduler = scheduler
        self._loop = loop
        self._owner = owner
        self.endpoint = endpoint
        self.attempt: ConnectionUser | None = None
        self.was_idle = False
        self.idle_since_s = 0.0
        self._exchange = HttpExchange()
        self._response_timer = ResponseTimer(loop)
        self._memory = memory
        self._is_waiting_for_memory = False
        self._received_account = MemoryAccount(memory.shared.budget, MemoryOwner.RESPONSES)
        self._unsent_account = MemoryAccount(memory.shared.budget, MemoryOwner.UNSENT_REQUESTS)

    @property
    def has_written_request(self) -> bool:
        """Whether the last byte of the current request has been written."""
        return self._exchange.state is ExchangeState.AWAITING_RESPONSE

    def mark_idle(self) -> None:
        """Record that the connection becomes idle now."""
        self.was_idle = True
        self.idle_since_s = self._loop.time()

    def send(self, attempt: ConnectionUser, request: UpstreamRequest) -> Outcome | None:
        """Write a request.

        Args:
            attempt: The attempt that uses the connection from now on.
            request: The request of the attempt.

        Returns:
            The outcome with which the attempt must end if the request cannot be written, else None.
        """
        if self.transport.is_closing():
            return Outcome.NO_CONNECTION
        self.attempt = attempt
        self._exchange.begin()
        # Read here because the connection may have been established long after the decision to send.
        time_remaining_s = attempt.time_remaining_s if request.adds_deadline_header else None
        data = encode_request(self._exchange, request, self.endpoint, time_remaining_s)
        if data is None:
            return Outcome.NOT_SENT
        failure = reason_not_to_write(self.transport, request, was_idle=self.was_idle)
        return self._write(data) if failure is None else failure

    def _write(self, data: bytes) -> Outcome | None:
        """Write an encoded request; return the attempt's outcome if the write failed, else None."""
        self.transport.write(data)
        if self.transport.is_closing():  # the write failed, so the last byte was not accepted
            return Outcome.NO_CONNECTION
        unsent_bytes = self.transport.get_write_buffer_size()
        self._unsent_account.set(unsent_bytes)
        if unsent_bytes == 0:
            self._exchange.request_written()
        return None

    def abandon(self) -> None:
        """End the exchange without a response because the attempt is over, and close the connection."""
        self._detach_attempt()
        self.close()

    def _detach_attempt(self) -> None:
        self.attempt = None
        self._exchange.end()
        self._response_timer.stop()
        self._is_waiting_for_memory = False
        self._received_account.set(0)
        self._memory.release(self)

    def close(self) -> None:
        """Close the connection immediately, and discard bytes that are not written yet."""
        # `abort` closes the socket in the next iteration of the event loop. By then the next attempt may have
        # been written on another connection, and without the shutdown the endpoint would have two copies of
        # the request at the same time.
        with contextlib.suppress(OSError):
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self.transport.abort()

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection, and notify the owner."""
        assert isinstance(transport, asyncio.Transport)  # what the event loop passes for a TCP connection
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing is called only once the buffer is empty
        self._owner.connection_opened(self)

    def resume_writing(self) -> None:
        """Record that the complete request has been written."""
        self._unsent_account.set(0)
        self._exchange.request_written()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        if self._memory.may_read_fully(self):
            return self._owner.read_buffer
        return self._owner.read_buffer[:SMALL_READ_SIZE_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Copy the bytes that were read."""
        self.data_received(bytes(self._owner.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take bytes received from the endpoint."""
        self._owner.record_activity(self.endpoint)
        self._receive(data)
        if self.attempt is None:
            return
        if self.receive_state.is_queued:
            self._pause_reading()
        self._reserve_memory()

    def _pause_reading(self) -> None:
        self._is_reading_paused = True
        self.transport.pause_reading()
        self._response_timer.pause()

    def _reserve_memory(self) -> None:
        """Charge what has been received, and stop reading until there is memory for the rest."""
        if self._exchange.memory_bytes > UNRESERVED_RESPONSE_BYTES:
            self._is_waiting_for_memory = not self._memory.reserve(self, self._exchange.max_response_bytes)
        if self._is_waiting_for_memory:
            self._pause_reading()
        self._charge_received()

    def _charge_received(self) -> None:
        is_reserved = self._memory.has_reserved(self)
        self._received_account.set(0 if is_reserved else self._exchange.memory_bytes)

    def resume_response(self) -> None:
        """Go on reading the response, which has its memory now."""
        self._is_waiting_for_memory = False
        self._charge_received()
        if self.attempt is not None and not self._exchange.has_unprocessed_bytes:
            self._is_reading_paused = False
            self.transport.resume_reading()
            self._limit_response_time()

    def eof_received(self) -> bool:
        """Take the end of the endpoint's stream.

        Returns:
            Whether the event loop keeps the connection open, because bytes before the end are not processed
            yet. The exchange closes it when it ends.
        """
        self._suspend_reuse_if_stale()
        # A response without a length is complete here, and only here: bytes arrive in order, and a connection
        # that is reset, even after the last byte, delivers no end of the stream. Any other response is
        # incomplete.
        self._receive(b"")
        return self.receive_state.is_queued

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner that the connection is closed, and fail the exchange if there is one."""
        self._owner.connection_closed(self)
        self._unsent_account.set(0)
        self._suspend_reuse_if_stale()
        self._fail_exchange()

    # Receiving

    def _receive(self, data: bytes) -> None:
        if self.attempt is None:  # no request: the end of an idle connection, or a fault of the endpoint
            self._owner.remove_idle(self)
            self.close()
            return
        if not self.has_written_request:  # not a response: the request is incomplete
            self._fail_exchange()
            return
        self._exchange.receive(data)
        self._scheduler.submit(self)

    @property
    def expected_step_s(self) -> float:
        """Expected duration of the next step in seconds."""
        return self._exchange.expected_event_s

    def process_received(self) -> bool:
        """Process a part of the received bytes; called by the scheduler.

        Returns:
            Whether further bytes wait to be processed.
        """
        if self.attempt is None:  # the attempt ended before the bytes were processed
            return False
        try:
            response = self._exchange.process()
            self._handle_progress(response)
        except (h11.RemoteProtocolError, InvalidResponseError) as error:
            forget_frames(error)
            self._fail_exchange()
        except Exception:  # otherwise the request would wait until its attempt times out
            log.exception("unexpected error while processing a response; closing its connection")
            self._fail_exchange()
        if self.attempt is not None:
            self._charge_received()
        return self._exchange.has_unprocessed_bytes

    def _handle_progress(self, response: UpstreamResponse | None) -> None:
        is_processed = not self._exchange.has_unprocessed_bytes
        if self._is_reading_paused and is_processed and not self._is_waiting_for_memory:
            self._is_reading_paused = False
            self.transport.resume_reading()
        if response is not None:
            reusable = not self.transport.is_closing() and self._exchange.finish_cycle()
            self._end_exchange(response.outcome, response, reusable=reusable)
        elif is_processed and not self._is_waiting_for_memory:
            self._limit_response_time()

    def _limit_response_time(self) -> None:
        """Limit the time from a response's first byte, because a response may begin but never end.

        After a complete interim response (1xx) the timer is stopped: the endpoint is still working on the
        request.
        """
        if self._exchange.has_begun_response:
            self._response_timer.start(RESPONSE_COMPLETION_TIMEOUT_S, self._fail_exchange)
        else:
            self._response_timer.stop()

    def _fail_exchange(self) -> None:
        """End the exchange, if there is one, without a response, and close the connection."""
        self._end_exchange(Outcome.RESET if self.has_written_request else Outcome.NO_CONNECTION)

    def _end_exchange(
        self, outcome: Outcome, response: UpstreamResponse | None = None, *, reusable: bool = False
    ) -> None:
        """End the exchange if there is one, close the connection unless reusable, and notify the attempt."""
        attempt = self.attempt
        if attempt is None:
            return
        self._detach_attempt()
        if not reusable:
            self.close()
        attempt.exchange_ended(self, outcome, response, reusable=reusable)

    def _suspend_reuse_if_stale(self) -> None:
        """Suspend reuse if the endpoint closes a reused connection without any response to the request."""
        has_response = self._response_timer.is_started or self._exchange.has_interim_response
        is_silent = not has_response and not self._exchange.has_unprocessed_bytes
        if self.attempt is not None and self.was_idle and is_silent:
            self._owner.suspend_reuse(self.endpoint)
