"""Time until a change of the endpoint list is applied if it comes at the worst moment of a failure."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from contextlib import AsyncExitStack

import pytest

from load_balancer import messages
from load_balancer.net.discovery.call_schedule import POLLED_LIST_TIMEOUT_S
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid, read_list
from load_balancer.net.discovery.endpoint_watch import HEARTBEAT_TIMEOUT_S
from load_balancer.net.discovery.json_stream import MAX_TEXT_BYTES
from load_balancer.policy.subscription import (
    DISCOVERY_QUEUE_US,
    FIRST_BACKOFF_US,
    MAX_BACKOFF_US,
    NOTIFICATION_LIMIT_US,
    NOTIFICATION_MARGIN_US,
)
from tests.process.process_helpers import SlowEndpoint
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
    parsed_endpoint_list,
)
from tests.support.http_messages import http_chunk, http_request, http_response
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_discovery import (
    EACH_SUBSCRIPTION,
    LIST_DEADLINE_S,
    POLL_QUEUE_S,
    POLLED_SETTINGS,
    PUSHED_SETTINGS,
    DiscoveryRequest,
    StandInDiscovery,
    advance_to_next_request,
    list_chunk_of_version,
    record_watch_starts,
    respond_to_latest_request,
    watching_proxy,
)
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import SteppedClock, advance_until
from tests.support.units import SECOND_US


def test_timeouts_and_backoff_fit_the_notification_deadline() -> None:
    assert (NOTIFICATION_LIMIT_US, DISCOVERY_QUEUE_US) == (
        LIST_DEADLINE_S * SECOND_US,
        POLL_QUEUE_S * SECOND_US,
    )
    assert POLLED_LIST_TIMEOUT_S > POLL_QUEUE_S  # a poll does not time out in the queue
    assert (
        MAX_BACKOFF_US + DISCOVERY_QUEUE_US + FIRST_BACKOFF_US + DISCOVERY_QUEUE_US + NOTIFICATION_MARGIN_US
        <= NOTIFICATION_LIMIT_US
    )
    assert (
        max(POLLED_LIST_TIMEOUT_S, HEARTBEAT_TIMEOUT_S) * SECOND_US
        + FIRST_BACKOFF_US
        + DISCOVERY_QUEUE_US
        + NOTIFICATION_MARGIN_US
        <= NOTIFICATION_LIMIT_US
    )


FAILURES: dict[str, Callable[[DiscoveryRequest], None]] = {
    "rejected": lambda request: request.send(http_response(503), end=True),
    "reset": lambda request: request.writer.transport.abort(),
    "response ended": lambda request: request.send(WATCH_RESPONSE_HEAD + b"0\r\n\r\n", end=True),
    "invalid list": lambda request: request.send(WATCH_RESPONSE_HEAD + http_chunk("nonsense\n")),
}


async def fail_requests(
    discovery: StandInDiscovery,
    clock: SteppedClock,
    failure: Callable[[DiscoveryRequest], None],
    request_count: int = 6,
) -> None:
    """Make this many requests fail; the backoff has then grown, and the last request has just failed."""
    discovery.on_request = failure
    await advance_until(clock, lambda: len(discovery.requests) == request_count)
    discovery.on_request = lambda request: None


@EACH_SUBSCRIPTION
@pytest.mark.parametrize("failure", FAILURES)
async def test_change_is_applied_in_time_after_many_failed_requests(
    settings: messages.Settings, failure: str
) -> None:
    """Discovery recovers just after the last failure; the backoff is the longest, as in any long outage."""

    async with watching_proxy(settings) as (discovery, proxy, clock):
        await fail_requests(discovery, clock, FAILURES[failure])
        waited_s = await advance_to_next_request(discovery, clock) + await respond_to_latest_request(
            discovery, proxy, clock, settings
        )
        assert waited_s < LIST_DEADLINE_S


async def test_poll_rejected_after_queueing_is_repeated_in_time() -> None:
    """The backoff has grown and the last request has just failed; the next one is rejected after 2 s."""

    async with watching_proxy(POLLED_SETTINGS) as (discovery, proxy, clock):
        await fail_requests(discovery, clock, FAILURES["rejected"])
        waited_s = await advance_to_next_request(discovery, clock)
        waited_s += await advance_until(
            clock, lambda: discovery.requests[-1].closed_by_proxy.is_set(), POLL_QUEUE_S
        )
        FAILURES["rejected"](discovery.requests[-1])
        waited_s += await advance_to_next_request(discovery, clock) + await respond_to_latest_request(
            discovery, proxy, clock, POLLED_SETTINGS
        )
        assert waited_s < LIST_DEADLINE_S


@EACH_SUBSCRIPTION
async def test_watch_with_heartbeats_only_is_replaced_in_time_when_it_falls_silent(
    settings: messages.Settings, caplog: pytest.LogCaptureFixture
) -> None:
    """The watch has delivered no list since the backoff grew, as nothing had changed."""

    async with watching_proxy(settings) as (discovery, proxy, clock):
        await fail_requests(discovery, clock, FAILURES["rejected"])
        await advance_to_next_request(discovery, clock)
        caplog.clear()
        discovery.requests[-1].send(WATCH_RESPONSE_HEAD + http_chunk("\n"))
        await advance_until(clock, lambda: discovery.requests[-1].closed_by_proxy.is_set(), 1.5)
        discovery.requests[-1].send(http_chunk("\n"))  # the last bytes of this watch
        waited_s = await advance_to_next_request(discovery, clock)
        assert "is late: no list or heartbeat before the timeout" in caplog.text
        assert waited_s + await respond_to_latest_request(discovery, proxy, clock, settings) < LIST_DEADLINE_S


PARTIAL_RESPONSES = {
    "nothing": b"",
    "partial head": WATCH_RESPONSE_HEAD[:20],
    "head only": WATCH_RESPONSE_HEAD,
    "partial chunk": WATCH_RESPONSE_HEAD + list_chunk_of_version(6)[:30],
    "partial line": WATCH_RESPONSE_HEAD + http_chunk('{"rev":6,"all":true,"targets":[{"uid":"s-6"'),
    "interim response": b"HTTP/1.1 100 Continue\r\n\r\n",
}


@EACH_SUBSCRIPTION
@pytest.mark.parametrize("sends_more", [False, True], ids=["stalled", "sends more"])
@pytest.mark.parametrize("part", PARTIAL_RESPONSES)
async def test_request_whose_response_stalls_midway_is_repeated_in_time(
    settings: messages.Settings, part: str, sends_more: bool
) -> None:
    """The request starts as discovery recovers, with the backoff grown; further bytes may follow."""
    extra_bytes = {"partial head": b"x", "head only": b"", "nothing": b""}.get(part, http_chunk(" "))
    if part == "interim response":
        extra_bytes = PARTIAL_RESPONSES[part]
    elif part == "partial chunk":
        extra_bytes = b" "

    async with watching_proxy(settings) as (discovery, proxy, clock):
        await fail_requests(discovery, clock, FAILURES["rejected"])
        await advance_to_next_request(discovery, clock)
        request, waited_s = discovery.requests[-1], 0.0
        request.send(PARTIAL_RESPONSES[part])
        while len(discovery.requests) == 7:
            waited_s += await advance_until(clock, lambda: len(discovery.requests) > 7, 0.3)
            if sends_more and not request.closed_by_proxy.is_set():
                request.send(extra_bytes)
            assert waited_s < LIST_DEADLINE_S
        assert waited_s + await respond_to_latest_request(discovery, proxy, clock, settings) < LIST_DEADLINE_S


@EACH_SUBSCRIPTION
async def test_change_is_applied_in_time_after_refused_connections(settings: messages.Settings) -> None:
    """Discovery does not listen for a while, and listens again just after it refused a connection."""

    async with watching_proxy(settings) as (discovery, proxy, clock):
        await advance_until(clock, lambda: len(discovery.requests) == 1)
        discovery.requests[0].writer.transport.abort()
        discovery.server.stop_listening()
        watch_starts = record_watch_starts(proxy)
        await advance_until(
            clock, lambda: len(watch_starts) == 6 and not proxy.driver.endpoint_list.watch.is_running
        )
        discovery.server.server = await asyncio.start_server(
            discovery.server.accept, "127.0.0.1", discovery.server.port
        )
        waited_s = await advance_to_next_request(discovery, clock) + await respond_to_latest_request(
            discovery, proxy, clock, settings
        )
        assert waited_s < LIST_DEADLINE_S


def changes_text(*entries: object, **fields: object) -> str:
    """Return changes that begin with a valid entry: the endpoint s-1 is terminated."""
    valid_entry = endpoint_entry("s-1", 9, "terminated")
    return (
        json.dumps({**endpoint_list(rev=2, is_complete=False), "targets": [valid_entry, *entries], **fields})
        + "\n"
    )


def changes_with_fields(**fields: object) -> bytes:
    return http_chunk(changes_text({**endpoint_entry("s-2", 9), **fields}))


def changes_with_start_time(text: str) -> bytes:
    return http_chunk(changes_text({**endpoint_entry("s-2", 9), "boot_ms": "HERE"}).replace('"HERE"', text))


NESTED = changes_text("HERE").replace('"HERE"', "[" * 100_000 + "]" * 100_000)
INVALID_LISTS: dict[str, tuple[bytes, str]] = {
    "not JSON": (http_chunk("nonsense\n"), "not JSON"),
    "truncated": (http_chunk(changes_text()[:-4] + "}}}\n"), "not JSON"),
    "an array": (http_chunk("[1,2]\n"), "field targets"),
    "a number": (http_chunk("7\n"), "field targets"),
    "no targets": (http_chunk('{"rev":2,"all":false}\n'), "field targets"),
    "targets an object": (http_chunk('{"rev":2,"all":false,"targets":{}}\n'), "field targets"),
    "an entry not an object": (http_chunk(changes_text(5)), "field targets[1].uid"),
    "no uid": (changes_with_fields(uid=None), "field targets[1].uid"),
    "uid a number": (changes_with_fields(uid=7), "field targets[1].uid"),
    "no state": (changes_with_fields(state=None), "field targets[1].state"),
    "an unknown state": (changes_with_fields(state="odd"), "field targets[1].state"),
    "no address": (changes_with_fields(endpoint=None), "field targets[1].endpoint"),
    "no port": (changes_with_fields(endpoint="10.0.0.1"), "field targets[1].endpoint"),
    "no host": (changes_with_fields(endpoint=":80"), "field targets[1].endpoint"),
    "port 0": (changes_with_fields(endpoint="10.0.0.1:0"), "field targets[1].endpoint"),
    "port too high": (changes_with_fields(endpoint="10.0.0.1:65536"), "field targets[1].endpoint"),
    "port of 5000 digits": (
        changes_with_fields(endpoint="10.0.0.1:" + "8" * 5000),
        "field targets[1].endpoint",
    ),
    "port in other digits": (changes_with_fields(endpoint="10.0.0.1:\u0663"), "field targets[1].endpoint"),
    "host in two words": (changes_with_fields(endpoint="10.0.0.1 x:80"), "field targets[1].endpoint"),
    "host with a lone surrogate": (changes_with_fields(endpoint="\ud800:80"), "field targets[1].endpoint"),
    "zone a number": (changes_with_fields(az=5), "field targets[1].az"),
    "group a string": (changes_with_fields(pod_group="x"), "field targets[1].pod_group"),
    "start a string": (changes_with_fields(boot_ms="x"), "field targets[1].boot_ms"),
    "start negative": (changes_with_fields(boot_ms=-5), "field targets[1].boot_ms"),
    "start in another unit": (changes_with_fields(boot_ms=1_700_000_000_000_000), "field targets[1].boot_ms"),
    "start not a number": (changes_with_start_time("NaN"), "field targets[1].boot_ms"),
    "start infinite": (changes_with_start_time("Infinity"), "field targets[1].boot_ms"),
    "start too large": (changes_with_start_time("1e308"), "field targets[1].boot_ms"),
    "start of 400 digits": (changes_with_start_time("1" * 400), "field targets[1].boot_ms"),
    "start of 5000 digits": (changes_with_start_time("1" * 5000), "not JSON"),
    "no rev": (http_chunk(changes_text(rev=None)), "field rev"),
    "rev a string": (http_chunk(changes_text(rev="2")), "field rev"),
    "rev true": (http_chunk(changes_text(rev=True)), "field rev"),
    "rev negative": (http_chunk(changes_text(rev=-1)), "field rev"),
    "rev of 400 digits": (http_chunk(changes_text(rev=10**400)), "field rev"),
    "all a number": (http_chunk(changes_text(all=0)), "field all"),
    "nested": (http_chunk(NESTED), "nested more than 64 levels deep"),
    "nested without end": (http_chunk("[" * 100_000), "nested more than 64 levels deep"),
    "not UTF-8": (
        http_chunk(changes_text()[:-5] + '"') + b"3\r\n\xff\xfe\xfd\r\n" + http_chunk('"}]}\n'),
        "not JSON",
    ),
    "endless": (http_chunk('{"rev":"' + "x" * MAX_TEXT_BYTES), "longer than 4194304 bytes"),
    "bad chunk": (b"zz\r\nnonsense\r\n", "illegal chunk"),
    "negative chunk": (b"-2\r\n\n\n\r\n", "illegal chunk"),
}


def known_endpoints(proxy: LoopbackProxy) -> tuple[object, ...]:
    """Return the known endpoints, the ids of those that are up, and the version to resume from."""
    endpoint_list_receiver = proxy.driver.endpoint_list
    return (
        dict(proxy.driver.balancer.endpoints.states),
        set(endpoint_list_receiver.endpoints.up_ids),
        endpoint_list_receiver.watch.version,
    )


@EACH_SUBSCRIPTION
@pytest.mark.parametrize(("invalid_bytes", "reason"), INVALID_LISTS.values(), ids=INVALID_LISTS.keys())
async def test_invalid_list_keeps_the_old_one_and_reopens_the_watch(
    settings: messages.Settings, invalid_bytes: bytes, reason: str, caplog: pytest.LogCaptureFixture
) -> None:
    """No part of it is applied, one log line names the reason, and the next list is applied."""
    complete_list = endpoint_list(endpoint_entry("s-1", 9), endpoint_entry("s-2", 9), rev=1)
    async with watching_proxy(settings) as (discovery, proxy, clock):
        await advance_until(clock, lambda: len(discovery.requests) == 1)
        discovery.requests[0].send(WATCH_RESPONSE_HEAD + endpoint_list_chunk(complete_list))
        await advance_until(clock, lambda: proxy.driver.endpoint_list.watch.version == 1)
        known_before = known_endpoints(proxy)
        caplog.clear()
        discovery.requests[0].send(invalid_bytes)
        waited_s = await advance_to_next_request(discovery, clock)
        assert known_endpoints(proxy) == known_before
        assert proxy.driver.endpoint_list.watch.version == 1
        [line] = [record for record in caplog.records if record.levelno >= logging.WARNING]
        assert reason in line.getMessage()
        assert "\n" not in line.getMessage()
        assert not line.exc_info
        assert waited_s + await respond_to_latest_request(discovery, proxy, clock, settings) < LIST_DEADLINE_S
        assert set(proxy.driver.balancer.endpoints.states) == {endpoint_id_from_uid("s-7")}


class DrainedEndpoint(SlowEndpoint):
    """Endpoint that sets `closed` once one of its connections has been closed between two requests."""

    def __init__(self, body: bytes) -> None:
        super().__init__(body)
        self.closed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await super().serve(reader, writer)
        except asyncio.IncompleteReadError:
            self.closed.set()
            raise


@pytest.mark.parametrize("kind", ["read", "mark", "pay"])
async def test_endpoint_omitted_by_a_complete_list_gets_no_more_requests(kind: str) -> None:
    """Its idle connection is closed, and the request that it already has gets its response."""
    async with (
        DrainedEndpoint(b"a") as omitted,
        StandInEndpoint(http_response(200, b"b")) as listed,
        running_proxy(endpoint_entry("a", omitted.port)) as proxy,
    ):
        slow_response = asyncio.ensure_future(proxy.send_request(http_request("pay", request_id="slow")))
        await omitted.slow_received.wait()
        assert (await proxy.send_request(http_request("read", request_id="r0"))).body == b"a"
        assert sum(map(len, proxy.pool.idle.by_endpoint.values())) == 1
        proxy.driver.endpoint_list.receive(parsed_endpoint_list(endpoint_entry("b", listed.port), rev=2))
        await omitted.closed.wait()
        assert not proxy.pool.idle.by_endpoint
        requests = [http_request(kind, request_id=f"r{number}") for number in range(1, 9)]
        assert [(await proxy.send_request(request)).body for request in requests] == [b"b"] * 8
        omitted.may_respond.set()
        assert (await slow_response).body == b"a"
        assert len(omitted.received) == 2
        assert not any(address.id == endpoint_id_from_uid("a") for address in proxy.pool.idle.by_endpoint)


@pytest.mark.parametrize("states", [("terminating", "terminated"), ("terminated", "in_service")])
async def test_later_of_two_entries_for_one_endpoint_is_applied(states: tuple[str, str]) -> None:
    async with (
        StandInEndpoint(http_response(200, b"a")) as endpoint,
        running_proxy(endpoint_entry("a", endpoint.port)) as proxy,
    ):
        message = endpoint_list(
            *(endpoint_entry("a", endpoint.port, state) for state in states), rev=2, is_complete=False
        )
        proxy.driver.endpoint_list.receive(read_list(message))
        is_listed = states[-1] == "in_service"
        endpoint_id = endpoint_id_from_uid("a")
        held = (
            proxy.driver.balancer.endpoints.states,
            proxy.driver.endpoint_list.endpoints.by_id,
            proxy.driver.endpoint_list.endpoints.up_ids,
        )
        assert [endpoint_id in collection for collection in held] == [is_listed] * 3


RELOAD_DEADLINE_S = 4.0  # by the protocol, the list must be applied within this time after SIGHUP


@pytest.mark.parametrize(
    "first_failure", ["rejected after queueing", "rejected at once", "silent", "partial line"]
)
@EACH_SUBSCRIPTION
async def test_watch_moved_from_a_failed_discovery_has_its_list_in_time(
    settings: messages.Settings, first_failure: str
) -> None:
    """The backoff has grown on the old address; the first request to the new one fails as well."""

    async with watching_proxy(settings) as (discovery, proxy, clock), AsyncExitStack() as stack:
        new = StandInDiscovery(clock)
        new_server = await stack.enter_async_context(StandInServer(new.handle))
        await fail_requests(discovery, clock, FAILURES["rejected"])
        proxy.driver.change_discovery_address(("127.0.0.1", new_server.port))
        waited_s = await advance_to_next_request(new, clock)
        request = new.requests[-1]
        if first_failure == "rejected after queueing" and settings is POLLED_SETTINGS:
            waited_s += await advance_until(clock, lambda: request.closed_by_proxy.is_set(), POLL_QUEUE_S)
        if first_failure.startswith("rejected"):
            FAILURES["rejected"](request)
        elif first_failure == "partial line":
            request.send(PARTIAL_RESPONSES["partial line"])
        waited_s += await advance_to_next_request(new, clock)
        new.requests[-1].send(WATCH_RESPONSE_HEAD + list_chunk_of_version(7))
        # After a rejected request, the next one may still have to wait in the queue.
        queue_wait_s = 0.0 if settings is PUSHED_SETTINGS or not first_failure.startswith("rejected") else 1.0
        waited_s += queue_wait_s + await advance_until(
            clock, lambda: proxy.driver.endpoint_list.watch.version == 7, 1.0
        )
        assert proxy.driver.endpoint_list.watch.version == 7
        assert waited_s < RELOAD_DEADLINE_S
        assert len(discovery.requests) == 6  # no further request to the old address
