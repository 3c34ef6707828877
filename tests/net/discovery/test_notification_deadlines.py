"""How soon a change of the endpoint list is applied, at the worst moment of each failure."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from contextlib import AsyncExitStack

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_number, read_list
from load_balancer.net.discovery.endpoint_watch import HEARTBEAT_TIMEOUT_S, POLLED_LIST_TIMEOUT_S
from load_balancer.net.discovery.json_stream import MAX_TEXT_BYTES
from load_balancer.policy.subscription import (
    DISCOVERY_QUEUE_US,
    FIRST_BACKOFF_US,
    MAX_BACKOFF_US,
    NOTIFIED_US,
    SLACK_US,
)
from tests.support.balancer_harness import S
from tests.support.discovery_helpers import (
    ASKED,
    BOTH,
    LIST_DEADLINE_S,
    PUSHED,
    TURN_S,
    Call,
    Discovery,
    list_of,
    next_call,
    served,
    step,
    watch_starts,
    watched,
)
from tests.support.loopback import (
    WATCH_HEAD,
    SteppedClock,
    answer,
    backend,
    call,
    chunk,
    chunk_list,
    entry,
    listing,
    peer,
    proxy,
    read_message,
    target_list,
)


def test_timeouts_and_backoff_fit_the_notification_deadline() -> None:
    assert (NOTIFIED_US, DISCOVERY_QUEUE_US) == (LIST_DEADLINE_S * S, TURN_S * S)
    assert POLLED_LIST_TIMEOUT_S > TURN_S  # a call is not given up before its turn
    assert (
        MAX_BACKOFF_US + DISCOVERY_QUEUE_US + FIRST_BACKOFF_US + DISCOVERY_QUEUE_US + SLACK_US <= NOTIFIED_US
    )
    assert (
        max(POLLED_LIST_TIMEOUT_S, HEARTBEAT_TIMEOUT_S) * S + FIRST_BACKOFF_US + DISCOVERY_QUEUE_US + SLACK_US
        <= NOTIFIED_US
    )


FAILURES: dict[str, Callable[[Call], None]] = {
    "refused": lambda call: call.say(answer(503), end=True),
    "reset": lambda call: call.writer.transport.abort(),
    "ended": lambda call: call.say(WATCH_HEAD + b"0\r\n\r\n", end=True),
    "spoilt": lambda call: call.say(WATCH_HEAD + chunk("nonsense\n")),
}


async def after_failures(
    d: Discovery, clock: SteppedClock, failure: Callable[[Call], None], many: int = 6
) -> None:
    """Lets this many calls fail, so that the waits have grown; the last of them has just failed."""
    d.meet = failure
    await step(clock, lambda: len(d.calls) == many)
    d.meet = lambda call: None


@BOTH
@pytest.mark.parametrize("failure", FAILURES)
async def test_change_is_applied_in_time_after_many_failed_calls(
    setup: messages.Settings, failure: str
) -> None:
    """However long it lasted: discovery is there from the moment on in which the last of them failed."""

    async with watched(setup) as (d, p, clock):
        await after_failures(d, clock, FAILURES[failure])
        waited = await next_call(d, clock) + await served(d, p, clock, setup)
        assert waited < LIST_DEADLINE_S


async def test_call_rejected_after_queueing_is_repeated_in_time() -> None:
    """The waits have grown and the last call has just failed; the next one is refused after 2 s."""

    async with watched(ASKED) as (d, p, clock):
        await after_failures(d, clock, FAILURES["refused"])
        waited = await next_call(d, clock)
        waited += await step(clock, lambda: d.calls[-1].over.is_set(), TURN_S)
        FAILURES["refused"](d.calls[-1])
        waited += await next_call(d, clock) + await served(d, p, clock, ASKED)
        assert waited < LIST_DEADLINE_S


@BOTH
async def test_watch_with_heartbeats_only_is_replaced_in_time_when_it_falls_silent(
    setup: messages.Settings, caplog: pytest.LogCaptureFixture
) -> None:
    """It has brought no list since the waits grew: there was nothing to tell."""

    async with watched(setup) as (d, p, clock):
        await after_failures(d, clock, FAILURES["refused"])
        await next_call(d, clock)
        caplog.clear()
        d.calls[-1].say(WATCH_HEAD + chunk("\n"))
        await step(clock, lambda: d.calls[-1].over.is_set(), 1.5)
        d.calls[-1].say(chunk("\n"))  # its last word
        waited = await next_call(d, clock)
        assert "broke: silent" in caplog.text
        assert waited + await served(d, p, clock, setup) < LIST_DEADLINE_S


STOPS = {
    "nothing": b"",
    "half a head": WATCH_HEAD[:20],
    "a head": WATCH_HEAD,
    "half a chunk": WATCH_HEAD + list_of(6)[:30],
    "half a line": WATCH_HEAD + chunk('{"rev":6,"all":true,"targets":[{"uid":"s-6"'),
    "an interim answer": b"HTTP/1.1 100 Continue\r\n\r\n",
}


@BOTH
@pytest.mark.parametrize("dribbles", [False, True], ids=["still", "dribbling"])
@pytest.mark.parametrize("stop", STOPS)
async def test_call_whose_response_stops_midway_is_repeated_in_time(
    setup: messages.Settings, stop: str, dribbles: bool
) -> None:
    """The call begins as discovery can just be reached, with the waits grown; bytes may go on coming."""
    drop = {"half a head": b"x", "a head": b"", "nothing": b""}.get(stop, chunk(" "))
    if stop == "an interim answer":
        drop = STOPS[stop]
    elif stop == "half a chunk":
        drop = b" "

    async with watched(setup) as (d, p, clock):
        await after_failures(d, clock, FAILURES["refused"])
        await next_call(d, clock)
        first, waited = d.calls[-1], 0.0
        first.say(STOPS[stop])
        while len(d.calls) == 7:
            waited += await step(clock, lambda: len(d.calls) > 7, 0.3)
            if dribbles and not first.over.is_set():
                first.say(drop)
            assert waited < LIST_DEADLINE_S
        assert waited + await served(d, p, clock, setup) < LIST_DEADLINE_S


@BOTH
async def test_change_is_applied_in_time_after_refused_connections(setup: messages.Settings) -> None:
    """Nobody listens for a while; the address is there again just after a connection was refused."""

    async with watched(setup) as (d, p, clock):
        await step(clock, lambda: len(d.calls) == 1)
        assert d.peer is not None
        assert d.peer.server is not None
        d.calls[0].writer.transport.abort()
        d.peer.server.close()
        tried = watch_starts(p)
        await step(clock, lambda: len(tried) == 6 and p.driver.endpoint_list.watch._task is None)
        d.peer.server = await asyncio.start_server(d.peer.accept, "127.0.0.1", d.peer.port)
        waited = await next_call(d, clock) + await served(d, p, clock, setup)
        assert waited < LIST_DEADLINE_S


def changes(*entries: object, **more: object) -> str:
    """Changes of a list that begin with a sound one: the backend s-1 is gone."""
    sound = entry("s-1", 9, "terminated")
    return json.dumps({**listing(rev=2, full=False), "targets": [sound, *entries], **more}) + "\n"


def odd(**more: object) -> bytes:
    return chunk(changes({**entry("s-2", 9), **more}))


def boot(text: str) -> bytes:
    return chunk(changes({**entry("s-2", 9), "boot_ms": "HERE"}).replace('"HERE"', text))


NESTED = changes("HERE").replace('"HERE"', "[" * 100_000 + "]" * 100_000)
SPOILT: dict[str, tuple[bytes, str]] = {
    "no JSON": (chunk("nonsense\n"), "not JSON"),
    "cut short": (chunk(changes()[:-4] + "}}}\n"), "not JSON"),
    "an array": (chunk("[1,2]\n"), "field targets"),
    "a number": (chunk("7\n"), "field targets"),
    "no targets": (chunk('{"rev":2,"all":false}\n'), "field targets"),
    "targets an object": (chunk('{"rev":2,"all":false,"targets":{}}\n'), "field targets"),
    "an entry no object": (chunk(changes(5)), "field targets[1].uid"),
    "no uid": (odd(uid=None), "field targets[1].uid"),
    "uid a number": (odd(uid=7), "field targets[1].uid"),
    "no state": (odd(state=None), "field targets[1].state"),
    "an unknown state": (odd(state="odd"), "field targets[1].state"),
    "no address": (odd(endpoint=None), "field targets[1].endpoint"),
    "no port": (odd(endpoint="10.0.0.1"), "field targets[1].endpoint"),
    "no host": (odd(endpoint=":80"), "field targets[1].endpoint"),
    "port 0": (odd(endpoint="10.0.0.1:0"), "field targets[1].endpoint"),
    "port too high": (odd(endpoint="10.0.0.1:65536"), "field targets[1].endpoint"),
    "port without end": (odd(endpoint="10.0.0.1:" + "8" * 5000), "field targets[1].endpoint"),
    "port in other digits": (odd(endpoint="10.0.0.1:\u0663"), "field targets[1].endpoint"),
    "host in two words": (odd(endpoint="10.0.0.1 x:80"), "field targets[1].endpoint"),
    "host of half a character": (odd(endpoint="\ud800:80"), "field targets[1].endpoint"),
    "zone a number": (odd(az=5), "field targets[1].az"),
    "group a text": (odd(pod_group="x"), "field targets[1].pod_group"),
    "start a text": (odd(boot_ms="x"), "field targets[1].boot_ms"),
    "start negative": (odd(boot_ms=-5), "field targets[1].boot_ms"),
    "start in another unit": (odd(boot_ms=1_700_000_000_000_000), "field targets[1].boot_ms"),
    "start no number": (boot("NaN"), "field targets[1].boot_ms"),
    "start infinite": (boot("Infinity"), "field targets[1].boot_ms"),
    "start too large": (boot("1e308"), "field targets[1].boot_ms"),
    "start of 400 digits": (boot("1" * 400), "field targets[1].boot_ms"),
    "start of 5000 digits": (boot("1" * 5000), "not JSON"),
    "no rev": (chunk(changes(rev=None)), "field rev"),
    "rev a text": (chunk(changes(rev="2")), "field rev"),
    "rev true": (chunk(changes(rev=True)), "field rev"),
    "rev negative": (chunk(changes(rev=-1)), "field rev"),
    "rev of 400 digits": (chunk(changes(rev=10**400)), "field rev"),
    "all a number": (chunk(changes(all=0)), "field all"),
    "nested": (chunk(NESTED), "nested too deep"),
    "nested without end": (chunk("[" * 100_000), "nested too deep"),
    "not UTF-8": (chunk(changes()[:-5] + '"') + b"3\r\n\xff\xfe\xfd\r\n" + chunk('"}]}\n'), "not JSON"),
    "endless": (chunk('{"rev":"' + "x" * MAX_TEXT_BYTES), "without an end"),
    "bad chunk": (b"zz\r\nnonsense\r\n", "illegal chunk"),
    "negative chunk": (b"-2\r\n\n\n\r\n", "illegal chunk"),
}


@BOTH
@pytest.mark.parametrize(("said", "why"), SPOILT.values(), ids=SPOILT.keys())
async def test_invalid_list_keeps_the_old_one_and_reopens_the_watch(
    setup: messages.Settings, said: bytes, why: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Nothing of it counts, one line names why, and what comes next is taken."""
    both = listing(entry("s-1", 9), entry("s-2", 9), rev=1)

    async with watched(setup) as (d, p, clock):
        await step(clock, lambda: len(d.calls) == 1)
        d.calls[0].say(WATCH_HEAD + chunk_list(both))
        await step(clock, lambda: p.driver.endpoint_list.watch.version == 1)
        held, up = dict(p.driver.balancer.endpoints.states), set(p.driver.endpoint_list.endpoints.up_ids)
        caplog.clear()
        d.calls[0].say(said)
        waited = await next_call(d, clock)
        assert (
            p.driver.balancer.endpoints.states,
            p.driver.endpoint_list.endpoints.up_ids,
            p.driver.endpoint_list.watch.version,
        ) == (
            held,
            up,
            1,
        )
        [line] = [r for r in caplog.records if r.levelno >= logging.WARNING]
        assert why in line.getMessage()
        assert "\n" not in line.getMessage()
        assert not line.exc_info
        assert waited + await served(d, p, clock, setup) < LIST_DEADLINE_S
        assert set(p.driver.balancer.endpoints.states) == {endpoint_number("s-7")}


@pytest.mark.parametrize("kind", ["read", "mark", "pay"])
async def test_endpoint_omitted_by_a_complete_list_gets_no_more_requests(kind: str) -> None:
    """Its kept connection is closed, and what it has been sent is still answered by it."""

    begun, go_on, closed = asyncio.Event(), asyncio.Event(), asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                asked = await read_message(reader)
            except asyncio.IncompleteReadError:
                closed.set()
                raise
            a.seen.append(asked)
            if asked[1]["req-id"] == "slow":
                begun.set()
                await go_on.wait()
            writer.write(answer(200, b"a"))

    async with peer(serve) as a, backend(answer(200, b"b")) as b, proxy(entry("a", a.port)) as p:
        slow = asyncio.ensure_future(p.ask(call("pay", request_id="slow")))
        await begun.wait()
        assert (await p.ask(call("read", request_id="r0")))[2] == b"a"
        assert sum(map(len, p.pool.idle.by_endpoint.values())) == 1
        p.driver.endpoint_list.receive(target_list(entry("b", b.port), rev=2))
        await closed.wait()
        assert not p.pool.idle.by_endpoint
        got = [(await p.ask(call(kind, request_id=f"r{n}")))[2] for n in range(1, 9)]
        assert got == [b"b"] * 8
        go_on.set()
        assert (await slow)[2] == b"a"
        assert len(a.seen) == 2
        assert not any(e.id == endpoint_number("a") for e in p.pool.idle.by_endpoint)


@pytest.mark.parametrize("states", [("terminating", "terminated"), ("terminated", "in_service")])
async def test_later_of_two_entries_for_one_endpoint_is_applied(states: tuple[str, str]) -> None:
    async with backend(answer(200, b"a")) as a, proxy(entry("a", a.port)) as p:
        news = listing(*(entry("a", a.port, state) for state in states), rev=2, full=False)
        p.driver.endpoint_list.receive(read_list(news))
        there = states[-1] == "in_service"
        number = endpoint_number("a")
        held = (
            p.driver.balancer.endpoints.states,
            p.driver.endpoint_list.endpoints.by_id,
            p.driver.endpoint_list.endpoints.up_ids,
        )
        assert [number in where for where in held] == [there] * 3


MOVED_S = 4.0  # by the protocol, after SIGHUP


@pytest.mark.parametrize("first", ["refused in its turn", "refused at once", "silent", "half a line"])
@BOTH
async def test_watch_moved_from_a_failed_discovery_has_its_list_in_time(
    setup: messages.Settings, first: str
) -> None:
    """The waits have grown on the old address; the first call on the new one fails as well."""

    async with watched(setup) as (d, p, clock), AsyncExitStack() as stack:
        new = Discovery(clock)
        e = await stack.enter_async_context(peer(new.handle))
        await after_failures(d, clock, FAILURES["refused"])
        p.driver.move_discovery(("127.0.0.1", e.port))
        waited = await next_call(new, clock)
        call = new.calls[-1]
        if first == "refused in its turn" and setup is ASKED:
            waited += await step(clock, lambda: call.over.is_set(), TURN_S)
        if first.startswith("refused"):
            FAILURES["refused"](call)
        elif first == "half a line":
            call.say(STOPS["half a line"])
        waited += await next_call(new, clock)
        new.calls[-1].say(WATCH_HEAD + list_of(7))
        # Behind a call that was refused, the next one may still have to wait for its turn.
        left = 0.0 if setup is PUSHED or not first.startswith("refused") else 1.0
        waited += left + await step(clock, lambda: p.driver.endpoint_list.watch.version == 7, 1.0)
        assert p.driver.endpoint_list.watch.version == 7
        assert waited < MOVED_S
        assert len(d.calls) == 6  # nothing more on the old one
