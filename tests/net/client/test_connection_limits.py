"""Limits on client connections: buffered bytes, work per turn of the event loop, and descriptors."""

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
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint, StandInEndpoint
from tests.support.stepped_clock import FrozenClock, SteppedClock, run_loop_turns, wait_until


class TurnCounter:
    """Counter of calls: their total, and the maximum in one turn of the event loop."""

    def __init__(self) -> None:
        self.total = self.max_per_turn = self._this_turn = 0
        self._loop = asyncio.get_running_loop()
        self._start_turn()

    def _start_turn(self) -> None:
        self._this_turn = 0
        self._handle = self._loop.call_soon(self._start_turn)

    def count(self) -> None:
        self.total += 1
        self._this_turn += 1
        self.max_per_turn = max(self.max_per_turn, self._this_turn)

    def stop(self) -> None:
        self._handle.cancel()


def chunked_request(count: int) -> bytes:
    """Return a request with `count` chunks of one byte as its body."""
    head = http_request("mark", request_id="chunks", Content_Length="0").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    return head + b"1\r\nx\r\n" * count + b"0\r\n\r\n"


@pytest.mark.parametrize(
    ("sent", "response_count"),
    [
        (http_request(path="/ready") * 1000, 1000),
        (
            b"".join(http_request(request_id=f"r{number}", Req_Deadline="0") for number in range(1000)),
            1000,
        ),  # ended on arrival
        (chunked_request(20_000), 1),
    ],
    ids=["ready", "expired", "chunks"],
)
async def test_parsing_and_responses_are_bounded_in_each_turn(
    sent: bytes, response_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Parsing all requests takes a second of real time, and longer on a busy machine.
    monkeypatch.setattr(client_limits, "REQUEST_TIMEOUT_S", 60.0)
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        client = SocketClient(proxy)
        await wait_until(lambda: len(proxy.clients.open_connections) == 1)
        [connection] = proxy.clients.open_connections
        parsed_events, written_responses = TurnCounter(), TurnCounter()
        count_calls(monkeypatch, connection.http, "next_event", parsed_events)
        count_calls(monkeypatch, connection, "write_response", written_responses)
        reader, writer = await client.streams()
        writer.write(sent)
        statuses = [response_status(await read_http_message(reader)) for _ in range(response_count)]
        assert set(statuses) <= {200, 502, 503}
        assert statuses[0] == 200 or not endpoint.received
        # Two processing steps may run in one turn: a scheduled one, and one for bytes read after it.
        assert 0 < written_responses.max_per_turn <= 2
        assert parsed_events.max_per_turn <= 2 * client_limits.MAX_EVENTS_PER_ITERATION
        parsed_events.stop()
        written_responses.stop()
        writer.close()


def count_calls(monkeypatch: pytest.MonkeyPatch, target: object, name: str, counter: TurnCounter) -> None:
    function: Callable[..., object] = getattr(target, name)

    def count_and_call(*args: object, **kwargs: object) -> object:
        counter.count()
        return function(*args, **kwargs)

    monkeypatch.setattr(target, name, count_and_call)


SENT_BYTES = {"silent": b"", "partial": b"GET /api HTTP/1.1\r\nHost", "complete": http_request(path="/ready")}
FIXED_DESCRIPTORS = 8  # standard streams, event loop and its wake-up sockets, listener, and one for a file
FLOOD_SIZE = 400
MAX_WATCH_CONNECTIONS = 2  # an open or connecting one, and one that is being closed


class ClosingListeningSocket:
    """Listening socket that closes each connection as soon as it is accepted."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener

    def accept(self) -> tuple[socket.socket, object]:
        accepted, address = self._listener.accept()
        accepted.close()
        return accepted, address


async def test_connection_that_ends_while_it_is_accepted_releases_its_descriptor(
    proxy: LoopbackProxy, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(
            proxy.listener.acceptor,
            "listening_socket",
            ClosingListeningSocket(proxy.listener.acceptor.listening_socket),
        )
        clients = [SocketClient(proxy) for _ in range(40)]
        for client in clients:
            client.socket.setblocking(False)
            assert await proxy.listener.loop.sock_recv(client.socket, 1) == b""
            client.socket.close()
        await wait_until(lambda: not proxy.listener.acceptor.registration_tasks)
    assert proxy.clients.descriptor_count == 0
    assert "Traceback" not in caplog.text
    assert caplog.text.count("lost while it was accepted") == 1
    assert response_status(await proxy.send_request(http_request())) == 200


def open_socket_count(accepted: list[socket.socket]) -> int:
    return sum(connection.fileno() >= 0 for connection in accepted)


async def connect_flood(
    proxy: LoopbackProxy, kind: str, accepted: list[socket.socket]
) -> tuple[list[SocketClient], int]:
    """Connect 400 clients. Return them and the maximum number of their descriptors open at the same time."""
    clients = [SocketClient(proxy) for _ in range(FLOOD_SIZE)]
    for number, client in enumerate(clients):
        client.send(SENT_BYTES[kind] if kind != "open" else http_request(request_id=f"r{number}"))
    max_open_count = 0
    while len(accepted) < FLOOD_SIZE:
        await asyncio.sleep(0)
        max_open_count = max(max_open_count, open_socket_count(accepted))
    return clients, max_open_count


@pytest.mark.parametrize("kind", [*SENT_BYTES, "open"])
async def test_connection_flood_uses_no_more_descriptors_than_its_limit(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection counts from accept until its socket is closed. A new client is served after the flood."""
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=64) as proxy,
    ):
        accepted: list[socket.socket] = []
        register_connection = proxy.listener.acceptor.register_connection

        def record_and_register(connection: socket.socket) -> Coroutine[None, None, None]:
            accepted.append(connection)
            return register_connection(connection)

        monkeypatch.setattr(proxy.listener.acceptor, "register_connection", record_and_register)
        clients, max_open_count = await connect_flood(proxy, kind, accepted)
        assert max_open_count - 64 <= RESERVED_DESCRIPTORS - FIXED_DESCRIPTORS - MAX_WATCH_CONNECTIONS
        await run_loop_turns()
        assert (
            proxy.clients.descriptor_count
            == len(proxy.clients.open_connections)
            == open_socket_count(accepted)
        )
        if kind != "open":
            ready, _, _ = await proxy.send_request(http_request(path="/ready"))
            assert ready.split()[1] == "200"
        for client in clients:
            client.disconnect("RST")
        await wait_until(lambda: not proxy.clients.open_connections)
        await run_loop_turns()
        assert proxy.clients.descriptor_count == 0


@contextmanager
def no_free_descriptors() -> Iterator[None]:
    """Lower the descriptor limit of the process, so that it can open no further descriptor."""
    with socket.socket() as probe:
        lowest = probe.fileno()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def make_accepts_fail(proxy: LoopbackProxy, clock: SteppedClock, min_failure_count: int) -> int:
    """Make at least `min_failure_count` accepts fail for lack of a descriptor, and return their number."""
    failures = TurnCounter()
    with pytest.MonkeyPatch.context() as patch, no_free_descriptors():
        count_calls(patch, proxy.listener.acceptor.descriptor_faults, "record", failures)
        for number in range(min_failure_count):
            await wait_until(lambda number=number: failures.total > number)  # type: ignore[misc]
            clock.advance(client_limits.ACCEPT_RETRY_DELAY_S)
    failures.stop()
    return failures.total


ACCEPTOR_LOG = "load_balancer.net.client.connection_acceptor"


def acceptor_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records if record.name == ACCEPTOR_LOG]


async def test_descriptor_shortage_is_logged_once_when_it_begins_and_ends(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The accept is retried every 0.05 s. A waiting client is served once the shortage has ended."""
    caplog.set_level(logging.INFO, logger=ACCEPTOR_LOG)
    quiet_s = repeated_log_lines.QUIET_PERIOD_S + client_limits.SWEEP_INTERVAL_S
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        clock = FrozenClock()
        for _ in range(2):  # a second shortage is logged again
            caplog.clear()
            client = SocketClient(proxy)
            failure_count = await make_accepts_fail(proxy, clock, min_failure_count=30)
            begin_line = "no descriptor for a connection: [Errno 24] Too many open files"
            assert acceptor_lines(caplog) == [begin_line]
            client.send(http_request(path="/ready"))
            assert await client.read_statuses(1) == [200]
            clock.advance(quiet_s)
            await wait_until(lambda: len(acceptor_lines(caplog)) > 1)
            end_line = f"no descriptor for a connection: ended after {failure_count} occurrences"
            assert acceptor_lines(caplog)[1:] == [end_line]
            clock.advance(quiet_s)
            await run_loop_turns()
            assert len(acceptor_lines(caplog)) == 2


async def test_connections_lost_during_registration_are_logged_once(
    proxy: LoopbackProxy, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def raise_aborted(*args: object) -> None:
        raise ConnectionAbortedError("gone")

    with monkeypatch.context() as patch:
        patch.setattr(proxy.listener.loop, "connect_accepted_socket", raise_aborted)
        clients = [SocketClient(proxy) for _ in range(100)]
        for client in clients:
            client.socket.setblocking(False)
            with contextlib.suppress(ConnectionError):
                assert await proxy.listener.loop.sock_recv(client.socket, 1) == b""
            client.socket.close()
    assert caplog.text.count("lost while it was accepted") == 1
    assert proxy.clients.descriptor_count == 0
    assert response_status(await proxy.send_request(http_request())) == 200


async def test_bytes_buffered_for_all_clients_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """The total limit is exceeded by at most one read per connection, however much the clients send."""
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES", 100_000)
    client_count = 40

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        clients = [SocketClient(proxy) for _ in range(client_count)]
        await wait_until(lambda: len(proxy.clients.open_connections) == client_count)
        for number, client in enumerate(clients):  # all bytes are sent before any of them are read
            client.socket.setblocking(False)
            client.socket.send(
                http_request(request_id=f"r{number}")
                + http_request("mark", request_id=f"s{number}", body=b"x" * 60_000) * 10
            )
        connections = list(proxy.clients.open_connections)
        # A late event loop also pauses connections whose bytes wait for their turn.
        await wait_until(lambda: len(proxy.driver.requests) >= client_count)
        await wait_until(lambda: all(not connection.transport.is_reading() for connection in connections))
        assert len(proxy.driver.requests) == client_count  # one open request per client
        assert (
            100_000
            < proxy.clients.buffered_total.size_bytes
            <= 100_000 + client_count * client_limits.READ_SIZE_BYTES
        )
        assert proxy.clients.buffered_total.size_bytes == sum(
            connection.http.received.size_bytes for connection in connections
        )
        for client in clients:
            client.disconnect("RST")
        await wait_until(lambda: not proxy.clients.open_connections)
        assert proxy.clients.buffered_total.size_bytes == 0


async def test_connection_is_not_evicted_while_its_request_is_parsed() -> None:
    """Its request has been received in full and is parsed over several turns of the event loop."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=1) as proxy,
    ):
        client = SocketClient(proxy)
        await wait_until(lambda: len(proxy.clients.open_connections) == 1)
        [connection] = proxy.clients.open_connections
        client.send(chunked_request(2_500))  # received in one read, parsed in 25 turns
        await wait_until(lambda: connection.is_processing_scheduled)
        other = SocketClient(proxy)
        other.send(http_request(request_id="other"))
        await wait_until(lambda: len(proxy.clients.open_connections) == 2)
        assert connection.is_processing_scheduled
        assert connection in proxy.clients.unused_connections
        for socket_client, expected in ((client, 200), (other, 503)):
            reader, writer = await socket_client.streams()
            assert response_status(await read_http_message(reader)) == expected
            writer.close()
        assert [headers["req-id"] for _, headers, _ in endpoint.received] == ["chunks"]
