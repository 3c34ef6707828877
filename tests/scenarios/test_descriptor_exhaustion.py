"""Idle clients that take all descriptors while discovery is down, and a discovery that repeats itself."""

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

from load_balancer.net.discovery.endpoint_watch import BREAK_LOG_WINDOW_S, MAX_LOGGED_BREAKS
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
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import SteppedClock
from tests.support.time_limit import run_in_event_loop

DESCRIPTORS = 128
CROWD = 300
LINES = (
    20  # in the log of the whole test, but for those of the watch: some of the start, of the list and the end
)
PIECES = {"silent": b"", "half": b"GET /api HTTP/1.1\r\nHost: x\r\n", "asked": http_request(path="/ready")}


@pytest.mark.parametrize("kind", PIECES)
async def test_idle_clients_leave_descriptors_for_watch_attempts_and_other_clients(
    kind: str, tmp_path: Path
) -> None:
    asked, began = asyncio.Event(), time.monotonic()

    async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("b", b.port), rev=2))
        )
        asked.set()
        await reader.read()

    async with StandInEndpoint(http_response(200, b"a")) as a, StandInEndpoint(http_response(200, b"b")) as b:
        down = socket.socket()  # bound, so that the address is kept, and refusing until it listens
        down.bind(("127.0.0.1", 0))
        told = proxy_config(
            discovery=f"127.0.0.1:{down.getsockname()[1]}",
            known=endpoint_list(endpoint_entry("a", a.port)),
            limits={"sockets": DESCRIPTORS},
            settings=raw_settings(limits=LIMITS, registryMode="automatic"),
        )
        async with running_proxy_process(write_config(tmp_path, told), DESCRIPTORS) as made:
            said: list[str] = []
            port = await read_listening_port(made, said)
            assert made.stderr is not None
            reading = asyncio.create_task(made.stderr.read())
            crowd = []
            for n in range(3):  # they come again, as the first ones are closed
                for _ in range(CROWD // 3):
                    crowd.append(socket.create_connection(("127.0.0.1", port)))
                    crowd[-1].sendall(PIECES[kind])
                # Whoever comes behind them is served though they hold all that callers may have.
                assert (await send_request_to(port, http_request(request_id=f"r{n}"))).body == b"a"
                assert len(os.listdir(f"/proc/{made.pid}/fd")) <= DESCRIPTORS - 8
            back = StandInServer(watch)
            await back.start(down)
            await asked.wait()
            # The list is on its way.
            while (await send_request_to(port, http_request(request_id="r9"))).body != b"b":
                pass
            assert b.connection_count
            assert back.connection_count == 1
            made.send_signal(signal.SIGTERM)
            for one in crowd:
                one.close()
            assert await made.wait() == 0
            back.stop()
            lines = [*said, *(await reading).decode().splitlines()]
            kinds = Counter("watch" if "watch on discovery" in line else "other" for line in lines)
            assert kinds["other"] <= LINES, lines
            spells = 1 + int((time.monotonic() - began) / BREAK_LOG_WINDOW_S)
            assert kinds["watch"] <= spells * (MAX_LOGGED_BREAKS + 1), lines
            assert not any("Traceback" in line or "descriptor" in line for line in lines)


async def test_repeated_endpoint_list_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Only what it changes is, twenty lines in ten seconds; here the watch ends behind each whole list."""
    caplog.set_level(logging.INFO, logger="load_balancer.net.driver.endpoint_directory")
    many = [endpoint_entry(f"s{n}", 9) for n in range(100)]

    def lines() -> list[str]:
        return [r.getMessage() for r in caplog.records if "endpoint" in r.getMessage()]

    lists = 0

    async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal lists
        await reader.readuntil(b"\r\n\r\n")
        lists += 1
        drains = endpoint_entry("s0", 9, "terminating" if lists > 4 else "in_service")
        moves = endpoint_entry("s1", 10 if lists > 4 else 9)
        writer.write(
            WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(drains, moves, *many[2:], rev=lists))
        )

    async with StandInServer(watch) as d, running_proxy(discovery_port=d.port) as p:
        clock = SteppedClock()
        while lists < 9:
            await asyncio.sleep(0)
            if not p.driver.endpoint_list.watch.is_running:
                clock.advance(3.0)
        singly = [line for line in lines() if line.startswith("endpoint ")]
        counted = [line for line in lines() if line not in singly]
        assert len(singly) == 20 + 2
        assert counted == ["80 more changes of endpoints"]  # 102 in all
        assert sum("draining" in line for line in singly) == 1


def test_absent_discovery_is_logged_a_few_times_with_a_count(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """It is asked ten times a second where lists are pushed."""
    caplog.set_level(logging.INFO, logger="load_balancer.net.discovery.endpoint_watch")
    broke, ahead = 0, 0.0

    async def test() -> None:
        async def refuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal broke
            await reader.readuntil(b"\r\n\r\n")
            writer.write(http_response(503))
            broke += 1

        nonlocal ahead
        async with StandInServer(refuse) as d, running_proxy(discovery_port=d.port) as p:
            clock = SteppedClock()
            while broke < 250:
                await asyncio.sleep(0)
                if not p.driver.endpoint_list.watch.is_running:
                    clock.advance(0.1)
            ahead = clock.advanced_s

    run_in_event_loop(test)
    lines = [r.getMessage() for r in caplog.records]
    named = [line for line in lines if line.endswith("broke: status 503")]
    counted = [int(line.split()[4]) for line in lines if "more times" in line]
    spells = 1 + int(ahead / BREAK_LOG_WINDOW_S)
    assert len(named) + len(counted) == len(lines)
    assert len(named) == len(counted) + 1 <= spells
    assert broke - 100 < len(named) + sum(counted) <= broke
