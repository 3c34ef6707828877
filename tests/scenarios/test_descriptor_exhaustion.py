"""Idle clients that use up all descriptors while discovery is down, and discovery that repeats itself.

Requests, the watch and the log stay usable in both.
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

from load_balancer.net.discovery.endpoint_watch import FAILURE_LOG_WINDOW_S, MAX_LOGGED_FAILURES
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
MAX_OTHER_LINES = 20  # all of the log but the lines of the watch: some of the start, of the list and the end
SENT_BY_IDLE_CLIENTS = {
    "silent": b"",
    "half": b"GET /api HTTP/1.1\r\nHost: x\r\n",
    "answered": http_request(path="/ready"),
}


def bound_socket() -> socket.socket:
    """Return a socket whose port stays reserved, and refuses connections until it listens."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound


def config_before_endpoint(endpoint: StandInEndpoint, discovery_port: int) -> dict[str, object]:
    """Return the configuration of a proxy that knows one endpoint, `a`, from its start."""
    return proxy_config(
        discovery=f"127.0.0.1:{discovery_port}",
        known=endpoint_list(endpoint_entry("a", endpoint.port)),
        limits={"sockets": MAX_DESCRIPTORS},
        settings=raw_settings(limits=LIMITS, registryMode="automatic"),
    )


class IdleClients:
    """Clients that send some bytes on connections of their own, and then nothing."""

    def __init__(self, port: int, sent: bytes) -> None:
        self.port, self.sent = port, sent
        self.sockets: list[socket.socket] = []

    def connect(self, count: int) -> None:
        """Open so many more connections."""
        for _ in range(count):
            self.sockets.append(socket.create_connection(("127.0.0.1", self.port)))
            self.sockets[-1].sendall(self.sent)

    def close(self) -> None:
        """Close all connections."""
        for client_socket in self.sockets:
            client_socket.close()


async def check_requests_among_idle_clients(pid: int, clients: IdleClients) -> None:
    """Check that a client is served that connects when idle clients hold all connections for clients."""
    for number in range(3):  # they connect again, as the proxy closes the first connections
        clients.connect(CLIENT_COUNT // 3)
        response = await send_request_to(clients.port, http_request(request_id=f"r{number}"))
        assert response.body == b"a"
        assert len(os.listdir(f"/proc/{pid}/fd")) <= MAX_DESCRIPTORS - SPARE_DESCRIPTORS


async def check_watch_among_idle_clients(port: int, discovery: StandInListServer) -> None:
    """Check that the proxy opens one watch as discovery listens again, and sends requests by its list."""
    while not discovery.connection_count:
        await asyncio.sleep(0.01)
    # The list is on its way.
    while (await send_request_to(port, http_request(request_id="r9"))).body != b"b":
        pass
    assert discovery.connection_count == 1


def check_log_is_short(lines: list[str], duration_s: float) -> None:
    """Check that each kind of line stays within its limit, and that none is about descriptors."""
    counts = Counter("watch" if "watch on discovery" in line else "other" for line in lines)
    assert counts["other"] <= MAX_OTHER_LINES, lines
    windows = 1 + int(duration_s / FAILURE_LOG_WINDOW_S)
    assert counts["watch"] <= windows * (MAX_LOGGED_FAILURES + 1), lines
    assert not any("Traceback" in line or "descriptor" in line for line in lines)


@pytest.mark.parametrize("kind", SENT_BY_IDLE_CLIENTS)
async def test_idle_clients_leave_descriptors_for_watch_attempts_and_other_clients(
    kind: str, tmp_path: Path
) -> None:
    began_s, lines, discovery_socket = time.monotonic(), list[str](), bound_socket()
    async with (
        StandInEndpoint(http_response(200, b"a")) as first,
        StandInEndpoint(http_response(200, b"b")) as second,
    ):
        config = config_before_endpoint(first, discovery_socket.getsockname()[1])
        async with running_proxy_process(write_config(tmp_path, config), MAX_DESCRIPTORS) as process:
            port = await read_listening_port(process, lines)
            assert process.stderr is not None
            log_end = asyncio.create_task(process.stderr.read())
            clients = IdleClients(port, SENT_BY_IDLE_CLIENTS[kind])
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
    """Sends each watch a complete list of 100 endpoints and ends it; two of them differ from the fifth on."""

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
    """Only its changes are logged, twenty lines in ten seconds."""
    caplog.set_level(logging.INFO, logger="load_balancer.net.driver.endpoint_directory")
    async with RepeatingDiscovery() as discovery, running_proxy(discovery_port=discovery.port) as proxy:
        clock = SteppedClock()
        while discovery.list_count < 9:
            await asyncio.sleep(0)
            if not proxy.driver.endpoint_list.watch.is_running:
                clock.advance(3.0)
        lines = [line for line in caplog.messages if "endpoint" in line]
        changes = [line for line in lines if line.startswith("endpoint ")]
        summaries = [line for line in lines if line not in changes]
        assert len(changes) == 20 + 2
        assert summaries == ["80 more changes of endpoints"]  # 102 in all
        assert sum("draining" in line for line in changes) == 1


class AbsentDiscovery(StandInServer):
    """Refuses each watch with status 503.

    Attributes:
        refused_count: How many it has refused so far.
        advanced_s: How far `refuse_watches` has stepped the event loop's clock.
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


def test_absent_discovery_is_logged_a_few_times_with_a_count(caplog: pytest.LogCaptureFixture) -> None:
    """The proxy opens a watch ten times a second where lists are pushed."""
    caplog.set_level(logging.INFO, logger="load_balancer.net.discovery.endpoint_watch")
    discovery = AbsentDiscovery()
    run_in_event_loop(discovery.refuse_watches)
    lines = caplog.messages
    breaks = [line for line in lines if line.endswith("failed: discovery responded with status 503")]
    repeats = [int(line.split()[4]) for line in lines if "more times" in line]
    windows = 1 + int(discovery.advanced_s / FAILURE_LOG_WINDOW_S)
    assert len(breaks) + len(repeats) == len(lines)
    assert len(breaks) == len(repeats) + 1 <= windows
    assert discovery.refused_count - 100 < len(breaks) + sum(repeats) <= discovery.refused_count
