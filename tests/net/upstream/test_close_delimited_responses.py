"""Close-delimited responses on one connection: complete at the end of the stream, and only there."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.upstream import idle_connections, upstream_connection
from load_balancer.net.upstream.connection_pool import ConnectionPool
from tests.support.loopback import SteppedClock, answer, call, entry, proxy, until
from tests.support.upstream_helpers import HEAD, OK, Message, Out, Wire, bare, read, says

__all__ = ["read"]  # a fixture


@pytest.mark.parametrize("then", [("end",), ("end", "reset")])
@pytest.mark.parametrize(
    ("head", "outcome"),
    [
        (HEAD, Outcome.OK),
        (b"HTTP/1.0 200 x\r\n\r\n", Outcome.OK),
        (b"HTTP/1.1 200 x\r\nConnection: close\r\n\r\n", Outcome.OK),
        (b"HTTP/1.1 200 x\r\nConnection: keep-alive\r\n\r\n", Outcome.OK),
        (b"HTTP/1.0 200 x\r\nConnection: keep-alive\r\n\r\n", Outcome.OK),
        (b"HTTP/1.1 103 x\r\n\r\n" + HEAD, Outcome.OK),
        (b"HTTP/1.1 500 x\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 503 x\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 503 x\r\nSrv-Declined: 1\r\n\r\n", Outcome.REJECTED),
    ],
)
@pytest.mark.parametrize("body", [b"", b"all\r\n\r\nof it"])
async def test_close_delimited_response_is_complete_at_the_end_of_the_stream(
    head: bytes, outcome: Outcome, body: bytes, then: tuple[str, ...]
) -> None:
    """HTTP/1.1 ends it there. All of it lies in the system as it is read; a reset after an end comes late."""

    async with bare(says(head + body, *then)) as b:
        pool = ConnectionPool(0.25, 30.0, 10)
        for tries in (1, 2):  # the connection is not kept
            how, reply = await Out(pool, b.endpoint).end()
            assert how is outcome
            assert reply is not None
            assert reply.body == body
            assert len(b.wires) == len(b.seen) == tries
        pool.close()


async def test_close_delimited_response_is_not_complete_before_the_end_of_the_stream(read: bytearray) -> None:
    async with bare(says(HEAD + b"all ")) as b:
        pool = ConnectionPool(0.25, 30.0, 10)
        out = Out(pool, b.endpoint)
        await until(lambda: len(read) == len(HEAD) + 4)
        assert not out.ends
        b.wires[0].say(b"of it")
        await until(lambda: len(read) == len(HEAD) + 9)
        assert not out.ends
        b.wires[0].end()
        how, reply = await out.end()
        assert how is Outcome.OK
        assert reply
        assert reply.body == b"all of it"
        pool.close()


@pytest.mark.parametrize("at", range(1, len(HEAD) + 6))
@pytest.mark.parametrize("seen_before", [False, True])
async def test_reset_does_not_complete_a_close_delimited_response(
    at: int, seen_before: bool, read: bytearray
) -> None:
    """At each byte and after the last, be it read before the reset comes or with the reset behind it."""
    said = (HEAD + b"whole")[:at]

    async with bare(says(said) if seen_before else says(said, "reset")) as b:
        pool = ConnectionPool(0.25, 30.0, 10)
        out = Out(pool, b.endpoint)
        if seen_before:
            await until(lambda: len(read) == len(said))
            assert not out.ends
            b.wires[0].reset()
        assert await out.end() == (Outcome.RESET, None)
        pool.close()


@pytest.mark.parametrize(("size", "outcome"), [(65_536, Outcome.OK), (65_537, Outcome.RESET)])
async def test_close_delimited_response_over_the_limit_is_rejected(size: int, outcome: Outcome) -> None:
    """One byte more is known at once for no answer, though its connection stays open."""

    async def handle(wire: Wire, got: Message) -> None:
        await asyncio.get_running_loop().sock_sendall(wire.socket, HEAD + b"x" * size)
        if outcome is Outcome.OK:
            wire.end()

    async with bare(handle) as b:
        pool = ConnectionPool(0.25, 30.0, 10)
        how, reply = await Out(pool, b.endpoint).end()
        assert how is outcome
        assert reply is None or len(reply.body) == size
        pool.close()


async def test_close_delimited_response_without_an_end_times_out(read: bytearray) -> None:
    clock = SteppedClock()
    async with bare(says(HEAD + b"all of it")) as b:
        pool = ConnectionPool(0.25, 30.0, 10)
        out = Out(pool, b.endpoint)
        await until(lambda: read.endswith(b"it"))
        assert not out.ends
        clock.step(upstream_connection.RESPONSE_COMPLETION_S)
        assert await out.end() == (Outcome.RESET, None)
        pool.close()


@pytest.mark.parametrize("cut", [0, 12])
async def test_interim_response_does_not_start_the_completion_timeout(cut: int, read: bytearray) -> None:
    """Only the answer itself has to come whole soon after its first byte, as the work is done by then."""
    interim, good = b"HTTP/1.1 103 x\r\n\r\n", answer(200, b"ok")

    clock = SteppedClock()
    async with bare(says(interim[:cut])) as b:
        pool = ConnectionPool(0.25, 30.0, 10)
        out = Out(pool, b.endpoint)
        await until(lambda: len(read) == cut and len(b.seen) == 1)
        b.wires[0].say(interim[cut:])
        await until(lambda: len(read) == len(interim))
        clock.step(10 * upstream_connection.RESPONSE_COMPLETION_S)
        for _ in range(20):
            await asyncio.sleep(0)
        b.wires[0].say(good[:-1])
        await until(lambda: read.endswith(b"o") or bool(out.ends))
        assert not out.ends
        clock.step(upstream_connection.RESPONSE_COMPLETION_S)  # now its time runs
        assert await out.end() == (Outcome.RESET, None)
        out = Out(pool, b.endpoint)
        await until(lambda: len(b.seen) == 2)
        b.wires[1].say(interim[cut:])
        clock.step(10 * upstream_connection.RESPONSE_COMPLETION_S)
        b.wires[1].say(good)
        assert await out.end() == (Outcome.OK, OK)
        pool.close()


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize(("more", "kept"), [(b"", True), (b"Connection: close\r\n", False)])
async def test_response_without_a_body_by_its_status_ends_with_its_head(
    status: int, more: bytes, kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with bare(says(b"HTTP/1.1 %d x\r\n%s\r\n" % (status, more))) as b:
        pool = ConnectionPool(0.25, 30.0, 10)
        for _ in range(2):
            assert (await Out(pool, b.endpoint).end())[0] is Outcome.ERROR
        assert len(b.wires) == 2 - kept
        pool.close()


@pytest.mark.parametrize("kind", ["read", "write", "mark", "pay"])
async def test_client_gets_a_close_delimited_response_unless_it_is_reset(kind: str) -> None:
    """Served where the connection ends; where it is reset the request may have run."""

    ends = ["reset", "end"]

    async def handle(wire: Wire, got: Message) -> None:
        await says(HEAD + b"all of it", ends.pop(0))(wire, got)

    async with bare(handle) as b, proxy(entry("s-1", b.port)) as p:
        first, _, body = await p.ask(call(kind))
        if kind == "pay":
            assert first.split()[1] == "502"
            assert len(b.seen) == 1
            first, _, body = await p.ask(call(kind, request_id="a2"))
        assert first.split()[1] == "200"
        assert body == b"all of it"
        assert len(b.seen) == 2
