"""Connections that end or receive bytes before their request is written, or are established too late."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamRequest
from tests.support.loopback import SteppedClock, answer, call, entry, proxy, until
from tests.support.upstream_helpers import KINDS, OK, ONCE, REQUEST, Bare, Held, Out, Wire, bare, says


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("what", ["end", "reset", "answer", "answer, end"])
async def test_new_connection_that_ended_or_sent_bytes_early_carries_no_request(
    what: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It broke before the request's last byte was written: that has surely not run and may go elsewhere."""
    made = UpstreamConnection.connection_made

    def crossed(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        made(connection, transport)
        if taken:
            return
        [b] = [b for b in backends if b.endpoint.address == connection.endpoint.address]
        taken.append(Wire(b.socket.accept()[0], asyncio.Event()))
        if "answer" in what:
            taken[0].say(answer(200, b"unasked"))
        if "end" in what:
            taken[0].end()
        if what == "reset":
            taken[0].reset()
        for b in backends:
            b.accepts.set()

    monkeypatch.setattr(UpstreamConnection, "connection_made", crossed)
    taken: list[Wire] = []
    backends: list[Bare] = []

    handle = says(answer(200, b"served"))
    async with (
        bare(handle, accepts=False) as a,
        bare(handle, accepts=False) as b,
        proxy(entry("s-1", a.port), entry("s-2", b.port)) as p,
    ):
        backends[:] = [a, b]
        line, _, body = await p.ask(call(kind, request_id="r1"))
        assert line.split()[1] == "200"
        assert body == b"served"
        assert a.ids + b.ids == ["r1"]
        if not taken[0].closed:
            assert taken[0].socket.recv(1) == b""  # nothing was written
            taken[0].socket.close()


@pytest.mark.parametrize("how", ["cancel", "cancel if unsent", "drain", "time out", "no connection"])
@pytest.mark.parametrize("request_", [REQUEST, ONCE])
async def test_connection_established_after_its_attempt_carries_no_request(
    how: str, request_: UpstreamRequest
) -> None:
    clock = SteppedClock()
    async with bare(says(answer(200, b"ok"))) as b:
        pool, held = ConnectionPool(0.25, 30.0, 10), Held()
        out = Out(pool, b.endpoint, request_, timeout_s=0.2 if how == "time out" else 60.0)
        await until(lambda: held.waiting == 1)
        match how:
            case "cancel":
                out.attempt.cancel()
            case "cancel if unsent":
                out.attempt.cancel_if_unsent()
            case "drain":
                pool.disable_endpoint(b.endpoint)
            case "time out":
                clock.step(0.21)
            case _:
                clock.step(0.26)
        got = (await out.end())[0]
        assert got.never_ran or (how, got) == ("cancel", Outcome.CANCELLED)
        held.opened.set()
        for n in range(3):  # what would come of the first one comes before the end of these
            other = replace(request_, target=b"/%d" % n)
            assert await Out(pool, b.endpoint, other).end() == (Outcome.OK, OK)
        assert [first.split()[1] for first, _, _ in b.seen] == ["/0", "/1", "/2"]
        assert len(out.ends) == 1
        pool.close()
