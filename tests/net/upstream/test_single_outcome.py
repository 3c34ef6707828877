"""An attempt has one outcome in any order of concurrent events, and nothing is written after it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import permutations
from typing import Any

import pytest

from load_balancer import messages
from load_balancer.messages import Outcome
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamResponse
from tests.net.upstream.conftest import PoolFactory
from tests.support.attempts import KEYED_REQUEST, OK_RESPONSE, UNSAFE_REQUEST, RecordedAttempt
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import HttpMessage, http_request, http_response, read_http_message
from tests.support.loopback_proxy import running_proxy
from tests.support.raw_endpoint import EndpointConnection, RawEndpoint, respond_with
from tests.support.stepped_clock import wait_until


# After the final answer
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize("how", ["gone", "deadline", "end"])
async def test_rest_of_a_request_is_not_written_after_its_final_response(
    how: str, cancel: bool, kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its backend has taken only a part: nothing has run yet, and the rest would make it run for nobody."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    made = UpstreamConnection.connection_made
    transports: list[asyncio.Transport] = []

    def narrow(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        made(connection, transport)
        transports.append(connection.transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", narrow)

    limits = messages.Limits(max_attempts=3, cancel=cancel)
    async with (
        RawEndpoint(respond_with(http_response(200, b"x"))) as endpoint,
        running_proxy(
            endpoint_entry("s-1", endpoint.port), settings=balancer_settings(limits=limits)
        ) as proxy,
    ):
        endpoint.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        if kept:
            assert (await proxy.send_request(http_request("mark", request_id="first")))[2] == b"x"
        endpoint.reading.clear()
        clock = proxy.step_clocks()
        reader, writer = await proxy.connect()
        writer.write(http_request("mark" if kept else "pay", request_id="big", body=b"x" * 65_536))
        await wait_until(lambda: bool(transports) and transports[-1].get_write_buffer_size() > 0)
        if how == "gone":
            writer.close()
        elif how == "deadline":
            clock.advance(4.0)
        else:
            proxy.driver.end_all_requests()
        if how != "gone":  # at the end of the proxy the module counts what is out as what may have run
            told = "502" if how == "end" and not kept else "503"
            assert (await read_http_message(reader))[0].split()[1] == told
        await wait_until(lambda: proxy.driver.is_idle)
        endpoint.reading.set()
        await wait_until(lambda: bool(endpoint.accepted) and endpoint.accepted[-1].has_remote_ended)
        assert len(endpoint.accepted) == 1
        assert endpoint.request_ids == ["first"] * kept
        writer.close()


@pytest.mark.parametrize("how", ["cancel", "time out", "invalid"])
async def test_abandoned_attempt_has_ended_at_its_endpoint_before_its_outcome(
    pool: ConnectionPool, how: str
) -> None:
    """The next one may be written in the same turn, on a kept connection: it must be no second copy."""

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        if how == "invalid":
            wire.send(b"not http\r\n\r\n")

    def done(outcome: Outcome, reply: UpstreamResponse | None) -> None:
        [wire] = endpoint.accepted
        try:
            ended.append(wire.socket.recv(1, socket.MSG_PEEK) == b"")
        except BlockingIOError:
            ended.append(False)

    ended: list[bool] = []
    async with RawEndpoint(handle) as endpoint:
        out = pool.start_attempt(endpoint.endpoint, KEYED_REQUEST, 60.0, done)
        await wait_until(lambda: bool(endpoint.received))
        if how == "cancel":
            out.cancel()
        elif how == "time out":
            out.time_out()
        await wait_until(lambda: bool(ended))
        assert ended == [True]


EVENTS = ["answer", "reset", "time out", "cancel", "cancel if unsent", "drain"]
ENDS = {
    "answer": Outcome.OK,
    "reset": Outcome.RESET,
    "time out": Outcome.TIMEOUT,
    "cancel": Outcome.CANCELLED,
}


def cross(
    event: str, pool: ConnectionPool, out: RecordedAttempt, wire: EndpointConnection, transport: Any
) -> None:
    """Lets one event happen, within this turn of the loop."""
    match event:
        case "answer" if not wire.is_closed:
            wire.send(http_response(200, b"ok"))
            transport._read_ready()  # the loop's reading, in this very turn
        case "reset":
            wire.reset()
            transport._read_ready()
        case "time out":
            out.attempt.time_out()
        case "cancel":
            out.attempt.cancel()
        case "cancel if unsent":
            out.attempt.cancel_if_unsent()
        case "drain":
            pool.disable_endpoint(out.attempt.endpoint)


def expected_end(order: tuple[str, ...]) -> Outcome:
    """The outcome of an attempt that these events end, in this order."""
    # The loop tells of a reset in its next turn: what else ends the attempt goes before it.
    ending = [event for event in order if event in ENDS and event != "reset"]
    if "reset" in order and "answer" in ending and order.index("reset") < order.index("answer"):
        ending.remove("answer")
    return ENDS[ending[0] if ending else "reset"]


@pytest.mark.parametrize("first", EVENTS)
async def test_attempt_has_one_outcome_in_any_order_of_concurrent_events(
    new_pool: PoolFactory, first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All that may end it, in each order of four, in one turn of the loop; the next request gets its own."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    made = UpstreamConnection.connection_made
    transports: list[Any] = []

    def connection_made(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        made(connection, transport)
        transports.append(transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", connection_made)

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        if got[0].split()[1] == "/next":
            wire.send(http_response(200, b"next"))

    async with RawEndpoint(handle) as endpoint:
        orders = [order for order in permutations(EVENTS, 4) if order[0] == first]
        for number, order in enumerate(orders):
            pool, seen = new_pool(), len(endpoint.received)
            out = RecordedAttempt(pool, endpoint.endpoint)
            await wait_until(lambda seen=seen: len(endpoint.received) > seen)  # type: ignore[misc]
            wire, transport = endpoint.accepted[-1], transports[-1]
            for event in order:
                cross(event, pool, out, wire, transport)
            how, reply = await out.result()
            assert how is expected_end(order), order
            assert reply == (OK_RESPONSE if how is Outcome.OK else None)
            got = await RecordedAttempt(
                pool, endpoint.endpoint, replace(KEYED_REQUEST, target=b"/next")
            ).result()
            assert got[1], (number, order)
            assert got[1].body == b"next", (number, order)
            assert len(out.results) == 1
            pool.close()


@pytest.mark.parametrize("moment", ["coming", "made", "next turn"])
async def test_attempt_has_one_outcome_when_ended_during_its_connect(
    new_pool: PoolFactory, moment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All that may end it, in each order of two, as its connection comes up: and nothing is sent."""
    made = UpstreamConnection.connection_made
    crossing: list[Callable[[], None]] = []

    def connection_made(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        made(connection, transport)
        if crossing and moment == "made":
            crossing.pop()()
        elif crossing and moment == "next turn":
            asyncio.get_running_loop().call_soon(crossing.pop())

    monkeypatch.setattr(UpstreamConnection, "connection_made", connection_made)

    def both(one: Callable[[], None], two: Callable[[], None]) -> None:
        one()
        two()

    outcomes = {
        "time out": Outcome.NO_CONNECTION,
        "cancel": Outcome.CANCELLED,
        "cancel if unsent": Outcome.NOT_SENT,
        "drain": Outcome.NOT_SENT,
    }

    async with RawEndpoint(respond_with(http_response(200, b"ok"))) as endpoint:
        for first, second in permutations(outcomes, 2):
            for request in (KEYED_REQUEST, UNSAFE_REQUEST):
                pool = new_pool()
                out = RecordedAttempt(pool, endpoint.endpoint, replace(request, target=b"/crossed"))
                ends: dict[str, Callable[[], None]] = {
                    "time out": out.attempt.time_out,
                    "cancel": out.attempt.cancel,
                    "cancel if unsent": out.attempt.cancel_if_unsent,
                    "drain": partial(pool.disable_endpoint, endpoint.endpoint),
                }

                cross = partial(both, ends[first], ends[second])
                if moment == "coming":
                    await asyncio.sleep(0)  # the connect has begun
                    cross()
                else:
                    crossing.append(cross)
                assert await out.result() == (outcomes[first], None), (first, second)
                for _ in range(3):  # what would come of it comes before the end of these
                    assert (await RecordedAttempt(pool, endpoint.endpoint, request).result())[0] is Outcome.OK
                assert len(out.results) == 1
                pool.close()
        assert not [first for first, _, _ in endpoint.received if "crossed" in first]
