"""Late bytes on an idle or reused connection are not taken for the next response."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.messages import Outcome
from load_balancer.net import socket_state
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_messages import UpstreamResponse
from tests.support.attempts import REQUEST_CLASS_NAMES, RecordedAttempt
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import HttpMessage, http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.raw_endpoint import EndpointConnection, RawEndpoint, respond_with
from tests.support.stepped_clock import FrozenClock, wait_until


@pytest.mark.parametrize("what", ["answer", "end", "reset", "answer and end"])
@pytest.mark.parametrize("unread", [True, False])
async def test_late_bytes_on_an_idle_connection_are_not_the_next_response(
    pool: ConnectionPool, what: str, unread: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whether they are unread as the next request begins in the same turn, or were read before."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        wire.send(http_response(200, b"%d" % len(endpoint.received)))

    async with RawEndpoint(handle) as endpoint:
        assert (await RecordedAttempt(pool, endpoint.endpoint).result())[1] == UpstreamResponse(
            200, [(b"content-length", b"1")], b"1"
        )
        [wire] = endpoint.connections
        if "answer" in what:
            wire.send(http_response(200, b"1"))
        if "end" in what:
            wire.end_sending()
        if what == "reset":
            wire.reset()
        if not unread:
            await wait_until(lambda: not pool.connections.open)
        how, reply = await RecordedAttempt(pool, endpoint.endpoint).result()
        assert how is Outcome.OK
        assert reply
        assert reply.body == b"2"
        assert len(endpoint.connections) == len(endpoint.received) == 2


@pytest.mark.parametrize("what", ["answer", "end", "reset"])
async def test_late_bytes_just_before_the_write_are_not_the_next_response(
    pool: ConnectionPool, what: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They come just before the write: nothing is written, so nothing has run."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    looks: list[bool] = []
    look = socket_state.has_unread_bytes

    async with RawEndpoint(respond_with(http_response(200, b"first"))) as endpoint:
        assert (await RecordedAttempt(pool, endpoint.endpoint).result())[0] is Outcome.OK

        def crossed(transport: asyncio.BaseTransport, default: bool = True) -> bool:
            looks.append(look(transport, default=default))
            if len(looks) == 1:
                [wire] = endpoint.connections
                {
                    "answer": lambda: wire.send(http_response(200, b"late")),
                    "end": wire.end_sending,
                    "reset": wire.reset,
                }[what]()
            return looks[-1]

        monkeypatch.setattr(socket_state, "has_unread_bytes", crossed)
        assert await RecordedAttempt(pool, endpoint.endpoint).result() == (Outcome.NOT_SENT, None)
        assert looks == [False, True]
        assert len(endpoint.received) == 1
        assert not pool.idle.by_endpoint


async def test_connection_settles_before_reuse_so_that_a_second_response_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """However often it is wanted meanwhile; the second response comes at the end of the settling time."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", 20.0)

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        wire.send(http_response(200, b"%d" % len(endpoint.received)))

    async with RawEndpoint(handle) as endpoint:
        pool, clock = ConnectionPool(0.25, 3000.0, 10), FrozenClock()
        for number in (b"1", b"2", b"3"):
            how, reply = await RecordedAttempt(pool, endpoint.endpoint).result()
            assert how is Outcome.OK
            assert reply
            assert reply.body == number
        assert len(endpoint.connections) == 3
        for wire in endpoint.connections[:2]:
            wire.send(http_response(200, b"late"))
        clock.advance(20.0)
        for number in (b"4", b"5"):  # the third one has rested and said nothing more
            how, reply = await RecordedAttempt(pool, endpoint.endpoint).result()
            assert how is Outcome.OK
            assert reply
            assert reply.body == number
        assert len(endpoint.connections) == 4
        pool.close()


@pytest.mark.parametrize("kind", REQUEST_CLASS_NAMES)
@pytest.mark.parametrize("how", ["end", "reset"])
async def test_request_survives_the_break_of_a_reused_connection(
    kind: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The break crosses the write, so it may have run: non-idempotent requests use no idle connection."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        if len(wires) == 1 and wire is wires[0]:
            await respond_with(how)(wire, got)
        else:
            wires.append(wire)
            wire.send(http_response(200, got[1]["req-id"].encode()))

    wires: list[EndpointConnection] = []
    async with RawEndpoint(handle) as endpoint, running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy:
        assert (await proxy.send_request(http_request(request_id="first")))[2] == b"first"
        line, _, body = await proxy.send_request(http_request(kind, request_id="r1"))
        assert line.split()[1] == "200"
        assert body == b"r1"
        assert endpoint.request_ids == (["first", "r1"] if kind == "pay" else ["first", "r1", "r1"])
