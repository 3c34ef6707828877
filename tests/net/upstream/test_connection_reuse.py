"""Late bytes on an idle or reused connection are not treated as the next response."""

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


@pytest.mark.parametrize("late_event", ["response", "end", "reset", "response and end"])
@pytest.mark.parametrize("is_unread", [True, False])
async def test_late_bytes_on_an_idle_connection_are_not_the_next_response(
    pool: ConnectionPool, late_event: str, is_unread: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next request starts in the same iteration, with the bytes unread, or after they have been read."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        connection.send(http_response(200, b"%d" % len(endpoint.received)))

    async with RawEndpoint(handle) as endpoint:
        assert (await RecordedAttempt(pool, endpoint.endpoint).result())[1] == UpstreamResponse(
            200, [(b"content-length", b"1")], b"1"
        )
        [connection] = endpoint.connections
        if "response" in late_event:
            connection.send(http_response(200, b"1"))
        if "end" in late_event:
            connection.end_sending()
        if late_event == "reset":
            connection.reset()
        if not is_unread:
            await wait_until(lambda: not pool.connections.open)
        outcome, response = await RecordedAttempt(pool, endpoint.endpoint).result()
        assert outcome is Outcome.OK
        assert response
        assert response.body == b"2"
        assert len(endpoint.connections) == len(endpoint.received) == 2


@pytest.mark.parametrize("late_event", ["response", "end", "reset"])
async def test_late_bytes_just_before_the_write_are_not_the_next_response(
    pool: ConnectionPool, late_event: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bytes arrive just before the write: nothing is written, so nothing has run."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    unread_results: list[bool] = []
    has_unread_bytes = socket_state.has_unread_bytes

    async with RawEndpoint(respond_with(http_response(200, b"first"))) as endpoint:
        assert (await RecordedAttempt(pool, endpoint.endpoint).result())[0] is Outcome.OK

        def check_and_send_late_event(transport: asyncio.BaseTransport, default: bool = True) -> bool:
            unread_results.append(has_unread_bytes(transport, default=default))
            if len(unread_results) == 1:
                [connection] = endpoint.connections
                {
                    "response": lambda: connection.send(http_response(200, b"late")),
                    "end": connection.end_sending,
                    "reset": connection.reset,
                }[late_event]()
            return unread_results[-1]

        monkeypatch.setattr(socket_state, "has_unread_bytes", check_and_send_late_event)
        assert await RecordedAttempt(pool, endpoint.endpoint).result() == (Outcome.NOT_SENT, None)
        assert unread_results == [False, True]
        assert len(endpoint.received) == 1
        assert not pool.idle.by_endpoint


async def test_connection_settles_before_reuse_so_that_a_second_response_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests in the settling time use other connections; second responses arrive before it has passed."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", 20.0)

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        connection.send(http_response(200, b"%d" % len(endpoint.received)))

    async with RawEndpoint(handle) as endpoint:
        pool, clock = ConnectionPool(0.25, 3000.0, 10), FrozenClock()
        for number in (b"1", b"2", b"3"):
            outcome, response = await RecordedAttempt(pool, endpoint.endpoint).result()
            assert outcome is Outcome.OK
            assert response
            assert response.body == number
        assert len(endpoint.connections) == 3
        for connection in endpoint.connections[:2]:
            connection.send(http_response(200, b"late"))
        clock.advance(20.0)
        for number in (b"4", b"5"):  # the third connection has settled without further bytes
            outcome, response = await RecordedAttempt(pool, endpoint.endpoint).result()
            assert outcome is Outcome.OK
            assert response
            assert response.body == number
        assert len(endpoint.connections) == 4
        pool.close()


@pytest.mark.parametrize("kind", REQUEST_CLASS_NAMES)
@pytest.mark.parametrize("ending", ["end", "reset"])
async def test_client_gets_a_response_when_a_reused_connection_breaks(
    kind: str, ending: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The endpoint closes or resets the connection once it has the request, which may thus have run.

    Non-idempotent requests therefore use no idle connection.
    """
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        if len(connections) == 1 and connection is connections[0]:
            await respond_with(ending)(connection, request)
        else:
            connections.append(connection)
            connection.send(http_response(200, request[1]["req-id"].encode()))

    connections: list[EndpointConnection] = []
    async with RawEndpoint(handle) as endpoint, running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy:
        assert (await proxy.send_request(http_request(request_id="first")))[2] == b"first"
        line, _, body = await proxy.send_request(http_request(kind, request_id="r1"))
        assert line.split()[1] == "200"
        assert body == b"r1"
        assert endpoint.request_ids == (["first", "r1"] if kind == "pay" else ["first", "r1", "r1"])
