"""Limits on client connections: buffered bytes, work in each turn of the event loop, and descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import resource
import socket
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager

import pytest

from load_balancer.net import repeated_log_lines
from load_balancer.net.client import client_limits
from load_balancer.process.descriptor_limits import RESERVED_DESCRIPTORS
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message, response_status
from tests.support.loopback_proxy import running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint, StandInEndpoint
from tests.support.stepped_clock import SteppedClock, run_loop_turns, wait_until


class Turns:
    """The most that is done of something in one turn of the event loop."""

    def __init__(self) -> None:
        self.all = self.most = self._now = 0
        self._loop = asyncio.get_running_loop()
        self._turn()

    def _turn(self) -> None:
        self._now = 0
        self._handle = self._loop.call_soon(self._turn)

    def count(self) -> None:
        self.all += 1
        self._now += 1
        self.most = max(self.most, self._now)

    def stop(self) -> None:
        self._handle.cancel()


def chunks(count: int) -> bytes:
    """A request whose body comes one byte a chunk."""
    head = http_request("mark", request_id="chunks", Content_Length="0").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    return head + b"1\r\nx\r\n" * count + b"0\r\n\r\n"


@pytest.mark.parametrize(
    ("sent", "answers"),
    [
        (http_request(path="/ready") * 1000, 1000),
        (
            b"".join(http_request(request_id=f"r{n}", Req_Deadline="0") for n in range(1000)),
            1000,
        ),  # ended as they come
        (chunks(20_000), 1),
    ],
    ids=["ready", "refused", "chunks"],
)
async def test_parsing_and_responses_are_bounded_in_each_turn(
    sent: bytes, answers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        client = SocketClient(p)
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        [connection] = p.clients.open_connections
        events, answered = Turns(), Turns()
        counted(monkeypatch, connection.http, "next_event", events)
        counted(monkeypatch, connection, "write_response", answered)
        reader, writer = await client.streams()
        writer.write(sent)
        got = [response_status(await read_http_message(reader)) for _ in range(answers)]
        assert set(got) <= {200, 502, 503}
        assert got[0] == 200 or not b.received
        # Where bytes come in a turn that has been taken already, that is one more step.
        assert 0 < answered.most <= 2
        assert events.most <= 2 * client_limits.MAX_EVENTS_PER_TURN
        events.stop()
        answered.stop()
        writer.close()


def counted(monkeypatch: pytest.MonkeyPatch, of: object, name: str, turns: Turns) -> None:
    function: Callable[..., object] = getattr(of, name)

    def called(*args: object, **named: object) -> object:
        turns.count()
        return function(*args, **named)

    monkeypatch.setattr(of, name, called)


KINDS = {"silent": b"", "half": b"GET /api HTTP/1.1\r\nHost", "asked": http_request(path="/ready")}
FIXED = (
    8  # descriptors for standard streams, the event loop and its wake-up, the listener, and one for a file
)
WATCHES = 2  # one that stands or comes up, and one that is just being closed


class Broken:
    """A listener whose connections have ended before anything can be set on them."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener

    def accept(self) -> tuple[socket.socket, object]:
        accepted, address = self._listener.accept()
        accepted.close()
        return accepted, address


async def test_connection_that_ends_while_it_is_accepted_leaves_nothing_behind(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        with monkeypatch.context() as patch:
            patch.setattr(
                p.listener.acceptor, "listening_socket", Broken(p.listener.acceptor.listening_socket)
            )
            clients = [SocketClient(p) for _ in range(40)]
            for client in clients:
                client.socket.setblocking(False)
                assert await p.listener.loop.sock_recv(client.socket, 1) == b""
                client.socket.close()
            await wait_until(lambda: not p.listener.acceptor.admission_tasks)
        assert p.clients.descriptor_count == 0
        assert "Traceback" not in caplog.text
        assert caplog.text.count("lost while it was accepted") == 1
        assert response_status(await p.send_request(http_request())) == 200


@pytest.mark.parametrize("kind", [*KINDS, "open"])
async def test_connection_flood_uses_no_more_descriptors_than_its_limit(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also on the way from the accept to a place, and from a close to its end. A client then gets in."""

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port), max_connections=64) as p:
        accepted: list[socket.socket] = []
        admit = p.listener.acceptor.admit

        def listen(connection: socket.socket) -> Coroutine[None, None, None]:
            accepted.append(connection)
            return admit(connection)

        monkeypatch.setattr(p.listener.acceptor, "admit", listen)
        clients = [SocketClient(p) for _ in range(400)]
        for n, client in enumerate(clients):
            client.send(KINDS[kind] if kind != "open" else http_request(request_id=f"r{n}"))
        most = 0
        while len(accepted) < 400:
            await asyncio.sleep(0)
            most = max(most, sum(a.fileno() >= 0 for a in accepted))
        assert most - 64 <= RESERVED_DESCRIPTORS - FIXED - WATCHES
        await run_loop_turns()
        assert (
            p.clients.descriptor_count
            == len(p.clients.open_connections)
            == sum(a.fileno() >= 0 for a in accepted)
        )
        if kind != "open":
            ready, _, _ = await p.send_request(http_request(path="/ready"))
            assert ready.split()[1] == "200"
        for client in clients:
            client.disconnect("RST")
        await wait_until(lambda: not p.clients.open_connections)
        await run_loop_turns()
        assert p.clients.descriptor_count == 0


@contextmanager
def no_descriptors() -> Iterator[None]:
    """The system gives this process none for as long as this lasts."""
    with socket.socket() as free:
        lowest = free.fileno()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def test_descriptor_shortage_is_logged_once_when_it_begins_and_ends(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """It is met again every 0.05 s while it lasts, and who waits for one is served afterwards."""
    caplog.set_level(logging.INFO, logger="load_balancer.net.client.connection_acceptor")

    def lines() -> list[str]:
        return [
            r.getMessage() for r in caplog.records if r.name == "load_balancer.net.client.connection_acceptor"
        ]

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        clock = SteppedClock()
        for _ in range(2):  # a second spell is told of again
            caplog.clear()
            met, client = Turns(), SocketClient(p)
            with pytest.MonkeyPatch.context() as patch, no_descriptors():
                counted(patch, p.listener.acceptor.descriptor_faults, "record", met)
                for n in range(30):
                    await wait_until(lambda n=n, met=met: met.all > n)  # type: ignore[misc]
                    clock.advance(client_limits.ACCEPT_RETRY_DELAY_S)
            met.stop()
            assert lines() == ["no descriptor for a connection: [Errno 24] Too many open files"]
            client.send(http_request(path="/ready"))
            reader, writer = await client.streams()
            assert response_status(await read_http_message(reader)) == 200
            clock.advance(repeated_log_lines.QUIET_PERIOD_S + client_limits.SWEEP_INTERVAL_S)
            await wait_until(lambda: len(lines()) > 1)
            assert lines()[1:] == [f"no descriptor for a connection: over, {met.all} times in all"]
            writer.close()
            clock.advance(repeated_log_lines.QUIET_PERIOD_S + client_limits.SWEEP_INTERVAL_S)
            await run_loop_turns()
            assert len(lines()) == 2


async def test_connections_aborted_before_accept_are_logged_once(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):

        async def fails(*args: object) -> None:
            raise ConnectionAbortedError("gone")

        with monkeypatch.context() as patch:
            patch.setattr(p.listener.loop, "connect_accepted_socket", fails)
            clients = [SocketClient(p) for _ in range(100)]
            for client in clients:
                client.socket.setblocking(False)
                with contextlib.suppress(ConnectionError):
                    assert await p.listener.loop.sock_recv(client.socket, 1) == b""
                client.socket.close()
        assert caplog.text.count("lost while it was accepted") == 1
        assert p.clients.descriptor_count == 0
        assert response_status(await p.send_request(http_request())) == 200


async def test_bytes_buffered_for_all_clients_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whatever the system has of each of them: one read each at the most goes over the limit for all."""
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES", 100_000)
    callers = 40

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port)) as p:
        clients = [SocketClient(p) for _ in range(callers)]
        await wait_until(lambda: len(p.clients.open_connections) == callers)
        for n, client in enumerate(clients):  # all of it before any is read
            client.socket.setblocking(False)
            client.socket.send(
                http_request(request_id=f"r{n}")
                + http_request("mark", request_id=f"s{n}", body=b"x" * 60_000) * 10
            )
        connections = list(p.clients.open_connections)
        await wait_until(lambda: all(not c.transport.is_reading() for c in connections))
        assert len(p.driver.requests) == callers  # each with its own request open
        assert 100_000 < p.clients.buffered.size_bytes <= 100_000 + callers * client_limits.READ_SIZE_BYTES
        assert p.clients.buffered.size_bytes == sum(c.http.received.size_bytes for c in connections)
        for client in clients:
            client.disconnect("RST")
        await wait_until(lambda: not p.clients.open_connections)
        assert p.clients.buffered.size_bytes == 0


async def test_connection_is_not_evicted_while_its_request_is_parsed() -> None:
    """All of it has come by then."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port), max_connections=1) as p,
    ):
        client = SocketClient(p)
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        [connection] = p.clients.open_connections
        client.send(chunks(2_500))  # in one read, and in 25 turns
        await wait_until(lambda: connection.is_processing_scheduled)
        other = SocketClient(p)
        other.send(http_request(request_id="other"))
        await wait_until(lambda: len(p.clients.open_connections) == 2)
        assert connection.is_processing_scheduled
        assert connection in p.clients.unused_connections
        for one, expected in ((client, 200), (other, 503)):
            reader, writer = await one.streams()
            assert response_status(await read_http_message(reader)) == expected
            writer.close()
        assert [headers["req-id"] for _, headers, _ in b.received] == ["chunks"]
