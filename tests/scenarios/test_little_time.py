"""Requests with hardly any time left, and attempts that fail at once: a final answer soon, no spinning."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer import messages
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.proxy_process import unused_port
from tests.support.stand_in_server import StandInEndpoint, StandInServer

SOON_S = 0.5  # by the terms an answer this long after a request's time is not lost


@pytest.mark.parametrize("kind", ["read", "mark", "write", "pay"])
@pytest.mark.parametrize("left_ms", [0, 1, 5, 14, 16, 18, 30])
async def test_request_with_hardly_any_time_left_gets_a_response_and_no_attempt(
    endpoint: StandInEndpoint, proxy: LoopbackProxy, kind: str, left_ms: int
) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    got = await proxy.send_request(http_request(kind, Req_Deadline=f"{left_ms / 1e3:.3f}"))
    assert got[0].split()[1] in ("502", "503")
    assert loop.time() - began < SOON_S
    assert not endpoint.received
    assert not endpoint.connection_count
    assert proxy.driver.is_idle
    assert not proxy.driver.requests.attempts.in_flight


@pytest.mark.parametrize("kind", ["read", "mark", "write", "pay"])
async def test_rejected_attempts_end_at_once_within_the_limit_on_attempts(kind: str) -> None:
    ports = [unused_port() for _ in range(5)]  # nobody listens there
    async with running_proxy(*(endpoint_entry(f"s-{n}", port) for n, port in enumerate(ports))) as p:
        sends: list[messages.StartAttempt] = []
        original = p.driver.attempts.start

        def counted(action: messages.StartAttempt, decided_at_s: float) -> None:
            sends.append(action)
            original(action, decided_at_s)

        p.driver.attempts.start = counted  # type: ignore[method-assign]
        loop = asyncio.get_running_loop()
        began = loop.time()
        got = await p.send_request(http_request(kind))
        assert got[0].split()[1] == "503"
        assert loop.time() - began < 1.0  # of the 2 s that are useful
        assert len(sends) == 3
        assert p.driver.is_idle


@pytest.mark.parametrize("kind", ["read", "mark", "pay"])
async def test_silently_dropped_request_gets_a_response(kind: str) -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with StandInServer(silent) as b, running_proxy(endpoint_entry("s-1", b.port)) as p:
        loop = asyncio.get_running_loop()
        began = loop.time()
        got = await p.send_request(http_request(kind, Req_Deadline="0.5"))
        assert got[0].split()[1] in ("502", "503")
        assert loop.time() - began < 0.5 + SOON_S
        assert p.driver.is_idle
