"""An attempt is not written when its client disconnects just before the write."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from load_balancer.net.client import client_limits
from load_balancer.net.client.client_connection import ClientConnection
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.pending_connects import PendingConnect
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamRequest
from tests.net.client.test_disconnected_client_attempts import (
    DECLINED_RESPONSE,
    DISCONNECT_KINDS,
    has_no_request_state,
    settings_with_cancel,
)
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint, StandInServer
from tests.support.stepped_clock import run_loop_turns, wait_until

WRITE_PATHS = ["connection established", "idle connection", "idle connection settles", "retry"]


class WriteHook:
    """Hook that calls `before_write` after the last clock reading before the write of an attempt."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.is_armed = False
        self.call_count = 0
        unpatched: property = vars(UpstreamAttempt)["time_remaining_s"]

        def intercepted(attempt: UpstreamAttempt) -> float:
            time_remaining_s: float = unpatched.__get__(attempt)
            if self.is_armed:
                self.is_armed = False
                self.call_count += 1
                self.before_write()
            return time_remaining_s

        monkeypatch.setattr(UpstreamAttempt, "time_remaining_s", property(intercepted))

    def before_write(self) -> None:
        raise NotImplementedError


def request_count(endpoints: tuple[StandInServer, StandInServer]) -> int:
    return sum(len(endpoint.received) for endpoint in endpoints)


async def open_idle_connections(proxy: LoopbackProxy, endpoints: tuple[StandInServer, StandInServer]) -> None:
    """Add one idle connection to each endpoint to the pool."""
    for address in proxy.driver.endpoint_list.endpoints.by_id.values():
        request = UpstreamRequest(b"GET", b"/", [(b"host", b"x")], b"", is_idempotent=True)
        proxy.pool.start_attempt(address, request, 5.0, lambda outcome, response: None)
    await wait_until(lambda: request_count(endpoints) == 2)
    for connection in list(proxy.pool.connections.open):
        connection.data_received(http_response(200, b"x"))


async def send_request(proxy: LoopbackProxy, client: SocketClient, paused: bool) -> ClientConnection:
    """Send a request, followed by enough bytes to pause reading if `paused`, and return the connection."""
    await wait_until(lambda: len(proxy.clients.open_connections) == 1)
    [connection] = proxy.clients.open_connections
    client.socket.setblocking(False)
    behind = http_request("mark", request_id="behind", body=b"x" * 60_000) if paused else b""
    await proxy.listener.loop.sock_sendall(client.socket, http_request() + behind)
    return connection


@dataclass
class InterceptedWrite:
    """An attempt that was intercepted just before its write, with its client and its endpoints."""

    proxy: LoopbackProxy
    endpoints: tuple[StandInServer, StandInServer]
    client: SocketClient
    connection: ClientConnection
    gate: ConnectGates
    requests_before: int  # requests that the endpoints had received before this write


@asynccontextmanager
async def intercepted_write(
    write_hook: WriteHook,
    write_path: str,
    cancel: bool,
    paused: bool,
    before_write: Callable[[SocketClient], None],
) -> AsyncIterator[InterceptedWrite]:
    """Start an attempt that is written on the given path, and call `before_write` just before the write."""
    async with (
        SilentEndpoint() as first_endpoint,
        SilentEndpoint() as second_endpoint,
        running_proxy(
            endpoint_entry("a", first_endpoint.port),
            endpoint_entry("b", second_endpoint.port),
            settings=settings_with_cancel(cancel),
        ) as proxy,
    ):
        endpoints = (first_endpoint, second_endpoint)
        if write_path.startswith("idle connection"):
            await open_idle_connections(proxy, endpoints)
        gate, client = ConnectGates(proxy.pool), SocketClient(proxy)
        if write_path in ("connection established", "retry"):
            gate.open_all()
        write_hook.before_write = lambda: before_write(client)  # type: ignore[method-assign]
        write_hook.is_armed = write_path != "retry"
        requests_before = request_count(endpoints)
        connection = await send_request(proxy, client, paused)
        if write_path == "retry":
            await wait_until(lambda: request_count(endpoints) == 1)
            await wait_until(lambda: connection.transport.is_reading() is not paused)
            write_hook.is_armed, requests_before = True, 1
            proxy.oldest_attempt_connection().data_received(DECLINED_RESPONSE)
        await wait_until(lambda: write_hook.call_count == 1)
        yield InterceptedWrite(proxy, endpoints, client, connection, gate, requests_before)


@pytest.fixture
def write_hook(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> WriteHook:
    """Return a hook for the next write, with the limits that the write path under test needs."""
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)
    if request.node.callspec.params["write_path"] == "idle connection":
        monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    return WriteHook(monkeypatch)


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
@pytest.mark.parametrize("write_path", WRITE_PATHS)
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("paused", [True, False])
async def test_attempt_is_not_written_when_client_disconnects_just_before_the_write(
    disconnect_kind: str, write_path: str, cancel: bool, paused: bool, write_hook: WriteHook
) -> None:
    """The client disconnects after the last clock reading before the write, while the process is delayed.

    The socket has received the disconnect, behind unread bytes if reading is paused, but the event loop has
    not processed it.
    """
    async with intercepted_write(
        write_hook, write_path, cancel, paused, lambda client: client.disconnect(disconnect_kind)
    ) as intercepted:
        clients = intercepted.proxy.clients
        await wait_until(lambda: intercepted.connection not in clients.open_connections)
        intercepted.gate.open_all()
        await run_loop_turns()
        assert request_count(intercepted.endpoints) == intercepted.requests_before
        assert has_no_request_state(intercepted.proxy)
        assert not intercepted.proxy.driver.requests.attempts.in_flight
        assert not clients.disconnect_poller.connections
        assert not intercepted.proxy.pool.waiting.by_endpoint


@pytest.mark.parametrize("write_path", WRITE_PATHS)
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("paused", [True, False])
async def test_attempt_is_written_while_client_stays_connected(
    write_path: str, cancel: bool, paused: bool, write_hook: WriteHook
) -> None:
    async with intercepted_write(write_hook, write_path, cancel, paused, lambda client: None) as intercepted:
        await wait_until(lambda: request_count(intercepted.endpoints) == intercepted.requests_before + 1)
        intercepted.client.disconnect("RST")
        await wait_until(lambda: not intercepted.proxy.clients.open_connections)


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
async def test_unwritten_attempt_leaves_its_connection_to_another_waiting_attempt(
    disconnect_kind: str,
) -> None:
    """Two attempts wait for connections, and the first client disconnects as these are established."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        gate, disconnecting_client, connected_client = (
            ConnectGates(proxy.pool),
            SocketClient(proxy),
            SocketClient(proxy),
        )
        for client, request_id in ((disconnecting_client, "leaves"), (connected_client, "stays")):
            client.send(http_request(request_id=request_id))
            await wait_until(
                lambda request_id=request_id: request_id.encode() in proxy.clients.open_request_ids  # type: ignore[misc]
            )
        await wait_until(lambda: gate.started_count == 2)
        connect_succeeded = proxy.pool.queue.connect_succeeded

        def disconnect_and_succeed(pending: PendingConnect, connection: UpstreamConnection) -> None:
            if len(proxy.pool.waiting.by_endpoint[pending.endpoint]) == 2:
                disconnecting_client.disconnect(disconnect_kind)
            connect_succeeded(pending, connection)

        proxy.pool.queue.connect_succeeded = disconnect_and_succeed  # type: ignore[method-assign]
        gate.open_all()
        await wait_until(lambda: bool(endpoint.received))
        proxy.oldest_attempt_connection().data_received(http_response(200, b"x"))
        connected_client.socket.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=connected_client.socket)
        assert (await read_http_message(reader))[2] == b"x"
        writer.close()
        await wait_until(lambda: not proxy.clients.open_connections)
        assert [headers["req-id"] for _, headers, _ in endpoint.received] == ["stays"]
