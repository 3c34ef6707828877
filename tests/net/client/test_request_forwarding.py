"""Client requests over real sockets: the forwarded request and the returned response."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.clock import Clock
from load_balancer.net.driver.client_messages import ClientRequest
from load_balancer.net.driver.open_requests import DEADLINE_MARGIN_US
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message, response_status
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import FrozenClock, SteppedClock, wait_until


async def test_request_is_forwarded_complete_and_its_response_returned() -> None:
    async with (
        StandInEndpoint(http_response(200, b"\x00body")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        sent = http_request("mark", "id7", "/api?sid=ab%20c", b"payload", Idempotency_Key="k1")
        response = await proxy.send_request(sent)
        assert (response_status(response), response[2]) == (200, b"\x00body")
        start_line, headers, body = endpoint.received[0]
        assert start_line == "POST /api?sid=ab%20c HTTP/1.1"
        assert (headers["req-id"], headers["idempotency-key"], body) == ("id7", "k1", b"payload")
        assert 0 < float(headers["req-deadline"]) <= 4.0


async def test_client_and_endpoint_connections_are_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        reader, writer = await proxy.connect()
        for number in range(5):
            writer.write(http_request(request_id=f"r{number}"))
            assert response_status(await read_http_message(reader)) == 200
        writer.close()
        assert endpoint.connection_count == 1


async def test_ready_only_while_an_endpoint_is_in_service() -> None:
    ready = http_request(path="/ready")
    async with running_proxy() as proxy:
        assert response_status(await proxy.send_request(ready)) == 503
    async with running_proxy(endpoint_entry("s-1", 9, "terminating")) as proxy:
        assert response_status(await proxy.send_request(ready)) == 503
    async with running_proxy(endpoint_entry("s-1", 9)) as proxy:
        assert response_status(await proxy.send_request(ready)) == 200


async def test_long_claimed_deadline_does_not_affect_other_requests(proxy: LoopbackProxy) -> None:
    """The claimed deadline is capped by that of the class and does not change the age of other requests."""

    assert response_status(await proxy.send_request(http_request(Req_Deadline="3600"))) == 200
    assert response_status(await proxy.send_request(http_request(request_id="a2"))) == 200


async def test_retry_header_marks_a_request_as_a_retry(
    proxy: LoopbackProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    retry_flags: list[bool] = []
    accept_request = proxy.driver.accept_request

    def record_and_accept(request: ClientRequest) -> str:
        retry_flags.append(request.is_retry)
        return accept_request(request)

    monkeypatch.setattr(proxy.driver, "accept_request", record_and_accept)
    assert response_status(await proxy.send_request(http_request())) == 200
    assert response_status(await proxy.send_request(http_request(Req_Retry="1"))) == 200
    assert response_status(await proxy.send_request(http_request(Req_Retry="0"))) == 200
    assert retry_flags == [False, True, False]


async def test_chunked_body_is_forwarded_with_a_content_length(
    endpoint: StandInEndpoint, proxy: LoopbackProxy
) -> None:
    head = http_request("mark", Content_Length="0").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    assert response_status(await proxy.send_request(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")) == 200
    assert endpoint.received[0][2] == b"abcde"


async def test_nagle_is_disabled_on_client_and_endpoint_connections(proxy: LoopbackProxy) -> None:
    reader, writer = await proxy.connect()
    writer.write(http_request())
    await read_http_message(reader)
    transports = [connection.transport for connection in proxy.clients.open_connections] + [
        connection.transport for connection in proxy.pool.connections.open
    ]
    assert len(transports) == 2
    for transport in transports:
        sock = transport.get_extra_info("socket")
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    writer.close()


@pytest.mark.parametrize(("class_name", "reused_count"), [("pay", 0), ("mark", 1), ("read", 1)])
async def test_only_the_request_class_decides_whether_an_idle_connection_is_reused(
    class_name: str, reused_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An Idempotency-Key header does not decide: a client may send one with a non-idempotent class."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        assert response_status(await proxy.send_request(http_request(request_id="first"))) == 200
        assert response_status(await proxy.send_request(http_request(class_name, Idempotency_Key="k"))) == 200
        assert endpoint.connection_count == 2 - reused_count
        assert endpoint.received[1][1]["idempotency-key"] == "k"


@pytest.fixture
def policy_clock(monkeypatch: pytest.MonkeyPatch) -> Callable[[], SteppedClock]:
    """Return a function that makes a clock for both the running event loop and the policy."""

    def make_clock() -> SteppedClock:
        clock, now_us = FrozenClock(), Clock.now_us
        monkeypatch.setattr(Clock, "now_us", lambda self: now_us(self) + round(clock.advanced_s * 1e6))
        return clock

    return make_clock


class HeldConnects:
    """Delays each connect of a pool until a permit is released."""

    def __init__(self, pool: ConnectionPool, monkeypatch: pytest.MonkeyPatch) -> None:
        self.started_count = 0
        self.permits = asyncio.Semaphore(0)
        self._connect = pool.connector.open
        monkeypatch.setattr(pool.connector, "open", self.connect)

    async def connect(self, endpoint: EndpointAddress) -> UpstreamConnection:
        self.started_count += 1
        await self.permits.acquire()
        return await self._connect(endpoint)


async def test_deadline_header_holds_the_time_remaining_when_the_attempt_is_written(
    policy_clock: Callable[[], SteppedClock], monkeypatch: pytest.MonkeyPatch
) -> None:
    """This holds for the first attempt and for the retry, although each connection is established late."""
    clock = policy_clock()
    async with (
        StandInEndpoint(http_response(500)) as endpoint,
        running_proxy(
            endpoint_entry("s-1", endpoint.port), endpoint_entry("s-2", endpoint.port), connect_timeout_s=60.0
        ) as proxy,
    ):
        connects = HeldConnects(proxy.pool, monkeypatch)
        response_task = asyncio.ensure_future(proxy.send_request(http_request(Req_Deadline="1.9")))
        for number, delay_s in ((1, 0.4), (2, 0.8)):
            await wait_until(lambda number=number: connects.started_count == number)  # type: ignore[misc]
            clock.advance(delay_s)
            connects.permits.release()
        await wait_until(lambda: len(endpoint.received) == 2)
        first, second = (float(headers["req-deadline"]) for _, headers, _ in endpoint.received)
        margin = DEADLINE_MARGIN_US / 1e6
        assert 1.0 < first <= 1.9 - 0.4 - margin
        assert 0.2 < second <= 1.9 - 1.2 - margin
        connects.permits.release()
        assert response_status(await response_task) == 503
