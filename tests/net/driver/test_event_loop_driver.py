"""Effect of endpoint list changes on requests, over real sockets."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.net.event_counters import EventKind
from tests.net.discovery.list_server import HeldListServer
from tests.support.balancer_harness import balancer_settings
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import (
    endpoint_entry,
    endpoint_list,
    parsed_endpoint_list,
)
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import wait_until


async def read_request_line(reader: asyncio.StreamReader) -> str:
    """Return the request line of a request without a body."""
    return (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0]


async def response_bodies(proxy: LoopbackProxy, prefix: str) -> set[bytes]:
    """Return the bodies of the responses to 40 requests."""
    requests = [http_request(request_id=f"{prefix}{number}") for number in range(40)]
    return {(await proxy.send_request(request)).body for request in requests}


async def test_list_change_reaches_the_policy_before_the_next_attempt() -> None:
    discovery = HeldListServer()
    async with (
        StandInEndpoint(http_response(200, b"a")) as first_endpoint,
        StandInEndpoint(http_response(200, b"b")) as second_endpoint,
        discovery,
        running_proxy(
            discovery_port=discovery.port, settings=balancer_settings(must_subscribe=True)
        ) as proxy,
    ):
        discovery.current_list = endpoint_list(
            endpoint_entry("a", first_endpoint.port), endpoint_entry("b", second_endpoint.port), rev=1
        )
        await wait_until(lambda: proxy.driver.is_ready)
        assert await response_bodies(proxy, "x") == {b"a", b"b"}
        draining_entry = endpoint_entry("a", first_endpoint.port, "terminating")
        discovery.send_changes(endpoint_list(draining_entry, rev=2, is_complete=False))
        await wait_until(lambda: len(proxy.driver.endpoint_list.endpoints.up_ids) == 1)
        assert await response_bodies(proxy, "y") == {b"b"}


async def test_broken_watch_is_reopened_and_the_old_list_stays_in_use() -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_lines.append(await read_request_line(reader))
        if len(request_lines) == 2:
            reopened.set()
            await reader.read()

    request_lines: list[str] = []
    reopened = asyncio.Event()
    async with (
        StandInEndpoint(http_response(200, b"a")) as endpoint,
        StandInServer(handle) as discovery,
        running_proxy(
            endpoint_entry("a", endpoint.port),
            discovery_port=discovery.port,
            settings=balancer_settings(must_subscribe=True),
        ) as proxy,
    ):
        assert (await proxy.send_request(http_request()))[2] == b"a"
        await reopened.wait()
        assert request_lines == ["GET /v1/endpoints?follow=1&since=1 HTTP/1.1"] * 2


class HeldResponse:
    """Endpoint that responds to one request when allowed, and waits until the connection is closed."""

    def __init__(self) -> None:
        self.received, self.may_respond, self.closed = asyncio.Event(), asyncio.Event(), asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        self.received.set()
        await self.may_respond.wait()
        writer.write(http_response(200, b"done"))
        assert await reader.read() == b""  # the proxy closes the connection
        self.closed.set()


async def test_draining_endpoint_finishes_the_requests_in_flight() -> None:
    held_response, discovery = HeldResponse(), HeldListServer(is_held=True)
    async with (
        StandInServer(held_response.handle) as endpoint,
        discovery,
        running_proxy(
            endpoint_entry("a", endpoint.port),
            discovery_port=discovery.port,
            settings=balancer_settings(must_subscribe=True),
        ) as proxy,
    ):
        draining_entry = endpoint_entry("a", endpoint.port, "terminating")
        discovery.current_list = endpoint_list(draining_entry, rev=2, is_complete=False)
        response_task = asyncio.ensure_future(proxy.send_request(http_request()))
        await held_response.received.wait()
        discovery.may_respond.set()
        await wait_until(lambda: not proxy.driver.is_ready)
        held_response.may_respond.set()
        assert (await response_task)[2] == b"done"
        await held_response.closed.wait()


@pytest.mark.parametrize("state", ["terminating", "terminated", "absent", "moved"])
@pytest.mark.parametrize("kind", ["read", "pay"])
async def test_request_goes_elsewhere_when_its_endpoint_drains_is_removed_or_moves_during_connect(
    state: str, kind: str
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"a")) as first_endpoint,
        StandInEndpoint(http_response(200, b"b")) as second_endpoint,
        running_proxy(endpoint_entry("a", first_endpoint.port)) as proxy,
    ):
        gate = ConnectGates(proxy.pool)
        response_task = asyncio.ensure_future(proxy.send_request(http_request(kind)))
        await wait_until(lambda: gate.started_count == 1)
        entries = [endpoint_entry("b", second_endpoint.port)]
        if state == "moved":
            entries = [endpoint_entry("a", second_endpoint.port)]
        elif state != "absent":
            entries.append(endpoint_entry("a", first_endpoint.port, state))
        proxy.driver.endpoint_list.receive(parsed_endpoint_list(*entries, rev=2))
        gate.open_all()
        assert (await response_task)[2] == b"b"
        assert first_endpoint.connection_count == 0


async def test_retries_and_final_responses_of_the_policy_are_counted() -> None:
    async with (
        StandInEndpoint(http_response(500)) as first,
        StandInEndpoint(http_response(500)) as second,
        running_proxy(endpoint_entry("a", first.port), endpoint_entry("b", second.port)) as proxy,
    ):
        await proxy.send_request(http_request())
        counts = proxy.shared.counters.counts
        assert counts[EventKind.RETRY] == len(first.received) + len(second.received) - 1 > 0
        assert counts[EventKind.POLICY_FAILED] + counts[EventKind.POLICY_REJECTED] == 1
