"""Queries for the current state of a connection in the operating system, and the meaning of its errors.

The event loop reads a socket only when its turn comes. A decision that must account for data that the loop
has not read yet, such as whether to write a request, queries the socket itself. The module has no state.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import select
import socket
import struct
import termios

# No descriptor or memory for another socket; see socket(2) and accept(2).
DESCRIPTOR_SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# A connect failed for lack of a local resource, such as a local port; see connect(2).
LOCAL_SHORTAGE_ERRNOS = (*DESCRIPTOR_SHORTAGE_ERRNOS, errno.EADDRNOTAVAIL, errno.EAGAIN)
# A connect failed in the network on the way to an endpoint, which is no evidence about the endpoint itself;
# see connect(2).
NO_ROUTE_ERRNOS = (errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENETUNREACH)


def has_unread_bytes(transport: asyncio.BaseTransport, *, default: bool = True) -> bool:
    """Return whether a connection has unread bytes or an unread end of stream.

    Args:
        transport: The connection's transport.
        default: The result if the system cannot report the state.
    """
    events = _poll_events(transport, select.POLLIN)
    return default if events is None else bool(events)


def unread_byte_count(transport: asyncio.BaseTransport) -> int:
    """Return the number of bytes that a connection has received and not read.

    The result is 0 if the system cannot tell, or if the connection is closing.
    """
    if transport.is_closing():
        return 0
    buffer = bytearray(struct.calcsize("i"))
    try:
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, buffer)
    except OSError:
        return 0
    return int(struct.unpack("i", buffer)[0])


def is_closed_by_remote(transport: asyncio.BaseTransport) -> bool:
    """Return whether the remote side is known to send no more, even if earlier bytes are still unread."""
    events = _poll_events(transport, select.POLLRDHUP) or 0
    return bool(events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR))


def has_never_connected(transport: asyncio.BaseTransport) -> bool:
    """Return whether a connect failed without leaving an error on the socket.

    connect(2) may fail with EAGAIN, which asyncio treats as "in progress". A connection that was established
    and then reset leaves an error, and one that the remote side has closed still has a remote address.
    """
    if transport.get_extra_info("peername") is not None or transport.is_closing():
        return False
    error = transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return bool(error == 0)


def _poll_events(transport: asyncio.BaseTransport, event_mask: int) -> int | None:
    """Return the events that poll(2) reports now, or None if it fails, for example for lack of memory."""
    try:
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), event_mask)
        return next((events for _, events in poll.poll(0)), 0)
    except OSError:
        return None
