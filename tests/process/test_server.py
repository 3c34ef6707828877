"""The proxy as a process: configuration, readiness, descriptor limits and graceful shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.net.discovery.list_server import HeldListServer
from tests.process.process_helpers import SlowEndpoint, wait_for_log_line
from tests.support.endpoint_lists import (
    endpoint_entry,
    endpoint_list,
)
from tests.support.http_messages import (
    http_request,
    http_response,
    read_http_message,
    response_status,
    send_request_to,
)
from tests.support.proxy_process import (
    LIMITS,
    ROOT,
    proxy_config,
    raw_settings,
    read_listening_port,
    running_proxy_process,
    unused_port,
    write_config,
)
from tests.support.stand_in_server import StandInEndpoint, StandInServer


async def test_invalid_configuration_exits_with_one_line_and_code_2(tmp_path: Path) -> None:
    async with running_proxy_process(write_config(tmp_path, proxy_config(listen=5))) as process:
        out, err = await process.communicate()
        assert (out, process.returncode) == (b"", 2)
        assert b"listen" in err
        assert err.count(b"\n") == 1


async def test_every_request_gets_a_response_before_exit_on_sigterm(tmp_path: Path) -> None:
    """Open requests get responses, and old and new connections are served for a while before the exit."""
    async with SlowEndpoint() as endpoint:
        known = endpoint_list(endpoint_entry("a", endpoint.port))
        async with running_proxy_process(write_config(tmp_path, proxy_config(known=known))) as process:
            port = await read_listening_port(process)
            kept_reader, kept_writer = await asyncio.open_connection("127.0.0.1", port)
            slow_reader, slow_writer = await asyncio.open_connection("127.0.0.1", port)
            slow_writer.write(http_request(request_id="slow"))
            await endpoint.slow_received.wait()
            process.send_signal(signal.SIGTERM)
            kept_writer.write(http_request(request_id="kept"))
            assert (await read_http_message(kept_reader)).body == b"kept"
            new_reader, new_writer = await asyncio.open_connection("127.0.0.1", port)
            new_writer.write(http_request(request_id="new"))
            assert (await read_http_message(new_reader)).body == b"new"
            new_writer.write(http_request(path="/ready"))
            assert response_status(await read_http_message(new_reader)) == 503
            endpoint.may_respond.set()
            assert (await read_http_message(slow_reader)).body == b"slow"
            await asyncio.sleep(1.0)  # longer than the 0.6 s for which new connections are accepted at least
            kept_writer.write(http_request(request_id="late"))
            assert (await read_http_message(kept_reader)).body == b"late"
            for open_reader in (kept_reader, slow_reader, new_reader):
                assert await open_reader.read() == b""  # each is closed before the exit
            assert await process.wait() == 0


async def test_signals_during_shutdown_only_change_the_discovery_address(tmp_path: Path) -> None:
    """A second SIGTERM and a reload arrive while a request is still open."""
    async with SlowEndpoint() as endpoint, HeldListServer(is_held=True) as discovery:
        content = proxy_config(known=endpoint_list(endpoint_entry("a", endpoint.port)))
        async with running_proxy_process(write_config(tmp_path, content)) as process:
            reader, writer = await asyncio.open_connection("127.0.0.1", await read_listening_port(process))
            writer.write(http_request(request_id="slow"))
            await endpoint.slow_received.wait()
            process.send_signal(signal.SIGTERM)
            write_config(tmp_path, {**content, "discovery": f"127.0.0.1:{discovery.port}"})
            process.send_signal(signal.SIGHUP)
            await discovery.requested.wait()
            process.send_signal(signal.SIGTERM)
            endpoint.may_respond.set()
            assert (await read_http_message(reader)).body == b"slow"
            assert await process.wait() == 0


SIGNALS_AFTER_LOOP_PROGRAM = """
import os, signal, sys
import load_balancer.process.command as program

run = program.asyncio.run

def run_and_signal(serving):
    run(serving)
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        os.kill(os.getpid(), number)

program.asyncio.run = run_and_signal
sys.exit(program.main())
"""


async def test_signal_after_the_event_loop_has_closed_does_not_kill_the_process(tmp_path: Path) -> None:
    """The event loop removes its signal handlers when it closes.

    A signal that is not blocked would then end the process.
    """

    env = {**os.environ, **write_config(tmp_path, proxy_config())}
    pipe = asyncio.subprocess.PIPE
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", SIGNALS_AFTER_LOOP_PROGRAM, cwd=ROOT, env=env, stderr=pipe
    )
    await read_listening_port(process)
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


async def test_request_open_at_the_shutdown_deadline_gets_502(tmp_path: Path) -> None:
    request_received = asyncio.Event()

    async def never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        request_received.set()
        await reader.read()

    async with StandInServer(never_respond) as endpoint:
        request_class = {
            "name": "pay",
            "idempotency": "unsafe",
            "onTimeUs": 2_000_000,
            "deadlineUs": 9_000_000,
        }
        settings = raw_settings(lanes=[{**request_class, "lateValue": 0.5}], limits=LIMITS)
        env = write_config(
            tmp_path, proxy_config(known=endpoint_list(endpoint_entry("a", endpoint.port)), settings=settings)
        )
        async with running_proxy_process(env) as process:
            reader, writer = await asyncio.open_connection("127.0.0.1", await read_listening_port(process))
            writer.write(http_request("pay", Req_Deadline="9.0"))
            await request_received.wait()
            loop = asyncio.get_running_loop()
            process.send_signal(signal.SIGTERM)
            began_s = loop.time()
            first, _, _ = await read_http_message(reader)
            assert first.split()[1] == "502"  # not 503: the request may have run
            assert await process.wait() == 0
            assert loop.time() - began_s < 3.7


@pytest.mark.parametrize(("configured_limit", "system_limit"), [(64, 1024), (1024, 64)])
async def test_process_survives_clients_that_exhaust_its_descriptors(
    tmp_path: Path, configured_limit: int, system_limit: int
) -> None:
    """It uses the lower of the two limits, and serves requests while idle clients stay connected."""

    async with StandInEndpoint(http_response(200, b"x")) as endpoint:
        known = endpoint_list(endpoint_entry("a", endpoint.port))
        env = write_config(tmp_path, proxy_config(known=known, limits={"sockets": configured_limit}))
        async with running_proxy_process(env, system_limit) as process:
            log_lines: list[str] = []
            port = await read_listening_port(process, log_lines)
            idle_clients = [await asyncio.open_connection("127.0.0.1", port) for _ in range(100)]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(http_request())
            assert (await read_http_message(reader))[2] == b"x"
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 64
            process.send_signal(signal.SIGTERM)
            for _, client_writer in idle_clients:
                client_writer.close()
            _, remaining_log = await process.communicate()
            lines = [*log_lines, *remaining_log.decode().splitlines()]
            assert not any("descriptor for" in line or "Traceback" in line for line in lines)
            assert any("file descriptor limit is 64, " in line for line in lines) == (
                system_limit < configured_limit
            )


def config_with_pushed_lists(port: int, discovery_port: int, known: dict[str, object]) -> dict[str, Any]:
    return proxy_config(
        listen=f"127.0.0.1:{port}",
        discovery=f"127.0.0.1:{discovery_port}",
        known=known,
        settings=raw_settings(limits=LIMITS, registryMode="automatic"),
    )


@pytest.mark.parametrize("event", ["list", "silence", "SIGTERM"])
async def test_pushed_list_is_awaited_before_listening(tmp_path: Path, event: str) -> None:
    """With pushed lists, the process counts as notified of discovery's list from its start.

    The cached list may be outdated and is used only if discovery stays silent. SIGTERM during the wait ends
    the process.
    """
    async with (
        StandInEndpoint(http_response(200, b"a")) as old_endpoint,
        StandInEndpoint(http_response(200, b"b")) as new_endpoint,
        HeldListServer(is_held=True) as discovery,
    ):
        draining_entry = endpoint_entry("a", old_endpoint.port, "terminating")
        discovery.current_list = endpoint_list(draining_entry, endpoint_entry("b", new_endpoint.port), rev=2)
        port, known = unused_port(), endpoint_list(endpoint_entry("a", old_endpoint.port), rev=1)
        env = write_config(tmp_path, config_with_pushed_lists(port, discovery.port, known))
        async with running_proxy_process(env) as process:
            await discovery.requested.wait()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)
            if event == "SIGTERM":
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
                return
            if event == "list":
                discovery.may_respond.set()
            assert await read_listening_port(process) == port
            response = await send_request_to(port, http_request())
            assert response.body == (b"b" if event == "list" else b"a")
            discovery.may_respond.set()


@pytest.mark.parametrize("has_cached_list", [True, False])
async def test_polled_list_is_awaited_only_without_a_cached_list(
    tmp_path: Path, has_cached_list: bool
) -> None:
    """The process counts as notified of a polled list only once it has received it.

    With a cached list it does not wait for the polled one, because discovery may queue the poll.
    """
    async with (
        StandInEndpoint(http_response(200, b"a")) as endpoint,
        HeldListServer(is_held=True) as discovery,
    ):
        discovery.current_list = endpoint_list(endpoint_entry("a", endpoint.port), rev=2)
        content = proxy_config(discovery=f"127.0.0.1:{discovery.port}")
        if has_cached_list:
            content["known"] = endpoint_list(endpoint_entry("a", endpoint.port), rev=1)
        async with running_proxy_process(write_config(tmp_path, content)) as process:
            await discovery.requested.wait()
            if not has_cached_list:
                discovery.may_respond.set()
            lines: list[str] = []
            port = await read_listening_port(process, lines)
            assert not any("watch on discovery failed" in line for line in lines)
            assert (await send_request_to(port, http_request())).body == b"a"


async def reload_invalid_file(process: asyncio.subprocess.Process, folder: Path) -> None:
    """Reload a configuration file that is not JSON, and wait until it is rejected."""
    (folder / "config.json").write_text("{")
    process.send_signal(signal.SIGHUP)
    await wait_for_log_line(process, "the old one stays")


async def reload_moved_discovery(
    process: asyncio.subprocess.Process, folder: Path, content: dict[str, Any], discovery_port: int
) -> None:
    """Reload with another discovery, and with a new name, which needs a restart; wait for its log line."""
    write_config(folder, {**content, "discovery": f"127.0.0.1:{discovery_port}", "name": "other"})
    process.send_signal(signal.SIGHUP)
    await wait_for_log_line(process, "name needs a restart")


async def test_sighup_moves_the_watch_and_keeps_open_requests(tmp_path: Path) -> None:
    """An invalid file changes nothing; a new discovery is used although its list versions are lower."""
    old_discovery, new_discovery = HeldListServer(), HeldListServer()
    async with (
        SlowEndpoint() as slow,
        StandInEndpoint(http_response(200, b"from b")) as other,
        old_discovery,
        new_discovery,
    ):
        slow_entry, other_entry = endpoint_entry("a", slow.port), endpoint_entry("b", other.port)
        old_discovery.current_list = endpoint_list(slow_entry, rev=100)
        new_discovery.current_list = endpoint_list(slow_entry, rev=3)
        address, known = f"127.0.0.1:{old_discovery.port}", endpoint_list(slow_entry, rev=90)
        content = proxy_config(discovery=address, known=known)
        env = {**write_config(tmp_path, content), "NODE_DISCOVERY": address}
        async with running_proxy_process(env) as process:
            port = await read_listening_port(process)
            slow_response = asyncio.ensure_future(send_request_to(port, http_request(request_id="slow")))
            await slow.slow_received.wait()
            await reload_invalid_file(process, tmp_path)
            await reload_moved_discovery(process, tmp_path, content, new_discovery.port)
            await new_discovery.list_sent.wait()
            # The versions of the new discovery are independent of the old one's.
            assert new_discovery.request_lines == ["GET /v1/endpoints?follow=1 HTTP/1.1"]
            removed_entry = endpoint_entry("a", slow.port, "terminated")
            new_discovery.send_changes(endpoint_list(removed_entry, other_entry, rev=4, is_complete=False))
            await wait_for_log_line(process, "uid b,")
            assert (await send_request_to(port, http_request(request_id="r2"))).body == b"from b"
            slow.may_respond.set()
            assert (await slow_response).body == b"slow"
            assert slow.connection_count == 1
