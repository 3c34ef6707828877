"""Close-delimited responses on one connection: complete only at the end of the stream."""

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


@pytest.mark.parametrize("ending", [("end",), ("end", "reset")])
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
    pool: ConnectionPool, head: bytes, outcome: Outcome, body: bytes, ending: tuple[str, ...]
) -> None:
    """As HTTP/1.1 specifies. A reset after the end is in the system's buffer before the first read."""

    async with RawEndpoint(respond_with(head + body, *ending)) as endpoint:
        for attempt_count in (1, 2):  # the connection is not reused
            actual_outcome, response = await RecordedAttempt(pool, endpoint.endpoint).result()
            assert actual_outcome is outcome
            assert response is not None
            assert response.body == body
            assert len(endpoint.connections) == len(endpoint.received) == attempt_count


async def test_close_delimited_response_is_not_complete_before_the_end_of_the_stream(
    pool: ConnectionPool, bytes_from_endpoints: bytearray
) -> None:
    async with RawEndpoint(respond_with(HEAD_WITHOUT_LENGTH + b"all ")) as endpoint:
        recorded = RecordedAttempt(pool, endpoint.endpoint)
        await wait_until(lambda: len(bytes_from_endpoints) == len(HEAD_WITHOUT_LENGTH) + 4)
        assert not recorded.results
        endpoint.connections[0].send(b"of it")
        await wait_until(lambda: len(bytes_from_endpoints) == len(HEAD_WITHOUT_LENGTH) + 9)
        assert not recorded.results
        endpoint.connections[0].end_sending()
        actual_outcome, response = await recorded.result()
        assert actual_outcome is Outcome.OK
        assert response
        assert response.body == b"all of it"


@pytest.mark.parametrize("length", range(1, len(HEAD_WITHOUT_LENGTH) + 6))
@pytest.mark.parametrize("is_read_before_reset", [False, True])
async def test_reset_does_not_complete_a_close_delimited_response(
    pool: ConnectionPool, length: int, is_read_before_reset: bool, bytes_from_endpoints: bytearray
) -> None:
    """The reset follows any byte, also the last one, and is read after the bytes or together with them."""
    response_bytes = (HEAD_WITHOUT_LENGTH + b"whole")[:length]

    async with RawEndpoint(
        respond_with(response_bytes) if is_read_before_reset else respond_with(response_bytes, "reset")
    ) as endpoint:
        recorded = RecordedAttempt(pool, endpoint.endpoint)
        if is_read_before_reset:
            await wait_until(lambda: len(bytes_from_endpoints) == len(response_bytes))
            assert not recorded.results
            endpoint.connections[0].reset()
        assert await recorded.result() == (Outcome.RESET, None)


@pytest.mark.parametrize(("size", "outcome"), [(65_536, Outcome.OK), (65_537, Outcome.RESET)])
async def test_close_delimited_response_over_the_limit_is_rejected(
    pool: ConnectionPool, size: int, outcome: Outcome
) -> None:
    """One byte over the limit ends the attempt at once, although the connection stays open."""

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        await asyncio.get_running_loop().sock_sendall(connection.socket, HEAD_WITHOUT_LENGTH + b"x" * size)
        if outcome is Outcome.OK:
            connection.end_sending()

    async with RawEndpoint(handle) as endpoint:
        actual_outcome, response = await RecordedAttempt(pool, endpoint.endpoint).result()
        assert actual_outcome is outcome
        assert response is None or len(response.body) == size


async def test_close_delimited_response_without_an_end_times_out(
    pool: ConnectionPool, bytes_from_endpoints: bytearray
) -> None:
    clock = FrozenClock()
    async with RawEndpoint(respond_with(HEAD_WITHOUT_LENGTH + b"all of it")) as endpoint:
        recorded = RecordedAttempt(pool, endpoint.endpoint)
        await wait_until(lambda: bytes_from_endpoints.endswith(b"it"))
        assert not recorded.results
        clock.advance(upstream_connection.RESPONSE_COMPLETION_TIMEOUT_S)
        assert await recorded.result() == (Outcome.RESET, None)


@pytest.mark.parametrize("split_at", [0, 12])
async def test_interim_response_does_not_start_the_completion_timeout(
    pool: ConnectionPool, split_at: int, bytes_from_endpoints: bytearray
) -> None:
    """Only the final response must complete soon after its first byte, as the work is done by then."""
    interim, valid_response = b"HTTP/1.1 103 x\r\n\r\n", http_response(200, b"ok")

    clock = FrozenClock()
    async with RawEndpoint(respond_with(interim[:split_at])) as endpoint:
        recorded = RecordedAttempt(pool, endpoint.endpoint)
        await wait_until(lambda: len(bytes_from_endpoints) == split_at and len(endpoint.received) == 1)
        endpoint.connections[0].send(interim[split_at:])
        await wait_until(lambda: len(bytes_from_endpoints) == len(interim))
        clock.advance(10 * upstream_connection.RESPONSE_COMPLETION_TIMEOUT_S)
        for _ in range(20):
            await asyncio.sleep(0)
        endpoint.connections[0].send(valid_response[:-1])
        await wait_until(lambda: bytes_from_endpoints.endswith(b"o") or bool(recorded.results))
        assert not recorded.results
        clock.advance(upstream_connection.RESPONSE_COMPLETION_TIMEOUT_S)  # the timeout now runs
        assert await recorded.result() == (Outcome.RESET, None)
        recorded = RecordedAttempt(pool, endpoint.endpoint)
        await wait_until(lambda: len(endpoint.received) == 2)
        endpoint.connections[1].send(interim[split_at:])
        clock.advance(10 * upstream_connection.RESPONSE_COMPLETION_TIMEOUT_S)
        endpoint.connections[1].send(valid_response)
        assert await recorded.result() == (Outcome.OK, OK_RESPONSE)


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize(("extra_headers", "is_reused"), [(b"", True), (b"Connection: close\r\n", False)])
async def test_response_without_a_body_by_its_status_ends_with_its_head(
    pool: ConnectionPool, status: int, extra_headers: bytes, is_reused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with RawEndpoint(respond_with(b"HTTP/1.1 %d x\r\n%s\r\n" % (status, extra_headers))) as endpoint:
        for _ in range(2):
            assert (await RecordedAttempt(pool, endpoint.endpoint).result())[0] is Outcome.ERROR
        assert len(endpoint.connections) == 2 - is_reused


@pytest.mark.parametrize("kind", ["read", "write", "mark", "pay"])
async def test_client_gets_a_close_delimited_response_unless_it_is_reset(kind: str) -> None:
    """It is complete after an orderly end; after a reset the request may have run."""

    endings = ["reset", "end"]

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        await respond_with(HEAD_WITHOUT_LENGTH + b"all of it", endings.pop(0))(connection, request)

    async with RawEndpoint(handle) as endpoint, running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy:
        status_line, _, body = await proxy.send_request(http_request(kind))
        if kind == "pay":
            assert status_line.split()[1] == "502"
            assert len(endpoint.received) == 1
            status_line, _, body = await proxy.send_request(http_request(kind, request_id="a2"))
        assert status_line.split()[1] == "200"
        assert body == b"all of it"
        assert len(endpoint.received) == 2
