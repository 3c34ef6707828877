"""Idle clients that use up all descriptors while discovery is down, and discovery that repeats its list.

In both cases requests and the watch are served, and the log stays short.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import time
from collections import Counter
from pathlib import Path

import pytest

from load_balancer.net.discovery.watch_log import FAILURE_LOG_WINDOW_S, MAX_LOGGED_FAILURES
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import http_request, http_response, send_request_to
from tests.support.loopback_proxy import running_proxy
from tests.support.proxy_process import (
    LIMITS,
    proxy_config,
    raw_settings,
    read_listening_port,
    running_proxy_process,
    write_config,
)
from tests.support.stand_in_discovery import StandInListServer
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import FrozenClock, SteppedClock
from tests.support.time_limit import run_in_event_loop

MAX_DESCRIPTORS = 128
SPARE_DESCRIPTORS = 8
CLIENT_COUNT = 300
MAX_OTHER_LINES = 20  # log lines not about the watch: startup, endpoint list and shutdown
SENT_BY_IDLE_CLIENTS = {
    "silent": b"",
    "incomplete request": b"GET /api HTTP/1.1\r\nHost: x\r\n",
    "idle after a response": http_request(path="/ready"),
}


def bound_socket() -> socket.socket:
    """Return a socket that reserves a port, which refuses connections until the socket listens."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound


def config_with_cached_endpoint(endpoint: StandInEndpoint, discovery_port: int) -> dict[str, object]:
    """Return a configuration whose cached list contains one endpoint, `a`."""
    return proxy_config(
        discovery=f"127.0.0.1:{discovery_port}",
        known=endpoint_list(endpoint_entry("a", endpoint.port)),
        limits={"sockets": MAX_DESCRIPTORS},
        settings=raw_settings(limits=LIMITS, registryMode="automatic"),
    )


class IdleClients:
    """Clients that each send the same bytes on a connection and then nothing."""

    def __init__(self, port: int, sent: bytes) -> None:
        self.port, self.sent = port, sent
        self.sockets: list[socket.socket] = []

    def connect(self, count: int) -> None:
        """Open this many more connections."""
        for _ in range(count):
            self.sockets.append(socket.create_connection(("127.0.0.1", self.port)))
            self.sockets[-1].sendall(self.sent)

    def close(self) -> None:
        """Close all connections."""
        for client_socket in self.sockets:
            client_socket.close()


async def check_requests_among_idle_clients(pid: int, clients: IdleClients) -> None:
    """Check that a new client is served while idle clients hold all client connections."""
    for number in range(3):  # repeated, as the proxy closes the oldest connections
        clients.connect(CLIENT_COUNT // 3)
        response = await send_request_to(clients.port, http_request(request_id=f"r{number}"))
        assert response.body == b"a"
        assert len(os.listdir(f"/proc/{pid}/fd")) <= MAX_DESCRIPTORS - SPARE_DESCRIPTORS


async def check_watch_among_idle_clients(port: int, discovery: StandInListServer) -> None:
    """Check that the proxy opens one watch once discovery listens, and uses its endpoint list."""
    while not discovery.connection_count:
        await asyncio.sleep(0.01)
    # The list may not have been read yet.
    while (await send_request_to(port, http_request(request_id="r9"))).body != b"b":
        pass
    assert discovery.connection_count == 1


def check_log_is_short(lines: list[str], duration_s: float) -> None:
    """Check that each kind of line stays within its limit, and that no line is about descriptors."""
    counts = Counter("watch" if "watch on discovery" in line else "other" for line in lines)
    assert counts["other"] <= MAX_OTHER_LINES, lines
    window_count = 1 + int(duration_s / FAILURE_LOG_WINDOW_S)
    assert counts["watch"] <= window_count * (MAX_LOGGED_FAILURES + 1), lines
    assert not any("Traceback" in line or "descriptor" in line for line in lines)


@pytest.mark.parametrize("client_kind", SENT_BY_IDLE_CLIENTS)
async def test_idle_clients_leave_descriptors_for_watch_attempts_and_other_clients(
    client_kind: str, tmp_path: Path
) -> None:
    began_s, lines, discovery_socket = time.monotonic(), list[str](), bound_socket()
    async with (
        StandInEndpoint(http_response(200, b"a")) as first,
        StandInEndpoint(http_response(200, b"b")) as second,
    ):
        config = config_with_cached_endpoint(first, discovery_socket.getsockname()[1])
        async with running_proxy_process(write_config(tmp_path, config), MAX_DESCRIPTORS) as process:
            port = await read_listening_port(process, lines)
            assert process.stderr is not None
            log_end = asyncio.create_task(process.stderr.read())
            clients = IdleClients(port, SENT_BY_IDLE_CLIENTS[client_kind])
            await check_requests_among_idle_clients(process.pid, clients)
            discovery = StandInListServer(endpoint_list(endpoint_entry("b", second.port), rev=2))
            await discovery.start(discovery_socket)
            await check_watch_among_idle_clients(port, discovery)
            assert second.connection_count
            process.send_signal(signal.SIGTERM)
            clients.close()
            assert await process.wait() == 0
            discovery.stop()
            lines += (await log_end).decode().splitlines()
            check_log_is_short(lines, time.monotonic() - began_s)


class RepeatingDiscovery(StandInServer):
    """Discovery that sends each watch 100 endpoints and closes it; the fifth list changes two of them."""

    def __init__(self) -> None:
        super().__init__(self._send_list)
        self.list_count = 0

    async def _send_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.list_count += 1
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(self._next_list()))

    def _next_list(self) -> dict[str, object]:
        is_changed = self.list_count > 4
        draining = endpoint_entry("s0", 9, "terminating" if is_changed else "in_service")
        moved = endpoint_entry("s1", 10 if is_changed else 9)
        unchanged = [endpoint_entry(f"s{number}", 9) for number in range(2, 100)]
        return endpoint_list(draining, moved, *unchanged, rev=self.list_count)


async def test_repeated_endpoint_list_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Later lists log only changes, and at most twenty changes are logged in ten seconds."""
    caplog.set_level(logging.INFO, logger="load_balancer.net.driver.endpoint_directory")
    async with RepeatingDiscovery() as discovery, running_proxy(discovery_port=discovery.port) as proxy:
        clock = SteppedClock()
        while discovery.list_count < 9:
            await asyncio.sleep(0)
            if not proxy.driver.endpoint_list.watch.is_running:
                clock.advance(3.0)
        lines = [line for line in caplog.messages if "endpoint" in line]
        change_lines = [line for line in lines if line.startswith("endpoint ")]
        summary_lines = [line for line in lines if line not in change_lines]
        assert len(change_lines) == 20 + 2
        assert summary_lines == ["80 more changes of endpoints"]  # 102 in all
        assert sum("draining" in line for line in change_lines) == 1


class RefusingDiscovery(StandInServer):
    """Discovery that refuses each watch with status 503.

    Attributes:
        refused_count: Number of watches refused so far.
        advanced_s: Time by which `refuse_watches` has advanced the event loop's clock.
    """

    def __init__(self) -> None:
        super().__init__(self._refuse)
        self.refused_count = 0
        self.advanced_s = 0.0

    async def _refuse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(http_response(503))
        self.refused_count += 1

    async def refuse_watches(self) -> None:
        """Run a proxy until 250 of its watches have been refused."""
        async with self, running_proxy(discovery_port=self.port) as proxy:
            clock = FrozenClock()
            while self.refused_count < 250:
                await asyncio.sleep(0)
                if not proxy.driver.endpoint_list.watch.is_running:
                    clock.advance(0.1)
            self.advanced_s = clock.advanced_s


def test_refused_watches_are_logged_a_few_times_with_a_count(caplog: pytest.LogCaptureFixture) -> None:
    """With pushed lists the proxy reopens the watch ten times per second."""
    caplog.set_level(logging.INFO, logger="load_balancer.net.discovery.endpoint_watch")
    discovery = RefusingDiscovery()
    run_in_event_loop(discovery.refuse_watches)
    lines = caplog.messages
    failure_lines = [line for line in lines if line.endswith("failed: discovery responded with status 503")]
    repeat_counts = [int(line.split()[4]) for line in lines if "more times" in line]
    window_count = 1 + int(discovery.advanced_s / FAILURE_LOG_WINDOW_S)
    assert len(failure_lines) + len(repeat_counts) == len(lines)
    assert len(failure_lines) == len(repeat_counts) + 1 <= window_count
    assert discovery.refused_count - 100 < len(failure_lines) + sum(repeat_counts) <= discovery.refused_count
