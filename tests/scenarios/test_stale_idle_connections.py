"""Idle connections that have gone stale: past their idle time, or forgotten by the endpoint."""

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

KINDS = ["read", "write", "mark", "pay"]
IDLE_S = 30.0
GET = UpstreamRequest(b"GET", b"/api", [(b"host", b"x")], b"", is_idempotent=True)


def answers_as(name: bytes) -> ConnectionHandler:
    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        connection.send(http_response(200, name))

    return handle


@pytest.mark.parametrize("late_s", [0.0, 0.15, 3_600.0])
async def test_connection_past_its_idle_time_is_not_used_before_its_timer_runs(
    late_s: float,
) -> None:
    """The process was stalled: a request is read in the very loop turn in which the timer is due."""

    clock = SteppedClock()
    async with RawEndpoint(answers_as(b"x")) as endpoint:
        pool = ConnectionPool(0.25, IDLE_S, 10)
        assert (await RecordedAttempt(pool, endpoint.endpoint, GET).result())[0] is Outcome.OK
        clock.advance(IDLE_S * (1.0 - idle_connections.IDLE_MARGIN_SHARE) + late_s)
        assert (await RecordedAttempt(pool, endpoint.endpoint, GET).result())[0] is Outcome.OK
        assert len(endpoint.connections) == 2
        pool.close()


@pytest.mark.parametrize("idle_s", [0.1, 0.5, 1.0, 4.0])
async def test_short_idle_time_allows_for_a_stalled_process(idle_s: float) -> None:
    """The process may stall for 0.15 s before it writes, and the endpoint may close meanwhile."""

    clock = SteppedClock()
    async with RawEndpoint(answers_as(b"x")) as endpoint:
        pool = ConnectionPool(0.25, idle_s, 10)
        assert (await RecordedAttempt(pool, endpoint.endpoint, GET).result())[0] is Outcome.OK
        await run_loop_turns(30)
        clock.advance(max(0.0, idle_s - 0.15))
        assert (await RecordedAttempt(pool, endpoint.endpoint, GET).result())[0] is Outcome.OK
        assert len(endpoint.connections) == 2
        pool.close()


class ForgetfulEndpoint:
    """An endpoint that, once told to, responds to no request on the connections that it has had so far."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.used: set[EndpointConnection] = set()
        self.forgotten: set[EndpointConnection] = set()

    def forget_connections(self) -> None:
        self.forgotten = set(self.used)

    async def handle(self, connection: EndpointConnection, request: HttpMessage) -> None:
        if connection not in self.forgotten:
            self.used.add(connection)
            connection.send(http_response(200, request[1]["req-id"].encode()))
        elif self.fault == "reset":
            connection.reset()
        elif self.fault == "end":
            connection.end_sending()


async def open_idle_connections(proxy: LoopbackProxy, monkeypatch: pytest.MonkeyPatch, count: int) -> None:
    """Open so many connections and leave them idle: while none settles, each request opens another one."""
    with monkeypatch.context() as patch:
        patch.setattr(idle_connections, "SETTLE_S", 1e6)
        for number in range(count):
            await proxy.send_request(http_request(request_id=f"k{number}"))
    assert sum(map(len, proxy.pool.idle.by_endpoint.values())) >= count


async def leave_idle_connections(proxy: LoopbackProxy, endpoint: RawEndpoint, count: int) -> None:
    """Leave exactly so many idle connections to an endpoint, each of which has carried a request."""
    endpoint.reading.clear()
    responses = [
        asyncio.ensure_future(proxy.send_request(http_request(request_id=f"k{number}")))
        for number in range(count)
    ]
    await wait_until(lambda: len(endpoint.connections) == count)
    endpoint.reading.set()
    await asyncio.gather(*responses)
    await wait_until(lambda: sum(map(len, proxy.pool.idle.by_endpoint.values())) == count)


ROOMY = balancer_settings(limits=messages.Limits(max_attempts=3, cancel=True))


async def status_while_time_passes(
    proxy: LoopbackProxy, clock: SteppedClock, request: bytes, step_s: float = 0.05, max_s: float = 2.5
) -> str:
    """Send a request, step time until its final response, and return the response's status."""
    response = asyncio.ensure_future(proxy.send_request(request))
    began_s = clock.advanced_s
    while not response.done():
        assert clock.advanced_s - began_s < max_s, "no final response"
        clock.advance(step_s)
        await run_loop_turns(30)
    return (await response)[0].split()[1]


@pytest.mark.parametrize("endpoint_count", [1, 3])
@pytest.mark.parametrize("fault", ["reset", "end", "silence"])
@pytest.mark.parametrize("kind", KINDS)
async def test_forgotten_idle_connections_cost_one_request_at_most(
    kind: str, fault: str, endpoint_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is retried on a new connection, and later requests use none of the idle connections there."""

    handler = ForgetfulEndpoint(fault)
    async with AsyncExitStack() as stack:
        endpoints = [
            await stack.enter_async_context(RawEndpoint(handler.handle)) for _ in range(endpoint_count)
        ]
        entries = [endpoint_entry(f"s-{number}", endpoint.port) for number, endpoint in enumerate(endpoints)]
        proxy = await stack.enter_async_context(
            running_proxy(*entries, settings=ROOMY, idle_timeout_s=1e6, max_connections=200)
        )
        clock = proxy.use_stepped_clock()
        await open_idle_connections(proxy, monkeypatch, 40 * endpoint_count)
        assert sum(map(len, proxy.pool.idle.by_endpoint.values())) > 4
        handler.forget_connections()
        clock.advance(3_600.0)
        statuses = []
        for number in range(4):
            request = http_request(kind, request_id=f"r{number}", Req_Deadline="2.0")
            statuses.append(await status_while_time_passes(proxy, clock, request))
        # With one silent endpoint there is nowhere to retry the first one; "pay" uses no idle connection.
        failed_count = fault == "silence" and endpoint_count == 1 and kind != "pay"
        assert statuses[failed_count:] == ["200"] * (4 - failed_count)


async def leave_idle_in_pool(pool: ConnectionPool, endpoint: RawEndpoint, count: int) -> None:
    """Leave exactly so many idle connections in a pool, each of which has carried a request."""
    endpoint.reading.clear()
    attempts = [RecordedAttempt(pool, endpoint.endpoint, GET) for _ in range(count)]
    await wait_until(lambda: len(endpoint.connections) == count)
    endpoint.reading.set()
    for attempt in attempts:
        await attempt.result()


@pytest.mark.parametrize(
    "case", ["time out", "given up", "cancelled", "a new connection", "it answers others"]
)
async def test_idle_connections_are_closed_only_after_a_reused_one_stays_silent(case: str) -> None:
    """Not when a client disconnects, on a new connection, or when the endpoint answers others meanwhile."""
    silent = case in ("time out", "given up")

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        if request[0].startswith("GET"):
            connection.send(http_response(200, b"x"))

    clock = SteppedClock()
    async with RawEndpoint(handle) as endpoint:
        pool = ConnectionPool(0.25, 1e6, 10)
        await leave_idle_in_pool(pool, endpoint, 3)
        clock.advance(60.0)
        request = UNSAFE_REQUEST if case == "a new connection" else KEYED_REQUEST
        attempt = RecordedAttempt(pool, endpoint.endpoint, request, 2.0)
        await wait_until(lambda: len(endpoint.received) == 4)
        if case == "it answers others":
            assert (await RecordedAttempt(pool, endpoint.endpoint, GET).result())[0] is Outcome.OK
        if case == "given up":
            attempt.attempt.cancel_without_response()
        elif case == "cancelled":
            attempt.attempt.cancel()
        else:
            clock.advance(2.0)
        await attempt.result()
        idle_count = len(pool.idle.by_endpoint.get(endpoint.endpoint, ()))
        assert idle_count == (0 if silent else 3 if case == "a new connection" else 2)
        pool.close()


class BreakingHandler:
    """Resets the connection that the request "r1" comes on first, and responds to every other request."""

    def __init__(self) -> None:
        self.has_reset = False

    async def handle(self, connection: EndpointConnection, request: HttpMessage) -> None:
        if request[1]["req-id"] == "r1" and not self.has_reset:
            self.has_reset = True
            connection.reset()
        else:
            connection.send(http_response(200, b"x"))


@pytest.mark.parametrize(("idle_for_s", "new_connections"), [(500.0, 0), (2_000.0, 1)])
async def test_retry_uses_a_new_connection_only_after_a_break_of_a_long_idle_one(
    idle_for_s: float, new_connections: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An endpoint that breaks a busy connection says nothing about connections to other endpoints."""
    monkeypatch.setattr(upstream_attempt, "LONG_IDLE_S", 1_000.0)  # real time never comes near this

    handle = BreakingHandler().handle
    async with (
        RawEndpoint(handle) as first_endpoint,
        RawEndpoint(handle) as second_endpoint,
        running_proxy(
            endpoint_entry("s-1", first_endpoint.port),
            endpoint_entry("s-2", second_endpoint.port),
            settings=ROOMY,
            idle_timeout_s=1e6,
        ) as proxy,
    ):
        clock = proxy.use_stepped_clock()
        while not (first_endpoint.connections and second_endpoint.connections):
            await asyncio.gather(
                *(proxy.send_request(http_request(request_id=f"k{number}")) for number in range(8))
            )
        clock.advance(idle_for_s)
        before = len(first_endpoint.connections) + len(second_endpoint.connections)
        assert (await proxy.send_request(http_request(request_id="r1")))[2] == b"x"
        assert (first_endpoint.request_ids + second_endpoint.request_ids).count("r1") == 2
        assert len(first_endpoint.connections) + len(second_endpoint.connections) - before == new_connections


async def test_client_disconnect_closes_no_idle_connection() -> None:
    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        if request[1]["req-id"] != "left":
            connection.send(http_response(200, b"x"))

    async with (
        RawEndpoint(handle) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), settings=ROOMY, idle_timeout_s=1e6) as proxy,
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


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("time_left", ["0.005", "0.030", "0.100", "0.300"])
@pytest.mark.parametrize("kind", KINDS)
async def test_silently_dropped_request_with_little_time_gets_a_final_response(
    kind: str, time_left: str, kept: bool
) -> None:
    """It comes within half a second after the deadline, whatever time remained."""

    async def drop(connection: EndpointConnection, request: HttpMessage) -> None:
        if request[1]["req-id"].startswith("k"):
            connection.send(http_response(200, b"k"))

    async with (
        RawEndpoint(drop) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), idle_timeout_s=1e6) as proxy,
    ):
        clock = proxy.use_stepped_clock()
        if kept:
            await leave_idle_connections(proxy, endpoint, 1)
            clock.advance(60.0)
        response = asyncio.ensure_future(
            proxy.send_request(http_request(kind, request_id="r1", Req_Deadline=time_left))
        )
        await wait_until(lambda: "r1" in endpoint.request_ids or response.done())
        began_s = clock.advanced_s
        while not response.done():
            assert clock.advanced_s - began_s < float(time_left) + 0.5, "no final answer"
            clock.advance(0.01)
            await run_loop_turns(30)
        assert (await response)[0].split()[1] in ("502", "503")
        assert endpoint.request_ids.count("r1") <= (1 if kind == "pay" else 3)
