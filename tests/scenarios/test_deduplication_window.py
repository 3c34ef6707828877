"""Retries of requests with an idempotency key are sent within the key's deduplication window."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from load_balancer import messages
from load_balancer.messages import Idempotency, KeyScope, RequestClass
from tests.support.attempts import REQUEST_CLASS_NAMES
from tests.support.balancer_harness import balancer_settings
from tests.support.connect_gates import SystemConnectGate
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import HttpMessage, http_request, http_response, response_status
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.raw_endpoint import EndpointConnection, RawEndpoint, respond_with
from tests.support.stepped_clock import wait_until
from tests.support.units import SECOND_US

# All times are long compared with the real time that passes during a test.
CONNECT_TIMEOUT_S = 25.0
LATENCY_OBJECTIVE_US = 400 * SECOND_US
DEADLINE_S = 900


def request_class(
    name: str,
    idempotency: Idempotency = Idempotency.UNSAFE,
    key_scope: KeyScope = KeyScope.ALL,
    window_s: float = 0.0,
) -> RequestClass:
    """Return a request class whose requests have minutes until their deadline."""
    return RequestClass(
        name,
        LATENCY_OBJECTIVE_US,
        DEADLINE_S * SECOND_US,
        idempotency,
        key_scope,
        deduplication_window_us=round(window_s * SECOND_US),
    )


def settings_with(connect_timeout_s: float, *classes: RequestClass) -> messages.Settings:
    """Return settings with these classes and at most three attempts per request."""
    limits = messages.Limits(max_attempts=3, connect_timeout_us=round(connect_timeout_s * SECOND_US))
    return balancer_settings(classes=classes, limits=limits)


class KeyedRequest:
    """A request with an idempotency key, to whose first attempt the endpoint does not respond.

    Attributes:
        proxy: The proxy that the request was sent to.
        endpoints: The endpoints of the proxy.
        clock: The clock of the event loop and the policy.
        received: For each attempt received, the event loop's time and the connection.
    """

    def __init__(self) -> None:
        self.received: list[tuple[float, EndpointConnection]] = []
        self.endpoints = [RawEndpoint(self.receive) for _ in range(2)]

    async def receive(self, connection: EndpointConnection, request: HttpMessage) -> None:
        """Record an attempt, and respond unless it is the first one."""
        self.received.append((asyncio.get_running_loop().time(), connection))
        if len(self.received) > 1:
            connection.send(http_response(200, b"ok"))

    def send(self, proxy: LoopbackProxy) -> None:
        """Send the request; from now on the clocks move only when stepped."""
        self.proxy = proxy
        self.clock = proxy.use_stepped_clock()
        request = http_request("mark", request_id="r1", Req_Deadline=str(DEADLINE_S))
        self._response = asyncio.ensure_future(proxy.send_request(request))

    @property
    def first_connection(self) -> EndpointConnection:
        """The connection of the first attempt."""
        return self.received[0][1]

    @property
    def endpoint_request_count(self) -> int:
        """The number of requests that the endpoints have received."""
        return sum(len(endpoint.received) for endpoint in self.endpoints)

    async def status(self) -> int:
        """Return the status of the final response."""
        return response_status(await self._response)


@asynccontextmanager
async def keyed_request(window_s: float) -> AsyncIterator[KeyedRequest]:
    """Send a request with an idempotency key and this window, and wait until an endpoint receives it."""
    request = KeyedRequest()
    settings = settings_with(CONNECT_TIMEOUT_S, request_class("mark", Idempotency.KEYED, window_s=window_s))
    first, second = request.endpoints
    async with (
        first,
        second,
        running_proxy(
            endpoint_entry("s-1", first.port),
            endpoint_entry("s-2", second.port),
            settings=settings,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=9e3,
        ) as proxy,
    ):
        request.send(proxy)
        await wait_until(lambda: len(request.received) == 1)
        yield request


@pytest.mark.parametrize(
    ("window_s", "after_s", "is_retried"),
    [(100.0, 0.0, True), (100.0, 70.0, True), (100.0, 80.0, False), (20.0, 0.0, False), (0.0, 0.0, False)],
)
@pytest.mark.parametrize("connect_s", [0.0, 24.0])
@pytest.mark.parametrize("failure", ["reset", "end", "500"])
async def test_keyed_retry_is_received_within_its_deduplication_window(
    window_s: float, after_s: float, connect_s: float, is_retried: bool, failure: str
) -> None:
    """It is not sent where its connect could last past the end of the window."""
    async with keyed_request(window_s) as request:
        connects = SystemConnectGate()
        request.clock.advance(after_s)
        step = http_response(500) if failure == "500" else failure
        await respond_with(step)(request.first_connection, HttpMessage("", {}, b""))
        if is_retried:
            await wait_until(lambda: connects.waiting_count == 1)
            request.clock.advance(connect_s)
            connects.opened.set()
        assert await request.status() == (200 if is_retried else 503)
        assert len(request.received) == request.endpoint_request_count == 1 + is_retried
        (first_at_s, _), (last_at_s, _) = request.received[0], request.received[-1]
        assert last_at_s - first_at_s <= window_s


async def test_keyed_retry_is_not_sent_when_its_connection_is_late() -> None:
    async with keyed_request(100.0) as request:
        connects = SystemConnectGate()
        request.clock.advance(60.0)
        request.first_connection.reset()
        await wait_until(lambda: connects.waiting_count == 1)
        request.clock.advance(CONNECT_TIMEOUT_S + 0.1)  # a further connect could last past the window's end
        assert await request.status() == 503
        connects.opened.set()
        request.clock.advance(50.0)
        next_request = http_request("mark", request_id="r2", Req_Deadline=str(DEADLINE_S))
        assert response_status(await request.proxy.send_request(next_request)) == 200
        received_ids = [request_id for endpoint in request.endpoints for request_id in endpoint.request_ids]
        assert [request_id for request_id in received_ids if request_id == "r1"] == ["r1"]


# Connections that are reset after the endpoint has received the request


RESET_WINDOW_S = 50.0
ONE_OF_EACH_CLASS = (
    request_class("read", Idempotency.SAFE),
    request_class("write", Idempotency.KEYED, KeyScope.CELL, RESET_WINDOW_S),
    request_class("mark", Idempotency.KEYED, window_s=RESET_WINDOW_S),
    request_class("pay"),
)


class ResetFleet:
    """Eight endpoints in four cells that respond to all requests but the first one.

    Attributes:
        endpoints: The endpoints; the two of each cell are four positions apart.
        connections: The connection of each request received so far, in order.
    """

    def __init__(self) -> None:
        self.connections: list[EndpointConnection] = []
        self.endpoints = [RawEndpoint(self.receive) for _ in range(8)]

    async def receive(self, connection: EndpointConnection, request: HttpMessage) -> None:
        """Record a request, and respond unless it is the first one."""
        self.connections.append(connection)
        if len(self.connections) > 1:
            connection.send(http_response(200, b"served"))

    def has_received_by_endpoint(self) -> list[bool]:
        """Return whether each endpoint has received a request."""
        return [bool(endpoint.received) for endpoint in self.endpoints]


@asynccontextmanager
async def proxy_before_reset_fleet() -> AsyncIterator[tuple[ResetFleet, LoopbackProxy]]:
    """Run the fleet and a proxy with one request class of each idempotency and key scope."""
    fleet = ResetFleet()
    entries = [
        endpoint_entry(f"s-{number}", endpoint.port, pod_group=number % 4)
        for number, endpoint in enumerate(fleet.endpoints)
    ]
    async with AsyncExitStack() as stack:
        for endpoint in fleet.endpoints:
            await stack.enter_async_context(endpoint)
        proxy = running_proxy(*entries, settings=settings_with(1.0, *ONE_OF_EACH_CLASS))
        yield fleet, await stack.enter_async_context(proxy)


@pytest.mark.parametrize("class_name", REQUEST_CLASS_NAMES)
@pytest.mark.parametrize("after_s", [0.0, 10.0, 60.0])
async def test_request_reset_after_its_first_byte_is_retried_only_where_safe(
    class_name: str, after_s: float
) -> None:
    """The endpoint may have run the request, however late the reset is.

    An unsafe request is not retried, and one with an idempotency key only within its window.
    """
    async with proxy_before_reset_fleet() as (fleet, proxy):
        clock = proxy.use_stepped_clock()
        request = http_request(class_name, request_id="r1", Req_Deadline=str(DEADLINE_S))
        response = asyncio.ensure_future(proxy.send_request(request))
        await wait_until(lambda: len(fleet.connections) == 1)
        clock.advance(after_s)
        fleet.connections[0].reset()
        status = response_status(await response)
        is_retried = class_name == "read" or (class_name != "pay" and after_s < RESET_WINDOW_S - 1.0)
        # A request whose key all endpoints share may be rejected with 503, also after its window.
        assert status == (200 if is_retried else 503 if class_name == "mark" else 502)
        assert len(fleet.connections) == 1 + is_retried
        if class_name == "write" and is_retried:  # the retry goes to the other endpoint of the same cell
            has_received = fleet.has_received_by_endpoint()
            assert has_received[:4] == has_received[4:]
