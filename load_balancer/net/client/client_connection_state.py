"""The states of a client's connection, and which of them may follow which."""

from __future__ import annotations

import enum


class ConnectionState(enum.Enum):
    """What a connection does with the bytes that come."""

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
