"""Buffer of received bytes: their order, their times, and their count over all connections."""

from __future__ import annotations

import pytest

from load_balancer.net.client import client_limits
from load_balancer.net.client.receive_buffer import BufferedTotal, ReceiveBuffer, ReceivedPiece


@pytest.fixture
def total() -> BufferedTotal:
    return BufferedTotal()


def test_pieces_are_popped_in_order_with_their_received_times(total: BufferedTotal) -> None:
    buffer = ReceiveBuffer(total)
    buffer.append(1.0, b"ab")
    buffer.append(2.0, b"c")
    assert buffer.pop() == ReceivedPiece(1.0, b"ab")
    assert buffer.pop() == ReceivedPiece(2.0, b"c")
    assert not buffer


def test_each_byte_is_counted_until_it_is_popped_or_cleared(total: BufferedTotal) -> None:
    one, other = ReceiveBuffer(total), ReceiveBuffer(total)
    one.append(1.0, b"abc")
    one.append(1.0, b"d")
    other.append(1.0, b"ef")
    assert (one.size_bytes, other.size_bytes, total.size_bytes) == (4, 2, 6)
    one.pop()
    assert (one.size_bytes, total.size_bytes) == (1, 3)
    one.clear()
    assert (one.size_bytes, total.size_bytes) == (0, 2)
    assert not one


def test_buffer_is_over_limit_beyond_its_own_maximum(
    total: BufferedTotal, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 3)
    buffer = ReceiveBuffer(total)
    buffer.append(1.0, b"abc")
    assert not buffer.is_over_limit
    buffer.append(1.0, b"d")
    assert buffer.is_over_limit


def test_beyond_the_total_maximum_only_non_empty_buffers_are_over_limit(
    total: BufferedTotal, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise a connection without buffered bytes would not be read while other buffers fill the total."""
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES", 3)
    full, little, empty = (ReceiveBuffer(total) for _ in range(3))
    full.append(1.0, b"abc")
    assert not full.is_over_limit
    little.append(1.0, b"d")
    assert full.is_over_limit
    assert little.is_over_limit
    assert not empty.is_over_limit
