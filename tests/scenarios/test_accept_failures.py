"""Failures of the accept system call: each one loses at most the connection that the call was for.

The failures are injected at the system call boundary of real sockets, by `FailingSocket`.
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

# When `accept` fails with one of these, all connections stay in the queue.
ERRNOS_WITHOUT_LOST_CONNECTION = [
    errno.EINTR,
    *ERRNOS_OF_RESOURCE_SHORTAGE,
    errno.EINVAL,
    errno.EIO,
]
EACH_ACCEPT_ERROR = pytest.mark.parametrize(
    "error",
    [*ERRNOS_OF_LOST_CONNECTION, *ERRNOS_WITHOUT_LOST_CONNECTION],
    ids=lambda number: errno.errorcode[number],
)


@EACH_ACCEPT_ERROR
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


@EACH_ACCEPT_ERROR
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes", "at_most_one_problem_until_loop_closes")
async def test_accept_failure_during_shutdown_loses_only_the_failed_connection(
    error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    """Open connections and all queued ones get their responses, except the one whose accept failed."""

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
        proxy.listener.stop_listening()  # as on shutdown, before the event loop has run
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
async def test_persistent_accept_failure_does_not_spin_the_event_loop(
    error: int, socket_failures: SocketFailures, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The listening socket stays readable throughout; each pause between two tries is one timer."""
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
    """Endpoint that holds back its responses: to all requests, or only to the one with a given id.

    Attributes:
        held_count: Number of requests subject to `may_respond`, including those that came once it was set.
        is_holding: Set once the first such request has been received.
        may_respond: Set by the test to release all responses.
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


async def test_accept_queue_is_served_during_shutdown_as_connections_are_freed(
    socket_failures: SocketFailures,
) -> None:
    """The accept queue exceeds the connection limit, and the connections established so far are busy."""

    async with (
        HoldingEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=2) as proxy,
    ):
        connection_limit = 2 + 8  # max_connections + MAX_CONNECTIONS_OVER_LIMIT
        first_statuses = [
            asyncio.ensure_future(read_status_or_end(queue_request(proxy.port, f"a{number}")))
            for number in range(2)
        ]
        await wait_until(lambda: endpoint.held_count == 2)
        queued_clients = [queue_request(proxy.port, f"r{number}") for number in range(2 * connection_limit)]
        proxy.listener.stop_listening()
        proxy.listener.close_idle_connections()
        assert proxy.clients.descriptor_count <= connection_limit
        assert not proxy.listener.is_drained
        endpoint.may_respond.set()
        statuses = [asyncio.ensure_future(read_status_or_end(connection)) for connection in queued_clients]
        while not all(status.done() for status in statuses):
            proxy.listener.close_idle_connections()
            await asyncio.sleep(0)
        assert all(status.result() in (200, 503) for status in statuses)
        assert [await status for status in first_statuses] == [200, 200]


FAILING_ACCEPT_PROGRAM = """
import resource, socket, sys
import load_balancer.process.command as program
from load_balancer.net.client.client_listener import ClientListener

accept_error, descriptor_limit = int(sys.argv[1]), int(sys.argv[2])
listen, stop_listening = ClientListener.listen, ClientListener.stop_listening
accept, pending_errors = socket.socket.accept, []

def listen_and_limit_descriptors(listener, address):
    bound_address = listen(listener, address)
    if descriptor_limit:  # not earlier: the proxy derives its connection limit from the limit at its start
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))
    return bound_address

def wait_and_stop_listening(listener):
    if not pending_errors:
        pending_errors.append(accept_error)
        print("about to stop listening", file=sys.stderr, flush=True)
        sys.stdin.readline()
    stop_listening(listener)

def accept_or_fail(listener):
    accepted = accept(listener)
    if pending_errors and pending_errors[0]:
        pending_errors[0] = 0
        accepted[0].close()
        raise OSError(accept_error, "injected accept failure")
    return accepted

ClientListener.listen = listen_and_limit_descriptors
ClientListener.stop_listening = wait_and_stop_listening
socket.socket.accept = accept_or_fail
sys.exit(program.main())
"""


async def read_log_until(process: asyncio.subprocess.Process, text: bytes) -> None:
    """Read the log of a process up to and including a line with this text."""
    assert process.stderr is not None
    while text not in (line := await process.stderr.readline()):
        assert line, "the process ended before it logged the expected line"


@asynccontextmanager
async def process_with_failing_accept(
    tmp_path: Path, endpoint: StandInServer, accept_error: int, descriptor_limit: int
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a proxy process whose accept fails on shutdown, with this error or for lack of descriptors."""
    # A late response keeps its value long enough for a request to be open when the process stops listening.
    request_class = {"name": "read", "idempotency": "safe", "onTimeUs": 2_000_000, "deadlineUs": 9_000_000}
    settings = raw_settings(lanes=[{**request_class, "lateValue": 0.5}], limits=LIMITS)
    config = proxy_config(known=endpoint_list(endpoint_entry("b", endpoint.port)), settings=settings)
    env = {**os.environ, **write_config(tmp_path, config)}
    pipe = asyncio.subprocess.PIPE
    arguments = [sys.executable, "-c", FAILING_ACCEPT_PROGRAM, str(accept_error), str(descriptor_limit)]
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
    await read_log_until(process, b"about to stop listening")
    clients = [queue_request(port, f"r{number}") for number in range(6)]
    process.stdin.write(b"\n")
    return await asyncio.gather(*map(read_status_or_end, clients))


@pytest.mark.parametrize(
    ("accept_error", "descriptor_limit"), [(errno.ENETUNREACH, 0), (0, 40)], ids=["lost connection", "EMFILE"]
)
async def test_process_with_failing_accept_responds_to_all_and_exits_on_shutdown(
    accept_error: int, descriptor_limit: int, tmp_path: Path
) -> None:
    """Accept fails for one connection, or for a real shortage of descriptors below the configured limit."""
    async with (
        HoldingEndpoint(held_id="open") as endpoint,
        process_with_failing_accept(tmp_path, endpoint, accept_error, descriptor_limit) as process,
    ):
        port = await read_listening_port(process)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(http_request(request_id="open", Req_Deadline="9.0"))
        await endpoint.is_holding.wait()
        # Idle clients use up all descriptors.
        idle_clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(descriptor_limit)]
        if descriptor_limit:
            await read_log_until(process, b"Too many open files")
        statuses = await statuses_at_shutdown(process, port)
        endpoint.may_respond.set()
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
        assert sorted(statuses) == [0 if accept_error else 200, *[200] * 5]
        assert process.stderr is not None
        remaining_log = await process.stderr.read()
        assert await process.wait() == 0
        assert b"Traceback" not in remaining_log
        for client in idle_clients:
            client.close()
