"""Connections that send tiny pieces are read seldom once there are many, and their requests are served."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.net.client import read_pacer
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import SilentEndpoint, StandInEndpoint
from tests.support.stepped_clock import wait_until

REQUEST = http_request(request_id="q")


async def test_connection_is_paused_only_above_the_rate_and_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(read_pacer, "MAX_SMALL_READS", 3)
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s", endpoint.port)) as proxy,
    ):
        client = SocketClient(proxy)
        paused_after = []
        for position in range(5):
            client.send(REQUEST[position : position + 1])
            await asyncio.sleep(0.005)
            paused_after.append(proxy.clients.read_pacer.paused_count)
        assert paused_after == [0, 0, 0, 1, 1]
        client.send(REQUEST[5:])
        assert await client.read_statuses(1) == [200]


async def test_usual_requests_are_never_paused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(read_pacer, "MAX_SMALL_READS", 0)
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s", endpoint.port)) as proxy,
    ):
        for number in range(5):
            await proxy.send_request(http_request(request_id=f"q{number}"))
            assert proxy.clients.read_pacer.paused_count == 0


@pytest.mark.parametrize("how", ["FIN", "RST", "half"])
async def test_disconnect_is_detected_while_reading_is_paused(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(read_pacer, "MAX_SMALL_READS", 0)
    monkeypatch.setattr(read_pacer, "PACE_INTERVAL_S", 60.0)
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("s", endpoint.port)) as proxy,
    ):
        client = SocketClient(proxy)
        client.send(REQUEST)
        await wait_until(lambda: len(endpoint.received) == 1)
        client.send(b"G")
        await wait_until(lambda: proxy.clients.read_pacer.paused_count == 1)
        client.disconnect(how)
        await wait_until(lambda: not proxy.clients.open_connections)
        assert proxy.clients.read_pacer.paused_count == 0
