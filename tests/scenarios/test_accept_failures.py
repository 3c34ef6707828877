"""System calls to accept a connection that fail: each costs at most the connection that it was made for.

The failures are made at the boundary to the system, on real sockets, by a socket class that does as it is
told.
"""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from load_balancer.net.client import client_limits
from tests.support.endpoint_lists import (
    endpoint_entry,
    endpoint_list,
)
from tests.support.failing_sockets import (
    ERRNOS_OF_LOST_CONNECTION,
    ERRNOS_OF_RESOURCE_SHORTAGE,
    SocketFailures,
    accepted_on,
)
from tests.support.http_messages import (
    http_request,
    http_response,
    read_http_message,
    response_status,
)
from tests.support.log_lines import problem_lines, traceback_lines
from tests.support.loopback_proxy import running_proxy
from tests.support.proxy_process import (
    LIMITS,
    ROOT,
    proxy_config,
    raw_settings,
    read_listening_port,
    write_config,
)
from tests.support.socket_client import queue_request, read_status_or_end
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import wait_until

ERRNOS_BEFORE_A_CONNECTION = [
    errno.EINTR,
    *ERRNOS_OF_RESOURCE_SHORTAGE,
    errno.EINVAL,
    errno.EIO,
]  # all connections stay in the queue
EACH_ACCEPT = pytest.mark.parametrize(
    "error",
    [*ERRNOS_OF_LOST_CONNECTION, *ERRNOS_BEFORE_A_CONNECTION],
    ids=lambda number: errno.errorcode[number],
)


@EACH_ACCEPT
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes")
async def test_accept_failures_are_logged_once_and_later_connections_are_served(
    error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        failure = socket_failures.add("accept", accepted_on(proxy.port), error, times=5)
        clients = [queue_request(proxy.port, f"r{number}") for number in range(8)]
        lost_count = 5 if error in ERRNOS_OF_LOST_CONNECTION else 0
        statuses = await asyncio.gather(*map(read_status_or_end, clients))
        assert sorted(statuses) == [0] * lost_count + [200] * (8 - lost_count)
        assert failure.hit_count == 5
        assert len(endpoint.received) == 8 - lost_count
    assert not traceback_lines(caplog)
    assert len([line for line in problem_lines(caplog) if "connection" in line]) <= 1


@EACH_ACCEPT
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes", "at_most_one_problem_until_loop_closes")
async def test_accept_failure_during_shutdown_loses_only_the_failed_connection(
    error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    """What is open is answered, and each connection in the queue but the one that failed."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        reader, writer = await proxy.connect()
        writer.write(http_request(request_id="open"))
        assert response_status(await read_http_message(reader)) == 200
        socket_failures.add(
            "accept", accepted_on(proxy.port), error, times=1 if error in ERRNOS_OF_LOST_CONNECTION else 3
        )
        clients = [queue_request(proxy.port, f"r{number}") for number in range(6)]
        proxy.listener.stop_listening()  # as the shutdown calls it, before the event loop has turned
        assert not proxy.listener.is_drained
        statuses = await asyncio.gather(*map(read_status_or_end, clients))
        assert sorted(statuses) == [200 * (error not in ERRNOS_OF_LOST_CONNECTION), *[200] * 5]
        writer.write(http_request(request_id="again"))
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
        await wait_until(lambda: proxy.listener.acceptor.listening_socket.fileno() < 0)
        with pytest.raises(ConnectionRefusedError):
            await proxy.connect()
    assert not traceback_lines(caplog)
    assert len(problem_lines(caplog)) <= 1


@pytest.mark.parametrize("error", [errno.EINTR, errno.EMFILE, errno.EINVAL])
async def test_accept_that_keeps_failing_does_not_busy_the_event_loop(
    error: int, socket_failures: SocketFailures, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The listening socket stays readable all the while; each pause between two tries is one timer."""
    delays_s: list[float] = []

    async with running_proxy(endpoint_entry("b", 9)) as proxy:
        failure = socket_failures.add("accept", accepted_on(proxy.port), error, times=sys.maxsize)
        call_later = proxy.listener.loop.call_later

        def record_delay(delay: float, *arguments: Any) -> asyncio.TimerHandle:
            if arguments[0] == proxy.listener.acceptor.resume:
                delays_s.append(delay)
            return call_later(delay, *arguments)

        monkeypatch.setattr(proxy.listener.loop, "call_later", record_delay)
        client = queue_request(proxy.port, "r1")
        for _ in range(500):
            await asyncio.sleep(0)
        assert 0 < failure.hit_count <= client_limits.MAX_ACCEPTS_PER_ITERATION * len(delays_s)
        assert set(delays_s) == {client_limits.ACCEPT_RETRY_DELAY_S}
        socket_failures.clear()
        client.close()


class HoldingEndpoint(StandInServer):
    """Holds its responses until it may respond: to all requests, or just to the one with a given id.

    Attributes:
        held_count: How many requests it has held so far, even where it might respond at once.
        is_holding: Set with the first of them.
        may_respond: Set by the test to let all responses go.
    """

    def __init__(self, held_id: str | None = None) -> None:
        super().__init__(self._respond)
        self._held_id, self.held_count = held_id, 0
        self.is_holding, self.may_respond = asyncio.Event(), asyncio.Event()

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, headers, _ = await read_http_message(reader)
            if self._held_id in (None, headers["req-id"]):
                self.held_count += 1
                self.is_holding.set()
                await self.may_respond.wait()
            writer.write(http_response(200, b"x"))


async def test_accept_queue_is_served_during_shutdown_as_clients_leave(
    socket_failures: SocketFailures,
) -> None:
    """More connections wait there than the proxy may hold, and those that it holds have open requests."""

    async with (
        HoldingEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=2) as proxy,
    ):
        connection_limit = 2 + 8
        first = [
            asyncio.ensure_future(read_status_or_end(queue_request(proxy.port, f"a{number}")))
            for number in range(2)
        ]
        await wait_until(lambda: endpoint.held_count == 2)
        remaining = [queue_request(proxy.port, f"r{number}") for number in range(2 * connection_limit)]
        proxy.listener.stop_listening()
        proxy.listener.close_idle_connections()
        assert proxy.clients.descriptor_count <= connection_limit
        assert not proxy.listener.is_drained
        endpoint.may_respond.set()
        statuses = [asyncio.ensure_future(read_status_or_end(connection)) for connection in remaining]
        while not all(status.done() for status in statuses):
            proxy.listener.close_idle_connections()
            await asyncio.sleep(0)
        assert all(status.result() in (200, 503) for status in statuses)
        assert [await status for status in first] == [200, 200]


PROCESS = """
import resource, socket, sys
import load_balancer.__main__ as program
from load_balancer.net.client.client_listener import ClientListener

failed, descriptors = int(sys.argv[1]), int(sys.argv[2])
listen, stop = ClientListener.listen, ClientListener.stop_listening
accept, ending = socket.socket.accept, []

def listens(listener, address):
    where = listen(listener, address)
    if descriptors:  # only now: it sizes itself by the limit at its start
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
    return where

def stops(listener):
    if not ending:
        ending.append(failed)
        print("it is about to stop listening", file=sys.stderr, flush=True)
        sys.stdin.readline()
    stop(listener)

def fails(listener):
    accepted = accept(listener)
    if ending and ending[0]:
        ending[0] = 0
        accepted[0].close()
        raise OSError(failed, "of this connection")
    return accepted

ClientListener.listen, ClientListener.stop_listening = listens, stops
socket.socket.accept = fails
sys.exit(program.main())
"""


async def until_logged(process: asyncio.subprocess.Process, text: bytes) -> None:
    """Read the log of a process up to a line with this text."""
    assert process.stderr is not None
    while text not in (line := await process.stderr.readline()):
        assert line, "it ended"


@asynccontextmanager
async def process_with_failing_accept(
    tmp_path: Path, endpoint: StandInServer, failed: int, descriptors: int
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a proxy process whose accept fails at shutdown, by this error or for want of descriptors."""
    # A response is of use for long enough that a request may still be open as the process stops listening.
    request_class = {"name": "read", "idempotency": "safe", "onTimeUs": 2_000_000, "deadlineUs": 9_000_000}
    settings = raw_settings(lanes=[{**request_class, "lateValue": 0.5}], limits=LIMITS)
    config = proxy_config(known=endpoint_list(endpoint_entry("b", endpoint.port)), settings=settings)
    env = {**os.environ, **write_config(tmp_path, config)}
    pipe = asyncio.subprocess.PIPE
    arguments = [sys.executable, "-c", PROCESS, str(failed), str(descriptors)]
    process = await asyncio.create_subprocess_exec(*arguments, cwd=ROOT, env=env, stdin=pipe, stderr=pipe)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def statuses_at_shutdown(process: asyncio.subprocess.Process, port: int) -> list[int]:
    """Shut the process down, and return the statuses of six requests in its accept queue at that moment."""
    assert process.stdin is not None
    process.send_signal(signal.SIGTERM)
    await until_logged(process, b"about to stop listening")
    clients = [queue_request(port, f"r{number}") for number in range(6)]
    process.stdin.write(b"\n")
    return await asyncio.gather(*map(read_status_or_end, clients))


@pytest.mark.parametrize(("failed", "descriptors"), [(errno.ENETUNREACH, 0), (0, 40)], ids=["one", "EMFILE"])
async def test_process_with_failing_accept_answers_all_and_exits_on_shutdown(
    failed: int, descriptors: int, tmp_path: Path
) -> None:
    """It fails for one connection, or for a real shortage of descriptors, which the settings don't name."""
    async with (
        HoldingEndpoint(held_id="open") as endpoint,
        process_with_failing_accept(tmp_path, endpoint, failed, descriptors) as process,
    ):
        port = await read_listening_port(process)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(http_request(request_id="open", Req_Deadline="9.0"))
        await endpoint.is_holding.wait()
        # These keep their connections, and with them all descriptors.
        idle_clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(descriptors)]
        if descriptors:
            await until_logged(process, b"Too many open files")
        statuses = await statuses_at_shutdown(process, port)
        endpoint.may_respond.set()
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
        assert sorted(statuses) == [0 if failed else 200, *[200] * 5]
        assert process.stderr is not None
        remaining_log = await process.stderr.read()
        assert await process.wait() == 0
        assert b"Traceback" not in remaining_log
        for client in idle_clients:
            client.close()
