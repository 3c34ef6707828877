"""Idle clients that fill the descriptors of a proxy of its own process while discovery is down."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections import Counter
from pathlib import Path

import pytest

from tests.net_helpers import (
    WATCH_HEAD,
    Peer,
    answer,
    backend,
    call,
    chunk_list,
    entry,
    listing,
    read_message,
    run,
)
from tests.test_benchlink import raw_settings
from tests.test_process import LIMITS, config, port_of, process, write

DESCRIPTORS = 128
CROWD = 300
LINES = (
    20  # in the log of the whole test, but for those of the watch: some of the start, of the list and the end
)
PIECES = {"silent": b"", "half": b"GET /api HTTP/1.1\r\nHost: x\r\n", "asked": call(path="/ready")}


@pytest.mark.parametrize("kind", PIECES)
def test_a_crowd_takes_nothing_from_the_watch_the_attempts_and_a_client_that_asks(
    kind: str, tmp_path: Path
) -> None:
    async def ask(port: int, id: str) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(call(id=id))
        try:
            return (await read_message(reader))[2]
        finally:
            writer.close()

    async def test() -> None:
        asked = asyncio.Event()

        async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WATCH_HEAD + chunk_list(listing(entry("b", b.port), rev=2)))
            asked.set()
            await reader.read()

        async with backend(answer(200, b"a")) as a, backend(answer(200, b"b")) as b:
            down = socket.socket()  # bound, so that the address is kept, and refusing until it listens
            down.bind(("127.0.0.1", 0))
            told = config(
                discovery=f"127.0.0.1:{down.getsockname()[1]}",
                known=listing(entry("a", a.port)),
                limits={"sockets": DESCRIPTORS},
                settings=raw_settings(limits=LIMITS, registryMode="automatic"),
            )
            async with process(write(tmp_path, told), DESCRIPTORS) as made:
                said: list[str] = []
                port = await port_of(made, said)
                assert made.stderr is not None
                reading = asyncio.create_task(made.stderr.read())
                crowd = []
                for round in range(3):  # they come again, as the first ones are closed
                    for _ in range(CROWD // 3):
                        crowd.append(socket.create_connection(("127.0.0.1", port)))
                        crowd[-1].sendall(PIECES[kind])
                    # Whoever comes behind them is served though they hold all that callers may have.
                    assert await ask(port, f"r{round}") == b"a"
                    assert len(os.listdir(f"/proc/{made.pid}/fd")) <= DESCRIPTORS - 8
                back = Peer(watch)
                back.server = await asyncio.start_server(back.accept, sock=down)
                await asked.wait()
                # The list is on its way.
                while await ask(port, "r9") != b"b":
                    pass
                assert b.connections and back.connections == 1
                made.send_signal(signal.SIGTERM)
                for one in crowd:
                    one.close()
                assert await made.wait() == 0
                back.stop()
                lines = [*said, *(await reading).decode().splitlines()]
                kinds = Counter("watch" if "watch on discovery" in line else "other" for line in lines)
                assert kinds["other"] <= LINES, lines
                assert not any("Traceback" in line or "descriptor" in line for line in lines)

    run(test)
