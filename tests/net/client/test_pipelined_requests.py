"""Pipelined requests: each is processed in order and has its own deadline."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.net.driver.client_messages import ClientRequest
from tests.net.client.delayed_endpoint import DelayedEndpoint
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message, response_status
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.socket_client import connect_paused_client
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import FrozenClock, wait_until


def record_times_remaining(proxy: LoopbackProxy, monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Record the time remaining of each request when the driver accepts it, in seconds."""
    times_remaining_s: list[float] = []
    accept_request = proxy.driver.accept_request

    def record(request: ClientRequest) -> str:
        times_remaining_s.append(request.time_remaining_us / 1e6)
        return accept_request(request)

    monkeypatch.setattr(proxy.driver, "accept_request", record)
    return times_remaining_s


async def test_deadline_of_a_pipelined_request_counts_from_its_last_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """This holds however long it waits behind other requests, and whenever those were received."""
    clock, delayed = FrozenClock(), DelayedEndpoint()
    async with (
        StandInServer(delayed.handle) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        times_remaining_s = record_times_remaining(proxy, monkeypatch)
        reader, writer = await proxy.connect()
        writer.write(http_request(request_id="r1") + http_request(request_id="r2"))
        await wait_until(lambda: len(delayed.request_ids) == 1)
        clock.advance(1.0)
        third = http_request(request_id="r3")
        writer.write(third[:-9])
        [connection] = proxy.clients.open_connections
        await wait_until(lambda: connection.http.received.size_bytes == len(third) - 9)
        clock.advance(0.5)
        writer.write(third[-9:])
        await wait_until(lambda: connection.http.received.size_bytes == len(third))
        delayed.may_respond.set()
        for _ in range(3):
            assert response_status(await read_http_message(reader)) == 200
        assert 3.0 < times_remaining_s[0] <= 4.0
        assert times_remaining_s[1] <= 2.5
        assert 3.0 < times_remaining_s[2] <= 4.0
        writer.close()


async def test_pipelined_requests_are_answered_in_order() -> None:
    async with (
        StandInEndpoint(
            http_response(200, b"1"), http_response(200, b"2"), http_response(200, b"3")
        ) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        reader, writer = await proxy.connect()
        writer.write(
            http_request(request_id="a") + http_request(request_id="b") + http_request(request_id="c")
        )
        assert [(await read_http_message(reader))[2] for _ in range(3)] == [b"1", b"2", b"3"]
        writer.close()


@pytest.mark.parametrize("size", [20_000, 65_536])
async def test_pipelined_request_waits_for_a_slowly_read_response(size: int) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x" * size)) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        proxy.limit_send_buffers()
        reader, writer = await connect_paused_client(proxy)
        writer.write(http_request(request_id="r1") + http_request(request_id="r2"))
        await wait_until(lambda: bool(proxy.clients.open_connections))
        [connection] = proxy.clients.open_connections
        await wait_until(lambda: connection.transport.get_write_buffer_size() > 0)
        for _ in range(20):
            await asyncio.sleep(0)
        # An unread response delays the next request, which bounds memory use.
        assert len(endpoint.received) == 1
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(2):
            assert len((await read_http_message(reader))[2]) == size
        writer.close()
