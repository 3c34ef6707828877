"""Stale idle connections: past their idle time-out, or silently dropped by the endpoint."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest

from load_balancer import messages
from load_balancer.messages import Outcome
from load_balancer.net.upstream import idle_connections, upstream_attempt
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_messages import UpstreamRequest
from tests.support.attempts import KEYED_REQUEST, UNSAFE_REQUEST, RecordedAttempt
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import (
    endpoint_entry,
)
from tests.support.http_messages import HttpMessage, http_request, http_response
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.raw_endpoint import ConnectionHandler, EndpointConnection, RawEndpoint
from tests.support.stepped_clock import SteppedClock, run_loop_turns, wait_until

REQUEST_CLASS_NAMES = ["read", "write", "mark", "pay"]
IDLE_S = 30.0
GET_REQUEST = UpstreamRequest(b"GET", b"/api", [(b"host", b"x")], b"", is_idempotent=True)


def respond_with_body(body: bytes) -> ConnectionHandler:
    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        connection.send(http_response(200, body))

    return handle


@pytest.mark.parametrize("delay_s", [0.0, 0.15, 3_600.0])
async def test_connection_past_its_idle_time_is_not_reused_before_its_timer_runs(
    delay_s: float,
) -> None:
    """After a stall, a request is read in the same loop turn in which the idle timer is due."""

    clock = SteppedClock()
    async with RawEndpoint(respond_with_body(b"x")) as endpoint:
        pool = ConnectionPool(0.25, IDLE_S, 10)
        assert (await RecordedAttempt(pool, endpoint.endpoint, GET_REQUEST).result())[0] is Outcome.OK
        clock.advance(IDLE_S * (1.0 - idle_connections.IDLE_MARGIN_SHARE) + delay_s)
        assert (await RecordedAttempt(pool, endpoint.endpoint, GET_REQUEST).result())[0] is Outcome.OK
        assert len(endpoint.connections) == 2
        pool.close()


@pytest.mark.parametrize("idle_s", [0.1, 0.5, 1.0, 4.0])
async def test_short_idle_time_allows_for_a_stalled_process(idle_s: float) -> None:
    """The process may stall for 0.15 s before it writes, during which the endpoint may close."""

    clock = SteppedClock()
    async with RawEndpoint(respond_with_body(b"x")) as endpoint:
        pool = ConnectionPool(0.25, idle_s, 10)
        assert (await RecordedAttempt(pool, endpoint.endpoint, GET_REQUEST).result())[0] is Outcome.OK
        await run_loop_turns(30)
        clock.advance(max(0.0, idle_s - 0.15))
        assert (await RecordedAttempt(pool, endpoint.endpoint, GET_REQUEST).result())[0] is Outcome.OK
        assert len(endpoint.connections) == 2
        pool.close()


class StaleConnectionHandler:
    """Endpoint that can be made to respond to no more requests on the connections it has served so far."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.used_connections: set[EndpointConnection] = set()
        self.stale_connections: set[EndpointConnection] = set()

    def mark_connections_stale(self) -> None:
        self.stale_connections = set(self.used_connections)

    async def handle(self, connection: EndpointConnection, request: HttpMessage) -> None:
        if connection not in self.stale_connections:
            self.used_connections.add(connection)
            connection.send(http_response(200, request[1]["req-id"].encode()))
        elif self.fault == "reset":
            connection.reset()
        elif self.fault == "end":
            connection.end_sending()


async def open_idle_connections(proxy: LoopbackProxy, monkeypatch: pytest.MonkeyPatch, count: int) -> None:
    """Open and leave idle this many connections: until one settles, each request opens a new one."""
    with monkeypatch.context() as patch:
        patch.setattr(idle_connections, "SETTLE_S", 1e6)
        for number in range(count):
            await proxy.send_request(http_request(request_id=f"k{number}"))
    assert sum(map(len, proxy.pool.idle.by_endpoint.values())) >= count


async def leave_idle_connections(proxy: LoopbackProxy, endpoint: RawEndpoint, count: int) -> None:
    """Leave exactly this many idle connections to an endpoint, each of which has carried a request."""
    endpoint.reading.clear()
    responses = [
        asyncio.ensure_future(proxy.send_request(http_request(request_id=f"k{number}")))
        for number in range(count)
    ]
    await wait_until(lambda: len(endpoint.connections) == count)
    endpoint.reading.set()
    await asyncio.gather(*responses)
    await wait_until(lambda: sum(map(len, proxy.pool.idle.by_endpoint.values())) == count)


SETTINGS = balancer_settings(limits=messages.Limits(max_attempts=3, cancel=True))


async def status_while_time_passes(
    proxy: LoopbackProxy, clock: SteppedClock, request: bytes, step_s: float = 0.05, max_s: float = 2.5
) -> str:
    """Send a request, advance the clock until its final response, and return its status."""
    response = asyncio.ensure_future(proxy.send_request(request))
    began_s = clock.advanced_s
    while not response.done():
        assert clock.advanced_s - began_s < max_s, "no final response"
        clock.advance(step_s)
        await run_loop_turns(30)
    return (await response)[0].split()[1]


@pytest.mark.parametrize("endpoint_count", [1, 3])
@pytest.mark.parametrize("fault", ["reset", "end", "silence"])
@pytest.mark.parametrize("class_name", REQUEST_CLASS_NAMES)
async def test_stale_idle_connections_fail_one_request_at_most(
    class_name: str, fault: str, endpoint_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request is retried on a new connection; later ones reuse no idle connection to that endpoint."""

    handler = StaleConnectionHandler(fault)
    async with AsyncExitStack() as stack:
        endpoints = [
            await stack.enter_async_context(RawEndpoint(handler.handle)) for _ in range(endpoint_count)
        ]
        entries = [endpoint_entry(f"s-{number}", endpoint.port) for number, endpoint in enumerate(endpoints)]
        proxy = await stack.enter_async_context(
            running_proxy(*entries, settings=SETTINGS, idle_timeout_s=1e6, max_connections=200)
        )
        clock = proxy.use_stepped_clock()
        await open_idle_connections(proxy, monkeypatch, 40 * endpoint_count)
        assert sum(map(len, proxy.pool.idle.by_endpoint.values())) > 4
        handler.mark_connections_stale()
        clock.advance(3_600.0)
        statuses = []
        for number in range(4):
            request = http_request(class_name, request_id=f"r{number}", Req_Deadline="2.0")
            statuses.append(await status_while_time_passes(proxy, clock, request))
        # With one silent endpoint the first request cannot be retried; "pay" reuses no idle connection.
        failed_count = fault == "silence" and endpoint_count == 1 and class_name != "pay"
        assert statuses[failed_count:] == ["200"] * (4 - failed_count)


async def leave_idle_in_pool(pool: ConnectionPool, endpoint: RawEndpoint, count: int) -> None:
    """Leave exactly this many idle connections in a pool, each of which has carried a request."""
    endpoint.reading.clear()
    attempts = [RecordedAttempt(pool, endpoint.endpoint, GET_REQUEST) for _ in range(count)]
    await wait_until(lambda: len(endpoint.connections) == count)
    endpoint.reading.set()
    for attempt in attempts:
        await attempt.result()


@pytest.mark.parametrize(
    "case", ["time-out", "cancelled without response", "cancelled", "new connection", "response on another"]
)
async def test_idle_connections_are_closed_only_after_a_reused_one_stays_silent(case: str) -> None:
    """Not when a client disconnects, on a new connection, or if the endpoint responds on another one."""
    closes_idle_connections = case in ("time-out", "cancelled without response")

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        if request[0].startswith("GET"):
            connection.send(http_response(200, b"x"))

    clock = SteppedClock()
    async with RawEndpoint(handle) as endpoint:
        pool = ConnectionPool(0.25, 1e6, 10)
        await leave_idle_in_pool(pool, endpoint, 3)
        clock.advance(60.0)
        request = UNSAFE_REQUEST if case == "new connection" else KEYED_REQUEST
        attempt = RecordedAttempt(pool, endpoint.endpoint, request, 2.0)
        await wait_until(lambda: len(endpoint.received) == 4)
        if case == "response on another":
            assert (await RecordedAttempt(pool, endpoint.endpoint, GET_REQUEST).result())[0] is Outcome.OK
        if case == "cancelled without response":
            attempt.attempt.cancel_without_response()
        elif case == "cancelled":
            attempt.attempt.cancel()
        else:
            clock.advance(2.0)
        await attempt.result()
        idle_count = len(pool.idle.by_endpoint.get(endpoint.endpoint, ()))
        assert idle_count == (0 if closes_idle_connections else 3 if case == "new connection" else 2)
        pool.close()


class ResettingHandler:
    """Resets the connection of the first request with the id "r1", and responds to all other requests."""

    def __init__(self) -> None:
        self.has_reset = False

    async def handle(self, connection: EndpointConnection, request: HttpMessage) -> None:
        if request[1]["req-id"] == "r1" and not self.has_reset:
            self.has_reset = True
            connection.reset()
        else:
            connection.send(http_response(200, b"x"))


@pytest.mark.parametrize(("idle_for_s", "new_connection_count"), [(500.0, 0), (2_000.0, 1)])
async def test_retry_uses_a_new_connection_only_after_a_long_idle_one_is_reset(
    idle_for_s: float, new_connection_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A reset of a recently used connection is no evidence about connections to other endpoints."""
    monkeypatch.setattr(upstream_attempt, "LONG_IDLE_S", 1_000.0)  # far above the real time that passes

    handle = ResettingHandler().handle
    async with (
        RawEndpoint(handle) as first_endpoint,
        RawEndpoint(handle) as second_endpoint,
        running_proxy(
            endpoint_entry("s-1", first_endpoint.port),
            endpoint_entry("s-2", second_endpoint.port),
            settings=SETTINGS,
            idle_timeout_s=1e6,
        ) as proxy,
    ):
        clock = proxy.use_stepped_clock()
        while not (first_endpoint.connections and second_endpoint.connections):
            await asyncio.gather(
                *(proxy.send_request(http_request(request_id=f"k{number}")) for number in range(8))
            )
        clock.advance(idle_for_s)
        connection_count_before = len(first_endpoint.connections) + len(second_endpoint.connections)
        assert (await proxy.send_request(http_request(request_id="r1")))[2] == b"x"
        assert (first_endpoint.request_ids + second_endpoint.request_ids).count("r1") == 2
        assert (
            len(first_endpoint.connections) + len(second_endpoint.connections) - connection_count_before
            == new_connection_count
        )


async def test_client_disconnect_closes_no_idle_connection() -> None:
    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        if request[1]["req-id"] != "left":
            connection.send(http_response(200, b"x"))

    async with (
        RawEndpoint(handle) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), settings=SETTINGS, idle_timeout_s=1e6) as proxy,
    ):
        clock = proxy.use_stepped_clock()
        await leave_idle_connections(proxy, endpoint, 3)
        clock.advance(60.0)
        _, writer = await proxy.connect()
        writer.write(http_request(request_id="left"))
        await wait_until(lambda: "left" in endpoint.request_ids)
        writer.close()
        await wait_until(lambda: not proxy.driver.requests.attempts.in_flight)
        assert sum(map(len, proxy.pool.idle.by_endpoint.values())) == 2


@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("time_remaining_s", ["0.005", "0.030", "0.100", "0.300"])
@pytest.mark.parametrize("class_name", REQUEST_CLASS_NAMES)
async def test_silently_dropped_request_with_little_time_gets_a_final_response(
    class_name: str, time_remaining_s: str, is_reused: bool
) -> None:
    """It is sent within 0.5 s after the deadline, for any time remaining."""

    async def drop(connection: EndpointConnection, request: HttpMessage) -> None:
        if request[1]["req-id"].startswith("k"):
            connection.send(http_response(200, b"k"))

    async with (
        RawEndpoint(drop) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), idle_timeout_s=1e6) as proxy,
    ):
        clock = proxy.use_stepped_clock()
        if is_reused:
            await leave_idle_connections(proxy, endpoint, 1)
            clock.advance(60.0)
        response = asyncio.ensure_future(
            proxy.send_request(http_request(class_name, request_id="r1", Req_Deadline=time_remaining_s))
        )
        await wait_until(lambda: "r1" in endpoint.request_ids or response.done())
        began_s = clock.advanced_s
        while not response.done():
            assert clock.advanced_s - began_s < float(time_remaining_s) + 0.5, "no final response"
            clock.advance(0.01)
            await run_loop_turns(30)
        assert (await response)[0].split()[1] in ("502", "503")
        assert endpoint.request_ids.count("r1") <= (1 if class_name == "pay" else 3)
