"""Connections that end or receive bytes before a request is written, or are established too late."""

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
class EarlyEventSender:
    """Ends the first connection, or sends on it, in the iteration in which it is established."""

    early_event: str
    endpoints: list[RawEndpoint] = field(default_factory=list)
    endpoint_sides: list[EndpointConnection] = field(default_factory=list)

    def established(self, connection: UpstreamConnection) -> None:
        if self.endpoint_sides:
            return
        [endpoint] = [
            candidate
            for candidate in self.endpoints
            if candidate.endpoint.address == connection.endpoint.address
        ]
        endpoint_side = EndpointConnection(endpoint.socket.accept()[0], asyncio.Event())
        self.endpoint_sides.append(endpoint_side)
        if "response" in self.early_event:
            endpoint_side.send(http_response(200, b"unasked"))
        if "end" in self.early_event:
            endpoint_side.end_sending()
        if self.early_event == "reset":
            endpoint_side.reset()
        for endpoint in self.endpoints:
            endpoint.accepting.set()


@pytest.mark.parametrize("kind", REQUEST_CLASS_NAMES)
@pytest.mark.parametrize("early_event", ["end", "reset", "response", "response, end"])
async def test_new_connection_that_ended_or_sent_bytes_early_carries_no_request(
    early_event: str, kind: str, on_established: Callable[[ConnectionHook], None]
) -> None:
    """The end or the bytes arrive before the request is written: it has not run, and is retried."""
    early_event_sender = EarlyEventSender(early_event)
    on_established(early_event_sender.established)
    handle = respond_with(http_response(200, b"served"))
    async with (
        RawEndpoint(handle, accepts=False) as first,
        RawEndpoint(handle, accepts=False) as second,
        running_proxy(endpoint_entry("s-1", first.port), endpoint_entry("s-2", second.port)) as proxy,
    ):
        early_event_sender.endpoints += [first, second]
        line, _, body = await proxy.send_request(http_request(kind, request_id="r1"))
        assert line.split()[1] == "200"
        assert body == b"served"
        assert first.request_ids + second.request_ids == ["r1"]
        [endpoint_side] = early_event_sender.endpoint_sides
        if not endpoint_side.is_closed:
            assert endpoint_side.socket.recv(1) == b""  # nothing was written
            endpoint_side.socket.close()


@pytest.mark.parametrize("ending", ["cancel", "cancel if unsent", "drain", "time out", "no connection"])
@pytest.mark.parametrize("upstream_request", [KEYED_REQUEST, UNSAFE_REQUEST])
async def test_connection_established_after_its_attempt_ended_carries_no_request(
    ending: str, upstream_request: UpstreamRequest
) -> None:
    clock = FrozenClock()
    async with RawEndpoint(respond_with(http_response(200, b"ok"))) as endpoint:
        pool, gate = ConnectionPool(0.25, 30.0, 10), SystemConnectGate()
        recorded = RecordedAttempt(
            pool, endpoint.endpoint, upstream_request, timeout_s=0.2 if ending == "time out" else 60.0
        )
        await wait_until(lambda: gate.waiting_count == 1)
        match ending:
            case "cancel":
                recorded.attempt.cancel()
            case "cancel if unsent":
                recorded.attempt.cancel_if_unsent()
            case "drain":
                pool.disable_endpoint(endpoint.endpoint)
            case "time out":
                clock.advance(0.21)
            case _:
                clock.advance(0.26)
        outcome = (await recorded.result())[0]
        assert outcome.proves_never_run or (ending, outcome) == ("cancel", Outcome.CANCELLED)
        gate.opened.set()
        for number in range(3):  # a late effect of the first attempt would occur before these end
            other = replace(upstream_request, target=b"/%d" % number)
            assert await RecordedAttempt(pool, endpoint.endpoint, other).result() == (Outcome.OK, OK_RESPONSE)
        assert [first.split()[1] for first, _, _ in endpoint.received] == ["/0", "/1", "/2"]
        assert len(recorded.results) == 1
        pool.close()
