"""Close-delimited responses on one connection: complete at the end of the stream, and only there."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.upstream import idle_connections, upstream_connection
from load_balancer.net.upstream.connection_pool import ConnectionPool
from tests.support.attempts import HEAD_WITHOUT_LENGTH, OK_RESPONSE, RecordedAttempt
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import HttpMessage, http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.raw_endpoint import EndpointConnection, RawEndpoint, respond_with
from tests.support.stepped_clock import FrozenClock, wait_until


@pytest.mark.parametrize("then", [("end",), ("end", "reset")])
@pytest.mark.parametrize(
    ("head", "outcome"),
    [
        (HEAD_WITHOUT_LENGTH, Outcome.OK),
        (b"HTTP/1.0 200 x\r\n\r\n", Outcome.OK),
        (b"HTTP/1.1 200 x\r\nConnection: close\r\n\r\n", Outcome.OK),
        (b"HTTP/1.1 200 x\r\nConnection: keep-alive\r\n\r\n", Outcome.OK),
        (b"HTTP/1.0 200 x\r\nConnection: keep-alive\r\n\r\n", Outcome.OK),
        (b"HTTP/1.1 103 x\r\n\r\n" + HEAD_WITHOUT_LENGTH, Outcome.OK),
        (b"HTTP/1.1 500 x\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 503 x\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 503 x\r\nSrv-Declined: 1\r\n\r\n", Outcome.REJECTED),
    ],
)
@pytest.mark.parametrize("body", [b"", b"all\r\n\r\nof it"])
async def test_close_delimited_response_is_complete_at_the_end_of_the_stream(
    pool: ConnectionPool, head: bytes, outcome: Outcome, body: bytes, then: tuple[str, ...]
) -> None:
    """As HTTP/1.1 says. Where a reset follows the end, both are with the system before the first read."""

    async with RawEndpoint(respond_with(head + body, *then)) as endpoint:
        for tries in (1, 2):  # the connection is not kept
            how, reply = await RecordedAttempt(pool, endpoint.endpoint).result()
            assert how is outcome
            assert reply is not None
            assert reply.body == body
            assert len(endpoint.connections) == len(endpoint.received) == tries


async def test_close_delimited_response_is_not_complete_before_the_end_of_the_stream(
    pool: ConnectionPool, bytes_from_endpoints: bytearray
) -> None:
    async with RawEndpoint(respond_with(HEAD_WITHOUT_LENGTH + b"all ")) as endpoint:
        out = RecordedAttempt(pool, endpoint.endpoint)
        await wait_until(lambda: len(bytes_from_endpoints) == len(HEAD_WITHOUT_LENGTH) + 4)
        assert not out.results
        endpoint.connections[0].send(b"of it")
        await wait_until(lambda: len(bytes_from_endpoints) == len(HEAD_WITHOUT_LENGTH) + 9)
        assert not out.results
        endpoint.connections[0].end_sending()
        how, reply = await out.result()
        assert how is Outcome.OK
        assert reply
        assert reply.body == b"all of it"


@pytest.mark.parametrize("at", range(1, len(HEAD_WITHOUT_LENGTH) + 6))
@pytest.mark.parametrize("seen_before", [False, True])
async def test_reset_does_not_complete_a_close_delimited_response(
    pool: ConnectionPool, at: int, seen_before: bool, bytes_from_endpoints: bytearray
) -> None:
    """After any byte and after the last, whether the bytes are read before the reset or together with it."""
    said = (HEAD_WITHOUT_LENGTH + b"whole")[:at]

    async with RawEndpoint(respond_with(said) if seen_before else respond_with(said, "reset")) as endpoint:
        out = RecordedAttempt(pool, endpoint.endpoint)
        if seen_before:
            await wait_until(lambda: len(bytes_from_endpoints) == len(said))
            assert not out.results
            endpoint.connections[0].reset()
        assert await out.result() == (Outcome.RESET, None)


@pytest.mark.parametrize(("size", "outcome"), [(65_536, Outcome.OK), (65_537, Outcome.RESET)])
async def test_close_delimited_response_over_the_limit_is_rejected(
    pool: ConnectionPool, size: int, outcome: Outcome
) -> None:
    """One byte over the limit ends the attempt at once, although the connection stays open."""

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        await asyncio.get_running_loop().sock_sendall(wire.socket, HEAD_WITHOUT_LENGTH + b"x" * size)
        if outcome is Outcome.OK:
            wire.end_sending()

    async with RawEndpoint(handle) as endpoint:
        how, reply = await RecordedAttempt(pool, endpoint.endpoint).result()
        assert how is outcome
        assert reply is None or len(reply.body) == size


async def test_close_delimited_response_without_an_end_times_out(
    pool: ConnectionPool, bytes_from_endpoints: bytearray
) -> None:
    clock = FrozenClock()
    async with RawEndpoint(respond_with(HEAD_WITHOUT_LENGTH + b"all of it")) as endpoint:
        out = RecordedAttempt(pool, endpoint.endpoint)
        await wait_until(lambda: bytes_from_endpoints.endswith(b"it"))
        assert not out.results
        clock.advance(upstream_connection.RESPONSE_COMPLETION_TIMEOUT_S)
        assert await out.result() == (Outcome.RESET, None)


@pytest.mark.parametrize("cut", [0, 12])
async def test_interim_response_does_not_start_the_completion_timeout(
    pool: ConnectionPool, cut: int, bytes_from_endpoints: bytearray
) -> None:
    """Only the final response must be complete soon after its first byte, as the work is done by then."""
    interim, good = b"HTTP/1.1 103 x\r\n\r\n", http_response(200, b"ok")

    clock = FrozenClock()
    async with RawEndpoint(respond_with(interim[:cut])) as endpoint:
        out = RecordedAttempt(pool, endpoint.endpoint)
        await wait_until(lambda: len(bytes_from_endpoints) == cut and len(endpoint.received) == 1)
        endpoint.connections[0].send(interim[cut:])
        await wait_until(lambda: len(bytes_from_endpoints) == len(interim))
        clock.advance(10 * upstream_connection.RESPONSE_COMPLETION_TIMEOUT_S)
        for _ in range(20):
            await asyncio.sleep(0)
        endpoint.connections[0].send(good[:-1])
        await wait_until(lambda: bytes_from_endpoints.endswith(b"o") or bool(out.results))
        assert not out.results
        clock.advance(upstream_connection.RESPONSE_COMPLETION_TIMEOUT_S)  # now its time runs
        assert await out.result() == (Outcome.RESET, None)
        out = RecordedAttempt(pool, endpoint.endpoint)
        await wait_until(lambda: len(endpoint.received) == 2)
        endpoint.connections[1].send(interim[cut:])
        clock.advance(10 * upstream_connection.RESPONSE_COMPLETION_TIMEOUT_S)
        endpoint.connections[1].send(good)
        assert await out.result() == (Outcome.OK, OK_RESPONSE)


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize(("more", "kept"), [(b"", True), (b"Connection: close\r\n", False)])
async def test_response_without_a_body_by_its_status_ends_with_its_head(
    pool: ConnectionPool, status: int, more: bytes, kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with RawEndpoint(respond_with(b"HTTP/1.1 %d x\r\n%s\r\n" % (status, more))) as endpoint:
        for _ in range(2):
            assert (await RecordedAttempt(pool, endpoint.endpoint).result())[0] is Outcome.ERROR
        assert len(endpoint.connections) == 2 - kept


@pytest.mark.parametrize("kind", ["read", "write", "mark", "pay"])
async def test_client_gets_a_close_delimited_response_unless_it_is_reset(kind: str) -> None:
    """After a proper end; after a reset the request may have run."""

    ends = ["reset", "end"]

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        await respond_with(HEAD_WITHOUT_LENGTH + b"all of it", ends.pop(0))(wire, got)

    async with RawEndpoint(handle) as endpoint, running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy:
        first, _, body = await proxy.send_request(http_request(kind))
        if kind == "pay":
            assert first.split()[1] == "502"
            assert len(endpoint.received) == 1
            first, _, body = await proxy.send_request(http_request(kind, request_id="a2"))
        assert first.split()[1] == "200"
        assert body == b"all of it"
        assert len(endpoint.received) == 2
