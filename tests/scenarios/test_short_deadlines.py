"""Requests with hardly any time remaining, and with attempts that fail at once, end promptly."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from load_balancer import messages
from tests.support.attempts import REQUEST_CLASS_NAMES
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, response_status
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.proxy_process import unused_port
from tests.support.stand_in_server import SilentEndpoint, StandInEndpoint

# By the specification, a response that comes this long after the deadline of its request still counts.
MAX_LATENESS_S = 0.5


@asynccontextmanager
async def assert_shorter_than(seconds: float) -> AsyncIterator[None]:
    """Fail the test if the body takes this long or longer by the event loop's clock."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    yield
    assert loop.time() - began_s < seconds


def record_attempts(proxy: LoopbackProxy) -> list[messages.StartAttempt]:
    """Return a list that receives each attempt that the proxy starts from now on."""
    attempts: list[messages.StartAttempt] = []
    start = proxy.driver.attempts.start

    def record_and_start(action: messages.StartAttempt, decided_at_s: float) -> None:
        attempts.append(action)
        start(action, decided_at_s)

    proxy.driver.attempts.start = record_and_start  # type: ignore[method-assign]
    return attempts


@pytest.mark.parametrize("class_name", REQUEST_CLASS_NAMES)
@pytest.mark.parametrize("remaining_ms", [0, 1, 5, 14, 16, 18, 30])
async def test_request_with_hardly_any_time_remaining_gets_a_response_and_no_attempt(
    endpoint: StandInEndpoint, proxy: LoopbackProxy, class_name: str, remaining_ms: int
) -> None:
    async with assert_shorter_than(MAX_LATENESS_S):
        request = http_request(class_name, Req_Deadline=f"{remaining_ms / 1e3:.3f}")
        response = await proxy.send_request(request)
    assert response_status(response) in (502, 503)
    assert not endpoint.received
    assert not endpoint.connection_count
    assert proxy.driver.is_idle
    assert not proxy.driver.requests.attempts.in_flight


@pytest.mark.parametrize("class_name", REQUEST_CLASS_NAMES)
async def test_rejected_attempts_end_at_once_within_the_limit_on_attempts(class_name: str) -> None:
    ports = [unused_port() for _ in range(5)]  # all refuse connections
    entries = [endpoint_entry(f"s-{number}", port) for number, port in enumerate(ports)]
    async with running_proxy(*entries) as proxy:
        attempts = record_attempts(proxy)
        async with assert_shorter_than(1.0):  # of the 2 s of the latency objective
            response = await proxy.send_request(http_request(class_name))
        assert response_status(response) == 503
        assert len(attempts) == 3
        assert proxy.driver.is_idle


@pytest.mark.parametrize("class_name", ["read", "mark", "pay"])
async def test_silently_dropped_request_gets_a_response(class_name: str) -> None:
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        async with assert_shorter_than(0.5 + MAX_LATENESS_S):
            response = await proxy.send_request(http_request(class_name, Req_Deadline="0.5"))
        assert response_status(response) in (502, 503)
        assert proxy.driver.is_idle
