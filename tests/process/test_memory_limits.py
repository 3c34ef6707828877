"""How the memory of the configuration is divided, and what happens near its limit."""

from __future__ import annotations

import dataclasses

import pytest

from load_balancer.net.client.client_limits import CLIENT_CONNECTION_BYTES
from load_balancer.net.event_counters import EventKind
from load_balancer.net.memory_budget import MemoryOwner
from load_balancer.net.shared_resources import SharedResources
from load_balancer.net.upstream.open_connections import ENDPOINT_CONNECTION_BYTES
from load_balancer.process import allocator
from load_balancer.process.config import DEFAULT_MEMORY_MB, read_config
from load_balancer.process.descriptor_limits import DescriptorLimits
from load_balancer.process.memory_guard import MemoryGuard
from load_balancer.process.memory_limits import (
    MIB,
    MIN_PEER_BYTES,
    MIN_RESERVE_BYTES,
    divide_memory,
    limit_connections,
    resident_bytes,
)
from tests.support.loopback_proxy import running_proxy
from tests.support.proxy_process import proxy_config
from tests.support.stepped_clock import wait_until


@pytest.mark.parametrize("limit_mb", [32, 48, 64, 192, 2048])
def test_division_leaves_a_reserve(limit_mb: int) -> None:
    held_bytes = 20 * MIB
    division = divide_memory(limit_mb * MIB, held_bytes)
    limits = dataclasses.astuple(division.limits)
    assert division.connections_bytes + sum(limits) <= limit_mb * MIB - held_bytes - MIN_RESERVE_BYTES
    assert all(size_bytes > MIN_PEER_BYTES for size_bytes in (division.connections_bytes, *limits))


def test_process_over_its_limit_still_serves(caplog: pytest.LogCaptureFixture) -> None:
    division = divide_memory(16 * MIB, 20 * MIB)
    assert division.limits.requests_bytes > 0
    assert division.limits.responses_bytes > 0
    assert "leaves too little" in caplog.text


def test_connections_are_limited_by_memory_in_proportion() -> None:
    connections_bytes = 100 * CLIENT_CONNECTION_BYTES + 50 * ENDPOINT_CONNECTION_BYTES
    assert limit_connections(DescriptorLimits(200, 100), connections_bytes) == DescriptorLimits(100, 50)
    assert limit_connections(DescriptorLimits(10, 5), connections_bytes) == DescriptorLimits(10, 5)
    assert limit_connections(DescriptorLimits(10, 5), 1) == DescriptorLimits(1, 1)


def test_resident_memory_of_this_process_is_read() -> None:
    assert 5 * MIB < resident_bytes() < 4096 * MIB


def test_memory_limit_is_read_from_the_configuration() -> None:
    assert read_config(proxy_config(limits={"memory_mb": 48})).memory_mb == 48
    assert read_config(proxy_config(limits={})).memory_mb == DEFAULT_MEMORY_MB


def test_allocator_returns_free_memory() -> None:
    assert allocator.configure_allocator()
    assert allocator.return_free_memory()


@pytest.mark.parametrize(("held_share", "sheds"), [(0.5, False), (0.97, True)])
async def test_guard_ends_incomplete_requests_near_the_limit(held_share: float, sheds: bool) -> None:
    shared, limit_bytes = SharedResources(), 100 * MIB
    async with running_proxy() as proxy:
        reader, writer = await proxy.connect()
        writer.write(b"GET /api HTTP/1.1\r\nHost: a\r\n")
        budget = proxy.clients.memory.budget
        await wait_until(lambda: budget.charged_bytes[MemoryOwner.REQUESTS] > 0)
        guard = MemoryGuard(
            limit_bytes, proxy.listener, shared, lambda: int(held_share * limit_bytes), lambda: True
        )
        guard.check()
        guard.close()
        if sheds:
            assert (await reader.read(100)).startswith(b"HTTP/1.1 503")
        assert shared.counters.counts[EventKind.MEMORY_SHED] == sheds
        writer.close()
