"""What is checked at the last moment before a request is written, after all that may have taken time.

The process may stall at any line: what was true when the attempt was decided need not be true now.
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
    """Return the bytes of a request, or None if it cannot be written any more or at all.

    Args:
        exchange: The exchange that the request begins.
        request: The request.
        endpoint: The endpoint, for the log.
        time_remaining_s: Seconds until the attempt times out, for the deadline header; None adds no header.
    """
    headers = request.headers
    if time_remaining_s is not None:
        # The attempt's timer is late itself if the process was stalled: the work would be in vain.
        if time_remaining_s <= 0.0:
            return None
        headers = [*headers, (b"req-deadline", b"%.6f" % time_remaining_s)]
    try:
        return exchange.encode_request(request, headers)
    except h11.LocalProtocolError as error:
        _log_invalid_request(endpoint, error)
        return None


def _log_invalid_request(endpoint: EndpointAddress, error: h11.LocalProtocolError) -> None:
    log.error("cannot send a request to endpoint %d at %s:%d: %s", endpoint.id, *endpoint.address, error)


def reason_not_to_write(
    transport: asyncio.Transport, request: UpstreamRequest, *, was_idle: bool
) -> Outcome | None:
    """Return the outcome of an attempt whose request must not be written now, else None.

    Args:
        transport: The transport of the connection on which it would be written.
        request: The request.
        was_idle: Whether the connection has been idle before.
    """
    # Since the connection was taken, a second response to the last request may have come, which would pass
    # for the response to this one; or the end of the stream, and what is sent into that counts as what may
    # have run. If the system cannot tell, an idle connection is not used and a new one has to do.
    if socket_state.has_unread_bytes(transport, default=was_idle):
        # An idle connection may go stale at any endpoint; one that has just come up has failed.
        return Outcome.NOT_SENT if was_idle else Outcome.NO_CONNECTION
    # The client may have left since the decision to send, its end still unread: the work would be in vain.
    return None if request.is_awaited() else Outcome.NOT_SENT
