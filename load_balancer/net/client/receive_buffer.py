"""Buffer of received bytes that have not been parsed, with the time at which they were received.

A client may send further requests before it has the response to the first one. The deadline of a request
counts from the receipt of its last byte, even while it waits behind another request. Therefore the time of
each read is stored with its bytes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from load_balancer.net.client import client_limits as limits
from load_balancer.net.memory_budget import MemoryBudget
from load_balancer.net.receive_scheduler import expected_parsing_s


@dataclass(slots=True)
class BufferedTotal:
    """Total number of bytes in the receive buffers of all connections, and what it is limited by.

    Attributes:
        budget: The memory budget of the process. The limits are shares of its limit on requests.
        size_bytes: The total.
    """

    budget: MemoryBudget = field(default_factory=MemoryBudget)
    size_bytes: int = 0

    @property
    def limit_bytes(self) -> float:
        """Connections with buffered bytes are not read above this total."""
        return min(limits.MAX_BUFFERED_BYTES, limits.READ_AHEAD_SHARE * self.budget.limits.requests_bytes)

    @property
    def connection_limit_bytes(self) -> float:
        """A connection is not read while what it has buffered takes more memory than this."""
        return limits.CONNECTION_READ_AHEAD_SHARE * self.budget.limits.requests_bytes


@dataclass(frozen=True, slots=True)
class ReceivedPiece:
    """Bytes of one read.

    Attributes:
        received_at_s: Event loop time of the read.
        data: The bytes.
    """

    received_at_s: float
    data: bytes


class ReceiveBuffer:
    """FIFO buffer of the bytes that one connection has received and not parsed yet."""

    def __init__(self, total: BufferedTotal) -> None:
        """Create an empty buffer.

        Args:
            total: The total over all connections, which this buffer updates.
        """
        self._total = total
        self._pieces: deque[ReceivedPiece] = deque()
        self.size_bytes = 0

    def __bool__(self) -> bool:
        """Return whether any piece is buffered."""
        return bool(self._pieces)

    @property
    def is_over_limit(self) -> bool:
        """Whether to pause reading: this buffer is over its limit, or it is not empty and the total is."""
        if not self._pieces:
            return False
        if self.size_bytes > limits.MAX_BUFFERED_BYTES_PER_CONNECTION:
            return True
        if self.memory_bytes > self._total.connection_limit_bytes:
            return True
        return self._total.size_bytes > self._total.limit_bytes

    @property
    def memory_bytes(self) -> int:
        """Memory that the buffered pieces take."""
        return self.size_bytes + len(self._pieces) * limits.PIECE_BYTES

    @property
    def expected_parsing_s(self) -> float:
        """Expected time to parse the oldest piece in seconds; 0 if there is none."""
        return expected_parsing_s(self._pieces[0].data) if self._pieces else 0.0

    def append(self, received_at_s: float, data: bytes) -> None:
        """Append the bytes of one read."""
        self._pieces.append(ReceivedPiece(received_at_s, data))
        self._add_size(len(data))

    def pop(self) -> ReceivedPiece:
        """Remove and return the oldest piece. Raise IndexError if the buffer is empty."""
        piece = self._pieces.popleft()
        self._add_size(-len(piece.data))
        return piece

    def clear(self) -> None:
        """Discard all pieces."""
        self._pieces.clear()
        self._add_size(-self.size_bytes)

    def _add_size(self, change_bytes: int) -> None:
        self.size_bytes += change_bytes
        self._total.size_bytes += change_bytes
