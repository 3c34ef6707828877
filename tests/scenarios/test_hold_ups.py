"""A proxy that is held up for a moment between reading its clock and writing: deadlines, windows, drains."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from load_balancer import messages
from load_balancer.messages import Outcome
from load_balancer.net import socket_state
from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.attempts import RecordedAttempts
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.http_messages import http_request, http_response
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import SteppedClock, wait_until
from tests.support.units import MILLISECOND_US, SECOND_US

HOLD_UP_S = 0.15  # by the terms
SLACK_S = 0.15  # by the terms, of the time that a backend is told
DEADLINE_S = 1.5

Patch = pytest.MonkeyPatch


class Held:
    """A loop that is blocked for a moment at one line: each call of one function is late, or early."""

    def __init__(self, clock: SteppedClock, seconds: float = HOLD_UP_S) -> None:
        self.clock, self.seconds, self.times = clock, seconds, 0

    def _hold(self) -> None:
        self.times += 1
        if self.times <= 2:  # more would use up the time of the request itself
            self.clock.advance(self.seconds)

    def before(self, patch: Patch, owner: object, name: str) -> None:
        original = getattr(owner, name)

        def late(*what: Any, **named: Any) -> Any:
            self._hold()
            return original(*what, **named)

        patch.setattr(owner, name, late)

    def after(self, patch: Patch, owner: object, name: str) -> None:
        original = getattr(owner, name)

        def late(*what: Any, **named: Any) -> Any:
            got = original(*what, **named)
            self._hold()
            return got

        patch.setattr(owner, name, late)


# Where the loop is blocked, and how. The last is between the time told and the write itself.
LINES: dict[str, Callable[[Held, Patch, LoopbackProxy], None]] = {
    "between the request's time and the driver": lambda h, m, p: h.before(m, p.driver, "accept_request"),
    "between the driver and its event": lambda h, m, p: h.before(m, p.driver.events, "put"),
    "between the event's time and the module": lambda h, m, p: h.before(m, p.driver.balancer, "handle"),
    "between the module and its actions": lambda h, m, p: h.before(m, p.driver.actions, "perform_all"),
    "between an action and its attempt": lambda h, m, p: h.before(m, p.pool, "start_attempt"),
    "between the attempt and its connection": lambda h, m, p: h.before(m, UpstreamAttempt, "begin"),
    "between the connection and the request": lambda h, m, p: h.before(m, UpstreamAttempt, "send_on"),
    "between the check and the request's head": lambda h, m, p: h.before(m, UpstreamConnection, "send"),
    "between the time told and the write": lambda h, m, p: h.after(m, socket_state, "has_unread_bytes"),
}


class Writes:
    """The times told to backends, with the moment of the write: noted where the system takes the bytes."""

    def __init__(self, patch: Patch, clock: SteppedClock) -> None:
        self.told: list[tuple[float, float]] = []  # the time told, and when by the loop's clock
        loop = asyncio.get_running_loop()
        send = asyncio.selector_events._SelectorSocketTransport.write  # type: ignore[attr-defined]

        def noted(transport: Any, data: bytes) -> None:
            name, found, rest = bytes(data).partition(b"req-deadline: ")
            # A backend gets the header in small letters, the proxy in those of the tests' calls.
            if found and name.startswith((b"GET", b"POST")):
                self.told.append((float(rest.split(b"\r\n")[0]), loop.time()))
            send(transport, data)

        patch.setattr(asyncio.selector_events._SelectorSocketTransport, "write", noted)  # type: ignore[attr-defined]


def in_time(writes: Writes, began: float, deadline_s: float, slack_s: float = SLACK_S) -> bool:
    return all(0.0 < told <= began + deadline_s - at + slack_s for told, at in writes.told)


@pytest.mark.parametrize("line", LINES)
@pytest.mark.parametrize("kept", [False, True], ids=["new connection", "kept connection"])
async def test_deadline_header_tells_the_time_remaining_wherever_the_process_stalls(
    line: str, kept: bool, monkeypatch: Patch
) -> None:
    """Of the first attempt and of a retry, each held up at that line.

    The slack is for the one hold-up that no check can see, after the time is told: others use none of it.
    """

    async with (
        StandInEndpoint(*[http_response(200)] * kept, http_response(500), http_response(200)) as a,
        running_proxy(endpoint_entry("s-1", a.port), connect_timeout_s=5.0) as p,
    ):
        clock = p.step_clocks()
        if kept:
            await p.send_request(http_request(request_id="before"))
            clock.advance(1.0)  # its connection has settled
            for _ in range(20):  # and no timer of before falls due among the hold-ups
                await asyncio.sleep(0)
        writes = Writes(monkeypatch, clock)
        held = Held(clock)
        with monkeypatch.context() as patch:
            LINES[line](held, patch, p)
            began = asyncio.get_running_loop().time()
            got = await p.send_request(http_request(request_id="r1", Req_Deadline=str(DEADLINE_S)))
        assert got[0].split()[1] == "200"
        assert held.times >= 1
        slack_s = SLACK_S if line == "between the time told and the write" else 0.0
        assert len(writes.told) == 2
        assert in_time(writes, began, DEADLINE_S, slack_s)


@pytest.mark.parametrize("at", ["send_on", "send"])
@pytest.mark.parametrize("kept", [False, True], ids=["new connection", "kept connection"])
async def test_nothing_is_written_when_a_stall_leaves_no_time(
    at: str, kept: bool, monkeypatch: Patch
) -> None:
    """The hold-up is longer than what was left, and the timer for that can't have run yet."""

    async with StandInEndpoint(http_response(200)) as b:
        pool = ConnectionPool(60.0, 30.0, 10)
        calls, connects = RecordedAttempts(pool, b), ConnectGates(pool, [])
        if kept:
            calls.begin("before")
            await connects.wait_for(1)
            connects.open(0)
            await calls.wait_for_outcomes(before=Outcome.OK)
            await connects.advance(idle_connections.SETTLE_S)
        owner = {"send_on": UpstreamAttempt, "send": UpstreamConnection}[at]
        with monkeypatch.context() as patch:
            Held(connects.clock, 0.03).before(patch, owner, at)
            calls.begin("a", timeout_s=0.02)
            if not kept:
                await connects.wait_for(1)
                connects.open(0)
            await wait_until(lambda: "a" in calls.outcomes)
        assert calls.outcomes["a"] is Outcome.NOT_SENT  # it says nothing of the backend
        calls.begin("b")
        await connects.wait_for(2)
        connects.open(1)
        await wait_until(lambda: "b" in calls.outcomes)
        assert b.request_ids == ["before"] * kept + ["b"]
        pool.close()


@pytest.mark.parametrize(("before_us", "again"), [(1 * MILLISECOND_US, True), (-1 * MILLISECOND_US, False)])
def test_keyed_retry_allows_for_a_stall_before_its_window_ends(before_us: int, again: bool) -> None:
    deduplication_window_us, connect_us = 4 * SECOND_US, 250 * MILLISECOND_US
    cls = messages.RequestClass(
        "mark",
        30 * SECOND_US,
        40 * SECOND_US,
        messages.Idempotency.KEYED,
        deduplication_window_us=deduplication_window_us,
    )
    limits = messages.Limits(max_attempts=3, connect_timeout_us=connect_us)
    harness = BalancerHarness(balancer_settings(classes=(cls,), limits=limits))
    [sent] = actions_of_type(harness.request("a", "mark", 40 * SECOND_US), messages.StartAttempt)
    began, margin = harness.now_us, harness.balancer.margin_us
    harness.now_us = (
        began + deduplication_window_us - connect_us - margin - round(HOLD_UP_S * SECOND_US) - before_us
    )
    assert (
        bool(actions_of_type(harness.end_attempt(sent, messages.Outcome.RESET), messages.StartAttempt))
        == again
    )


@pytest.mark.parametrize("line", ["send_on", "begin"])
async def test_request_waiting_for_a_draining_endpoint_goes_elsewhere_when_the_list_is_read_late(
    line: str, monkeypatch: Patch
) -> None:
    """Its connection comes up in the turn after the list, which stood unread while the loop was held up."""

    async with (
        StandInEndpoint(http_response(200)) as a,
        StandInEndpoint(http_response(200)) as b,
        running_proxy(
            endpoint_entry("s-1", a.port), endpoint_entry("s-2", b.port), connect_timeout_s=5.0
        ) as p,
    ):
        clock, gate = p.step_clocks(), ConnectGates(p.pool)
        asked = asyncio.ensure_future(p.send_request(http_request()))
        await wait_until(lambda: gate.started_count == 1)
        [attempt] = p.driver.requests.attempts.in_flight.values()
        drains, other = (a, b) if attempt.endpoint.address[1] == a.port else (b, a)
        uid = "s-1" if drains is a else "s-2"
        clock.advance(HOLD_UP_S)
        with monkeypatch.context() as patch:
            Held(clock).before(patch, UpstreamAttempt, line)
            news = endpoint_list(endpoint_entry(uid, drains.port, "terminating"), rev=2, full=False)
            p.driver.endpoint_list.receive(read_list(news))
            gate.open_all()
            assert (await asked)[0].split()[1] == "200"
        assert not drains.received
        assert len(other.received) == 1
