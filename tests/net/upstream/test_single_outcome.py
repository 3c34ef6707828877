"""An attempt has one outcome in any order of concurrent events, and nothing is written after it."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import permutations, product
from typing import Any

import pytest

from load_balancer import messages
from load_balancer.messages import Outcome
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamResponse
from tests.net.upstream.conftest import ConnectionHook, PoolFactory
from tests.support.attempts import KEYED_REQUEST, OK_RESPONSE, UNSAFE_REQUEST, RecordedAttempt
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import (
    HttpMessage,
    StreamPair,
    http_request,
    http_response,
    read_http_message,
    response_status,
)
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.raw_endpoint import EndpointConnection, RawEndpoint, respond_with
from tests.support.stepped_clock import SteppedClock, wait_until
from tests.support.time_limit import TEST_TIMEOUT_S


def end_request(ending: str, proxy: LoopbackProxy, clock: SteppedClock, writer: asyncio.StreamWriter) -> None:
    if ending == "client gone":
        writer.close()
    elif ending == "deadline":
        clock.advance(4.0)
    else:
        proxy.driver.end_all_requests()


@pytest.fixture
def small_buffer_transports(on_established: Callable[[ConnectionHook], None]) -> list[asyncio.Transport]:
    """Collect the transports of connections to endpoints, which get a small send buffer."""
    transports: list[asyncio.Transport] = []

    def shrink_buffer(connection: UpstreamConnection) -> None:
        transport = connection.transport
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        transports.append(transport)

    on_established(shrink_buffer)
    return transports


async def send_partly(proxy: LoopbackProxy, kind: str, transports: list[asyncio.Transport]) -> StreamPair:
    """Send a large request, and wait until only a part of it has been written to an endpoint."""
    reader, writer = await proxy.connect()
    writer.write(http_request(kind, request_id="big", body=b"x" * 65_536))
    await wait_until(lambda: bool(transports) and transports[-1].get_write_buffer_size() > 0)
    return reader, writer


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("cancels", [False, True])
@pytest.mark.parametrize("ending", ["client gone", "deadline", "end"])
async def test_rest_of_a_request_is_not_written_after_its_final_response(
    ending: str,
    cancels: bool,
    is_reused: bool,
    small_buffer_transports: list[asyncio.Transport],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The endpoint has a part of the request; with the rest, it would run although no client waits."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    limits = messages.Limits(max_attempts=3, cancel=cancels)
    async with (
        RawEndpoint(respond_with(http_response(200, b"x"))) as endpoint,
        running_proxy(
            endpoint_entry("s-1", endpoint.port), settings=balancer_settings(limits=limits)
        ) as proxy,
    ):
        endpoint.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        if is_reused:
            assert (await proxy.send_request(http_request("mark", request_id="first")))[2] == b"x"
        endpoint.reading.clear()
        clock = proxy.use_stepped_clock()
        reader, writer = await send_partly(proxy, "mark" if is_reused else "pay", small_buffer_transports)
        end_request(ending, proxy, clock, writer)
        if ending != "client gone":  # at shutdown, the policy treats attempts in flight as possibly run
            expected_status = 502 if ending == "end" and not is_reused else 503
            assert response_status(await read_http_message(reader)) == expected_status
        await wait_until(lambda: proxy.driver.is_idle)
        endpoint.reading.set()
        await wait_until(lambda: bool(endpoint.connections) and endpoint.connections[-1].has_proxy_closed)
        assert len(endpoint.connections) == 1
        assert endpoint.request_ids == ["first"] * is_reused
        writer.close()


@pytest.mark.parametrize("ending", ["cancel", "time out", "invalid"])
async def test_connection_of_an_abandoned_attempt_is_closed_before_its_outcome_is_reported(
    pool: ConnectionPool, ending: str
) -> None:
    """The retry may be written in the same event loop iteration: endpoints must never hold two copies."""

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        if ending == "invalid":
            connection.send(b"not http\r\n\r\n")

    def on_outcome(outcome: Outcome, response: UpstreamResponse | None) -> None:
        [connection] = endpoint.connections
        try:
            was_closed.append(connection.socket.recv(1, socket.MSG_PEEK) == b"")
        except BlockingIOError:
            was_closed.append(False)

    was_closed: list[bool] = []
    async with RawEndpoint(handle) as endpoint:
        attempt = pool.start_attempt(endpoint.endpoint, KEYED_REQUEST, 60.0, on_outcome)
        await wait_until(lambda: bool(endpoint.received))
        if ending == "cancel":
            attempt.cancel()
        elif ending == "time out":
            attempt.time_out()
        await wait_until(lambda: bool(was_closed))
        assert was_closed == [True]


EVENTS = ["response", "reset", "time out", "cancel", "cancel if unsent", "drain"]
OUTCOMES_BY_EVENT = {
    "response": Outcome.OK,
    "reset": Outcome.RESET,
    "time out": Outcome.TIMEOUT,
    "cancel": Outcome.CANCELLED,
}


def read_now(transport: Any) -> None:
    """Wait until the system has the bytes or the end, and read them in this event loop iteration."""
    readable = select.poll()
    readable.register(transport.get_extra_info("socket"), select.POLLIN)
    assert readable.poll(1000.0 * TEST_TIMEOUT_S)
    transport._read_ready()


def apply_event(
    event: str,
    pool: ConnectionPool,
    recorded: RecordedAttempt,
    connection: EndpointConnection,
    transport: Any,
) -> None:
    """Cause one event within this event loop iteration."""
    match event:
        case "response" if not connection.is_closed:
            is_read = not transport.is_closing()
            connection.send(http_response(200, b"ok"))
            if is_read:
                read_now(transport)
        case "reset":
            connection.reset()
            if not transport.is_closing():
                read_now(transport)
        case "time out":
            recorded.attempt.time_out()
        case "cancel":
            recorded.attempt.cancel()
        case "cancel if unsent":
            recorded.attempt.cancel_if_unsent()
        case "drain":
            pool.disable_endpoint(recorded.attempt.endpoint)


def expected_outcome(order: tuple[str, ...]) -> Outcome:
    """Return the outcome of an attempt to which these events happen in this order."""
    # The event loop reports a reset in its next iteration, so other events that end the attempt precede it.
    ending_events = [event for event in order if event in OUTCOMES_BY_EVENT and event != "reset"]
    if "reset" in order and "response" in ending_events and order.index("reset") < order.index("response"):
        ending_events.remove("response")
    return OUTCOMES_BY_EVENT[ending_events[0] if ending_events else "reset"]


async def respond_to_next(connection: EndpointConnection, request: HttpMessage) -> None:
    """Respond only to requests for `/next`."""
    if request.start_line.split()[1] == "/next":
        connection.send(http_response(200, b"next"))


@pytest.mark.parametrize("first", EVENTS)
async def test_attempt_has_one_outcome_in_any_order_of_concurrent_events(
    new_pool: PoolFactory,
    first: str,
    on_established: Callable[[ConnectionHook], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Four events in each order in one event loop iteration; the next request gets its own response."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    transports: list[asyncio.Transport] = []
    on_established(lambda connection: transports.append(connection.transport))
    async with RawEndpoint(respond_to_next) as endpoint:
        orders = [order for order in permutations(EVENTS, 4) if order[0] == first]
        for number, order in enumerate(orders):
            pool, received_before = new_pool(), len(endpoint.received)
            recorded = RecordedAttempt(pool, endpoint.endpoint)
            await wait_until(lambda received_before=received_before: len(endpoint.received) > received_before)  # type: ignore[misc]
            connection, transport = endpoint.connections[-1], transports[-1]
            for event in order:
                apply_event(event, pool, recorded, connection, transport)
            outcome, response = await recorded.result()
            assert outcome is expected_outcome(order), order
            assert response == (OK_RESPONSE if outcome is Outcome.OK else None)
            following = replace(KEYED_REQUEST, target=b"/next")
            result = await RecordedAttempt(pool, endpoint.endpoint, following).result()
            assert result[1], (number, order)
            assert result[1].body == b"next", (number, order)
            assert len(recorded.results) == 1
            pool.close()


OUTCOMES_DURING_CONNECT = {
    "time out": Outcome.NO_CONNECTION,
    "cancel": Outcome.CANCELLED,
    "cancel if unsent": Outcome.NOT_SENT,
    "drain": Outcome.NOT_SENT,
}


def apply_two_events(pool: ConnectionPool, recorded: RecordedAttempt, first: str, second: str) -> None:
    functions: dict[str, Callable[[], None]] = {
        "time out": recorded.attempt.time_out,
        "cancel": recorded.attempt.cancel,
        "cancel if unsent": recorded.attempt.cancel_if_unsent,
        "drain": partial(pool.disable_endpoint, recorded.attempt.endpoint),
    }
    functions[first]()
    functions[second]()


class ConnectMoment:
    """Calls a function at one moment of the next connect."""

    def __init__(self, moment: str) -> None:
        self.moment = moment
        self._pending: list[Callable[[], None]] = []

    async def at_moment(self, function: Callable[[], None]) -> None:
        if self.moment == "connecting":
            await asyncio.sleep(0)  # the connect has begun
            function()
        else:
            self._pending.append(function)

    def established(self, connection: UpstreamConnection) -> None:
        if self._pending and self.moment == "established":
            self._pending.pop()()
        elif self._pending and self.moment == "next iteration":
            asyncio.get_running_loop().call_soon(self._pending.pop())


@pytest.mark.parametrize("moment", ["connecting", "established", "next iteration"])
async def test_attempt_has_one_outcome_when_ended_during_its_connect(
    new_pool: PoolFactory, moment: str, on_established: Callable[[ConnectionHook], None]
) -> None:
    """Two events in each order while its connection is being established: nothing is sent."""
    connect_moment = ConnectMoment(moment)
    on_established(connect_moment.established)
    orders = product(permutations(OUTCOMES_DURING_CONNECT, 2), (KEYED_REQUEST, UNSAFE_REQUEST))
    async with RawEndpoint(respond_with(http_response(200, b"ok"))) as endpoint:
        for (first, second), request in orders:
            pool = new_pool()
            recorded = RecordedAttempt(pool, endpoint.endpoint, replace(request, target=b"/crossed"))
            await connect_moment.at_moment(partial(apply_two_events, pool, recorded, first, second))
            assert await recorded.result() == (OUTCOMES_DURING_CONNECT[first], None), (first, second)
            for _ in range(3):  # a late effect of the first attempt would occur before these end
                assert (await RecordedAttempt(pool, endpoint.endpoint, request).result())[0] is Outcome.OK
            assert len(recorded.results) == 1
            pool.close()
        assert not [first for first, _, _ in endpoint.received if "crossed" in first]
