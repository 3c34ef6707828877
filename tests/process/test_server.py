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


async def test_sigterm_answers_every_request_before_exit(tmp_path: Path) -> None:
    """Open requests are answered, and connections, old and new, served for a while before the exit."""
    async with SlowEndpoint() as endpoint:
        known = endpoint_list(endpoint_entry("a", endpoint.port))
        async with running_proxy_process(write_config(tmp_path, proxy_config(known=known))) as process:
            port = await read_listening_port(process)
            kept_reader, kept = await asyncio.open_connection("127.0.0.1", port)
            slow_reader, slow_writer = await asyncio.open_connection("127.0.0.1", port)
            slow_writer.write(http_request(request_id="slow"))
            await endpoint.slow_received.wait()
            process.send_signal(signal.SIGTERM)
            kept.write(http_request(request_id="kept"))
            assert (await read_http_message(kept_reader)).body == b"kept"
            new_reader, new = await asyncio.open_connection("127.0.0.1", port)
            new.write(http_request(request_id="new"))
            assert (await read_http_message(new_reader)).body == b"new"
            new.write(http_request(path="/ready"))
            assert response_status(await read_http_message(new_reader)) == 503
            endpoint.may_respond.set()
            assert (await read_http_message(slow_reader)).body == b"slow"
            await asyncio.sleep(1.0)  # longer than new connections go on coming
            kept.write(http_request(request_id="late"))
            assert (await read_http_message(kept_reader)).body == b"late"
            for left in (kept_reader, slow_reader, new_reader):
                assert await left.read() == b""  # each closes in time for the end
            assert await process.wait() == 0


async def test_signals_during_shutdown_only_move_discovery(tmp_path: Path) -> None:
    """A second SIGTERM, and a new configuration while an open request is still answered."""
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


AT_ITS_END = """
import os, signal, sys
import load_balancer.__main__ as program

run = program.asyncio.run

def crossed(serving):
    run(serving)
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        os.kill(os.getpid(), number)

program.asyncio.run = crossed
sys.exit(program.main())
"""


async def test_signal_after_the_event_loop_has_closed_does_not_kill_the_process(tmp_path: Path) -> None:
    """The event loop is closed by then, and with it the handlers are gone."""

    env = {**os.environ, **write_config(tmp_path, proxy_config())}
    pipe = asyncio.subprocess.PIPE
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", AT_ITS_END, cwd=ROOT, env=env, stderr=pipe
    )
    await read_listening_port(process)
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


async def test_request_still_unanswered_at_the_shutdown_deadline_is_answered_502(tmp_path: Path) -> None:
    begun = asyncio.Event()

    async def never(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        begun.set()
        await reader.read()

    async with StandInServer(never) as endpoint:
        lane = {"name": "pay", "idempotency": "unsafe", "onTimeUs": 2_000_000, "deadlineUs": 9_000_000}
        told = raw_settings(lanes=[{**lane, "lateValue": 0.5}], limits=LIMITS)
        env = write_config(
            tmp_path, proxy_config(known=endpoint_list(endpoint_entry("a", endpoint.port)), settings=told)
        )
        async with running_proxy_process(env) as process:
            reader, writer = await asyncio.open_connection("127.0.0.1", await read_listening_port(process))
            writer.write(http_request("pay", Req_Deadline="9.0"))
            await begun.wait()
            loop = asyncio.get_running_loop()
            process.send_signal(signal.SIGTERM)
            began = loop.time()
            first, _, _ = await read_http_message(reader)
            assert first.split()[1] == "502"  # it may have run: no refusal
            assert await process.wait() == 0
            assert loop.time() - began < 3.7


@pytest.mark.parametrize(("told", "given"), [(64, 1024), (1024, 64)])
async def test_process_survives_clients_that_exhaust_its_descriptors(
    tmp_path: Path, told: int, given: int
) -> None:
    """It uses the lower of the two limits, and serves beside idle clients that stay."""

    async with StandInEndpoint(http_response(200, b"x")) as endpoint:
        known = endpoint_list(endpoint_entry("a", endpoint.port))
        env = write_config(tmp_path, proxy_config(known=known, limits={"sockets": told}))
        async with running_proxy_process(env, given) as process:
            said: list[str] = []
            port = await read_listening_port(process, said)
            crowd = [await asyncio.open_connection("127.0.0.1", port) for _ in range(100)]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(http_request())
            assert (await read_http_message(reader))[2] == b"x"
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 64
            process.send_signal(signal.SIGTERM)
            for _, one in crowd:
                one.close()
            _, rest = await process.communicate()
            lines = [*said, *rest.decode().splitlines()]
            assert not any("descriptor for" in line or "Traceback" in line for line in lines)
            assert any("the system gives 64 " in line for line in lines) == (given < told)


def pushed_config(port: int, discovery_port: int, known: dict[str, object]) -> dict[str, Any]:
    return proxy_config(
        listen=f"127.0.0.1:{port}",
        discovery=f"127.0.0.1:{discovery_port}",
        known=known,
        settings=raw_settings(limits=LIMITS, registryMode="automatic"),
    )


@pytest.mark.parametrize("then", ["list", "silence", "SIGTERM"])
async def test_pushed_list_is_awaited_before_listening(tmp_path: Path, then: str) -> None:
    """What its agent has counts as told from the first moment on, and what was known before may be old.

    Where discovery is silent, what is known has to do, and an end that comes meanwhile is one.
    """
    async with (
        StandInEndpoint(http_response(200, b"a")) as old,
        StandInEndpoint(http_response(200, b"b")) as new,
        HeldListServer(is_held=True) as discovery,
    ):
        drain = endpoint_entry("a", old.port, "terminating")
        discovery.present_list = endpoint_list(drain, endpoint_entry("b", new.port), rev=2)
        port, known = unused_port(), endpoint_list(endpoint_entry("a", old.port), rev=1)
        env = write_config(tmp_path, pushed_config(port, discovery.port, known))
        async with running_proxy_process(env) as process:
            await discovery.requested.wait()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)
            if then == "SIGTERM":
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
                return
            if then == "list":
                discovery.may_respond.set()
            assert await read_listening_port(process) == port
            response = await send_request_to(port, http_request())
            assert response.body == (b"b" if then == "list" else b"a")
            discovery.may_respond.set()


@pytest.mark.parametrize("known", [True, False])
async def test_polled_list_is_awaited_only_without_a_cached_list(tmp_path: Path, known: bool) -> None:
    """A polled list counts as notified only once it is received, and a poll may wait in a queue."""
    async with (
        StandInEndpoint(http_response(200, b"a")) as endpoint,
        HeldListServer(is_held=True) as discovery,
    ):
        discovery.present_list = endpoint_list(endpoint_entry("a", endpoint.port), rev=2)
        content = proxy_config(discovery=f"127.0.0.1:{discovery.port}")
        if known:
            content["known"] = endpoint_list(endpoint_entry("a", endpoint.port), rev=1)
        async with running_proxy_process(write_config(tmp_path, content)) as process:
            await discovery.requested.wait()
            if not known:
                discovery.may_respond.set()
            lines: list[str] = []
            port = await read_listening_port(process, lines)
            assert not any("watch on discovery failed" in line for line in lines)
            assert (await send_request_to(port, http_request())).body == b"a"


async def reload_invalid_file(process: asyncio.subprocess.Process, folder: Path) -> None:
    """Have the process reject a configuration file that is not JSON."""
    (folder / "config.json").write_text("{")
    process.send_signal(signal.SIGHUP)
    await wait_for_log_line(process, "the old one stays")


async def reload_moved_discovery(
    process: asyncio.subprocess.Process, folder: Path, content: dict[str, Any], discovery_port: int
) -> None:
    """Have the process take up another discovery, and a name that it can't take up while it runs."""
    write_config(folder, {**content, "discovery": f"127.0.0.1:{discovery_port}", "name": "other"})
    process.send_signal(signal.SIGHUP)
    await wait_for_log_line(process, "name needs a restart")


async def test_sighup_moves_the_watch_and_keeps_open_requests(tmp_path: Path) -> None:
    """A bad file changes nothing; a good one's discovery is followed though its versions are lower."""
    old_discovery, new_discovery = HeldListServer(), HeldListServer()
    async with (
        SlowEndpoint() as slow,
        StandInEndpoint(http_response(200, b"from b")) as other,
        old_discovery,
        new_discovery,
    ):
        slow_entry, other_entry = endpoint_entry("a", slow.port), endpoint_entry("b", other.port)
        old_discovery.present_list = endpoint_list(slow_entry, rev=100)
        new_discovery.present_list = endpoint_list(slow_entry, rev=3)
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
            # The versions there need not go on from those of the old discovery.
            assert new_discovery.request_lines == ["GET /v1/endpoints?follow=1 HTTP/1.1"]
            gone = endpoint_entry("a", slow.port, "terminated")
            new_discovery.send_changes(endpoint_list(gone, other_entry, rev=4, is_complete=False))
            await wait_for_log_line(process, "is b,")
            assert (await send_request_to(port, http_request(request_id="r2"))).body == b"from b"
            slow.may_respond.set()
            assert (await slow_response).body == b"slow"
            assert slow.connection_count == 1
