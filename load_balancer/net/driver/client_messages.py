"""What clients' connections and the event loop's driver hand to each other: a request and its response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """The one final response to a request."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(slots=True)
class ClientRequest:
    """A request as it came in, and what the driver keeps of it while it is open.

    `respond` is called at most once, and never after `EventLoopDriver.cancel_request`.
    """

    class_name: str
    time_left_us: int  # at `measured_at_s`, of what counts from the moment of its last byte
    measured_at_s: float  # by the event loop's clock
    tenant: str | None
    is_retry: bool  # of the client's own
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # those that are forwarded
    body: bytes
    respond: Callable[[ClientResponse], None]
    is_client_connected: Callable[[], bool]  # by what the system knows at this moment
    # Kept by the driver.
    attempt_count: int = field(default=0, init=False)
    # An attempt has failed without a response on a connection that had been idle for long.
    stale_connection_failed: bool = field(default=False, init=False)
    overdue_timer: asyncio.TimerHandle | None = field(default=None, init=False)
    deadline_at_s: float = field(default=0.0, init=False)  # by the event loop's clock
