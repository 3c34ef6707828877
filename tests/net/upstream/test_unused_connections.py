"""Connections that end or receive bytes before their request is written, or are established too late."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamRequest
from tests.support.attempts import KEYED_REQUEST, OK_RESPONSE, REQUEST_KINDS, UNSAFE_REQUEST, RecordedAttempt
from tests.support.connect_gates import SystemConnectGate
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.raw_endpoint import EndpointConnection, RawEndpoint, respond_with
from tests.support.stepped_clock import FrozenClock, wait_until


@pytest.mark.parametrize("kind", REQUEST_KINDS)
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
        taken.append(EndpointConnection(b.socket.accept()[0], asyncio.Event()))
        if "answer" in what:
            taken[0].send(http_response(200, b"unasked"))
        if "end" in what:
            taken[0].end_sending()
        if what == "reset":
            taken[0].reset()
        for b in backends:
            b.accepting.set()

    monkeypatch.setattr(UpstreamConnection, "connection_made", crossed)
    taken: list[EndpointConnection] = []
    backends: list[RawEndpoint] = []

    handle = respond_with(http_response(200, b"served"))
    async with (
        RawEndpoint(handle, accepts=False) as first_endpoint,
        RawEndpoint(handle, accepts=False) as b,
        running_proxy(endpoint_entry("s-1", first_endpoint.port), endpoint_entry("s-2", b.port)) as proxy,
    ):
        backends[:] = [first_endpoint, b]
        line, _, body = await proxy.send_request(http_request(kind, request_id="r1"))
        assert line.split()[1] == "200"
        assert body == b"served"
        assert first_endpoint.request_ids + b.request_ids == ["r1"]
        if not taken[0].is_closed:
            assert taken[0].socket.recv(1) == b""  # nothing was written
            taken[0].socket.close()


@pytest.mark.parametrize("how", ["cancel", "cancel if unsent", "drain", "time out", "no connection"])
@pytest.mark.parametrize("request_", [KEYED_REQUEST, UNSAFE_REQUEST])
async def test_connection_established_after_its_attempt_carries_no_request(
    how: str, request_: UpstreamRequest
) -> None:
    clock = FrozenClock()
    async with RawEndpoint(respond_with(http_response(200, b"ok"))) as endpoint:
        pool, held = ConnectionPool(0.25, 30.0, 10), SystemConnectGate()
        out = RecordedAttempt(pool, endpoint.endpoint, request_, timeout_s=0.2 if how == "time out" else 60.0)
        await wait_until(lambda: held.waiting_count == 1)
        match how:
            case "cancel":
                out.attempt.cancel()
            case "cancel if unsent":
                out.attempt.cancel_if_unsent()
            case "drain":
                pool.disable_endpoint(endpoint.endpoint)
            case "time out":
                clock.advance(0.21)
            case _:
                clock.advance(0.26)
        got = (await out.result())[0]
        assert got.proves_never_run or (how, got) == ("cancel", Outcome.CANCELLED)
        held.opened.set()
        for number in range(3):  # what would come of the first one comes before the end of these
            other = replace(request_, target=b"/%d" % number)
            assert await RecordedAttempt(pool, endpoint.endpoint, other).result() == (Outcome.OK, OK_RESPONSE)
        assert [first.split()[1] for first, _, _ in endpoint.received] == ["/0", "/1", "/2"]
        assert len(out.results) == 1
        pool.close()
