"""Responses get memory within the budget, in order; an idle connection keeps none."""

from __future__ import annotations

import asyncio
import gc

from load_balancer import messages
from load_balancer.net.driver.client_messages import ClientRequest
from load_balancer.net.event_counters import EventKind
from load_balancer.net.memory_budget import MemoryLimits, MemoryOwner
from load_balancer.net.upstream.http_exchange import HttpExchange
from tests.support.attempts import SAFE_REQUEST
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.loopback_proxy import running_proxy
from tests.support.socket_client import connect_paused_client
from tests.support.stand_in_server import SilentEndpoint
from tests.support.stepped_clock import wait_until

BODY = b"r" * 60_000
ONE_RESPONSE = MemoryLimits(requests_bytes=10_000_000, responses_bytes=90_000)
PIECES = 6


async def test_responses_in_pieces_wait_for_memory_and_arrive_whole() -> None:
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("s", endpoint.port), memory=ONE_RESPONSE) as proxy,
    ):
        clients = [await proxy.connect() for _ in range(4)]
        for number, (_, writer) in enumerate(clients):
            writer.write(http_request(request_id=f"q{number}"))
        await wait_until(lambda: len(endpoint.received) == 4)
        response = http_response(200, BODY)
        size = len(response) // PIECES + 1
        for start in range(0, len(response), size):
            for writer in endpoint.writers:
                writer.write(response[start : start + size])
            await asyncio.sleep(0.01)
        for reader, writer in clients:
            assert (await read_http_message(reader)).body == BODY
            writer.close()
        assert proxy.shared.counters.counts[EventKind.RESPONSE_WAITED_FOR_MEMORY] >= 1
        assert proxy.shared.budget.peak_bytes[MemoryOwner.RESPONSES] < 2 * ONE_RESPONSE.responses_bytes
        await wait_until(lambda: not proxy.shared.budget.charged_bytes[MemoryOwner.RESPONSES])


async def test_memory_of_a_response_is_released_when_its_client_leaves() -> None:
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("s", endpoint.port), memory=ONE_RESPONSE) as proxy,
    ):
        _, writer = await proxy.connect()
        writer.write(http_request())
        await wait_until(lambda: len(endpoint.received) == 1)
        endpoint.writers[0].write(http_response(200, BODY)[:30_000])
        charged = proxy.shared.budget.charged_bytes
        await wait_until(lambda: charged[MemoryOwner.RESPONSES] > 0)
        writer.transport.abort()
        await wait_until(lambda: charged[MemoryOwner.RESPONSES] == 0)


def test_idle_connection_keeps_no_memory_of_its_last_response() -> None:
    exchange = HttpExchange()
    exchange.begin()
    exchange.encode_request(SAFE_REQUEST, SAFE_REQUEST.headers)
    exchange.request_written()
    exchange.receive(http_response(200, BODY))
    assert exchange.process() is not None
    exchange.end()
    assert exchange.memory_bytes == 0


async def test_client_that_does_not_read_is_closed_when_responses_lack_its_memory() -> None:
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("s", endpoint.port), memory=ONE_RESPONSE) as proxy,
    ):
        proxy.limit_send_buffers()
        _, writer = await connect_paused_client(proxy)
        writer.write(http_request())
        await wait_until(lambda: len(endpoint.received) == 1)
        endpoint.writers[0].write(http_response(200, BODY))
        await wait_until(lambda: proxy.shared.budget.charged_bytes[MemoryOwner.UNSENT_RESPONSES] > 0)
        await wait_until(lambda: not proxy.clients.open_connections)
        assert proxy.shared.counters.counts[EventKind.CLIENT_CLOSED_FOR_MEMORY] == 1
        assert not proxy.shared.budget.charged_bytes[MemoryOwner.UNSENT_RESPONSES]
        writer.close()


async def test_attempt_that_outlives_its_request_keeps_no_content_of_it() -> None:
    settings = balancer_settings(limits=messages.Limits(max_attempts=1, cancel=False))
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("s", endpoint.port), settings=settings) as proxy,
    ):
        _, writer = await proxy.connect()
        writer.write(http_request("pay", body=BODY))
        await wait_until(lambda: len(endpoint.received) == 1)
        writer.transport.abort()
        await wait_until(lambda: not proxy.clients.open_connections)
        [attempt] = proxy.driver.requests.attempts.in_flight.values()
        assert (attempt.request.body, attempt.request.headers) == (b"", [])
        gc.collect()
        assert not [kept for kept in gc.get_objects() if isinstance(kept, ClientRequest)]
