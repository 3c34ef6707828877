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
from tests.net.client.test_departed_client_attempts import FAILURE, WAYS, limits, nothing_left
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint, StandInServer
from tests.support.stepped_clock import run_loop_turns, wait_until

PATHS = ["connection comes up", "idle connection", "idle connection settles", "further attempt"]


class Hold:
    """Runs `meanwhile` between the last look at the clock before an attempt is written, and its write."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.armed = False
        self.held = 0
        unpatched: property = vars(UpstreamAttempt)["time_remaining_s"]

        def held(attempt: UpstreamAttempt) -> float:
            left: float = unpatched.__get__(attempt)
            if self.armed:
                self.armed = False
                self.held += 1
                self.meanwhile()
            return left

        monkeypatch.setattr(UpstreamAttempt, "time_remaining_s", property(held))

    def meanwhile(self) -> None:
        raise NotImplementedError


def request_count(endpoints: tuple[StandInServer, StandInServer]) -> int:
    return sum(len(endpoint.received) for endpoint in endpoints)


async def open_idle_connections(proxy: LoopbackProxy, endpoints: tuple[StandInServer, StandInServer]) -> None:
    """Bring the pool one idle connection to each endpoint."""
    for address in proxy.driver.endpoint_list.endpoints.by_id.values():
        request = UpstreamRequest(b"GET", b"/", [(b"host", b"x")], b"", is_idempotent=True)
        proxy.pool.start_attempt(address, request, 5.0, lambda outcome, reply: None)
    await wait_until(lambda: request_count(endpoints) == 2)
    for connection in list(proxy.pool.connections.open):
        connection.data_received(http_response(200, b"x"))


async def send_request(proxy: LoopbackProxy, client: SocketClient, paused: bool) -> ClientConnection:
    """Send a request, and behind it where reading is to pause more than is read; return the connection."""
    await wait_until(lambda: len(proxy.clients.open_connections) == 1)
    [connection] = proxy.clients.open_connections
    client.socket.setblocking(False)
    behind = http_request("mark", request_id="behind", body=b"x" * 60_000) if paused else b""
    await proxy.listener.loop.sock_sendall(client.socket, http_request() + behind)
    return connection


@dataclass
class HeldWrite:
    """An attempt that was held just before its write, its client and its endpoints."""

    proxy: LoopbackProxy
    endpoints: tuple[StandInServer, StandInServer]
    client: SocketClient
    connection: ClientConnection
    gate: ConnectGates
    requests_before: int  # that came to the endpoints


@asynccontextmanager
async def held_write(
    hold: Hold, path: str, cancel: bool, paused: bool, meanwhile: Callable[[SocketClient], None]
) -> AsyncIterator[HeldWrite]:
    """Have a client's attempt written on this path, and `meanwhile` called just before the write."""
    async with (
        SilentEndpoint() as first_endpoint,
        SilentEndpoint() as second_endpoint,
        running_proxy(
            endpoint_entry("a", first_endpoint.port),
            endpoint_entry("b", second_endpoint.port),
            settings=limits(cancel),
        ) as proxy,
    ):
        endpoints = (first_endpoint, second_endpoint)
        if path.startswith("idle connection"):
            await open_idle_connections(proxy, endpoints)
        gate, client = ConnectGates(proxy.pool), SocketClient(proxy)
        if path in ("connection comes up", "further attempt"):
            gate.open_all()
        hold.meanwhile = lambda: meanwhile(client)  # type: ignore[method-assign]
        hold.armed = path != "further attempt"
        requests_before = request_count(endpoints)
        connection = await send_request(proxy, client, paused)
        if path == "further attempt":
            await wait_until(lambda: request_count(endpoints) == 1)
            await wait_until(lambda: connection.transport.is_reading() is not paused)
            hold.armed, requests_before = True, 1
            proxy.oldest_attempt_connection().data_received(FAILURE)
        await wait_until(lambda: hold.held == 1)
        yield HeldWrite(proxy, endpoints, client, connection, gate, requests_before)


@pytest.fixture
def hold(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Hold:
    """Hold each write, with limits that the test's paths need."""
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)
    if request.node.callspec.params["path"] == "idle connection":
        monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    return Hold(monkeypatch)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("paused", [True, False])
async def test_attempt_is_not_written_when_client_disconnects_after_the_decision(
    way: str, path: str, cancel: bool, paused: bool, hold: Hold
) -> None:
    """The process is held up at the last clock that is read before the write, and the client leaves there.

    Its end is with the system by then, behind bytes that are not read where reading is paused; the event
    loop has not seen it.
    """
    async with held_write(hold, path, cancel, paused, lambda client: client.disconnect(way)) as held:
        clients = held.proxy.clients
        await wait_until(lambda: held.connection not in clients.open_connections)
        held.gate.open_all()
        await run_loop_turns()
        assert request_count(held.endpoints) == held.requests_before
        assert nothing_left(held.proxy)
        assert not held.proxy.driver.requests.attempts.in_flight
        assert not clients.disconnect_poller.connections
        assert not held.proxy.pool.waiting.by_endpoint


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("paused", [True, False])
async def test_attempt_is_written_while_client_stays_connected(
    path: str, cancel: bool, paused: bool, hold: Hold
) -> None:
    async with held_write(hold, path, cancel, paused, lambda client: None) as held:
        await wait_until(lambda: request_count(held.endpoints) == held.requests_before + 1)
        held.client.disconnect("RST")
        await wait_until(lambda: not held.proxy.clients.open_connections)


@pytest.mark.parametrize("way", WAYS)
async def test_unwritten_attempt_leaves_its_connection_to_another_waiting_attempt(way: str) -> None:
    """Two attempts wait for connections, and the first client disconnects as these are established."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        gate, leaver, stayer = ConnectGates(proxy.pool), SocketClient(proxy), SocketClient(proxy)
        for client, key in ((leaver, "leaves"), (stayer, "stays")):
            client.send(http_request(request_id=key))
            await wait_until(lambda key=key: key.encode() in proxy.clients.open_request_ids)  # type: ignore[misc]
        await wait_until(lambda: gate.started_count == 2)
        came_up = proxy.pool.queue.connect_succeeded

        def leaving(pending: PendingConnect, connection: UpstreamConnection) -> None:
            if len(proxy.pool.waiting.by_endpoint[pending.endpoint]) == 2:
                leaver.disconnect(way)
            came_up(pending, connection)

        proxy.pool.queue.connect_succeeded = leaving  # type: ignore[method-assign]
        gate.open_all()
        await wait_until(lambda: bool(endpoint.received))
        proxy.oldest_attempt_connection().data_received(http_response(200, b"x"))
        stayer.socket.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=stayer.socket)
        assert (await read_http_message(reader))[2] == b"x"
        writer.close()
        await wait_until(lambda: not proxy.clients.open_connections)
        assert [headers["req-id"] for _, headers, _ in endpoint.received] == ["stays"]
