"""The bytes that a client sent before their turn, together with the time at which they came.

A client may send its next requests before it has the response to the first one. A request's time counts from
its last byte, however long it waits behind another, so that the time of each read is kept with its bytes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from load_balancer.net.client import client_limits as limits


@dataclass(slots=True)
class BufferedTotal:
    """The bytes in the receive buffers of all connections."""

    size_bytes: int = 0


@dataclass(frozen=True, slots=True)
class ReceivedPiece:
    """What one read brought.

    Attributes:
        received_at_s: The event loop's time of the read.
        data: The bytes.
    """

    received_at_s: float
    data: bytes


class ReceiveBuffer:
    """The pieces that one connection has received and not parsed yet, in order."""

    def __init__(self, total: BufferedTotal) -> None:
        """Start empty.

        Args:
            total: The count over all connections, to which this buffer adds its own bytes.
        """
        self._total = total
        self._pieces: deque[ReceivedPiece] = deque()
        self.size_bytes = 0

    def __bool__(self) -> bool:
        """Return whether any piece is buffered."""
        return bool(self._pieces)

    @property
    def is_over_limit(self) -> bool:
        """Whether no more should be read, as this buffer or all of them together hold too much."""
        if self.size_bytes > limits.MAX_BUFFERED_BYTES_PER_CONNECTION:
            return True
        return bool(self) and self._total.size_bytes > limits.MAX_BUFFERED_BYTES

    def append(self, received_at_s: float, data: bytes) -> None:
        """Add what one read brought."""
        self._pieces.append(ReceivedPiece(received_at_s, data))
        self._add_size(len(data))

    def pop(self) -> ReceivedPiece:
        """Remove the oldest piece and return it. Raise IndexError where there is none."""
        piece = self._pieces.popleft()
        self._add_size(-len(piece.data))
        return piece

    def clear(self) -> None:
        """Drop all pieces."""
        self._pieces.clear()
        self._add_size(-self.size_bytes)

    def _add_size(self, change_bytes: int) -> None:
        self.size_bytes += change_bytes
        self._total.size_bytes += change_bytes
