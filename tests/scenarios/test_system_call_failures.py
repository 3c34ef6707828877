"""System calls that fail, or do half of what was asked: each concerns what it was made for, and that alone.

The failures are made at the boundary to the system, on real sockets, by a socket class that does as it is
told.
"""

from __future__ import annotations

import asyncio
import errno
import json
import logging
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest

from load_balancer import messages
from load_balancer.messages import Outcome
from load_balancer.net import socket_state
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.client import client_limits
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_watch import EndpointWatch
from load_balancer.net.upstream.connect_pacing import SHORTAGE_PAUSE_S
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.idle_connections import SETTLE_S
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamRequest
from load_balancer.policy.change_detector import PRIOR_SAMPLES
from load_balancer.policy.endpoint_state import COOL_DOWN_US
from load_balancer.policy.retry_budget import MAX_SAVED_RETRIES
from load_balancer.process.reload import MAX_RELOAD_RETRIES, RELOAD_RETRY_INTERVAL_S
from tests.support.attempts import RecordedAttempts, run_attempt
from tests.support.balancer_harness import BalancerHarness, actions_of_type
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.failing_sockets import (
    ERRNOS_OF_ONE_CONNECTION,
    SocketFailures,
    accepted_on,
    any_socket,
    connected_to,
)
from tests.support.http_messages import (
    http_request,
    http_response,
    read_http_message,
    response_status,
)
from tests.support.in_process_server import serving_in_process
from tests.support.log_lines import problem_lines, traceback_lines
from tests.support.loopback_proxy import running_proxy
from tests.support.proxy_process import (
    LIMITS,
    ROOT,
    proxy_config,
    raw_settings,
    read_listening_port,
    running_proxy_process,
    unused_port,
    write_config,
)
from tests.support.reload_harness import ReloadHarness
from tests.support.socket_client import queue_request, read_status_or_end
from tests.support.stand_in_discovery import StandInListServer
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import FrozenClock, SteppedClock, wait_until
from tests.support.time_limit import run_in_event_loop
from tests.support.units import MILLISECOND_US, SECOND_US

OF_A_LACK = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
OF_NO_CONNECTION = [errno.EINTR, *OF_A_LACK, errno.EINVAL, errno.EIO]  # all behind it stays in the queue
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


OF_THIS_MACHINE = [
    *(("socket", error) for error in OF_A_LACK),
    *(("connect", error) for error in (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM)),
]
EACH_LACK = pytest.mark.parametrize(
    ("name", "error"),
    OF_THIS_MACHINE,
    ids=[f"{name} {errno.errorcode[error]}" for name, error in OF_THIS_MACHINE],
)


@EACH_LACK
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes")
async def test_local_resource_shortage_is_not_blamed_on_the_endpoint(
    name: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        reader, writer = await p.connect()
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        rule = socket_failures.add(name, any_socket, error)
        writer.write(http_request())
        assert response_status(await read_http_message(reader)) == 200
        assert rule.hits == 1
        assert len(b.received) == 1
        assert not p.pool.pacing.no_extra_until_s
        [server] = p.driver.balancer.endpoints.states.values()
        assert server.detector.first_epoch_count == PRIOR_SAMPLES + 1  # of the answer alone
        assert p.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
        writer.close()
    assert not traceback_lines(caplog)


@EACH_LACK
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes")
async def test_lasting_local_resource_shortage_rejects_requests_at_once(
    name: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    """After as many tries as the settings allow, which cost no retry, and none of them goes on."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(*(endpoint_entry(f"b{n}", b.port) for n in range(5))) as p,
    ):
        reader, writer = await p.connect()
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        rule = socket_failures.add(name, any_socket, error, times=sys.maxsize)
        for answers in range(1, 31):
            writer.write(http_request(request_id=f"r{answers}"))
            assert response_status(await read_http_message(reader)) == 503
            assert rule.hits == 3 * answers
            assert p.driver.is_idle
        assert p.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
        assert not b.received
        assert not p.pool.pending.by_endpoint
        assert not p.pool.connections.open
        assert not p.pool.waiting.by_endpoint
        socket_failures.clear()
        writer.write(http_request(request_id="last"))
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
    assert not traceback_lines(caplog)


async def test_local_resource_shortage_beside_a_late_connect_is_not_retried_rapidly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt whose connection is late tries another one often, as one that fails at once is soon gone."""

    async with StandInEndpoint(http_response(200)) as b:
        pool = ConnectionPool(60.0, 60.0, 10)
        calls, connects = RecordedAttempts(pool, b), ConnectGates(pool, [0.005] * 10 + [1.0] * 5)
        made, tried = pool.connector.open, 0

        async def lacks_all_but_the_first(endpoint: EndpointAddress) -> UpstreamConnection:
            nonlocal tried
            tried += 1
            if tried > 1:
                raise OSError(errno.EADDRNOTAVAIL, "no local port")
            return await made(endpoint)

        monkeypatch.setattr(pool.connector, "open", lacks_all_but_the_first)
        calls.begin("a", timeout_s=5.0)
        began = pool.loop.time()
        for _ in range(200):
            await connects.advance(0.003)
        assert not calls.outcomes
        assert 1 < tried <= 2 + (pool.loop.time() - began) / SHORTAGE_PAUSE_S
        pool.close()


NO_WAY = pytest.mark.parametrize(
    "error", socket_state.NO_ROUTE_ERRNOS, ids=lambda number: errno.errorcode[number]
)


@NO_WAY
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes")
async def test_unreachable_endpoint_keeps_its_share_and_is_used_again(
    error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    """The requests that met it are served elsewhere. What its own refusal says is another matter."""

    async with (
        StandInEndpoint(http_response(200, b"a")) as a,
        StandInEndpoint(http_response(200, b"b")) as b,
        running_proxy(endpoint_entry("a", a.port), endpoint_entry("b", b.port)) as p,
    ):
        balancer = p.driver.balancer
        known = {
            p.driver.endpoint_list.endpoints.by_id[n].address[1]: server
            for n, server in balancer.endpoints.states.items()
        }
        lost, clock = known[a.port], FrozenClock()
        p.step_policy_clock_with(clock)
        rule = socket_failures.add("connect", connected_to(a.port), error, times=3)
        asked = 0

        async def ask() -> None:
            nonlocal asked
            asked += 1
            assert response_status(await p.send_request(http_request(request_id=f"r{asked}"))) == 200

        while rule.hits < 3:
            await ask()
            if p.driver.clock.now_us() < lost.unreachable_until_us:
                clock.advance(COOL_DOWN_US / SECOND_US)
        assert lost.detector.first_epoch_count == PRIOR_SAMPLES
        assert lost.share == 1.0
        assert not a.received
        endpoint = next(e for e in p.driver.endpoint_list.endpoints.by_id.values() if e.address[1] == a.port)
        assert (
            p.pool.pacing.no_extra_until_s[endpoint] <= p.pool.loop.time() + p.pool.pacing.connect_timeout_s
        )
        while not a.received:
            await ask()
        assert not p.pool.pacing.no_extra_until_s
        assert lost.unreachable_backoff_us == 0
    assert not traceback_lines(caplog)


def test_brief_loss_of_route_avoids_an_endpoint_briefly() -> None:
    """Four backends, a hundred requests a second; for 0.3 s one of them cannot be reached."""
    harness, number = BalancerHarness(endpoint_count=4), 0

    def ask(reached: bool) -> int:
        nonlocal number
        number += 1
        harness.now_us += 10 * MILLISECOND_US
        actions, attempt = harness.request(f"r{number}"), 0
        while True:
            [sent] = actions_of_type(actions, messages.StartAttempt)
            if sent.endpoint_id or reached:
                harness.end_attempt(sent, messages.Outcome.OK, 50 * MILLISECOND_US, attempt)
                return sent.endpoint_id
            actions = harness.end_attempt(sent, messages.Outcome.UNREACHABLE, 1 * MILLISECOND_US, attempt)
            attempt += 1

    for _ in range(200):
        ask(True)
    server = harness.balancer.endpoints.states[0]
    for _ in range(30):
        ask(False)
    assert server.unreachable_until_us
    harness.now_us = server.unreachable_until_us
    assert server.share > 0.8
    assert 60 < sum(ask(True) == 0 for _ in range(400)) < 140


def test_endpoint_unreachable_for_long_is_retried_at_intervals() -> None:
    """And where there is no other, each time: it is lowered, never removed."""
    harness, tries = BalancerHarness(endpoint_count=4), 0
    for number in range(6000):  # a minute
        harness.now_us += 10 * MILLISECOND_US
        actions, attempt = harness.request(f"r{number}"), 0
        while (sent := actions_of_type(actions, messages.StartAttempt)[0]).endpoint_id == 0:
            tries += 1
            actions = harness.end_attempt(sent, messages.Outcome.UNREACHABLE, 1 * MILLISECOND_US, attempt)
            attempt += 1
        harness.end_attempt(sent, messages.Outcome.OK, 50 * MILLISECOND_US, attempt)
    assert 60 * SECOND_US / COOL_DOWN_US <= tries <= 60 * SECOND_US / COOL_DOWN_US + 5
    alone = BalancerHarness(endpoint_count=1)
    for number in range(3):
        [sent] = actions_of_type(alone.request(f"r{number}"), messages.StartAttempt)
        [sent] = actions_of_type(
            alone.end_attempt(sent, messages.Outcome.UNREACHABLE, 1 * MILLISECOND_US), messages.StartAttempt
        )
        alone.end_attempt(sent, messages.Outcome.OK, 50 * MILLISECOND_US, 1)


class ReadFile:
    """The configuration file, each read of which a test may make fail."""

    def __init__(self, path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.reads, self.error = 0, 0
        read_bytes = Path.read_bytes

        def read(asked: Path) -> bytes:
            if asked == path:
                self.reads += 1
                if self.error:
                    raise OSError(self.error, os.strerror(self.error))
            return read_bytes(asked)

        monkeypatch.setattr(Path, "read_bytes", read)


SOUND = json.dumps(proxy_config(discovery="127.0.0.1:2"))
UNREADABLE: dict[str, int | str | None] = {
    "EIO": errno.EIO,
    "EMFILE": errno.EMFILE,
    "ENFILE": errno.ENFILE,
    "gone": None,
    "empty": "",
    "half": SOUND[:-20],
}


def spoil(path: Path, file: ReadFile, how: int | str | None) -> None:
    if how is None:
        path.unlink()
    elif isinstance(how, int):
        file.error = how
    else:
        path.write_text(how)


async def step(clock: SteppedClock, seconds: float) -> None:
    clock.advance(seconds)
    for _ in range(3):
        await asyncio.sleep(0)


@pytest.mark.parametrize("how", UNREADABLE.values(), ids=UNREADABLE.keys())
async def test_briefly_unreadable_configuration_is_reloaded_once_readable(
    how: int | str | None, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_proxy() as p:
        clock, r = SteppedClock(), ReloadHarness(tmp_path, p, caplog)
        file = ReadFile(r.path, monkeypatch)
        spoil(r.path, file, how)
        r.assert_rejected("NODE_CONFIG")
        for _ in range(12):
            await step(clock, RELOAD_RETRY_INTERVAL_S)
        assert not r.moved
        assert len(problem_lines(caplog)) == 1
        file.error = 0
        r.path.write_text(SOUND)
        await step(clock, RELOAD_RETRY_INTERVAL_S)
        assert r.moved == [("127.0.0.1", 2)]
        assert len(problem_lines(caplog)) == 1
        reads = file.reads
        await step(clock, 10.0)
        assert file.reads == reads
        assert len(r.moved) == 1


@pytest.mark.parametrize("how", UNREADABLE.values(), ids=UNREADABLE.keys())
async def test_unreadable_configuration_is_given_up_and_the_old_one_kept(
    how: int | str | None, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_proxy() as p:
        clock, r = SteppedClock(), ReloadHarness(tmp_path, p, caplog)
        file = ReadFile(r.path, monkeypatch)
        spoil(r.path, file, how)
        r.assert_rejected("NODE_CONFIG")
        for _ in range(100):
            await step(clock, RELOAD_RETRY_INTERVAL_S)
        assert not r.moved
        assert len(problem_lines(caplog)) == 1
        assert file.reads == 1 + MAX_RELOAD_RETRIES
        file.error = 0
        r.assert_still_follows()  # at the next signal


@pytest.mark.parametrize("then", ["another signal", "the end", "another fault"])
async def test_configuration_rereads_end_with(
    then: str, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """And what another signal brought is taken over once."""

    async with running_proxy() as p:
        clock, r = SteppedClock(), ReloadHarness(tmp_path, p, caplog)
        file = ReadFile(r.path, monkeypatch)
        spoil(r.path, file, None)
        r.assert_rejected("NODE_CONFIG")
        await step(clock, RELOAD_RETRY_INTERVAL_S)
        if then == "the end":
            r.reloader.close()
        elif then == "another fault":  # it can be read, and cannot be used
            r.path.write_text("[1]")
            await step(clock, RELOAD_RETRY_INTERVAL_S)
            assert "field settings" in problem_lines(caplog)[-1]
            assert len(problem_lines(caplog)) == 2
        else:
            r.assert_still_follows()
        reads = file.reads
        r.path.write_text(json.dumps(proxy_config(discovery="127.0.0.1:3")))
        for _ in range(30):
            await step(clock, RELOAD_RETRY_INTERVAL_S)
        assert file.reads == reads
        assert r.moved == ([("127.0.0.1", 2)] if then == "another signal" else [])


@pytest.mark.parametrize("serving", [True, False], ids=["serving", "not yet"])
async def test_configuration_rereads_end_at_shutdown(
    serving: bool, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.INFO)

    async with serving_in_process(tmp_path, unused_port(), proxy_config()) as clock:
        if serving:
            await wait_until(lambda: "listens on" in caplog.text)
        file = ReadFile(tmp_path / "config.json", monkeypatch)
        (tmp_path / "config.json").unlink()
        os.kill(os.getpid(), signal.SIGHUP)
        await wait_until(lambda: file.reads == 1)
    reads = file.reads
    for _ in range(100):
        await step(clock, RELOAD_RETRY_INTERVAL_S)
    assert reads == file.reads < 1 + MAX_RELOAD_RETRIES


async def test_process_follows_a_configuration_replaced_during_the_signal(
    tmp_path: Path,
) -> None:
    asked: asyncio.Queue[int] = asyncio.Queue()

    async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        asked.put_nowait(writer.get_extra_info("sockname")[1])
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("a", 9))))
        await reader.read()

    async with StandInServer(watch) as old, StandInServer(watch) as new:
        told = proxy_config(discovery=f"127.0.0.1:{old.port}")
        async with running_proxy_process(write_config(tmp_path, told)) as made:
            await read_listening_port(made)
            assert made.stderr is not None
            assert await asked.get() == old.port
            (tmp_path / "config.json").unlink()
            made.send_signal(signal.SIGHUP)
            while b"the old one stays" not in (line := await made.stderr.readline()):
                assert line, "it ended"
            write_config(tmp_path, {**told, "discovery": f"127.0.0.1:{new.port}"})
            assert await asked.get() == new.port
            (tmp_path / "config.json").unlink()
            made.send_signal(signal.SIGHUP)  # and one whose file never comes is no trouble at the end
            while b"the old one stays" not in (line := await made.stderr.readline()):
                assert line, "it ended"
            made.send_signal(signal.SIGTERM)
            rest = await made.stderr.read()
            assert await made.wait() == 0
            assert b"Traceback" not in rest


SIDES = ["caller", "backend", "discovery"]
NEVER_ENDING = sys.maxsize  # times
STANDING = [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ECONNRESET]
EACH_STANDING = pytest.mark.parametrize("error", STANDING, ids=lambda number: errno.errorcode[number])


@pytest.mark.parametrize("side", SIDES)
@pytest.mark.parametrize("name", ["recv", "send"])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_bytes_that_come_or_go_one_by_one_are_read_and_written_completely(
    name: str, side: str, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"said" * 50)) as b,
        StandInListServer(endpoint_list(endpoint_entry("b", b.port))) as d,
        running_proxy(discovery_port=d.port) as p,
    ):
        sides = {
            "caller": accepted_on(p.port),
            "backend": connected_to(b.port),
            "discovery": connected_to(d.port),
        }
        rule = socket_failures.add(name, sides[side], times=NEVER_ENDING)
        await wait_until(lambda: p.driver.is_ready)
        for number in range(2):
            got = await p.send_request(http_request("mark", request_id=f"r{number}", body=b"asked" * 50))
            assert (response_status(got), got[2]) == (200, b"said" * 50)
        assert [body for _, _, body in b.received] == [b"asked" * 50] * 2
        assert rule.hits > 50
        assert d.connection_count == 1
    assert not problem_lines(caplog)


@pytest.mark.parametrize("side", SIDES)
@pytest.mark.parametrize("name", ["recv", "send"])
def test_interrupted_system_calls_are_repeated(name: str, side: str, socket_failures: SocketFailures) -> None:
    """As it is told, though Python makes most such calls again by itself; and waits are, by real signals."""

    async def test() -> None:
        async with (
            StandInEndpoint(http_response(200, b"x")) as b,
            StandInListServer(endpoint_list(endpoint_entry("b", b.port))) as d,
            running_proxy(discovery_port=d.port) as p,
        ):
            sides = {
                "caller": accepted_on(p.port),
                "backend": connected_to(b.port),
                "discovery": connected_to(d.port),
            }
            rule = socket_failures.add(name, sides[side], errno.EINTR, times=3)
            await wait_until(lambda: p.driver.is_ready)
            for number in range(3):
                assert response_status(await p.send_request(http_request(request_id=f"r{number}"))) == 200
            assert rule.hits == 3
            assert len(b.received) == 3
            assert d.connection_count == 1

    rings = 0

    def ring(number: int, frame: object) -> None:
        nonlocal rings
        rings += 1

    before = signal.signal(signal.SIGALRM, ring)
    signal.setitimer(signal.ITIMER_REAL, 0.0005, 0.0005)
    try:
        run_in_event_loop(test)
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, before)
    assert rings


@pytest.mark.parametrize("all_but", [0, 1, 40])
async def test_request_counts_as_sent_with_its_last_byte(
    all_but: int, socket_failures: SocketFailures
) -> None:
    """The system takes a byte at a time, and then no more for now; the backend reads all that and breaks."""
    request = UpstreamRequest(
        b"GET", b"/api", [(b"host", b"x")], b"", is_idempotent=True, adds_deadline_header=False
    )
    whole = b"GET /api HTTP/1.1\r\nhost: x\r\n\r\n"
    all_but = min(all_but, len(whole) - 1)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await reader.readexactly(len(whole) - all_but) == whole[: len(whole) - all_but]

    async with StandInServer(handle) as b:
        pool = ConnectionPool(5.0, 30.0, 10)
        socket_failures.add("send", connected_to(b.port), times=len(whole) - all_but)
        socket_failures.add("send", connected_to(b.port), errno.EAGAIN, times=NEVER_ENDING)
        outcome, _ = await run_attempt(pool, ("127.0.0.1", b.port), request)
        assert outcome is (Outcome.NO_CONNECTION if all_but else Outcome.RESET)
        pool.close()


@EACH_STANDING
@pytest.mark.parametrize("name", ["recv", "send"])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_failed_client_connection_ends_only_its_own_attempt(
    name: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    held: dict[str, asyncio.StreamWriter] = {}
    ended: list[str] = []

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers, _ = await read_http_message(reader)
        held[headers["req-id"]] = writer
        await reader.read()
        ended.append(headers["req-id"])

    async with StandInServer(hold) as b, running_proxy(endpoint_entry("b", b.port)) as p:
        other_reader, other = await p.connect()
        other.write(http_request(request_id="other"))
        _, writer = await p.connect()
        writer.write(http_request(request_id="lost"))
        await wait_until(lambda: len(held) == 2)
        mine = writer.get_extra_info("sockname")
        rule = socket_failures.add(
            name, lambda made: accepted_on(p.port)(made) and made.getpeername() == mine, error
        )
        if name == "recv":
            writer.write(b"G")  # what comes makes it read
            await wait_until(lambda: ended == ["lost"])
        else:
            held["lost"].write(http_response(200, b"x"))
        await wait_until(lambda: rule.hits == 1 and len(p.clients.open_connections) == 1)
        held["other"].write(http_response(200, b"y"))
        assert (await read_http_message(other_reader))[2] == b"y"
        assert p.driver.is_idle
        assert not p.driver.requests.attempts.in_flight
        assert not p.clients.open_request_ids
        assert len(held) == 2  # no attempt was made for it again
        other.close()
        writer.close()
    assert not problem_lines(caplog)


@EACH_STANDING
@pytest.mark.parametrize("when", ["at the first byte", "half written", "half written, read", "written"])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_failed_endpoint_connection_tells_by_the_last_byte_whether_the_request_may_have_run(
    when: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    half = 10  # bytes

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if when == "written":
            await read_http_message(reader)
        else:
            await reader.readexactly(half)
        if when in ("half written, read", "written"):
            writer.write(b"HTTP")  # makes the proxy read
        await reader.read()

    async with StandInServer(handle) as b:
        pool = ConnectionPool(5.0, 30.0, 10)
        side = connected_to(b.port)
        if "half" in when:
            socket_failures.add("send", side, times=half)
        if when == "half written, read":
            socket_failures.add("send", side, errno.EAGAIN, times=NEVER_ENDING)
        reads = when in ("half written, read", "written")
        rule = socket_failures.add("recv" if reads else "send", side, error)
        outcome, _ = await run_attempt(pool, ("127.0.0.1", b.port))
        assert outcome is (Outcome.RESET if when == "written" else Outcome.NO_CONNECTION)
        assert rule.hits == 1
        await wait_until(lambda: not pool.connections.open)
        pool.close()
    assert not problem_lines(caplog)


@EACH_STANDING
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_failed_idle_connection_is_not_reused(
    error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        assert response_status(await p.send_request(http_request(request_id="r1"))) == 200
        await wait_until(lambda: bool(p.pool.idle.by_endpoint))
        socket_failures.add("recv", connected_to(b.port), error)
        b.writers[0].write(b"H")
        await wait_until(lambda: not p.pool.idle.by_endpoint and not p.pool.connections.open)
        assert response_status(await p.send_request(http_request(request_id="r2"))) == 200
        assert b.connection_count == 2
        assert p.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
    assert not problem_lines(caplog)


OF_A_CONNECT = [*socket_state.NO_ROUTE_ERRNOS, errno.ETIMEDOUT, errno.EADDRNOTAVAIL, errno.EAGAIN]
WATCH_FAILURES = [
    *(("recv", error) for error in STANDING),
    *(("send", error) for error in STANDING),
    *(("connect", error) for error in OF_A_CONNECT),
    *(("socket", error) for error in OF_A_LACK),
]
WATCH_FAILURE_IDS = [f"{name} {errno.errorcode[error]}" for name, error in WATCH_FAILURES]


@pytest.mark.parametrize(("name", "error"), WATCH_FAILURES, ids=WATCH_FAILURE_IDS)
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes", "at_most_one_problem_until_loop_closes")
async def test_failed_watch_is_reopened_and_logged_once(
    name: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    """Three times in a row; what discovery has then comes."""

    async with StandInListServer(endpoint_list(endpoint_entry("b", 9), rev=7)) as d:
        rule = socket_failures.add(
            name, any_socket if name == "socket" else connected_to(d.port), error, times=3
        )
        news: asyncio.Queue[EndpointListMessage | None] = asyncio.Queue()
        watch = EndpointWatch(
            ("127.0.0.1", d.port), news.put_nowait, lambda: news.put_nowait(None), 60.0, 60.0
        )
        for _ in range(3):
            watch.start()
            assert await news.get() is None
        assert rule.hits == 3
        watch.start()
        told = await news.get()
        assert told is not None
        assert told.version == 7
        watch.close()
    [line] = problem_lines(caplog)
    assert "watch on discovery broke: " in line
    assert "Traceback" not in line


class Unpolled:
    """A poll that the system refuses."""

    def __init__(self, error: int) -> None:
        self.error, self.asked = error, 0

    def register(self, *args: object) -> None:
        pass

    def poll(self, *args: object) -> list[tuple[int, int]]:
        self.asked += 1
        raise OSError(self.error, os.strerror(self.error))


@pytest.mark.parametrize("error", OF_A_LACK, ids=lambda number: errno.errorcode[number])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_requests_are_served_when_poll_fails(
    error: int, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The careful answer counts: a resting connection is not used, no client has left, none is closed."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        failing = Unpolled(error)
        reader, writer = await p.connect()
        idle_reader, idle = await p.connect()
        await wait_until(lambda: len(p.clients.open_connections) == 2)
        clock = SteppedClock()
        with monkeypatch.context() as patch:
            patch.setattr("load_balancer.net.socket_state.select.poll", lambda: failing)
            for number in range(3):
                writer.write(http_request(request_id=f"r{number}"))
                assert response_status(await read_http_message(reader)) == 200
                clock.advance(SETTLE_S)
            assert b.connection_count == 3
            assert failing.asked
            assert p.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
            clock.advance(1.0)
            p.listener.close_idle_connections()
            p.listener.sweep()
            assert len(p.clients.open_connections) == 2
            assert not p.listener.is_drained
        p.listener.close_idle_connections()  # it can tell again
        assert await idle_reader.read() == await reader.read() == b""
        writer.close()
        idle.close()
    assert not problem_lines(caplog)


@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_reset_at_the_end_of_sending_is_not_logged(
    socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        rule = socket_failures.add("shutdown", accepted_on(p.port), errno.ENOTCONN)
        reader, writer = await p.connect()
        writer.write(http_request() + b"nonsense\r\n\r\n")
        assert [response_status(await read_http_message(reader)) for _ in range(2)] == [200, 400]
        await wait_until(lambda: rule.hits == 1)
        writer.close()
        await wait_until(lambda: not p.clients.open_connections)
        assert response_status(await p.send_request(http_request(request_id="a2"))) == 200
        assert len(b.received) == 2
    assert not problem_lines(caplog)
