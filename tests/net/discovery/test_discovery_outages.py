"""Long outages of discovery: changes are applied soon after them, and nothing accumulates meanwhile."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_number
from load_balancer.net.discovery.endpoint_watch import BREAK_LOG_WINDOW_S
from tests.support.discovery_helpers import (
    ASKED,
    BOTH,
    LIST_DEADLINE_S,
    TURN_S,
    Call,
    Discovery,
    list_of,
    next_call,
    served,
    step,
    watch_starts,
    watch_tasks,
    watched,
)
from tests.support.loopback import (
    WATCH_HEAD,
    Proxy,
    SteppedClock,
    answer,
    backend,
    call,
    chunk,
    chunk_list,
    entry,
    listing,
    peer,
    read_message,
)
from tests.support.proxy_process import LIMITS, config, free_port, port_of, process, raw_settings, write

JUMPS = 300  # of the clock in an outage, however long
LINES_MOST = (
    3  # logged in each BREAK_LOG_WINDOW_S of an outage that always fails alike: a reason, and how often
)


def half_a_list_and_reset(call: Call) -> None:
    call.say(WATCH_HEAD + list_of(6)[:30])
    call.writer.transport.abort()


OUTAGES: dict[str, Callable[[Call], None]] = {
    "turned away": lambda call: call.say(answer(503), end=True),
    "reset": lambda call: call.writer.transport.abort(),
    "ends at once": lambda call: call.say(b"", end=True),
    "silent": lambda call: None,
    "a head": lambda call: call.say(WATCH_HEAD),
    "half a head": lambda call: call.say(WATCH_HEAD[:20]),
    "half a list": lambda call: call.say(WATCH_HEAD + list_of(6)[:30]),
    "half a list, then reset": half_a_list_and_reset,
    "noise": lambda call: call.say(b"\x00\xff\r\n\r\n"),
}


async def outage(clock: SteppedClock, seconds: float) -> None:
    for _ in range(JUMPS):
        clock.step(seconds / JUMPS)
        for _ in range(30):
            await asyncio.sleep(0)


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def all_is_small(d: Discovery, p: Proxy) -> None:
    """Nothing of the calls that failed is left."""
    assert sum(not call.over.is_set() for call in d.calls) <= 1
    assert watch_tasks() <= 1
    assert len(p.driver.balancer.outbox.timers) <= 2
    assert len(p.driver.timers) <= 2
    assert len(asyncio.get_running_loop()._scheduled) < 200  # type: ignore[attr-defined]


@BOTH
@pytest.mark.parametrize("minutes", [2, 60])
@pytest.mark.parametrize("mood", OUTAGES)
async def test_change_is_applied_in_time_after_a_long_outage_and_nothing_accumulates(
    setup: messages.Settings, mood: str, minutes: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Discovery is back just after a call has failed, or with a call out that it never answers."""

    async with watched(setup) as (d, p, clock):
        await step(clock, lambda: len(d.calls) == 1)
        d.calls[0].say(WATCH_HEAD + list_of(1))
        await step(clock, lambda: p.driver.endpoint_list.watch.version == 1)
        before = descriptors()
        d.meet = OUTAGES[mood]
        caplog.clear()
        d.calls[0].writer.transport.abort()
        await outage(clock, 60.0 * minutes)
        lines = [r for r in caplog.records if r.levelno >= logging.WARNING]
        assert len(lines) <= LINES_MOST * (60.0 * minutes / BREAK_LOG_WINDOW_S + 1)
        assert not any(r.exc_info for r in lines)
        assert set(p.driver.balancer.endpoints.states) == {endpoint_number("s-1")}  # the old list serves on
        all_is_small(d, p)
        assert descriptors() <= before + 2  # a call that is out: its two ends
        waited = await next_call(d, clock)  # the last one that fails
        await step(clock, d.calls[-1].over.is_set)
        d.meet = lambda call: None
        waited = await next_call(d, clock) + await served(d, p, clock, setup)
        assert waited < LIST_DEADLINE_S
        assert p.driver.balancer.subscription.backoff_us == 500_000  # the next outage begins afresh


@BOTH
async def test_change_is_applied_in_time_after_an_hour_of_refused_connections(
    setup: messages.Settings,
) -> None:
    async with watched(setup) as (d, p, clock):
        await step(clock, lambda: len(d.calls) == 1)
        assert d.peer is not None
        assert d.peer.server is not None
        d.calls[0].writer.transport.abort()
        d.peer.server.close()
        await outage(clock, 3_600.0)
        all_is_small(d, p)
        tried = watch_starts(p)
        await step(clock, lambda: len(tried) > 0 and not p.driver.endpoint_list.watch.is_running)
        d.peer.server = await asyncio.start_server(d.peer.accept, "127.0.0.1", d.peer.port)
        assert await next_call(d, clock) + await served(d, p, clock, setup) < LIST_DEADLINE_S


async def test_each_poll_waits_for_its_turn_at_an_overloaded_discovery() -> None:
    """It tells each call after its turn of 2 s and then drops it, for minutes: no news is left out."""

    async with watched(ASKED) as (d, p, clock):
        for rev in range(1, 41):
            if len(d.calls) < rev:
                assert await next_call(d, clock) < 1.0
            assert await served_as(rev, d, p, clock) < TURN_S + 0.5
            d.calls[-1].writer.transport.abort()
        assert len(d.calls) == 40


async def served_as(rev: int, d: Discovery, p: Proxy, clock: SteppedClock) -> float:
    """Has the call that is out told this version after its longest time in the queue."""
    waited = await step(clock, lambda: d.calls[-1].over.is_set(), TURN_S)
    d.calls[-1].say(WATCH_HEAD + list_of(rev))
    waited += await step(clock, lambda: p.driver.endpoint_list.watch.version == rev, 1.0)
    assert p.driver.endpoint_list.watch.version == rev
    return waited


@pytest.mark.parametrize("beats", [False, True], ids=["silent", "beating"])
@BOTH
async def test_watch_that_falls_silent_repeatedly_is_replaced_in_time(
    setup: messages.Settings, beats: bool
) -> None:
    """For minutes: each watch tells one version and stops, some after a beat."""

    async with watched(setup) as (d, p, clock):
        for rev in range(1, 21):
            await step(clock, lambda rev=rev: len(d.calls) >= rev)  # type: ignore[misc]
            d.calls[-1].say(WATCH_HEAD + list_of(rev))
            await step(clock, lambda rev=rev: p.driver.endpoint_list.watch.version == rev, 1.0)  # type: ignore[misc]
            if beats:
                await step(clock, lambda: False, 2.0)
                d.calls[-1].say(chunk("\n"))
            assert await next_call(d, clock) < LIST_DEADLINE_S - TURN_S
            all_is_small(d, p)


@pytest.mark.parametrize("mode", ["subscribe", "automatic"], ids=["asked", "pushed"])
async def test_restart_with_a_cached_list_applies_a_drain_before_the_first_request(
    tmp_path: Path, mode: str
) -> None:
    """Its list knows `a` alone. Discovery is slow, then tells that `a` drains and that `b` is there."""

    async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        asked.set()
        await turn.wait()
        news = listing(entry("a", a.port, "terminating"), entry("b", b.port), rev=7, full=False)
        writer.write(WATCH_HEAD + chunk_list(news))
        await reader.read()

    asked, turn = asyncio.Event(), asyncio.Event()
    async with backend(answer(200, b"a")) as a, backend(answer(200, b"b")) as b, peer(slow) as d:
        for _ in range(2):  # killed outright and started again, under its name and address
            turn.clear()
            asked.clear()
            port = free_port()
            told = config(
                listen=f"127.0.0.1:{port}",
                discovery=f"127.0.0.1:{d.port}",
                known=listing(entry("a", a.port), rev=1),
                settings=raw_settings(limits=LIMITS, registryMode=mode),
            )
            async with process(write(tmp_path, told)) as made:
                assert made.stderr is not None
                await asked.wait()
                if mode == "automatic":  # what the agent has counts as told at once: no request before it
                    with pytest.raises(ConnectionRefusedError):
                        await asyncio.open_connection("127.0.0.1", port)
                    turn.set()
                    await port_of(made)
                else:
                    await port_of(made)
                    turn.set()
                    while b"is b," not in (line := await made.stderr.readline()):
                        assert line, "it ended"
                for n in range(10):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(call(request_id=f"r{n}"))
                    assert (await read_message(reader))[2] == b"b"
                    writer.close()
        assert a.seen == []
