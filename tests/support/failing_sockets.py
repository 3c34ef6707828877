"""Sockets whose system calls fail, or do half of what was asked, as a test says.

The failures are made at the boundary to the system, on real sockets. The fixture `socket_failures` makes all
sockets of a test's process so.
"""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar

SocketFilter = Callable[[socket.socket], bool]

# After these from `accept`, the system has taken one connection out of its queue.
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
# An open connection ends with one of these.
ERRNOS_OF_BROKEN_CONNECTION = [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ECONNRESET]


def accepted_on(port: int) -> SocketFilter:
    """Select the listener on this port, and the connections that it has accepted."""
    return lambda checked: bool(checked.getsockname()[1] == port)


def connected_to(port: int) -> SocketFilter:
    """Select sockets that are connected to this port, or about to be."""
    return lambda checked: bool(getattr(checked, "target_port", None) == port)


def any_socket(checked: socket.socket) -> bool:
    """Select all sockets."""
    return True


@dataclass
class SocketFailure:
    """What happens to one system call on some sockets, the next few times."""

    call: str  # its name: socket, accept, connect, recv, send, shutdown
    applies_to: SocketFilter
    error: int = 0  # 0: the call moves one byte only
    times: int = 1
    hit_count: int = 0

    def exception(self) -> OSError:
        """Return the error as the call raises it."""
        return OSError(self.error, os.strerror(self.error))


class SocketFailures:
    """The failures in force. Each holds until it is used up; the first that fits counts."""

    def __init__(self) -> None:
        self._failures: list[SocketFailure] = []

    def add(self, call: str, applies_to: SocketFilter, error: int = 0, times: int = 1) -> SocketFailure:
        """Let a system call fail with this error on some sockets, the next few times."""
        failure = SocketFailure(call, applies_to, error, times)
        self._failures.append(failure)
        return failure

    def clear(self) -> None:
        """Let all calls succeed from now on."""
        self._failures.clear()

    def next_failure(self, call: str, checked: socket.socket) -> SocketFailure | None:
        """Use up and return the failure that fits this call, if there is one."""
        for failure in self._failures:
            if failure.call == call and failure.hit_count < failure.times and failure.applies_to(checked):
                failure.hit_count += 1
                return failure
        return None


class FailingSocket(socket.socket):
    """Asks the failures in force before each system call."""

    failures: ClassVar[SocketFailures]

    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        if named.get("fileno") is None and (failure := self.failures.next_failure("socket", self)):
            self.close()
            raise failure.exception()

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection, unless the call is to fail."""
        if failure := self.failures.next_failure("accept", self):
            if failure.error in ERRNOS_OF_LOST_CONNECTION:
                super().accept()[0].close()
            raise failure.exception()
        return super().accept()

    def connect(self, address: Any) -> None:
        """Connect, unless the call is to fail."""
        self.target_port = address[1]
        if failure := self.failures.next_failure("connect", self):
            raise failure.exception()
        super().connect(address)

    def recv(self, size: int, *flags: int) -> bytes:
        """Receive bytes, one where the call is to be cut short."""
        return super().recv(self._allowed_bytes("recv", size), *flags)

    def recv_into(self, buffer: Any, size: int = 0, *flags: int) -> int:
        """Receive bytes, one where the call is to be cut short."""
        return super().recv_into(buffer, self._allowed_bytes("recv", size or len(buffer)), *flags)

    def send(self, data: Any, *flags: int) -> int:
        """Send bytes, one where the call is to be cut short."""
        return super().send(data[: self._allowed_bytes("send", len(data))], *flags)

    def shutdown(self, how: int) -> None:
        """Shut down a side, unless the call is to fail."""
        if failure := self.failures.next_failure("shutdown", self):
            raise failure.exception()
        super().shutdown(how)

    def _allowed_bytes(self, call: str, size: int) -> int:
        """Return how many bytes the call may move, which a failure may cut to one."""
        failure = self.failures.next_failure(call, self)
        if failure is not None and failure.error:
            raise failure.exception()
        return size if failure is None else min(size, 1)
