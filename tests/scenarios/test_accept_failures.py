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
from pathlib import Path
from typing import Any

import pytest

from load_balancer.net.client import client_limits
from tests.support.endpoint_lists import (
    endpoint_entry,
    endpoint_list,
)
from tests.support.failing_sockets import (
    ERRNOS_OF_ONE_CONNECTION,
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

OF_NO_CONNECTION = [
    errno.EINTR,
    *ERRNOS_OF_RESOURCE_SHORTAGE,
    errno.EINVAL,
    errno.EIO,
]  # all behind it stays in the queue
EACH_ACCEPT = pytest.mark.parametrize(
    "error", [*ERRNOS_OF_ONE_CONNECTION, *OF_NO_CONNECTION], ids=lambda number: errno.errorcode[number]
)


@EACH_ACCEPT
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes")
async def test_accept_failures_are_logged_once_and_later_connections_are_served(
    error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        rule = socket_failures.add("accept", accepted_on(p.port), error, times=5)
        clients = [queue_request(p.port, f"r{n}") for n in range(8)]
        lost = 5 if error in ERRNOS_OF_ONE_CONNECTION else 0
        got = await asyncio.gather(*map(read_status_or_end, clients))
        assert sorted(got) == [0] * lost + [200] * (8 - lost)
        assert rule.hits == 5
        assert len(b.received) == 8 - lost
    assert not traceback_lines(caplog)
    assert len([line for line in problem_lines(caplog) if "connection" in line]) <= 1


@EACH_ACCEPT
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes", "at_most_one_problem_until_loop_closes")
async def test_accept_failure_during_shutdown_loses_only_the_failed_connection(
    error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    """What is open is answered, and each connection in the queue but the one that failed."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        reader, writer = await p.connect()
        writer.write(http_request(request_id="open"))
        assert response_status(await read_http_message(reader)) == 200
        socket_failures.add(
            "accept", accepted_on(p.port), error, times=1 if error in ERRNOS_OF_ONE_CONNECTION else 3
        )
        clients = [queue_request(p.port, f"r{n}") for n in range(6)]
        p.listener.stop_listening()  # as the shutdown calls it, before the event loop has turned
        assert not p.listener.is_drained
        got = await asyncio.gather(*map(read_status_or_end, clients))
        assert sorted(got) == [200 * (error not in ERRNOS_OF_ONE_CONNECTION), *[200] * 5]
        writer.write(http_request(request_id="again"))
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
        await wait_until(lambda: p.listener.acceptor.listening_socket.fileno() < 0)
        with pytest.raises(ConnectionRefusedError):
            await p.connect()
    assert not traceback_lines(caplog)
    assert len(problem_lines(caplog)) <= 1


@pytest.mark.parametrize("error", [errno.EINTR, errno.EMFILE, errno.EINVAL])
async def test_accept_that_keeps_failing_does_not_busy_the_event_loop(
    error: int, socket_failures: SocketFailures, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The listener stays readable all the while. Each wait is one timer, which the test lets run out."""
    waits: list[float] = []

    async with running_proxy(endpoint_entry("b", 9)) as p:
        rule = socket_failures.add("accept", accepted_on(p.port), error, times=sys.maxsize)
        call_later = p.listener.loop.call_later

        def waited(delay: float, *rest: Any) -> asyncio.TimerHandle:
            if rest[0] == p.listener.acceptor.resume:
                waits.append(delay)
            return call_later(delay, *rest)

        monkeypatch.setattr(p.listener.loop, "call_later", waited)
        client = queue_request(p.port, "r1")
        for _ in range(500):
            await asyncio.sleep(0)
        assert 0 < rule.hits <= client_limits.MAX_ACCEPTS_PER_TURN * len(waits)
        assert set(waits) == {client_limits.ACCEPT_RETRY_DELAY_S}
        socket_failures.clear()
        client.close()


async def test_accept_queue_is_served_during_shutdown_as_clients_leave(
    socket_failures: SocketFailures,
) -> None:
    """More wait there than there is room for, and all that have one are still at work."""

    begun, go_on = 0, asyncio.Event()

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal begun
        while True:
            await read_http_message(reader)
            begun += 1
            await go_on.wait()
            writer.write(http_response(200, b"x"))

    async with StandInServer(hold) as b, running_proxy(endpoint_entry("b", b.port), max_connections=2) as p:
        room = 2 + 8
        first = [asyncio.ensure_future(read_status_or_end(queue_request(p.port, f"a{n}"))) for n in range(2)]
        await wait_until(lambda: begun == 2)
        rest = [queue_request(p.port, f"r{n}") for n in range(2 * room)]
        p.listener.stop_listening()
        p.listener.close_idle_connections()
        assert p.clients.descriptor_count <= room
        assert not p.listener.is_drained
        go_on.set()
        got = [asyncio.ensure_future(read_status_or_end(one)) for one in rest]
        while not all(one.done() for one in got):
            p.listener.close_idle_connections()
            await asyncio.sleep(0)
        assert all(one.result() in (200, 503) for one in got)
        assert [await one for one in first] == [200, 200]


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


async def until_logged(made: asyncio.subprocess.Process, text: bytes) -> None:
    """Reads the log of a process up to a line with this text."""
    assert made.stderr is not None
    while text not in (line := await made.stderr.readline()):
        assert line, "it ended"


@pytest.mark.parametrize(("failed", "descriptors"), [(errno.ENETUNREACH, 0), (0, 40)], ids=["one", "EMFILE"])
async def test_process_with_failing_accept_answers_all_and_exits_on_shutdown(
    failed: int, descriptors: int, tmp_path: Path
) -> None:
    """Of one connection alone; and for a real lack of descriptors, which the settings don't tell of."""

    begun, go_on = asyncio.Event(), asyncio.Event()

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, headers, _ = await read_http_message(reader)
            if headers["req-id"] == "open":
                begun.set()
                await go_on.wait()
            writer.write(http_response(200, b"x"))

    async with StandInServer(hold) as b:
        # An answer is of use for long enough that one may still be open as it stops listening.
        lane = {"name": "read", "idempotency": "safe", "onTimeUs": 2_000_000, "deadlineUs": 9_000_000}
        settings = raw_settings(lanes=[{**lane, "lateValue": 0.5}], limits=LIMITS)
        told = proxy_config(known=endpoint_list(endpoint_entry("b", b.port)), settings=settings)
        env = {**os.environ, **write_config(tmp_path, told)}
        pipe = asyncio.subprocess.PIPE
        arguments = [sys.executable, "-c", PROCESS, str(failed), str(descriptors)]
        made = await asyncio.create_subprocess_exec(*arguments, cwd=ROOT, env=env, stdin=pipe, stderr=pipe)
        assert made.stdin is not None
        assert made.stderr is not None
        try:
            port = await read_listening_port(made)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(http_request(request_id="open", Req_Deadline="9.0"))
            await begun.wait()
            # These keep their connections, and with them all descriptors.
            crowd = [socket.create_connection(("127.0.0.1", port)) for _ in range(descriptors)]
            if descriptors:
                await until_logged(made, b"Too many open files")
            made.send_signal(signal.SIGTERM)
            await until_logged(made, b"about to stop listening")
            clients = [queue_request(port, f"r{n}") for n in range(6)]
            made.stdin.write(b"\n")
            got = await asyncio.gather(*map(read_status_or_end, clients))
            go_on.set()
            assert response_status(await read_http_message(reader)) == 200
            writer.close()
            assert sorted(got) == [0 if failed else 200, *[200] * 5]
            rest = await made.stderr.read()
            assert await made.wait() == 0
            assert b"Traceback" not in rest
            for one in crowd:
                one.close()
        finally:
            if made.returncode is None:
                made.kill()
            await made.wait()
