"""Graceful shutdown: each request that was read gets a response, and the process exits before SIGKILL."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from load_balancer.process.graceful_shutdown import FLUSH_TIMEOUT_S, min_accept_time_s
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.proxy_process import (
    LIMITS,
    proxy_config,
    raw_settings,
    read_listening_port,
    running_proxy_process,
    write_config,
)
from tests.support.stand_in_server import StandInServer

KILL_DELAY_S = 0.7  # SIGKILL comes this long after the longest deadline, by the specification
CLIENT_COUNT = 6
PAUSE_S = 0.15


@pytest.mark.parametrize("deadline_s", [0.3, 0.5, 1.0, 3.0])
def test_listening_ends_in_time_for_the_last_responses(deadline_s: float) -> None:
    """At least 0.25 s remain before SIGKILL for a stall and the exit of the process."""
    drain_timeout_s = deadline_s + 0.2
    assert 0.4 < min_accept_time_s(drain_timeout_s) <= drain_timeout_s
    assert min_accept_time_s(drain_timeout_s) + FLUSH_TIMEOUT_S <= deadline_s + KILL_DELAY_S - 0.25


@dataclass
class Traffic:
    """The clients and the endpoint of one process, and the results of all requests.

    Attributes:
        deadline_s: Deadline of each request.
        endpoint_hangs: Whether the endpoint responds to no request that it receives after the signal.
        shutdown_started: Set when SIGTERM is sent.
        sent_count: Number of requests sent.
        response_count: Number of responses received.
        ids_without_response: Ids of requests whose connection closed without a byte of a response.
        received_ids: Ids of requests that the endpoint has received.
    """

    deadline_s: float
    endpoint_hangs: bool
    shutdown_started: asyncio.Event = field(default_factory=asyncio.Event)
    sent_count: int = 0
    response_count: int = 0
    ids_without_response: list[str] = field(default_factory=list)
    received_ids: list[str] = field(default_factory=list)

    async def serve_endpoint(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of the endpoint."""
        while True:
            _, headers, _ = await read_http_message(reader)
            self.received_ids.append(headers["req-id"])
            if self.endpoint_hangs and self.shutdown_started.is_set():
                await reader.read()
                return
            writer.write(http_response(200, b"x"))

    async def run_client(self, port: int, number: int) -> None:
        """Send requests one after another until the connection is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for index in range(100_000):
            request_id = f"c{number}-{index}"
            self.sent_count += 1
            with contextlib.suppress(ConnectionError):
                writer.write(http_request(request_id=request_id, Req_Deadline=str(self.deadline_s)))
            headers = await read_response_headers(reader)
            if headers is None:
                self.ids_without_response.append(request_id)
                break
            self.response_count += 1
            if headers.get("connection") == "close":
                assert await reader.read() == b""  # no second response
                break
            await asyncio.sleep(0.005)
        writer.close()


async def read_response_headers(reader: asyncio.StreamReader) -> dict[str, str] | None:
    """Return the headers of the next response, or None if the connection ended without a byte of one."""
    try:
        _, headers, _ = await read_http_message(reader)
    except asyncio.IncompleteReadError as end:
        partial = end.partial
    except ConnectionError:
        return None
    else:
        return headers
    assert partial == b""
    return None


async def pause_process(process: asyncio.subprocess.Process, delay_s: float) -> None:
    """Pause the process for `PAUSE_S`, after a delay."""
    await asyncio.sleep(delay_s)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    process.send_signal(signal.SIGCONT)


def config_with_deadline(deadline_s: float, endpoint_port: int) -> dict[str, Any]:
    """Return a configuration with one request class, which has this deadline."""
    request_class = {"name": "read", "idempotency": "safe", "worth": 1}
    request_class |= {"onTimeUs": round(deadline_s * 1e6), "deadlineUs": round(deadline_s * 1e6)}
    known = endpoint_list(endpoint_entry("a", endpoint_port))
    return proxy_config(known=known, settings=raw_settings(lanes=[request_class], limits=LIMITS))


@pytest.mark.parametrize("endpoint_hangs", [False, True], ids=["endpoint responds", "endpoint hangs"])
@pytest.mark.parametrize("paused_at_s", [None, 0.0, 0.45])
@pytest.mark.parametrize("deadline_s", [0.3, 0.5, 1.0])
async def test_each_request_read_before_exit_gets_one_response(
    tmp_path: Path, deadline_s: float, endpoint_hangs: bool, paused_at_s: float | None
) -> None:
    """A connection may close without a response only if the proxy has not read the last request on it.

    This also holds if the process is paused when the signal arrives or when it stops listening.
    """
    traffic = Traffic(deadline_s, endpoint_hangs)
    async with StandInServer(traffic.serve_endpoint) as endpoint:
        env = write_config(tmp_path, config_with_deadline(deadline_s, endpoint.port))
        async with running_proxy_process(env) as process:
            port = await read_listening_port(process)
            clients = [
                asyncio.ensure_future(traffic.run_client(port, number)) for number in range(CLIENT_COUNT)
            ]
            await asyncio.sleep(0.1)
            traffic.shutdown_started.set()
            process.send_signal(signal.SIGTERM)
            began_s = asyncio.get_running_loop().time()
            if paused_at_s is not None:
                await pause_process(process, paused_at_s)
            assert await process.wait() == 0
            duration_s = asyncio.get_running_loop().time() - began_s
            await asyncio.gather(*clients)
            assert duration_s < deadline_s + KILL_DELAY_S
            assert traffic.sent_count == traffic.response_count + len(traffic.ids_without_response)
            assert not set(traffic.ids_without_response) & set(traffic.received_ids)
