"""Time limits on a client's connection: incomplete requests, unread responses, deadlines, idle time."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from load_balancer import messages
from load_balancer.net.client import client_limits
from load_balancer.net.driver.open_requests import DEADLINE_MARGIN_US
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message, response_status
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.socket_client import SocketClient
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import wait_until


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"GET /api HTT",
        http_request("mark", Content_Length="9") + b"half",
        b"POST / HTTP/1.1\r\nA: b\r\n",
    ],
)
async def test_incomplete_request_gets_408_and_its_connection_is_closed(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_limits, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client_limits, "SWEEP_INTERVAL_S", 0.02)

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        # The incomplete request is the first one of its connection, then a later one.
        for earlier_request in (b"", http_request()):
            reader, writer = await proxy.connect()
            if earlier_request:
                writer.write(earlier_request)
                assert response_status(await read_http_message(reader)) == 200
                if not sent:
                    continue  # an idle connection has a longer time limit
            writer.write(sent)
            if sent:  # a connection that has sent nothing is closed without a response
                assert response_status(await read_http_message(reader)) == 408
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            writer.close()
        assert len(endpoint.received) == 1


async def test_client_that_does_not_read_responses_is_paused_then_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_limits, "WRITE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client_limits, "SWEEP_INTERVAL_S", 0.02)

    async with (
        StandInEndpoint(http_response(200, b"x" * 65536)) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        _, writer = await proxy.connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        for number in range(2000):
            writer.write(http_request(request_id=f"r{number}"))
        while not proxy.clients.open_connections:
            await asyncio.sleep(0)
        [connection] = proxy.clients.open_connections
        while proxy.clients.open_connections:
            await asyncio.sleep(0.01)
            assert connection.transport.get_write_buffer_size() <= 2 * 65536 + 1024
            # The limit may be exceeded by one read, which is far less than 256 KiB.
            assert (
                connection.http.received.size_bytes
                <= client_limits.MAX_BUFFERED_BYTES_PER_CONNECTION + 256 * 1024
            )
        assert len(endpoint.received) < 2000
        writer.transport.abort()


async def test_late_response_after_the_final_response_is_discarded() -> None:
    """The settings disable cancellation, so the endpoint can respond after the request has ended."""

    may_respond = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers, _ = await read_http_message(reader)
        if headers["req-id"] == "slow":
            await may_respond.wait()
        writer.write(http_response(200, headers["req-id"].encode()))

    limits = messages.Limits(max_attempts=3, cancel=False)
    async with (
        StandInServer(handle) as endpoint,
        running_proxy(
            endpoint_entry("s-1", endpoint.port), settings=balancer_settings(limits=limits)
        ) as proxy,
    ):
        reader, writer = await proxy.connect()
        writer.write(http_request(request_id="slow"))
        while endpoint.connection_count == 0:
            await asyncio.sleep(0)
        proxy.driver.end_all_requests()
        assert response_status(await read_http_message(reader)) == 503
        may_respond.set()
        while proxy.driver.requests.attempts.in_flight:
            await asyncio.sleep(0)
        writer.write(http_request(request_id="next"))
        assert (await read_http_message(reader))[2] == b"next"
        writer.close()


async def test_request_without_a_response_is_ended_before_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with (
        StandInServer(handle) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        events: list[messages.Event] = []
        handle_event = proxy.driver.balancer.handle

        def record_and_handle(now: int, event: messages.Event) -> list[messages.Action]:
            events.append(event)
            return handle_event(now, event)

        monkeypatch.setattr(proxy.driver.balancer, "handle", record_and_handle)
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        assert response_status(await proxy.send_request(http_request(Req_Deadline="0.6"))) in (502, 503)
        # The request is ended by its own deadline, not by the on-time target of 2 s of its class.
        assert loop.time() - started_at_s < 1.8
        [request] = [event for event in events if isinstance(event, messages.Request)]
        assert 400_000 < request.time_remaining_us <= 600_000 - DEADLINE_MARGIN_US


@pytest.mark.parametrize("is_first_request", [True, False])
async def test_connection_is_not_closed_as_idle_while_its_request_arrives(
    proxy: LoopbackProxy, is_first_request: bool
) -> None:
    client = SocketClient(proxy)
    await wait_until(lambda: len(proxy.clients.open_connections) == 1)
    [connection] = proxy.clients.open_connections
    if not is_first_request:
        client.send(http_request(request_id="r1"))
        await wait_until(lambda: connection in proxy.clients.idle_connections)
    client.send(http_request(request_id="r2"))
    proxy.listener.time_limits.check(
        connection, proxy.listener.loop.time() + client_limits.KEEP_ALIVE_TIMEOUT_S + 1.0
    )
    assert await client.read_statuses(1 if is_first_request else 2) == (
        [200] if is_first_request else [200, 200]
    )
