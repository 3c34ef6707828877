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
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import http_chunk, http_request, http_response, read_http_message
from tests.support.loopback_proxy import LoopbackProxy
from tests.support.proxy_process import (
    LIMITS,
    proxy_config,
    raw_settings,
    read_listening_port,
    running_proxy_process,
    unused_port,
    write_config,
)
from tests.support.stand_in_discovery import (
    EACH_SUBSCRIPTION,
    LIST_DEADLINE_S,
    POLL_QUEUE_S,
    POLLED_SETTINGS,
    DiscoveryCall,
    StandInDiscovery,
    advance_to_next_call,
    answer_latest_call,
    list_chunk_of_version,
    record_watch_starts,
    running_watch_count,
    watching_proxy,
)
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import SteppedClock, advance_until

JUMPS = 300  # of the clock in an outage, however long
LINES_MOST = (
    3  # logged in each BREAK_LOG_WINDOW_S of an outage that always fails alike: a reason, and how often
)


def half_a_list_and_reset(call: DiscoveryCall) -> None:
    call.send(WATCH_RESPONSE_HEAD + list_chunk_of_version(6)[:30])
    call.writer.transport.abort()


OUTAGES: dict[str, Callable[[DiscoveryCall], None]] = {
    "turned away": lambda call: call.send(http_response(503), end=True),
    "reset": lambda call: call.writer.transport.abort(),
    "ends at once": lambda call: call.send(b"", end=True),
    "silent": lambda call: None,
    "a head": lambda call: call.send(WATCH_RESPONSE_HEAD),
    "half a head": lambda call: call.send(WATCH_RESPONSE_HEAD[:20]),
    "half a list": lambda call: call.send(WATCH_RESPONSE_HEAD + list_chunk_of_version(6)[:30]),
    "half a list, then reset": half_a_list_and_reset,
    "noise": lambda call: call.send(b"\x00\xff\r\n\r\n"),
}


async def outage(clock: SteppedClock, seconds: float) -> None:
    for _ in range(JUMPS):
        clock.advance(seconds / JUMPS)
        for _ in range(30):
            await asyncio.sleep(0)


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def all_is_small(d: StandInDiscovery, p: LoopbackProxy) -> None:
    """Nothing of the calls that failed is left."""
    assert sum(not call.closed_by_proxy.is_set() for call in d.calls) <= 1
    assert running_watch_count() <= 1
    assert len(p.driver.balancer.outbox.timers) <= 2
    assert len(p.driver.timers) <= 2
    assert len(asyncio.get_running_loop()._scheduled) < 200  # type: ignore[attr-defined]


@EACH_SUBSCRIPTION
@pytest.mark.parametrize("minutes", [2, 60])
@pytest.mark.parametrize("mood", OUTAGES)
async def test_change_is_applied_in_time_after_a_long_outage_and_nothing_accumulates(
    setup: messages.Settings, mood: str, minutes: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Discovery is back just after a call has failed, or with a call out that it never answers."""

    async with watching_proxy(setup) as (d, p, clock):
        await advance_until(clock, lambda: len(d.calls) == 1)
        d.calls[0].send(WATCH_RESPONSE_HEAD + list_chunk_of_version(1))
        await advance_until(clock, lambda: p.driver.endpoint_list.watch.version == 1)
        before = descriptors()
        d.on_call = OUTAGES[mood]
        caplog.clear()
        d.calls[0].writer.transport.abort()
        await outage(clock, 60.0 * minutes)
        lines = [r for r in caplog.records if r.levelno >= logging.WARNING]
        assert len(lines) <= LINES_MOST * (60.0 * minutes / BREAK_LOG_WINDOW_S + 1)
        assert not any(r.exc_info for r in lines)
        assert set(p.driver.balancer.endpoints.states) == {endpoint_number("s-1")}  # the old list serves on
        all_is_small(d, p)
        assert descriptors() <= before + 2  # a call that is out: its two ends
        waited = await advance_to_next_call(d, clock)  # the last one that fails
        await advance_until(clock, d.calls[-1].closed_by_proxy.is_set)
        d.on_call = lambda call: None
        waited = await advance_to_next_call(d, clock) + await answer_latest_call(d, p, clock, setup)
        assert waited < LIST_DEADLINE_S
        assert p.driver.balancer.subscription.backoff_us == 500_000  # the next outage begins afresh


@EACH_SUBSCRIPTION
async def test_change_is_applied_in_time_after_an_hour_of_refused_connections(
    setup: messages.Settings,
) -> None:
    async with watching_proxy(setup) as (d, p, clock):
        await advance_until(clock, lambda: len(d.calls) == 1)
        assert d.server is not None
        assert d.server.server is not None
        d.calls[0].writer.transport.abort()
        d.server.server.close()
        await outage(clock, 3_600.0)
        all_is_small(d, p)
        tried = record_watch_starts(p)
        await advance_until(clock, lambda: len(tried) > 0 and not p.driver.endpoint_list.watch.is_running)
        d.server.server = await asyncio.start_server(d.server.accept, "127.0.0.1", d.server.port)
        assert (
            await advance_to_next_call(d, clock) + await answer_latest_call(d, p, clock, setup)
            < LIST_DEADLINE_S
        )


async def test_each_poll_waits_for_its_turn_at_an_overloaded_discovery() -> None:
    """It tells each call after its turn of 2 s and then drops it, for minutes: no news is left out."""

    async with watching_proxy(POLLED_SETTINGS) as (d, p, clock):
        for rev in range(1, 41):
            if len(d.calls) < rev:
                assert await advance_to_next_call(d, clock) < 1.0
            assert await served_as(rev, d, p, clock) < POLL_QUEUE_S + 0.5
            d.calls[-1].writer.transport.abort()
        assert len(d.calls) == 40


async def served_as(rev: int, d: StandInDiscovery, p: LoopbackProxy, clock: SteppedClock) -> float:
    """Has the call that is out told this version after its longest time in the queue."""
    waited = await advance_until(clock, lambda: d.calls[-1].closed_by_proxy.is_set(), POLL_QUEUE_S)
    d.calls[-1].send(WATCH_RESPONSE_HEAD + list_chunk_of_version(rev))
    waited += await advance_until(clock, lambda: p.driver.endpoint_list.watch.version == rev, 1.0)
    assert p.driver.endpoint_list.watch.version == rev
    return waited


@pytest.mark.parametrize("beats", [False, True], ids=["silent", "beating"])
@EACH_SUBSCRIPTION
async def test_watch_that_falls_silent_repeatedly_is_replaced_in_time(
    setup: messages.Settings, beats: bool
) -> None:
    """For minutes: each watch tells one version and stops, some after a beat."""

    async with watching_proxy(setup) as (d, p, clock):
        for rev in range(1, 21):
            await advance_until(clock, lambda rev=rev: len(d.calls) >= rev)  # type: ignore[misc]
            d.calls[-1].send(WATCH_RESPONSE_HEAD + list_chunk_of_version(rev))
            await advance_until(clock, lambda rev=rev: p.driver.endpoint_list.watch.version == rev, 1.0)  # type: ignore[misc]
            if beats:
                await advance_until(clock, lambda: False, 2.0)
                d.calls[-1].send(http_chunk("\n"))
            assert await advance_to_next_call(d, clock) < LIST_DEADLINE_S - POLL_QUEUE_S
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
        news = endpoint_list(
            endpoint_entry("a", a.port, "terminating"), endpoint_entry("b", b.port), rev=7, full=False
        )
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(news))
        await reader.read()

    asked, turn = asyncio.Event(), asyncio.Event()
    async with (
        StandInEndpoint(http_response(200, b"a")) as a,
        StandInEndpoint(http_response(200, b"b")) as b,
        StandInServer(slow) as d,
    ):
        for _ in range(2):  # killed outright and started again, under its name and address
            turn.clear()
            asked.clear()
            port = unused_port()
            told = proxy_config(
                listen=f"127.0.0.1:{port}",
                discovery=f"127.0.0.1:{d.port}",
                known=endpoint_list(endpoint_entry("a", a.port), rev=1),
                settings=raw_settings(limits=LIMITS, registryMode=mode),
            )
            async with running_proxy_process(write_config(tmp_path, told)) as made:
                assert made.stderr is not None
                await asked.wait()
                if mode == "automatic":  # what the agent has counts as told at once: no request before it
                    with pytest.raises(ConnectionRefusedError):
                        await asyncio.open_connection("127.0.0.1", port)
                    turn.set()
                    await read_listening_port(made)
                else:
                    await read_listening_port(made)
                    turn.set()
                    while b"is b," not in (line := await made.stderr.readline()):
                        assert line, "it ended"
                for n in range(10):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(http_request(request_id=f"r{n}"))
                    assert (await read_http_message(reader))[2] == b"b"
                    writer.close()
        assert a.received == []
