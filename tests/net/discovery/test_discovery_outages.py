"""Long outages of discovery: changes are applied soon after them, and no resources accumulate in them."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from load_balancer import messages
from load_balancer.net.discovery.call_schedule import MAX_OPEN_CALLS
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid
from load_balancer.net.discovery.watch_log import FAILURE_LOG_WINDOW_S
from tests.net.discovery.list_server import HeldListServer
from tests.process.process_helpers import wait_for_log_line
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
)
from tests.support.http_messages import http_chunk, http_request, http_response, send_request_to
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
    DiscoveryRequest,
    StandInDiscovery,
    advance_to_next_request,
    list_chunk_of_version,
    record_watch_starts,
    respond_to_latest_request,
    running_watch_count,
    watching_proxy,
)
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import SteppedClock, advance_until

CLOCK_STEPS = 300  # in each outage, regardless of its length
# Lines logged in each FAILURE_LOG_WINDOW_S of an outage with one reason: the reason, that a call is late, and
# the repeat count.
MAX_LINES_PER_WINDOW = 3


def truncate_list_and_reset(request: DiscoveryRequest) -> None:
    request.send(WATCH_RESPONSE_HEAD + list_chunk_of_version(6)[:30])
    request.writer.transport.abort()


OUTAGES: dict[str, Callable[[DiscoveryRequest], None]] = {
    "rejected": lambda request: request.send(http_response(503), end=True),
    "reset": lambda request: request.writer.transport.abort(),
    "closed at once": lambda request: request.send(b"", end=True),
    "silent": lambda request: None,
    "head only": lambda request: request.send(WATCH_RESPONSE_HEAD),
    "truncated head": lambda request: request.send(WATCH_RESPONSE_HEAD[:20]),
    "truncated list": lambda request: request.send(WATCH_RESPONSE_HEAD + list_chunk_of_version(6)[:30]),
    "truncated list, then reset": truncate_list_and_reset,
    "invalid bytes": lambda request: request.send(b"\x00\xff\r\n\r\n"),
}


async def advance_through_outage(clock: SteppedClock, seconds: float) -> None:
    for _ in range(CLOCK_STEPS):
        clock.advance(seconds / CLOCK_STEPS)
        for _ in range(30):
            await asyncio.sleep(0)


def open_descriptor_count() -> int:
    return len(os.listdir("/proc/self/fd"))


def assert_nothing_accumulates(discovery: StandInDiscovery, proxy: LoopbackProxy) -> None:
    """Assert that failed requests have left no task, timer or open request behind.

    A request without a response has not failed: it stays open beside the next ones, of which few are open.
    """
    assert discovery.open_request_count <= MAX_OPEN_CALLS
    assert running_watch_count() <= MAX_OPEN_CALLS
    assert len(proxy.driver.balancer.outbox.timers) <= 2
    assert len(proxy.driver.timers) <= 2
    assert len(asyncio.get_running_loop()._scheduled) < 200  # type: ignore[attr-defined]


@EACH_SUBSCRIPTION
@pytest.mark.parametrize("minutes", [2, 60])
@pytest.mark.parametrize("outage", OUTAGES)
async def test_change_is_applied_in_time_after_a_long_outage_and_nothing_accumulates(
    settings: messages.Settings, outage: str, minutes: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Discovery recovers just after a request has failed or, for lack of a complete list, has timed out."""

    async with watching_proxy(settings) as (discovery, proxy, clock):
        await advance_until(clock, lambda: len(discovery.requests) == 1)
        discovery.requests[0].send(WATCH_RESPONSE_HEAD + list_chunk_of_version(1))
        await advance_until(clock, lambda: proxy.driver.endpoint_list.watch.version == 1)
        descriptors_before = open_descriptor_count()
        discovery.on_request = OUTAGES[outage]
        caplog.clear()
        discovery.requests[0].writer.transport.abort()
        await advance_through_outage(clock, 60.0 * minutes)
        lines = [r for r in caplog.records if r.levelno >= logging.WARNING]
        assert len(lines) <= MAX_LINES_PER_WINDOW * (60.0 * minutes / FAILURE_LOG_WINDOW_S + 1)
        assert not any(r.exc_info for r in lines)
        # The previous list stays in use.
        assert set(proxy.driver.balancer.endpoints.states) == {endpoint_id_from_uid("s-1")}
        assert_nothing_accumulates(discovery, proxy)
        # Each open request has two sockets in this process.
        assert open_descriptor_count() <= descriptors_before + 2 * MAX_OPEN_CALLS
        waited_s = await advance_to_next_request(discovery, clock)  # the last request that fails
        await advance_until(clock, discovery.requests[-1].closed_by_proxy.is_set)
        discovery.on_request = lambda request: None
        waited_s = await advance_to_next_request(discovery, clock) + await respond_to_latest_request(
            discovery, proxy, clock, settings
        )
        assert waited_s < LIST_DEADLINE_S
        assert proxy.driver.balancer.subscription.backoff_us == 500_000  # reset for the next outage


@EACH_SUBSCRIPTION
async def test_change_is_applied_in_time_after_an_hour_of_refused_connections(
    settings: messages.Settings,
) -> None:
    async with watching_proxy(settings) as (discovery, proxy, clock):
        await advance_until(clock, lambda: len(discovery.requests) == 1)
        discovery.requests[0].writer.transport.abort()
        discovery.server.stop_listening()
        await advance_through_outage(clock, 3_600.0)
        assert_nothing_accumulates(discovery, proxy)
        watch_starts = record_watch_starts(proxy)
        await advance_until(
            clock, lambda: len(watch_starts) > 0 and not proxy.driver.endpoint_list.watch.is_running
        )
        discovery.server.server = await asyncio.start_server(
            discovery.server.accept, "127.0.0.1", discovery.server.port
        )
        assert (
            await advance_to_next_request(discovery, clock)
            + await respond_to_latest_request(discovery, proxy, clock, settings)
            < LIST_DEADLINE_S
        )


async def test_each_poll_waits_for_its_turn_at_an_overloaded_discovery() -> None:
    """For minutes, each poll gets its response after 2 s and is then reset: no version is missed."""

    async with watching_proxy(POLLED_SETTINGS) as (discovery, proxy, clock):
        for rev in range(1, 41):
            if len(discovery.requests) < rev:
                assert await advance_to_next_request(discovery, clock) < 1.0
            assert await respond_after_queueing(rev, discovery, proxy, clock) < POLL_QUEUE_S + 0.5
            discovery.requests[-1].writer.transport.abort()
        assert len(discovery.requests) == 40


async def respond_after_queueing(
    rev: int, discovery: StandInDiscovery, proxy: LoopbackProxy, clock: SteppedClock
) -> float:
    """Respond to the open request with this version after the longest wait in the queue."""
    waited_s = await advance_until(
        clock, lambda: discovery.requests[-1].closed_by_proxy.is_set(), POLL_QUEUE_S
    )
    discovery.requests[-1].send(WATCH_RESPONSE_HEAD + list_chunk_of_version(rev))
    waited_s += await advance_until(clock, lambda: proxy.driver.endpoint_list.watch.version == rev, 1.0)
    assert proxy.driver.endpoint_list.watch.version == rev
    return waited_s


@pytest.mark.parametrize("sends_heartbeats", [False, True], ids=["silent", "heartbeats"])
@EACH_SUBSCRIPTION
async def test_watch_that_falls_silent_repeatedly_is_replaced_in_time(
    settings: messages.Settings, sends_heartbeats: bool
) -> None:
    """For minutes, each watch delivers one version and falls silent, in one case after a heartbeat."""

    async with watching_proxy(settings) as (discovery, proxy, clock):
        for rev in range(1, 21):
            await advance_until(clock, lambda rev=rev: len(discovery.requests) >= rev)  # type: ignore[misc]
            discovery.requests[-1].send(WATCH_RESPONSE_HEAD + list_chunk_of_version(rev))
            await advance_until(clock, lambda rev=rev: proxy.driver.endpoint_list.watch.version == rev, 1.0)  # type: ignore[misc]
            if sends_heartbeats:
                await advance_until(clock, lambda: False, 2.0)
                discovery.requests[-1].send(http_chunk("\n"))
            assert await advance_to_next_request(discovery, clock) < LIST_DEADLINE_S - POLL_QUEUE_S
            assert_nothing_accumulates(discovery, proxy)


async def release_list(
    mode: str, process: asyncio.subprocess.Process, port: int, discovery: HeldListServer
) -> None:
    """Have discovery send its list, and wait until the process has applied it."""
    if mode == "automatic":  # no request is accepted before the pushed list
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)
        discovery.may_respond.set()
        await read_listening_port(process)
    else:
        await read_listening_port(process)
        discovery.may_respond.set()
        await wait_for_log_line(process, "uid b,")


@pytest.mark.parametrize("mode", ["subscribe", "automatic"], ids=["polled", "pushed"])
async def test_restart_with_a_cached_list_applies_a_drain_before_the_first_request(
    tmp_path: Path, mode: str
) -> None:
    """The cached list has `a` alone; discovery is slow, then sends that `a` drains and `b` is in service."""
    discovery = HeldListServer(is_held=True)
    async with (
        StandInEndpoint(http_response(200, b"a")) as draining_endpoint,
        StandInEndpoint(http_response(200, b"b")) as new_endpoint,
        discovery,
    ):
        draining_entry = endpoint_entry("a", draining_endpoint.port, "terminating")
        discovery.current_list = endpoint_list(
            draining_entry, endpoint_entry("b", new_endpoint.port), rev=7, is_complete=False
        )
        for _ in range(2):  # killed and started again, with the same name and address
            discovery.may_respond.clear()
            discovery.requested.clear()
            port = unused_port()
            config = proxy_config(
                listen=f"127.0.0.1:{port}",
                discovery=f"127.0.0.1:{discovery.port}",
                known=endpoint_list(endpoint_entry("a", draining_endpoint.port), rev=1),
                settings=raw_settings(limits=LIMITS, registryMode=mode),
            )
            async with running_proxy_process(write_config(tmp_path, config)) as process:
                await discovery.requested.wait()
                await release_list(mode, process, port, discovery)
                for number in range(10):
                    assert (await send_request_to(port, http_request(request_id=f"r{number}"))).body == b"b"
        assert draining_endpoint.received == []
