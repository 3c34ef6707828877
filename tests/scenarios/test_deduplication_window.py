"""Retries with an idempotency key are written within the window in which backends know the key."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from load_balancer import messages
from tests.support.attempts import REQUEST_KINDS
from tests.support.balancer_harness import balancer_settings
from tests.support.connect_gates import SystemConnectGate
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import HttpMessage, http_request, http_response
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.raw_endpoint import EndpointConnection, RawEndpoint, respond_with
from tests.support.stepped_clock import wait_until
from tests.support.units import SECOND_US

# Short windows. All times are long, so that the real time that passes meanwhile counts for nothing.
CONNECT_S = 25.0


def keyed(window_s: float, key_scope: messages.KeyScope = messages.KeyScope.ALL) -> messages.Settings:
    cls = messages.RequestClass(
        "mark",
        400 * SECOND_US,
        900 * SECOND_US,
        messages.Idempotency.KEYED,
        key_scope,
        deduplication_window_us=round(window_s * SECOND_US),
    )
    limits = messages.Limits(max_attempts=3, connect_timeout_us=round(CONNECT_S * SECOND_US))
    return balancer_settings(classes=(cls,), limits=limits)


class Keyed:
    """A keyed request through the proxy: its first attempt is out, and the test's hand is on the clock."""

    def __init__(self, p: LoopbackProxy, backends: list[RawEndpoint]) -> None:
        self.p, self.endpoints = p, backends
        self.clock = p.step_clocks()
        self.asked = asyncio.ensure_future(
            p.send_request(http_request("mark", request_id="r1", Req_Deadline="900"))
        )

    @property
    def sent(self) -> int:
        return sum(len(b.received) for b in self.endpoints)

    async def status(self) -> int:
        return int((await self.asked)[0].split()[1])


@asynccontextmanager
async def keyed_request(
    window_s: float,
) -> AsyncIterator[tuple[Keyed, list[tuple[float, EndpointConnection]]]]:
    """And when backends saw it, by their own clock."""
    seen: list[tuple[float, EndpointConnection]] = []

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        seen.append((asyncio.get_running_loop().time(), wire))
        if len(seen) > 1:
            wire.send(http_response(200, b"ok"))

    async with (
        RawEndpoint(handle) as a,
        RawEndpoint(handle) as b,
        running_proxy(
            endpoint_entry("s-1", a.port),
            endpoint_entry("s-2", b.port),
            settings=keyed(window_s),
            connect_timeout_s=CONNECT_S,
            idle_timeout_s=9e3,
        ) as p,
    ):
        request = Keyed(p, [a, b])
        await wait_until(lambda: len(seen) == 1)
        yield request, seen


@pytest.mark.parametrize(
    ("window_s", "after_s", "again"),
    [(100.0, 0.0, True), (100.0, 70.0, True), (100.0, 80.0, False), (20.0, 0.0, False), (0.0, 0.0, False)],
)
@pytest.mark.parametrize("late_s", [0.0, 24.0])
@pytest.mark.parametrize("how", ["reset", "end", "500"])
async def test_keyed_retry_is_received_within_its_deduplication_window(
    window_s: float, after_s: float, late_s: float, again: bool, how: str
) -> None:
    """Also where its connection comes up as late as it may, or could come up later than the window's end."""

    async with keyed_request(window_s) as (request, seen):
        held = SystemConnectGate()
        request.clock.advance(after_s)
        if how == "500":
            seen[0][1].send(http_response(500))
        else:
            await respond_with(how)(seen[0][1], HttpMessage("", {}, b""))
        if again:
            await wait_until(lambda: held.waiting_count == 1)
            request.clock.advance(late_s)
            held.opened.set()
        assert await request.status() == (200 if again else 503)
        assert len(seen) == request.sent == 1 + again
        assert seen[-1][0] - seen[0][0] <= window_s


async def test_keyed_retry_is_not_sent_when_its_connection_is_late() -> None:
    async with keyed_request(100.0) as (request, seen):
        held = SystemConnectGate()
        request.clock.advance(60.0)
        seen[0][1].reset()
        await wait_until(lambda: held.waiting_count == 1)
        request.clock.advance(CONNECT_S + 0.1)  # a further one could come up after the window
        assert await request.status() == 503
        held.opened.set()
        request.clock.advance(50.0)
        other = await request.p.send_request(http_request("mark", request_id="r2", Req_Deadline="900"))
        assert other[0].split()[1] == "200"
        assert [i for b in request.endpoints for i in b.request_ids if i == "r1"] == ["r1"]


# Resets under requests that have begun
@pytest.mark.parametrize("kind", REQUEST_KINDS)
@pytest.mark.parametrize("after_s", [0.0, 10.0, 60.0])
async def test_request_reset_after_its_first_byte_is_retried_only_where_safe(
    kind: str, after_s: float
) -> None:
    """It may have run, however long after: what must not run twice ends, what has a key keeps its window."""
    classes = (
        messages.RequestClass("read", 400 * SECOND_US, 900 * SECOND_US, messages.Idempotency.SAFE),
        messages.RequestClass(
            "write",
            400 * SECOND_US,
            900 * SECOND_US,
            messages.Idempotency.KEYED,
            messages.KeyScope.CELL,
            deduplication_window_us=50 * SECOND_US,
        ),
        messages.RequestClass(
            "mark",
            400 * SECOND_US,
            900 * SECOND_US,
            messages.Idempotency.KEYED,
            deduplication_window_us=50 * SECOND_US,
        ),
        messages.RequestClass("pay", 400 * SECOND_US, 900 * SECOND_US),
    )
    limits = messages.Limits(max_attempts=3, connect_timeout_us=SECOND_US)

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        wires.append(wire)
        if len(wires) > 1:
            wire.send(http_response(200, b"served"))

    wires: list[EndpointConnection] = []
    async with AsyncExitStack() as stack:
        backends = [await stack.enter_async_context(RawEndpoint(handle)) for _ in range(8)]
        entries = [endpoint_entry(f"s-{n}", b.port, pod_group=n % 4) for n, b in enumerate(backends)]
        p = await stack.enter_async_context(
            running_proxy(*entries, settings=balancer_settings(classes=classes, limits=limits))
        )
        clock = p.step_clocks()
        asked = asyncio.ensure_future(p.send_request(http_request(kind, request_id="r1", Req_Deadline="900")))
        await wait_until(lambda: len(wires) == 1)
        clock.advance(after_s)
        wires[0].reset()
        status = int((await asked)[0].split()[1])
        again = kind == "read" or (kind != "pay" and after_s < 49.0)
        # The rule on refusals knows no window: what has a key at all backends may be refused.
        assert status == (200 if again else 503 if kind == "mark" else 502)
        assert len(wires) == 1 + again
        if kind == "write" and again:
            assert [bool(b.received) for b in backends[:4]] == [bool(b.received) for b in backends[4:]]
