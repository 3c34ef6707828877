"""An attempt is not written when its client disconnects just before the write."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.net.client import client_limits
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.pending_connects import PendingConnect
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamRequest
from tests.net.client.test_departed_client_attempts import FAILURE, WAYS, limits, nothing_left
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.loopback_proxy import running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint
from tests.support.stepped_clock import run_loop_turns, wait_until

PATHS = ["connection comes up", "kept connection", "kept connection settles", "further attempt"]


class Hold:
    """Runs something between the clock that an attempt reads as it is written, and the write."""

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


@pytest.mark.parametrize("way", [*WAYS, "stays"])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("paused", [True, False])
async def test_attempt_is_not_written_when_client_disconnects_after_the_decision(
    way: str, path: str, cancel: bool, paused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process is held up at the last clock that is read before the write, and the client leaves there.

    Its end is with the system by then, behind bytes that are not read where reading is paused; the event
    loop has not seen it.
    """
    monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)
    if path == "kept connection":
        monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    hold = Hold(monkeypatch)

    async with (
        SilentEndpoint() as a,
        SilentEndpoint() as b,
        running_proxy(endpoint_entry("a", a.port), endpoint_entry("b", b.port), settings=limits(cancel)) as p,
    ):
        if path.startswith("kept connection"):
            for backend in p.driver.endpoint_list.endpoints.by_id.values():  # one idle connection to each
                p.pool.start_attempt(
                    backend,
                    UpstreamRequest(b"GET", b"/", [(b"host", b"x")], b"", is_idempotent=True),
                    5.0,
                    lambda outcome, reply: None,
                )
            await wait_until(lambda: len(a.received) + len(b.received) == 2)
            for idle in list(p.pool.connections.open):
                idle.data_received(http_response(200, b"x"))
        gate = ConnectGates(p.pool)
        if path in ("connection comes up", "further attempt"):
            gate.open_all()
        client = SocketClient(p)
        hold.meanwhile = lambda: None if way == "stays" else client.disconnect(way)  # type: ignore[method-assign]
        hold.armed = path != "further attempt"
        before = len(a.received) + len(b.received)
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        [connection] = p.clients.open_connections
        client.socket.setblocking(False)
        behind = http_request("mark", request_id="behind", body=b"x" * 60_000) if paused else b""
        await p.listener.loop.sock_sendall(client.socket, http_request() + behind)
        if path == "further attempt":
            await wait_until(lambda: len(a.received) + len(b.received) == 1)
            await wait_until(lambda: connection.transport.is_reading() is not paused)
            hold.armed = True
            p.oldest_attempt_connection().data_received(FAILURE)
            before = 1
        await wait_until(lambda: hold.held == 1)
        if way == "stays":
            await wait_until(lambda: len(a.received) + len(b.received) == before + 1)
            client.disconnect("RST")
            await wait_until(lambda: not p.clients.open_connections)
            return
        await wait_until(lambda: connection not in p.clients.open_connections)
        gate.open_all()
        await run_loop_turns()
        assert len(a.received) + len(b.received) == before
        assert nothing_left(p)
        assert not p.driver.requests.attempts.in_flight
        assert not p.clients.presence.connections
        assert not p.pool.waiting.by_endpoint


@pytest.mark.parametrize("way", WAYS)
async def test_unwritten_attempt_leaves_its_connection_to_another_waiting_attempt(way: str) -> None:
    """Two wait for connections to one backend, and the first of them leaves as they come up."""

    async with SilentEndpoint() as b, running_proxy(endpoint_entry("b", b.port)) as p:
        gate, leaver, stayer = ConnectGates(p.pool), SocketClient(p), SocketClient(p)
        for client, key in ((leaver, "leaves"), (stayer, "stays")):
            client.send(http_request(request_id=key))
            await wait_until(lambda key=key: key.encode() in p.clients.open_request_ids)  # type: ignore[misc]
        await wait_until(lambda: gate.started_count == 2)
        came_up = p.pool.queue.connect_succeeded

        def leaving(pending: PendingConnect, connection: UpstreamConnection) -> None:
            if len(p.pool.waiting.by_endpoint[pending.endpoint]) == 2:
                leaver.disconnect(way)
            came_up(pending, connection)

        p.pool.queue.connect_succeeded = leaving  # type: ignore[method-assign]
        gate.open_all()
        await wait_until(lambda: bool(b.received))
        p.oldest_attempt_connection().data_received(http_response(200, b"x"))
        stayer.socket.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=stayer.socket)
        assert (await read_http_message(reader))[2] == b"x"
        writer.close()
        await wait_until(lambda: not p.clients.open_connections)
        assert [headers["req-id"] for _, headers, _ in b.received] == ["stays"]
