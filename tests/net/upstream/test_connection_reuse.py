"""Late bytes on an idle or reused connection are not taken for the next response."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.messages import Outcome
from load_balancer.net import socket_state
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_messages import UpstreamResponse
from tests.support.loopback import SteppedClock, answer, call, entry, proxy, until
from tests.support.upstream_helpers import KINDS, Message, Out, Wire, bare, says


@pytest.mark.parametrize("what", ["answer", "end", "reset", "answer and end"])
@pytest.mark.parametrize("unread", [True, False])
async def test_late_bytes_on_an_idle_connection_are_not_the_next_response(
    what: str, unread: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Be it that it lies unread as the next request begins, in the same turn, or was read before."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async def handle(wire: Wire, got: Message) -> None:
        wire.say(answer(200, b"%d" % len(b.seen)))

    async with bare(handle) as b:
        pool = ConnectionPool(0.25, 30.0, 10)
        assert (await Out(pool, b.endpoint).end())[1] == UpstreamResponse(
            200, [(b"content-length", b"1")], b"1"
        )
        [wire] = b.wires
        if "answer" in what:
            wire.say(answer(200, b"1"))
        if "end" in what:
            wire.end()
        if what == "reset":
            wire.reset()
        if not unread:
            await until(lambda: not pool.connections.open)
        how, reply = await Out(pool, b.endpoint).end()
        assert how is Outcome.OK
        assert reply
        assert reply.body == b"2"
        assert len(b.wires) == len(b.seen) == 2
        pool.close()


@pytest.mark.parametrize("what", ["answer", "end", "reset"])
async def test_late_bytes_just_before_the_write_are_not_the_next_response(
    what: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It comes in the very moment before the write: nothing is written, so nothing has run."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    looks: list[bool] = []
    look = socket_state.has_unread_bytes

    async with bare(says(answer(200, b"first"))) as b:
        pool = ConnectionPool(0.25, 30.0, 10)
        assert (await Out(pool, b.endpoint).end())[0] is Outcome.OK

        def crossed(transport: asyncio.BaseTransport, unknown: bool = True) -> bool:
            looks.append(look(transport, unknown=unknown))
            if len(looks) == 1:
                [wire] = b.wires
                {"answer": lambda: wire.say(answer(200, b"late")), "end": wire.end, "reset": wire.reset}[
                    what
                ]()
            return looks[-1]

        monkeypatch.setattr(socket_state, "has_unread_bytes", crossed)
        assert await Out(pool, b.endpoint).end() == (Outcome.NOT_SENT, None)
        assert looks == [False, True]
        assert len(b.seen) == 1
        assert not pool.idle.by_endpoint
        pool.close()


async def test_connection_settles_before_reuse_so_that_a_second_response_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """However often it is wanted meanwhile; the second answer comes in the rest's last moment."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", 20.0)

    async def handle(wire: Wire, got: Message) -> None:
        wire.say(answer(200, b"%d" % len(b.seen)))

    async with bare(handle) as b:
        pool, clock = ConnectionPool(0.25, 3000.0, 10), SteppedClock()
        for n in (b"1", b"2", b"3"):
            how, reply = await Out(pool, b.endpoint).end()
            assert how is Outcome.OK
            assert reply
            assert reply.body == n
        assert len(b.wires) == 3
        for wire in b.wires[:2]:
            wire.say(answer(200, b"late"))
        clock.step(20.0)
        for n in (b"4", b"5"):  # the third one has rested and said nothing more
            how, reply = await Out(pool, b.endpoint).end()
            assert how is Outcome.OK
            assert reply
            assert reply.body == n
        assert len(b.wires) == 4
        pool.close()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("how", ["end", "reset"])
async def test_request_survives_the_break_of_a_reused_connection(
    kind: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The break crosses the write, so it may have run: what must not run twice uses no kept one."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async def handle(wire: Wire, got: Message) -> None:
        if len(wires) == 1 and wire is wires[0]:
            await says(how)(wire, got)
        else:
            wires.append(wire)
            wire.say(answer(200, got[1]["req-id"].encode()))

    wires: list[Wire] = []
    async with bare(handle) as b, proxy(entry("s-1", b.port)) as p:
        assert (await p.ask(call(request_id="first")))[2] == b"first"
        line, _, body = await p.ask(call(kind, request_id="r1"))
        assert line.split()[1] == "200"
        assert body == b"r1"
        assert b.ids == (["first", "r1"] if kind == "pay" else ["first", "r1", "r1"])
