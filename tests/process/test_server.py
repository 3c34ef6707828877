"""The proxy as a process: configuration, readiness, descriptor limits and graceful shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import http_request, http_response, read_http_message
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
from tests.support.stand_in_server import StandInEndpoint, StandInServer, StreamHandler


async def test_invalid_configuration_exits_with_one_line_and_code_2(tmp_path: Path) -> None:
    async with running_proxy_process(write_config(tmp_path, proxy_config(listen=5))) as made:
        out, err = await made.communicate()
        assert (out, made.returncode) == (b"", 2)
        assert b"listen" in err
        assert err.count(b"\n") == 1


def answers_by_name(begun: asyncio.Event, go_on: asyncio.Event) -> StreamHandler:
    """A backend that answers with each request's id, to the one named "slow" only when it may go on."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, headers, _ = await read_http_message(reader)
            if headers["req-id"] == "slow":
                begun.set()
                await go_on.wait()
            writer.write(http_response(200, headers["req-id"].encode()))

    return serve


async def test_sigterm_answers_every_request_before_exit(tmp_path: Path) -> None:
    """What is out is answered, new connections and open ones are served for a while, then it ends."""

    begun, go_on = asyncio.Event(), asyncio.Event()

    async with StandInServer(answers_by_name(begun, go_on)) as endpoint:
        known = endpoint_list(endpoint_entry("a", endpoint.port))
        async with running_proxy_process(write_config(tmp_path, proxy_config(known=known))) as made:
            port = await read_listening_port(made)
            kept_reader, kept = await asyncio.open_connection("127.0.0.1", port)
            slow_reader, slow_writer = await asyncio.open_connection("127.0.0.1", port)
            slow_writer.write(http_request(request_id="slow"))
            await begun.wait()
            made.send_signal(signal.SIGTERM)
            kept.write(http_request(request_id="kept"))
            assert (await read_http_message(kept_reader))[2] == b"kept"
            new_reader, new = await asyncio.open_connection("127.0.0.1", port)
            new.write(http_request(request_id="new"))
            assert (await read_http_message(new_reader))[2] == b"new"
            new.write(http_request(path="/ready"))
            assert (await read_http_message(new_reader))[0].split()[1] == "503"
            go_on.set()
            assert (await read_http_message(slow_reader))[2] == b"slow"
            await asyncio.sleep(1.0)  # longer than new connections go on coming
            kept.write(http_request(request_id="late"))
            assert (await read_http_message(kept_reader))[2] == b"late"
            for left in (kept_reader, slow_reader, new_reader):
                assert await left.read() == b""  # each closes in time for the end
            assert await made.wait() == 0


async def test_signals_during_shutdown_only_move_discovery(tmp_path: Path) -> None:
    """A second SIGTERM, and a new configuration while what is out is still answered."""

    begun, go_on, moved = asyncio.Event(), asyncio.Event(), asyncio.Event()

    async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_http_message(reader)
        begun.set()
        await go_on.wait()
        writer.write(http_response(200, b"slow"))

    async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        moved.set()
        await reader.read()

    async with StandInServer(slow) as endpoint, StandInServer(watch) as discovery:
        told = proxy_config(known=endpoint_list(endpoint_entry("a", endpoint.port)))
        async with running_proxy_process(write_config(tmp_path, told)) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", await read_listening_port(made))
            writer.write(http_request())
            await begun.wait()
            made.send_signal(signal.SIGTERM)
            write_config(tmp_path, {**told, "discovery": f"127.0.0.1:{discovery.port}"})
            made.send_signal(signal.SIGHUP)
            await moved.wait()
            made.send_signal(signal.SIGTERM)
            go_on.set()
            assert (await read_http_message(reader))[2] == b"slow"
            assert await made.wait() == 0


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
    made = await asyncio.create_subprocess_exec(
        sys.executable, "-c", AT_ITS_END, cwd=ROOT, env=env, stderr=pipe
    )
    await read_listening_port(made)
    made.send_signal(signal.SIGTERM)
    assert await made.wait() == 0


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
        async with running_proxy_process(env) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", await read_listening_port(made))
            writer.write(http_request("pay", Req_Deadline="9.0"))
            await begun.wait()
            loop = asyncio.get_running_loop()
            made.send_signal(signal.SIGTERM)
            began = loop.time()
            first, _, _ = await read_http_message(reader)
            assert first.split()[1] == "502"  # it may have run: no refusal
            assert await made.wait() == 0
            assert loop.time() - began < 3.7


@pytest.mark.parametrize(("told", "given"), [(64, 1024), (1024, 64)])
async def test_process_survives_clients_that_exhaust_its_descriptors(
    tmp_path: Path, told: int, given: int
) -> None:
    """It keeps to the lower limit of the two by itself, and serves beside a crowd that stays."""

    async with StandInEndpoint(http_response(200, b"x")) as endpoint:
        known = endpoint_list(endpoint_entry("a", endpoint.port))
        env = write_config(tmp_path, proxy_config(known=known, limits={"sockets": told}))
        async with running_proxy_process(env, given) as made:
            said: list[str] = []
            port = await read_listening_port(made, said)
            crowd = [await asyncio.open_connection("127.0.0.1", port) for _ in range(100)]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(http_request())
            assert (await read_http_message(reader))[2] == b"x"
            assert len(os.listdir(f"/proc/{made.pid}/fd")) <= 64
            made.send_signal(signal.SIGTERM)
            for _, one in crowd:
                one.close()
            _, rest = await made.communicate()
            lines = [*said, *rest.decode().splitlines()]
            assert not any("descriptor for" in line or "Traceback" in line for line in lines)
            assert any("the system gives 64 " in line for line in lines) == (given < told)


@pytest.mark.parametrize("then", ["list", "silence", "SIGTERM"])
async def test_pushed_list_is_awaited_before_listening(tmp_path: Path, then: str) -> None:
    """What its agent has counts as told from the first moment on, and what was known before may be old.

    Where discovery is silent, what is known has to do, and an end that comes meanwhile is one.
    """

    asked, go_on = asyncio.Event(), asyncio.Event()

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        asked.set()
        await go_on.wait()
        now = endpoint_list(
            endpoint_entry("a", first_endpoint.port, "terminating"),
            endpoint_entry("b", second_endpoint.port),
            rev=2,
        )
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(now))
        await reader.read()

    async with (
        StandInEndpoint(http_response(200, b"a")) as first_endpoint,
        StandInEndpoint(http_response(200, b"b")) as second_endpoint,
        StandInServer(hold) as discovery,
    ):
        port = unused_port()
        told = proxy_config(
            listen=f"127.0.0.1:{port}",
            discovery=f"127.0.0.1:{discovery.port}",
            known=endpoint_list(endpoint_entry("a", first_endpoint.port), rev=1),
            settings=raw_settings(limits=LIMITS, registryMode="automatic"),
        )
        async with running_proxy_process(write_config(tmp_path, told)) as made:
            await asked.wait()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)
            if then == "SIGTERM":
                made.send_signal(signal.SIGTERM)
                assert await made.wait() == 0
                return
            if then == "list":
                go_on.set()
            assert await read_listening_port(made) == port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(http_request())
            assert (await read_http_message(reader))[2] == (b"b" if then == "list" else b"a")
            go_on.set()


@pytest.mark.parametrize("known", [True, False])
async def test_polled_list_is_awaited_only_without_a_cached_list(tmp_path: Path, known: bool) -> None:
    """Nothing counts as told there before it has come, and the call may wait for its turn."""

    asked, go_on = asyncio.Event(), asyncio.Event()

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        asked.set()
        await go_on.wait()
        writer.write(
            WATCH_RESPONSE_HEAD
            + endpoint_list_chunk(endpoint_list(endpoint_entry("a", endpoint.port), rev=2))
        )
        await reader.read()

    async with StandInEndpoint(http_response(200, b"a")) as endpoint, StandInServer(hold) as discovery:
        told = proxy_config(discovery=f"127.0.0.1:{discovery.port}")
        if known:
            told["known"] = endpoint_list(endpoint_entry("a", endpoint.port), rev=1)
        async with running_proxy_process(write_config(tmp_path, told)) as made:
            await asked.wait()
            if not known:
                go_on.set()
            said: list[str] = []
            reader, writer = await asyncio.open_connection("127.0.0.1", await read_listening_port(made, said))
            assert not any("watch on discovery broke" in line for line in said)
            writer.write(http_request())
            assert (await read_http_message(reader))[2] == b"a"


async def test_sighup_moves_the_watch_and_keeps_open_requests(tmp_path: Path) -> None:
    """A bad file changes nothing; a good one's discovery is followed though its versions are lower."""

    begun, go_on = asyncio.Event(), asyncio.Event()
    asked: list[str] = []
    second: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def old(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            WATCH_RESPONSE_HEAD
            + endpoint_list_chunk(endpoint_list(endpoint_entry("a", first_endpoint.port), rev=100))
        )
        await reader.read()

    async def new(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1])
        writer.write(
            WATCH_RESPONSE_HEAD
            + endpoint_list_chunk(endpoint_list(endpoint_entry("a", first_endpoint.port), rev=3))
        )
        second.put_nowait(writer)
        await reader.read()

    slow = answers_by_name(begun, go_on)
    async with (
        StandInServer(slow) as first_endpoint,
        StandInEndpoint(http_response(200, b"from b")) as second_endpoint,
        StandInServer(old) as discovery,
        StandInServer(new) as new_discovery,
    ):
        file = proxy_config(
            discovery=f"127.0.0.1:{discovery.port}",
            known=endpoint_list(endpoint_entry("a", first_endpoint.port), rev=90),
        )
        env = {**write_config(tmp_path, file), "NODE_DISCOVERY": f"127.0.0.1:{discovery.port}"}
        async with running_proxy_process(env) as made:
            assert made.stderr is not None
            port = await read_listening_port(made)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(http_request(request_id="slow"))
            await begun.wait()
            (tmp_path / "config.json").write_text("{")
            made.send_signal(signal.SIGHUP)
            while b"the old one stays" not in (line := await made.stderr.readline()):
                assert line, "it ended"
            write_config(tmp_path, {**file, "discovery": f"127.0.0.1:{new_discovery.port}", "name": "other"})
            made.send_signal(signal.SIGHUP)
            while b"name needs a restart" not in (line := await made.stderr.readline()):
                assert line, "it ended"
            watch = await second.get()
            assert asked == ["/v1/endpoints?follow=1"]  # the versions there need not go on from here
            change = endpoint_list(
                endpoint_entry("a", first_endpoint.port, "terminated"),
                endpoint_entry("b", second_endpoint.port),
                rev=4,
                full=False,
            )
            watch.write(endpoint_list_chunk(change))
            while b"is b," not in (line := await made.stderr.readline()):
                assert line, "it ended"
            other_reader, other = await asyncio.open_connection("127.0.0.1", port)
            other.write(http_request(request_id="r2"))
            assert (await read_http_message(other_reader))[2] == b"from b"
            go_on.set()
            assert (await read_http_message(reader))[2] == b"slow"
            assert first_endpoint.connection_count == 1
