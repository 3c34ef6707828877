"""With fewer descriptors than configured, endpoints and discovery still get descriptors."""

from __future__ import annotations

import asyncio
import resource
import socket
from pathlib import Path
from typing import Any

import pytest

from load_balancer.process.descriptor_limits import raise_descriptor_limit
from tests.net.discovery.list_server import HeldListServer
from tests.process.process_helpers import descriptor_count
from tests.support.endpoint_lists import (
    endpoint_entry,
    endpoint_list,
)
from tests.support.http_messages import http_request, http_response, send_request_to
from tests.support.proxy_process import (
    LIMITS,
    proxy_config,
    raw_settings,
    read_listening_port,
    running_proxy_process,
    write_config,
)
from tests.support.stand_in_server import StandInEndpoint

DESCRIPTOR_LIMIT = 96
CLIENT_COUNT = 200


@pytest.mark.parametrize(
    ("configured_limit", "soft_limit", "hard_limit", "expected_limit", "expected_soft_limit"),
    [
        (128, 1024, 1024, 128, 1024),  # sufficient, unchanged
        (128, 64, 1024, 128, 128),  # raised to the configured limit
        (1024, 64, 128, 128, 128),
        (1024, 128, 128, 128, 128),
    ],
)
def test_lower_of_configured_and_system_limits_is_used(
    configured_limit: int,
    soft_limit: int,
    hard_limit: int,
    expected_limit: int,
    expected_soft_limit: int,
    limits: dict[str, tuple[int, int]],
) -> None:
    limits["now"] = (soft_limit, hard_limit)
    assert raise_descriptor_limit(configured_limit) == expected_limit
    assert limits["now"] == (expected_soft_limit, hard_limit)


@pytest.mark.parametrize("error", [OSError, ValueError])
def test_limit_that_cannot_be_raised_is_used_as_it_is(
    error: type[Exception], limits: dict[str, tuple[int, int]], monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*args: object) -> None:
        raise error("limit may not be raised")

    monkeypatch.setattr(resource, "setrlimit", fail)
    limits["now"] = (64, 1024)
    assert raise_descriptor_limit(1024) == 64


def test_configured_limit_is_used_when_the_system_has_none(limits: dict[str, tuple[int, int]]) -> None:
    unlimited = resource.RLIM_INFINITY
    limits["now"] = (unlimited, unlimited)
    assert raise_descriptor_limit(128) == 128
    assert limits["now"] == (unlimited, unlimited)
    limits["now"] = (64, unlimited)
    assert raise_descriptor_limit(128) == 128
    assert limits["now"] == (128, unlimited)


@pytest.fixture
def limits(monkeypatch: pytest.MonkeyPatch) -> dict[str, tuple[int, int]]:
    """Replace the limits of the test's own process, which other tests need unchanged, by a stored pair."""
    current_limits: dict[str, tuple[int, int]] = {}
    monkeypatch.setattr(resource, "getrlimit", lambda resource_id: current_limits["now"])
    monkeypatch.setattr(
        resource, "setrlimit", lambda resource_id, new_limits: current_limits.update(now=new_limits)
    )
    return current_limits


def connect_idle_clients(port: int, sent: bytes) -> list[socket.socket]:
    """Connect clients that each send these bytes and then stay idle."""
    idle_clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(CLIENT_COUNT)]
    for client in idle_clients:
        client.sendall(sent)
    return idle_clients


async def request_until_served_by(port: int, request_id: str, body: bytes) -> None:
    """Repeat a request until its response has this body; connecting clients may delay it."""
    while (await send_request_to(port, http_request(request_id=request_id))).body != body:
        pass


def bound_socket() -> socket.socket:
    """Return a socket that reserves an address, which refuses connections until the socket listens."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound


def config_with_pushed_lists(discovery: socket.socket, endpoint_port: int) -> dict[str, Any]:
    return proxy_config(
        discovery=f"127.0.0.1:{discovery.getsockname()[1]}",
        known=endpoint_list(endpoint_entry("a", endpoint_port)),
        settings=raw_settings(limits=LIMITS, registryMode="automatic"),
    )


@pytest.mark.parametrize("sent", [b"", b"GET /api HTTP/1.1\r\nHost: x\r\n", http_request(path="/ready")])
async def test_idle_clients_leave_descriptors_for_endpoints_and_discovery(
    sent: bytes, tmp_path: Path
) -> None:
    """With a low limit and idle clients, the process serves requests and receives a new endpoint list."""
    discovery = HeldListServer()
    async with (
        StandInEndpoint(http_response(200, b"a")) as known_endpoint,
        StandInEndpoint(http_response(200, b"b")) as new_endpoint,
    ):
        discovery.current_list = endpoint_list(endpoint_entry("b", new_endpoint.port), rev=2)
        discovery_socket = bound_socket()
        content = config_with_pushed_lists(discovery_socket, known_endpoint.port)
        assert content["limits"]["sockets"] > DESCRIPTOR_LIMIT
        async with running_proxy_process(write_config(tmp_path, content), DESCRIPTOR_LIMIT) as process:
            port = await read_listening_port(process)
            assert process.stderr is not None
            log_reader = asyncio.create_task(process.stderr.read())
            idle_clients = connect_idle_clients(port, sent)
            await request_until_served_by(port, "r0", b"a")
            await discovery.start(discovery_socket)
            await discovery.requested.wait()
            await request_until_served_by(port, "r1", b"b")
            assert descriptor_count(process) < DESCRIPTOR_LIMIT
            process.terminate()
            for client in idle_clients:
                client.close()
            assert await process.wait() == 0
            discovery.stop()
            assert "descriptor for" not in (await log_reader).decode()
            assert "Traceback" not in log_reader.result().decode()
