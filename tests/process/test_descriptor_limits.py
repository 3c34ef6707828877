"""With fewer descriptors than configured, endpoints and discovery still get theirs."""

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

GIVEN = 96
CROWD = 200


@pytest.mark.parametrize(
    ("told", "soft", "hard", "have", "soft_then"),
    [
        (128, 1024, 1024, 128, 1024),  # enough, and left as it is
        (128, 64, 1024, 128, 128),  # raised, to no more than was told
        (1024, 64, 128, 128, 128),
        (1024, 128, 128, 128, 128),
    ],
)
def test_lower_of_configured_and_system_limits_is_used(
    told: int, soft: int, hard: int, have: int, soft_then: int, limits: dict[str, tuple[int, int]]
) -> None:
    limits["now"] = (soft, hard)
    assert raise_descriptor_limit(told) == have
    assert limits["now"] == (soft_then, hard)


@pytest.mark.parametrize("error", [OSError, ValueError])
def test_limit_that_cannot_be_raised_is_used_as_it_is(
    error: type[Exception], limits: dict[str, tuple[int, int]], monkeypatch: pytest.MonkeyPatch
) -> None:
    def fails(*args: object) -> None:
        raise error("not allowed")

    monkeypatch.setattr(resource, "setrlimit", fails)
    limits["now"] = (64, 1024)
    assert raise_descriptor_limit(1024) == 64


def test_configured_limit_is_used_when_the_system_has_none(limits: dict[str, tuple[int, int]]) -> None:
    none = resource.RLIM_INFINITY
    limits["now"] = (none, none)
    assert raise_descriptor_limit(128) == 128
    assert limits["now"] == (none, none)
    limits["now"] = (64, none)
    assert raise_descriptor_limit(128) == 128
    assert limits["now"] == (128, none)


@pytest.fixture
def limits(monkeypatch: pytest.MonkeyPatch) -> dict[str, tuple[int, int]]:
    """Stand in for this process's own limits, which other tests need unchanged."""
    held: dict[str, tuple[int, int]] = {}
    monkeypatch.setattr(resource, "getrlimit", lambda which: held["now"])
    monkeypatch.setattr(resource, "setrlimit", lambda which, pair: held.update(now=pair))
    return held


def connect_crowd(port: int, sent: bytes) -> list[socket.socket]:
    """Connect idle clients, each of which sends these bytes and stays."""
    crowd = [socket.create_connection(("127.0.0.1", port)) for _ in range(CROWD)]
    for client in crowd:
        client.sendall(sent)
    return crowd


async def request_until_served_by(port: int, request_id: str, body: bytes) -> None:
    """Repeat a request until an endpoint with this response answers; a crowd that comes may keep it out."""
    while (await send_request_to(port, http_request(request_id=request_id))).body != body:
        pass


def bound_socket() -> socket.socket:
    """Return a socket whose address is kept, and refuses connections until it listens."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound


def pushed_config(discovery: socket.socket, endpoint_port: int) -> dict[str, Any]:
    return proxy_config(
        discovery=f"127.0.0.1:{discovery.getsockname()[1]}",
        known=endpoint_list(endpoint_entry("a", endpoint_port)),
        settings=raw_settings(limits=LIMITS, registryMode="automatic"),
    )


@pytest.mark.parametrize("sent", [b"", b"GET /api HTTP/1.1\r\nHost: x\r\n", http_request(path="/ready")])
async def test_idle_clients_leave_descriptors_for_endpoints_and_discovery(
    sent: bytes, tmp_path: Path
) -> None:
    """A real process under a low limit, whose crowd stays: it serves, and hears of a new endpoint."""
    discovery = HeldListServer()
    async with (
        StandInEndpoint(http_response(200, b"a")) as known,
        StandInEndpoint(http_response(200, b"b")) as new,
    ):
        discovery.present_list = endpoint_list(endpoint_entry("b", new.port), rev=2)
        down = bound_socket()
        content = pushed_config(down, known.port)
        assert content["limits"]["sockets"] > GIVEN
        async with running_proxy_process(write_config(tmp_path, content), GIVEN) as process:
            port = await read_listening_port(process)
            assert process.stderr is not None
            log = asyncio.create_task(process.stderr.read())
            crowd = connect_crowd(port, sent)
            await request_until_served_by(port, "r0", b"a")
            await discovery.start(down)
            await discovery.requested.wait()
            await request_until_served_by(port, "r1", b"b")
            assert descriptor_count(process) < GIVEN
            process.terminate()
            for client in crowd:
                client.close()
            assert await process.wait() == 0
            discovery.stop()
            assert "descriptor for" not in (await log).decode()
            assert "Traceback" not in log.result().decode()
