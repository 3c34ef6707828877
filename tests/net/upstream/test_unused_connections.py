"""Connections that end or receive bytes before their request is written, or are established too late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamRequest
from tests.net.upstream.conftest import ConnectionHook
from tests.support.attempts import (
    KEYED_REQUEST,
    OK_RESPONSE,
    REQUEST_CLASS_NAMES,
    UNSAFE_REQUEST,
    RecordedAttempt,
)
from tests.support.connect_gates import SystemConnectGate
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.raw_endpoint import EndpointConnection, RawEndpoint, respond_with
from tests.support.stepped_clock import FrozenClock, wait_until


@dataclass
class EarlyBytes:
    """Ends the first connection, or sends on it, in the turn in which it is established."""

    what: str
    endpoints: list[RawEndpoint] = field(default_factory=list)
    crossed: list[EndpointConnection] = field(default_factory=list)  # the endpoint's side of it

    def established(self, connection: UpstreamConnection) -> None:
        if self.crossed:
            return
        [endpoint] = [one for one in self.endpoints if one.endpoint.address == connection.endpoint.address]
        crossed = EndpointConnection(endpoint.socket.accept()[0], asyncio.Event())
        self.crossed.append(crossed)
        if "answer" in self.what:
            crossed.send(http_response(200, b"unasked"))
        if "end" in self.what:
            crossed.end_sending()
        if self.what == "reset":
            crossed.reset()
        for endpoint in self.endpoints:
            endpoint.accepting.set()


@pytest.mark.parametrize("kind", REQUEST_CLASS_NAMES)
@pytest.mark.parametrize("what", ["end", "reset", "answer", "answer, end"])
async def test_new_connection_that_ended_or_sent_bytes_early_carries_no_request(
    what: str, kind: str, on_established: Callable[[ConnectionHook], None]
) -> None:
    """It broke before the request was written, which has not run and is retried elsewhere."""
    early = EarlyBytes(what)
    on_established(early.established)
    handle = respond_with(http_response(200, b"served"))
    async with (
        RawEndpoint(handle, accepts=False) as first,
        RawEndpoint(handle, accepts=False) as second,
        running_proxy(endpoint_entry("s-1", first.port), endpoint_entry("s-2", second.port)) as proxy,
    ):
        early.endpoints += [first, second]
        line, _, body = await proxy.send_request(http_request(kind, request_id="r1"))
        assert line.split()[1] == "200"
        assert body == b"served"
        assert first.request_ids + second.request_ids == ["r1"]
        [crossed] = early.crossed
        if not crossed.is_closed:
            assert crossed.socket.recv(1) == b""  # nothing was written
            crossed.socket.close()


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
