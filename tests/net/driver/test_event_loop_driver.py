"""What changes of the endpoint list mean for requests, over real sockets."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.balancer_harness import balancer_settings
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
    parsed_endpoint_list,
)
from tests.support.http_messages import http_request, http_response, read_http_message, read_start_line
from tests.support.loopback_proxy import running_proxy
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import wait_until


async def test_list_change_reaches_the_policy_before_the_next_attempt() -> None:
    told = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        writer.write(
            WATCH_RESPONSE_HEAD
            + endpoint_list_chunk(
                endpoint_list(
                    endpoint_entry("a", first_endpoint.port), endpoint_entry("b", second_endpoint.port), rev=1
                )
            )
        )
        await told.wait()
        writer.write(
            endpoint_list_chunk(
                endpoint_list(endpoint_entry("a", first_endpoint.port, "terminating"), rev=2, full=False)
            )
        )
        await reader.read()

    async with (
        StandInEndpoint(http_response(200, b"a")) as first_endpoint,
        StandInEndpoint(http_response(200, b"b")) as second_endpoint,
        StandInServer(handle) as discovery,
        running_proxy(
            discovery_port=discovery.port, settings=balancer_settings(must_subscribe=True)
        ) as proxy,
    ):
        while not proxy.driver.is_ready:
            await asyncio.sleep(0)
        got = {(await proxy.send_request(http_request(request_id=f"x{number}")))[2] for number in range(40)}
        assert got == {b"a", b"b"}
        told.set()
        while len(proxy.driver.endpoint_list.endpoints.up_ids) == 2:
            await asyncio.sleep(0)
        got = {(await proxy.send_request(http_request(request_id=f"y{number}")))[2] for number in range(40)}
        assert got == {b"b"}


async def test_broken_watch_is_reopened_and_the_old_list_stays_in_use() -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked.append(await read_start_line(reader))
        if len(asked) == 2:
            again.set()
            await reader.read()

    asked: list[str] = []
    again = asyncio.Event()
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
        await again.wait()
        assert asked == ["GET /v1/endpoints?follow=1&since=1 HTTP/1.1"] * 2


async def test_draining_endpoint_finishes_the_requests_in_flight() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        begun.set()
        await drained.wait()
        writer.write(http_response(200, b"done"))
        assert await reader.read() == b""  # and the connection is not kept
        closed.set()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_start_line(reader)
        await begun.wait()
        news = endpoint_list(endpoint_entry("a", endpoint.port, "terminating"), rev=2, full=False)
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(news))
        await reader.read()

    begun, drained, closed = asyncio.Event(), asyncio.Event(), asyncio.Event()
    async with (
        StandInServer(serve) as endpoint,
        StandInServer(handle) as discovery,
        running_proxy(
            endpoint_entry("a", endpoint.port),
            discovery_port=discovery.port,
            settings=balancer_settings(must_subscribe=True),
        ) as proxy,
    ):
        asking = asyncio.ensure_future(proxy.send_request(http_request()))
        while proxy.driver.is_ready:
            await asyncio.sleep(0)
        drained.set()
        assert (await asking)[2] == b"done"
        await closed.wait()


@pytest.mark.parametrize("state", ["terminating", "terminated", "absent", "moved"])
@pytest.mark.parametrize("kind", ["read", "pay"])
async def test_request_moves_to_another_endpoint_when_its_endpoint_drains_during_connect(
    state: str, kind: str
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"a")) as first_endpoint,
        StandInEndpoint(http_response(200, b"b")) as second_endpoint,
        running_proxy(endpoint_entry("a", first_endpoint.port)) as proxy,
    ):
        gate = ConnectGates(proxy.pool)
        asking = asyncio.ensure_future(proxy.send_request(http_request(kind)))
        await wait_until(lambda: gate.started_count == 1)
        news = [endpoint_entry("b", second_endpoint.port)]
        if state == "moved":
            news = [endpoint_entry("a", second_endpoint.port)]
        elif state != "absent":
            news.append(endpoint_entry("a", first_endpoint.port, state))
        proxy.driver.endpoint_list.receive(parsed_endpoint_list(*news, rev=2))
        gate.open_all()
        assert (await asking)[2] == b"b"
        assert first_endpoint.connection_count == 0
