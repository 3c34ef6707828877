"""What the operating system knows of a connection at this moment, and what its errors mean.

The event loop reads a socket only when its turn comes. A decision that must not rest on what the loop has
not read yet, such as to write a request, looks at the socket itself. There is no state here.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket

# No descriptor or memory for one more socket, by socket(2) and accept(2).
DESCRIPTOR_SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# A connect failed because this machine lacks something, such as local ports, by connect(2).
LOCAL_SHORTAGE_ERRNOS = (*DESCRIPTOR_SHORTAGE_ERRNOS, errno.EADDRNOTAVAIL, errno.EAGAIN)
# A connect failed on the way to an endpoint, by connect(2): this says nothing of the endpoint itself.
NO_ROUTE_ERRNOS = (errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENETUNREACH)


def has_unread_bytes(transport: asyncio.BaseTransport, *, default: bool = True) -> bool:
    """Return whether there is anything to read from a connection, the end of its stream included.

    Args:
        transport: The connection's transport.
        default: What to return where the system cannot tell.
    """
    events = _poll_events(transport, select.POLLIN)
    return default if events is None else bool(events)


def is_closed_by_remote(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other side is known to send no more, be it behind bytes that are not read yet."""
    events = _poll_events(transport, select.POLLRDHUP) or 0
    return bool(events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR))


def has_never_connected(transport: asyncio.BaseTransport) -> bool:
    """Return whether a connect failed and left no error behind.

    connect(2) may fail with EAGAIN, which asyncio takes for "in progress". A socket that was connected and
    has been reset leaves its error, and one that has ended still has a remote address.
    """
    if transport.get_extra_info("peername") is not None or transport.is_closing():
        return False
    error = transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return bool(error == 0)


def _poll_events(transport: asyncio.BaseTransport, event_mask: int) -> int | None:
    """Return the events that poll(2) reports now, or none where it fails, as for lack of memory."""
    try:
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), event_mask)
        return next((events for _, events in poll.poll(0)), 0)
    except OSError:
        return None
