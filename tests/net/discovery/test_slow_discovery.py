"""A slow discovery is heard whatever its delay, and one that does not respond is not flooded with calls."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from load_balancer import messages
from load_balancer.net.discovery import open_calls
from load_balancer.net.discovery.call_schedule import MAX_OPEN_CALLS, POLLED_LIST_TIMEOUT_S
from load_balancer.net.discovery.endpoint_watch import HEARTBEAT_TIMEOUT_S
from tests.support.endpoint_lists import WATCH_RESPONSE_HEAD
from tests.support.http_messages import http_chunk
from tests.support.loopback_proxy import LoopbackProxy
from tests.support.stand_in_discovery import (
    EACH_SUBSCRIPTION,
    LIST_DEADLINE_S,
    POLLED_SETTINGS,
    DiscoveryRequest,
    StandInDiscovery,
    list_chunk_of_version,
    watching_proxy,
)
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import SteppedClock, advance_until

PIECE_COUNT = 4
FIRST_BACKOFF_S = 0.5  # before a failed poll is repeated
STEPPING_S = 0.1  # the stepped clock lets a delay take a few steps longer
DELAYS_S = (0.9, 1.1, 1.5, 2.4, 2.6, 3.5, 5.5, 20.0)


def send_later(request: DiscoveryRequest, delay_s: float, data: bytes) -> None:
    def send() -> None:
        if not request.closed_by_proxy.is_set():
            request.send(data)

    asyncio.get_running_loop().call_later(delay_s, send)


def respond_whole(request: DiscoveryRequest, delay_s: float, rev: int) -> None:
    send_later(request, delay_s, WATCH_RESPONSE_HEAD + list_chunk_of_version(rev))


def send_pieces(request: DiscoveryRequest, delay_s: float, rev: int) -> None:
    """Send a list in pieces, of which the last one comes after the delay."""
    data = list_chunk_of_version(rev)
    length = len(data) // PIECE_COUNT
    for number in range(PIECE_COUNT):
        is_last = number == PIECE_COUNT - 1
        piece = data[number * length :] if is_last else data[number * length : (number + 1) * length]
        send_later(request, delay_s * (number + 1) / PIECE_COUNT, piece)


def respond_in_pieces(request: DiscoveryRequest, delay_s: float, rev: int) -> None:
    request.send(WATCH_RESPONSE_HEAD)
    send_pieces(request, delay_s, rev)


def respond_with_heartbeat_and_pieces(request: DiscoveryRequest, delay_s: float, rev: int) -> None:
    request.send(WATCH_RESPONSE_HEAD + http_chunk("\n"))
    send_pieces(request, delay_s, rev)


RESPONSES = [respond_whole, respond_in_pieces, respond_with_heartbeat_and_pieces]
EACH_RESPONSE = pytest.mark.parametrize("respond", RESPONSES, ids=[r.__name__ for r in RESPONSES])


async def advance_to_version(proxy: LoopbackProxy, clock: SteppedClock, rev: int) -> float:
    return await advance_until(
        clock, lambda: proxy.driver.endpoint_list.watch.version == rev, 90.0, must_hold=True
    )


async def open_watch(discovery: StandInDiscovery, proxy: LoopbackProxy, clock: SteppedClock) -> None:
    await advance_until(clock, lambda: len(discovery.requests) == 1)
    discovery.requests[0].send(WATCH_RESPONSE_HEAD + list_chunk_of_version(1))
    await advance_to_version(proxy, clock, 1)


async def watch_reset(discovery: StandInDiscovery, settings: messages.Settings) -> float:
    discovery.requests[0].writer.transport.abort()
    return FIRST_BACKOFF_S if settings is POLLED_SETTINGS else 0.0


async def watch_silent(discovery: StandInDiscovery, settings: messages.Settings) -> float:
    return HEARTBEAT_TIMEOUT_S + (FIRST_BACKOFF_S if settings is POLLED_SETTINGS else 0.0)


Loss = Callable[[StandInDiscovery, messages.Settings], Awaitable[float]]


@EACH_SUBSCRIPTION
@EACH_RESPONSE
@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("lose", [watch_reset, watch_silent])
async def test_slow_discovery_is_heard_after_a_lost_watch(
    settings: messages.Settings, respond: Callable[..., None], delay_s: float, lose: Loss
) -> None:
    """Guards against the cause of review case 9: each call was given up before its response came."""
    async with watching_proxy(settings) as (discovery, proxy, clock):
        await open_watch(discovery, proxy, clock)
        discovery.on_request = lambda request: respond(request, delay_s, 7)
        until_call_s = await lose(discovery, settings)
        assert await advance_to_version(proxy, clock, 7) <= until_call_s + delay_s + STEPPING_S
        assert len(discovery.requests) - 1 <= 1 + delay_s  # at most one call a second


@EACH_SUBSCRIPTION
@EACH_RESPONSE
@pytest.mark.parametrize("delay_s", DELAYS_S)
async def test_slow_discovery_is_heard_at_the_start_and_after_a_move(
    settings: messages.Settings, respond: Callable[..., None], delay_s: float
) -> None:
    async with watching_proxy(settings) as (discovery, proxy, clock):
        discovery.on_request = lambda request: respond(request, delay_s, 1)
        assert await advance_to_version(proxy, clock, 1) <= delay_s + STEPPING_S
        new = StandInDiscovery(clock)
        new.on_request = lambda request: respond(request, delay_s, 7)
        async with StandInServer(new.handle) as new_server:
            proxy.driver.change_discovery_address(("127.0.0.1", new_server.port))
            assert await advance_to_version(proxy, clock, 7) <= delay_s + STEPPING_S
            assert max(len(discovery.requests), len(new.requests)) <= 1 + delay_s


@EACH_SUBSCRIPTION
@pytest.mark.parametrize("delay_s", [1.5, 2.4])
async def test_dead_call_is_replaced_in_time_while_discovery_is_slow(
    settings: messages.Settings, delay_s: float
) -> None:
    """The first call after a reset watch is never answered."""
    async with watching_proxy(settings) as (discovery, proxy, clock):
        await open_watch(discovery, proxy, clock)
        discovery.on_request = lambda request: (
            respond_whole(request, delay_s, 7) if len(discovery.requests) > 2 else None
        )
        await watch_reset(discovery, settings)
        assert await advance_to_version(proxy, clock, 7) < LIST_DEADLINE_S


@EACH_SUBSCRIPTION
async def test_change_that_arrives_in_pieces_is_applied_however_long_it_takes(
    settings: messages.Settings,
) -> None:
    """The watch is late before the change is complete, and so is each call that is opened beside it."""
    async with watching_proxy(settings) as (discovery, proxy, clock):
        await open_watch(discovery, proxy, clock)
        discovery.on_request = lambda request: respond_with_heartbeat_and_pieces(request, 5.0, 8)
        send_pieces(discovery.requests[0], 5.0, 7)
        assert await advance_to_version(proxy, clock, 7) <= 5.0 + STEPPING_S
        await advance_until(clock, lambda: discovery.open_request_count == 1)
        assert not discovery.requests[0].closed_by_proxy.is_set()


@EACH_SUBSCRIPTION
async def test_silent_discovery_is_called_seldom_and_few_calls_stay_open(settings: messages.Settings) -> None:
    async with watching_proxy(settings) as (discovery, _, clock):
        await advance_until(clock, lambda: False, 120.0)
        assert LIST_DEADLINE_S / 2 >= POLLED_LIST_TIMEOUT_S
        assert 120.0 / LIST_DEADLINE_S <= len(discovery.requests) <= 120.0 / POLLED_LIST_TIMEOUT_S
        assert discovery.open_request_count <= MAX_OPEN_CALLS
        assert discovery.requests[0].closed_by_proxy.is_set()


@EACH_SUBSCRIPTION
async def test_incomplete_lists_of_all_calls_are_bounded_together(
    settings: messages.Settings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The oldest call goes on, as its list may be the furthest."""
    monkeypatch.setattr(open_calls, "MAX_TEXT_BYTES", 1_000)
    async with watching_proxy(settings) as (discovery, _, clock):
        part = WATCH_RESPONSE_HEAD + http_chunk('{"rev":1,"note":"' + "x" * 600)
        discovery.on_request = lambda request: request.send(part)
        await advance_until(clock, lambda: len(discovery.requests) == 5, must_hold=True)
        assert discovery.open_request_count <= 2
        assert not discovery.requests[0].closed_by_proxy.is_set()
