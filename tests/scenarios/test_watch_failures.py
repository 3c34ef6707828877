"""System calls of the watch on discovery that fail: the watch is reopened.

The failures are injected at the system call boundary of real sockets, by `FailingSocket`.
"""

from __future__ import annotations

import asyncio
import errno

import pytest

from load_balancer.net import socket_state
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_watch import EndpointWatch, WatchCallbacks, WatchTimeouts
from tests.support.endpoint_lists import (
    endpoint_entry,
    endpoint_list,
)
from tests.support.failing_sockets import (
    ERRNOS_OF_BROKEN_CONNECTION,
    ERRNOS_OF_RESOURCE_SHORTAGE,
    SocketFailures,
    any_socket,
    connected_to,
)
from tests.support.log_lines import problem_lines
from tests.support.stand_in_discovery import StandInListServer

ERRNOS_OF_FAILED_CONNECT = [*socket_state.NO_ROUTE_ERRNOS, errno.ETIMEDOUT, errno.EADDRNOTAVAIL, errno.EAGAIN]
WATCH_FAILURES = [
    *(("recv", error) for error in ERRNOS_OF_BROKEN_CONNECTION),
    *(("send", error) for error in ERRNOS_OF_BROKEN_CONNECTION),
    *(("connect", error) for error in ERRNOS_OF_FAILED_CONNECT),
    *(("socket", error) for error in ERRNOS_OF_RESOURCE_SHORTAGE),
]
WATCH_FAILURE_IDS = [f"{call} {errno.errorcode[error]}" for call, error in WATCH_FAILURES]


@pytest.mark.parametrize(("call", "error"), WATCH_FAILURES, ids=WATCH_FAILURE_IDS)
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes", "at_most_one_problem_until_loop_closes")
async def test_failed_watch_is_reopened_and_logged_once(
    call: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    """It fails three times in a row; the fourth watch receives the current list."""

    async with StandInListServer(endpoint_list(endpoint_entry("b", 9), rev=7)) as discovery:
        failure = socket_failures.add(
            call, any_socket if call == "socket" else connected_to(discovery.port), error, times=3
        )
        received_lists: asyncio.Queue[EndpointListMessage | None] = asyncio.Queue()
        watch = EndpointWatch(
            ("127.0.0.1", discovery.port),
            WatchCallbacks(received_lists.put_nowait, lambda failure: received_lists.put_nowait(None)),
            WatchTimeouts((60.0,), 60.0),
        )
        for _ in range(3):
            watch.start()
            assert await received_lists.get() is None
        assert failure.hit_count == 3
        watch.start()
        message = await received_lists.get()
        assert message is not None
        assert message.version == 7
        watch.close()
    [line] = problem_lines(caplog)
    assert "watch on discovery failed: " in line
    assert "Traceback" not in line
