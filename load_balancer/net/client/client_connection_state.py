"""States of a client connection and the allowed transitions between them."""

from __future__ import annotations

import enum


class ConnectionState(enum.Enum):
    """State of a client connection, which determines how received bytes are handled."""

    READING = enum.auto()
    """Parses them as a request."""
    WAITING_FOR_RESPONSE = enum.auto()
    """Buffers them, as a request is with the driver."""
    LINGERING = enum.auto()
    """Drops them, as its last response is written; it ends when the client closes it."""


TRANSITIONS = {
    ConnectionState.READING: (ConnectionState.WAITING_FOR_RESPONSE, ConnectionState.LINGERING),
    ConnectionState.WAITING_FOR_RESPONSE: (ConnectionState.READING,),
    ConnectionState.LINGERING: (),
}
