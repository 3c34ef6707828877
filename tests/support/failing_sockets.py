"""Sockets whose system calls fail or move only one byte, as configured by a test.

The failures are injected at the system call boundary of real sockets. The fixture `socket_failures` replaces
the socket class of the test's process.
"""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar

SocketFilter = Callable[[socket.socket], bool]

# When `accept` fails with one of these, the system has removed one connection from its queue.
ERRNOS_OF_LOST_CONNECTION = [
    errno.ECONNABORTED,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
    errno.ETIMEDOUT,
]

ERRNOS_OF_RESOURCE_SHORTAGE = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
# Errors that end an established connection.
ERRNOS_OF_BROKEN_CONNECTION = [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ECONNRESET]


def accepted_on(port: int) -> SocketFilter:
    """Select the listener on this port and the connections that it has accepted."""
    return lambda candidate: bool(candidate.getsockname()[1] == port)


def connected_to(port: int) -> SocketFilter:
    """Select sockets that are connected or connecting to this port."""
    return lambda candidate: bool(getattr(candidate, "target_port", None) == port)


def any_socket(candidate: socket.socket) -> bool:
    """Select all sockets."""
    return True


@dataclass
class SocketFailure:
    """A failure of one system call on the selected sockets, for the next `times` calls."""

    call: str  # name of the call: socket, accept, connect, recv, send, shutdown
    applies_to: SocketFilter
    error: int = 0  # errno; 0: the call moves only one byte
    times: int = 1
    hit_count: int = 0

    def exception(self) -> OSError:
        """Return the exception that the call raises."""
        return OSError(self.error, os.strerror(self.error))


class SocketFailures:
    """The active failures. Each applies until used up; the first one that matches a call is used."""

    def __init__(self) -> None:
        self._failures: list[SocketFailure] = []

    def add(self, call: str, applies_to: SocketFilter, error: int = 0, times: int = 1) -> SocketFailure:
        """Add a failure of a system call on the selected sockets, for its next `times` calls."""
        failure = SocketFailure(call, applies_to, error, times)
        self._failures.append(failure)
        return failure

    def clear(self) -> None:
        """Remove all failures."""
        self._failures.clear()

    def next_failure(self, call: str, candidate: socket.socket) -> SocketFailure | None:
        """Return the first failure that matches this call, and count its use; None if there is none."""
        for failure in self._failures:
            if failure.call == call and failure.hit_count < failure.times and failure.applies_to(candidate):
                failure.hit_count += 1
                return failure
        return None


class FailingSocket(socket.socket):
    """Socket that applies the active failures before each system call."""

    failures: ClassVar[SocketFailures]

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        if kwargs.get("fileno") is None and (failure := self.failures.next_failure("socket", self)):
            self.close()
            raise failure.exception()

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection, or raise the injected error."""
        if failure := self.failures.next_failure("accept", self):
            if failure.error in ERRNOS_OF_LOST_CONNECTION:
                super().accept()[0].close()
            raise failure.exception()
        return super().accept()

    def connect(self, address: Any) -> None:
        """Connect, or raise the injected error."""
        self.target_port = address[1]
        if failure := self.failures.next_failure("connect", self):
            raise failure.exception()
        super().connect(address)

    def recv(self, size: int, *flags: int) -> bytes:
        """Receive bytes; at most one if a failure shortens the call."""
        return super().recv(self._allowed_bytes("recv", size), *flags)

    def recv_into(self, buffer: Any, size: int = 0, *flags: int) -> int:
        """Receive bytes; at most one if a failure shortens the call."""
        return super().recv_into(buffer, self._allowed_bytes("recv", size or len(buffer)), *flags)

    def send(self, data: Any, *flags: int) -> int:
        """Send bytes; only one if a failure shortens the call."""
        return super().send(data[: self._allowed_bytes("send", len(data))], *flags)

    def shutdown(self, how: int) -> None:
        """Shut down one or both directions, or raise the injected error."""
        if failure := self.failures.next_failure("shutdown", self):
            raise failure.exception()
        super().shutdown(how)

    def _allowed_bytes(self, call: str, size: int) -> int:
        """Return how many bytes the call may move: at most one if a failure shortens it."""
        failure = self.failures.next_failure(call, self)
        if failure is not None and failure.error:
            raise failure.exception()
        return size if failure is None else min(size, 1)
