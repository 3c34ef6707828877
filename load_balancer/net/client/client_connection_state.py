"""States of a client connection and the allowed transitions between them."""

from __future__ import annotations

import enum


class ConnectionState(enum.Enum):
    """State of a client connection, which determines how received bytes are handled."""

    READING = enum.auto()
    """Received bytes are parsed as a request."""
    WAITING_FOR_MEMORY = enum.auto()
    """The request that is being received waits until memory for it is free; nothing is read."""
    WAITING_FOR_RESPONSE = enum.auto()
    """Received bytes are buffered until the driver has responded to the forwarded request."""
    LINGERING = enum.auto()
    """The last response has been written. Received bytes are discarded until the client closes."""


TRANSITIONS = {
    ConnectionState.READING: (
        ConnectionState.WAITING_FOR_MEMORY,
        ConnectionState.WAITING_FOR_RESPONSE,
        ConnectionState.LINGERING,
    ),
    ConnectionState.WAITING_FOR_MEMORY: (ConnectionState.READING, ConnectionState.LINGERING),
    ConnectionState.WAITING_FOR_RESPONSE: (ConnectionState.READING,),
    ConnectionState.LINGERING: (),
}
