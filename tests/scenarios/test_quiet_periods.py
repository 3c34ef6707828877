"""Trouble that begins after hours without a request, with discovery's heartbeats only."""

from __future__ import annotations

import asyncio
import math
from contextlib import AsyncExitStack

import pytest

from load_balancer import messages
from load_balancer.messages import Outcome
from load_balancer.net.upstream import idle_connections, upstream_attempt
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_messages import UpstreamRequest
from tests.support.attempts import KEYED_REQUEST, UNSAFE_REQUEST, RecordedAttempt
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import HttpMessage, http_chunk, http_request, http_response
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.raw_endpoint import ConnectionHandler, EndpointConnection, RawEndpoint
from tests.support.stand_in_discovery import (
    EACH_SUBSCRIPTION,
    LIST_DEADLINE_S,
    advance_to_next_call,
    answer_latest_call,
    watching_proxy,
)
from tests.support.stepped_clock import SteppedClock, advance_until, run_loop_turns, wait_until
from tests.support.units import MILLISECOND_US, SECOND_US

KINDS = ["read", "write", "mark", "pay"]
HOURS = 10
BEAT_S = 2.0
IDLE_S = 30.0
GET = UpstreamRequest(b"GET", b"/api", [(b"host", b"x")], b"", is_idempotent=True)


def answers_as(name: bytes) -> ConnectionHandler:
    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        wire.send(http_response(200, name))

    return handle


def numbers(of: object) -> list[float]:
    """Each number in the module's state, however deep."""
    found: list[float] = []
    seen: set[int] = set()
    left = [of]
    while left:
        one = left.pop()
        if isinstance(one, bool) or id(one) in seen:
            continue
        if isinstance(one, int | float):
            found.append(float(one))
            continue
        seen.add(id(one))
        if isinstance(one, dict):
            left += [*one.keys(), *one.values()]
        elif isinstance(one, list | tuple | set):
            left += one
        elif hasattr(one, "__dict__"):
            left += vars(one).values()
    return found


# The module


@pytest.mark.parametrize("quiet_s", [60, 3_600, HOURS * 3_600, 30 * 24 * 3_600])
def test_decisions_are_unchanged_after_a_quiet_period(quiet_s: int) -> None:
    """Rates run out to nothing and not to what is no number; epochs and shares stay as they were."""
    harness = BalancerHarness(balancer_settings(tenants=(messages.Tenant("t", 5.0),)))
    for n in range(200):
        harness.now_us += 10 * MILLISECOND_US
        for send in actions_of_type(harness.request(f"a{n}"), messages.StartAttempt):
            harness.end_attempt(
                send, messages.Outcome.OK, took=(20 + 200 * (send.endpoint_id == 3)) * MILLISECOND_US
            )
    shares = {endpoint_id: server.share for endpoint_id, server in harness.balancer.endpoints.states.items()}
    assert shares[3] < min(shares[n] for n in range(3))
    harness.advance(quiet_s * SECOND_US)
    assert {
        endpoint_id: server.share for endpoint_id, server in harness.balancer.endpoints.states.items()
    } == shares
    got = dict.fromkeys(range(4), 0)
    for n in range(400):
        harness.now_us += 10 * MILLISECOND_US
        [send] = actions_of_type(harness.request(f"b{n}"), messages.StartAttempt)
        got[send.endpoint_id] += 1
        harness.end_attempt(
            send, messages.Outcome.OK, took=(20 + 200 * (send.endpoint_id == 3)) * MILLISECOND_US
        )
    assert got[3] < min(got[n] for n in range(3))
    assert all(math.isfinite(number) for number in numbers(harness.balancer))
    assert not harness.balancer.open_requests.by_id
    assert not harness.balancer.dispatcher.in_flight
    assert len(harness.balancer.outbox.timers) <= 2


@pytest.mark.parametrize("quiet_s", [60, HOURS * 3_600])
def test_warming_endpoint_is_spared_after_a_quiet_period(quiet_s: int) -> None:
    """Nothing was sent for hours, so nothing tells what a backend takes: a burst finds one that is cold."""
    setup = balancer_settings(instances=20, index=3)
    harness = BalancerHarness(setup, endpoint_count=40)
    for n in range(500):
        harness.now_us += 10 * MILLISECOND_US
        for send in actions_of_type(harness.request(f"a{n}"), messages.StartAttempt):
            harness.end_attempt(send, messages.Outcome.OK, took=20 * MILLISECOND_US)
    harness.advance(quiet_s * SECOND_US)
    cold = harness.balancer.endpoints.subset[0].endpoint.id
    harness.update_endpoint_list(
        messages.Endpoint(cold, incarnation_us=harness.now_us, cell=cold % 2),
        kind=messages.EndpointListKind.CHANGES,
        version=2,
    )
    harness.balancer.endpoints.states[cold].share = 50.0  # even where its share would draw everything
    sent = 0
    for n in range(100):
        harness.now_us += 10 * MILLISECOND_US
        for send in actions_of_type(harness.request(f"b{n}"), messages.StartAttempt):
            sent += send.endpoint_id == cold
            harness.end_attempt(send, messages.Outcome.OK, took=20 * MILLISECOND_US)
    warm = 100 / len(harness.balancer.endpoints.subset)
    assert sent <= setup.rules.overload_multiple * setup.rules.start_capacity * warm
    assert all(math.isfinite(number) for number in numbers(harness.balancer))


# The watch


@EACH_SUBSCRIPTION
async def test_watch_with_only_heartbeats_stands_for_hours_and_is_reopened_in_time(
    setup: messages.Settings,
) -> None:
    async with watching_proxy(setup) as (d, p, clock):
        await advance_until(clock, lambda: len(d.calls) == 1)
        d.calls[0].send(WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9))))
        await advance_until(clock, lambda: p.driver.endpoint_list.watch.version == 1)
        for _ in range(round(2 * 3_600 / BEAT_S)):
            clock.advance(BEAT_S)
            d.calls[0].send(http_chunk("\n"))
            await run_loop_turns(12)
        assert len(d.calls) == 1
        assert len(p.driver.balancer.outbox.timers) == len(p.driver.timers) == 0
        waited = await advance_to_next_call(d, clock)  # it falls silent
        assert waited + await answer_latest_call(d, p, clock, setup) < LIST_DEADLINE_S


# Idle connections


async def test_first_request_after_a_quiet_period_uses_no_closed_connection() -> None:
    async with (
        RawEndpoint(answers_as(b"x")) as b,
        running_proxy(endpoint_entry("s-1", b.port)) as p,
    ):
        clock = p.step_clocks()
        assert (await p.send_request(http_request(request_id="r0")))[2] == b"x"
        for n in range(1, 5):
            clock.advance(HOURS * 3_600.0)
            await wait_until(lambda n=n: b.accepted[n - 1].has_remote_ended)  # type: ignore[misc]
            assert (await p.send_request(http_request(request_id=f"r{n}")))[2] == b"x"
            assert len(b.accepted) == n + 1
            assert not any(w.unparsed for w in b.accepted)
        assert b.request_ids == [f"r{n}" for n in range(5)]


@pytest.mark.parametrize("late_s", [0.0, 0.15, 3_600.0])
async def test_connection_past_its_idle_time_is_not_used_before_its_timer_runs(
    late_s: float,
) -> None:
    """The process was held up: a request is read in the very turn in which the timer is due."""

    clock = SteppedClock()
    async with RawEndpoint(answers_as(b"x")) as b:
        pool = ConnectionPool(0.25, IDLE_S, 10)
        assert (await RecordedAttempt(pool, b.endpoint, GET).result())[0] is Outcome.OK
        clock.advance(IDLE_S * (1.0 - idle_connections.IDLE_MARGIN_SHARE) + late_s)
        assert (await RecordedAttempt(pool, b.endpoint, GET).result())[0] is Outcome.OK
        assert len(b.accepted) == 2
        pool.close()


@pytest.mark.parametrize("idle_s", [0.1, 0.5, 1.0, 4.0])
async def test_short_idle_time_allows_for_a_stalled_process(idle_s: float) -> None:
    """For 0.15 s between reading its clock and writing: the backend may have closed by then."""

    clock = SteppedClock()
    async with RawEndpoint(answers_as(b"x")) as b:
        pool = ConnectionPool(0.25, idle_s, 10)
        assert (await RecordedAttempt(pool, b.endpoint, GET).result())[0] is Outcome.OK
        await run_loop_turns(30)
        clock.advance(max(0.0, idle_s - 0.15))
        assert (await RecordedAttempt(pool, b.endpoint, GET).result())[0] is Outcome.OK
        assert len(b.accepted) == 2
        pool.close()


class Forgetful:
    """A backend that from some moment on answers no request on the connections that it has had before."""

    def __init__(self, how: str) -> None:
        self.how = how
        self.known: set[EndpointConnection] = set()
        self.forgotten: set[EndpointConnection] = set()

    def forget(self) -> None:
        self.forgotten = set(self.known)

    async def handle(self, wire: EndpointConnection, got: HttpMessage) -> None:
        if wire not in self.forgotten:
            self.known.add(wire)
            wire.send(http_response(200, got[1]["req-id"].encode()))
        elif self.how == "reset":
            wire.reset()
        elif self.how == "end":
            wire.end_sending()


async def open_idle_connections(p: LoopbackProxy, monkeypatch: pytest.MonkeyPatch, count: int) -> None:
    """Leave so many idle connections: while none of them settles, each request opens another one."""
    with monkeypatch.context() as patch:
        patch.setattr(idle_connections, "SETTLE_S", 1e6)
        for n in range(count):
            await p.send_request(http_request(request_id=f"k{n}"))
    assert sum(map(len, p.pool.idle.by_endpoint.values())) >= count


async def kept_by(p: LoopbackProxy, b: RawEndpoint, count: int) -> None:
    """So many idle connections to it, each of which has carried a request."""
    b.reading.clear()
    asking = [asyncio.ensure_future(p.send_request(http_request(request_id=f"k{n}"))) for n in range(count)]
    await wait_until(lambda: len(b.accepted) == count)
    b.reading.set()
    await asyncio.gather(*asking)
    await wait_until(lambda: sum(map(len, p.pool.idle.by_endpoint.values())) == count)


ROOMY = balancer_settings(limits=messages.Limits(max_attempts=3, cancel=True))


@pytest.mark.parametrize("many", [1, 3])
@pytest.mark.parametrize("how", ["reset", "end", "silence"])
@pytest.mark.parametrize("kind", KINDS)
async def test_forgotten_idle_connections_cost_one_request_at_most(
    kind: str, how: str, many: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is made again on a new connection, and the next ones use none that was kept there."""

    forgetful = Forgetful(how)
    async with AsyncExitStack() as stack:
        made = [await stack.enter_async_context(RawEndpoint(forgetful.handle)) for _ in range(many)]
        entries = [endpoint_entry(f"s-{n}", b.port) for n, b in enumerate(made)]
        p = await stack.enter_async_context(
            running_proxy(*entries, settings=ROOMY, idle_timeout_s=1e6, max_connections=200)
        )
        clock = p.step_clocks()
        await open_idle_connections(p, monkeypatch, 40 * many)
        assert sum(map(len, p.pool.idle.by_endpoint.values())) > 4
        forgetful.forget()
        clock.advance(3_600.0)
        statuses = []
        for n in range(4):
            asking = asyncio.ensure_future(
                p.send_request(http_request(kind, request_id=f"r{n}", Req_Deadline="2.0"))
            )
            began = clock.advanced_s
            while not asking.done():
                assert clock.advanced_s - began < 2.5, "no final answer"
                clock.advance(0.05)
                await run_loop_turns(30)
            statuses.append((await asking)[0].split()[1])
        lone = how == "silence" and many == 1 and kind != "pay"  # there is nowhere to make it again
        assert statuses[lone:] == ["200"] * (4 - lone)


@pytest.mark.parametrize(
    "case", ["time out", "given up", "cancelled", "a new connection", "it answers others"]
)
async def test_idle_connections_are_closed_only_after_a_reused_one_stays_silent(case: str) -> None:
    """Not as a client leaves, nor for a new connection, nor where the backend answers others meanwhile."""
    silent = case in ("time out", "given up")

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        if got[0].startswith("GET"):
            wire.send(http_response(200, b"x"))

    clock = SteppedClock()
    async with RawEndpoint(handle) as b:
        pool = ConnectionPool(0.25, 1e6, 10)
        b.reading.clear()
        rested = [RecordedAttempt(pool, b.endpoint, GET) for _ in range(3)]
        await wait_until(lambda: len(b.accepted) == 3)
        b.reading.set()
        for out in rested:
            await out.result()
        clock.advance(60.0)
        request = UNSAFE_REQUEST if case == "a new connection" else KEYED_REQUEST
        out = RecordedAttempt(pool, b.endpoint, request, 2.0)
        await wait_until(lambda: len(b.received) == 4)
        if case == "it answers others":
            assert (await RecordedAttempt(pool, b.endpoint, GET).result())[0] is Outcome.OK
        if case == "given up":
            out.attempt.cancel_unanswered()
        elif case == "cancelled":
            out.attempt.cancel()
        else:
            clock.advance(2.0)
        await out.result()
        left = len(pool.idle.by_endpoint.get(b.endpoint, ()))
        assert left == (0 if silent else 3 if case == "a new connection" else 2)
        pool.close()


@pytest.mark.parametrize(("rest_s", "made"), [(500.0, 0), (2_000.0, 1)])
async def test_retry_uses_a_new_connection_only_after_a_break_of_a_long_idle_one(
    rest_s: float, made: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A backend that breaks a busy connection tells nothing of those to other backends."""
    monkeypatch.setattr(upstream_attempt, "LONG_IDLE_S", 1_000.0)  # no busy machine comes near by itself

    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        if got[1]["req-id"] == "r1" and not broken:
            broken.append(wire)
            wire.reset()
        else:
            wire.send(http_response(200, b"x"))

    broken: list[EndpointConnection] = []
    async with (
        RawEndpoint(handle) as a,
        RawEndpoint(handle) as b,
        running_proxy(
            endpoint_entry("s-1", a.port), endpoint_entry("s-2", b.port), settings=ROOMY, idle_timeout_s=1e6
        ) as p,
    ):
        clock = p.step_clocks()
        while not (a.accepted and b.accepted):
            await asyncio.gather(*(p.send_request(http_request(request_id=f"k{n}")) for n in range(8)))
        clock.advance(rest_s)
        before = len(a.accepted) + len(b.accepted)
        assert (await p.send_request(http_request(request_id="r1")))[2] == b"x"
        assert (a.request_ids + b.request_ids).count("r1") == 2
        assert len(a.accepted) + len(b.accepted) - before == made


async def test_client_disconnect_closes_no_idle_connection() -> None:
    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        if got[1]["req-id"] != "left":
            wire.send(http_response(200, b"x"))

    async with (
        RawEndpoint(handle) as b,
        running_proxy(endpoint_entry("s-1", b.port), settings=ROOMY, idle_timeout_s=1e6) as p,
    ):
        clock = p.step_clocks()
        await kept_by(p, b, 3)
        clock.advance(60.0)
        _, writer = await p.connect()
        writer.write(http_request(request_id="left"))
        await wait_until(lambda: "left" in b.request_ids)
        writer.close()
        await wait_until(lambda: not p.driver.requests.attempts.in_flight)
        assert sum(map(len, p.pool.idle.by_endpoint.values())) == 2


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("left", ["0.005", "0.030", "0.100", "0.300"])
@pytest.mark.parametrize("kind", KINDS)
async def test_silently_dropped_request_with_little_time_gets_a_final_response(
    kind: str, left: str, kept: bool
) -> None:
    """Within half a second after its time, whatever is left of it."""

    async def drop(wire: EndpointConnection, got: HttpMessage) -> None:
        if got[1]["req-id"].startswith("k"):
            wire.send(http_response(200, b"k"))

    async with (
        RawEndpoint(drop) as b,
        running_proxy(endpoint_entry("s-1", b.port), idle_timeout_s=1e6) as p,
    ):
        clock = p.step_clocks()
        if kept:
            await kept_by(p, b, 1)
            clock.advance(60.0)
        asking = asyncio.ensure_future(p.send_request(http_request(kind, request_id="r1", Req_Deadline=left)))
        await wait_until(lambda: "r1" in b.request_ids or asking.done())
        began = clock.advanced_s
        while not asking.done():
            assert clock.advanced_s - began < float(left) + 0.5, "no final answer"
            clock.advance(0.01)
            await run_loop_turns(30)
        assert (await asking)[0].split()[1] in ("502", "503")
        assert b.request_ids.count("r1") <= (1 if kind == "pay" else 3)
