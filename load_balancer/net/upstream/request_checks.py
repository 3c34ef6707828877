"""Checks immediately before a request is written.

The process may stall at any point, so the conditions under which an attempt was decided may no longer hold
when its request is written.
"""

from __future__ import annotations

import asyncio
import logging

import h11

from load_balancer.messages import Outcome
from load_balancer.net import socket_state
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.http_exchange import HttpExchange
from load_balancer.net.upstream.upstream_messages import UpstreamRequest

log = logging.getLogger(__name__)


def encode_request(
    exchange: HttpExchange,
    request: UpstreamRequest,
    endpoint: EndpointAddress,
    time_remaining_s: float | None,
) -> bytes | None:
    """Return the encoded bytes of a request, or None if its time is up or it is not valid HTTP/1.1.

    Args:
        exchange: The exchange of the request.
        request: The request.
        endpoint: The endpoint, for the log.
        time_remaining_s: Seconds until the attempt times out, for the deadline header; None adds no header.
    """
    headers = request.headers
    if time_remaining_s is not None:
        # After a stall of the process the attempt's timer may not have run yet, although the attempt has
        # timed out: the endpoint's work would be wasted.
        if time_remaining_s <= 0.0:
            return None
        headers = [*headers, (b"req-deadline", b"%.6f" % time_remaining_s)]
    try:
        return exchange.encode_request(request, headers)
    except h11.LocalProtocolError as error:
        _log_invalid_request(endpoint, error)
        return None


def _log_invalid_request(endpoint: EndpointAddress, error: h11.LocalProtocolError) -> None:
    log.error(
        "request to endpoint %d at %s:%d not sent: invalid HTTP/1.1: %s",
        endpoint.id,
        *endpoint.address,
        error,
    )


def reason_not_to_write(
    transport: asyncio.Transport, request: UpstreamRequest, *, was_idle: bool
) -> Outcome | None:
    """Return the outcome for an attempt whose request must not be written now, or None if it may be written.

    Args:
        transport: The transport of the connection for the request.
        request: The request.
        was_idle: Whether the connection has been idle before.
    """
    # Since the connection was taken, a second response to the previous request may have arrived, which would
    # be mistaken for the response to this one. Or the end of the stream may have arrived, and a request
    # written after it counts as one that may have run. If the system cannot tell, an idle connection is not
    # used, but a new one is.
    if socket_state.has_unread_bytes(transport, default=was_idle):
        # A stale idle connection is no sign of a failed endpoint; a failed new connection is.
        return Outcome.NOT_SENT if was_idle else Outcome.NO_CONNECTION
    # The client may have disconnected since the decision to send, without that having been read yet: the
    # endpoint's work would be wasted.
    return None if request.is_client_waiting() else Outcome.NOT_SENT
