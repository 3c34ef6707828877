"""Which connection is evicted at the connection limit, and which is not."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.net.client.client_connection import ClientConnection
from tests.support.client_helpers import Client, status
from tests.support.loopback import answer, backend, call, entry, peer, proxy, read_message, until


async def test_unused_connections_are_evicted_before_idle_ones() -> None:
    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port), most=8) as p:
        usual = [await p.connect() for _ in range(4)]
        for n, (reader, writer) in enumerate(usual):
            writer.write(call(request_id=f"u{n}"))
            assert status(await read_message(reader)) == 200
        crowd = [await p.connect() for _ in range(50)]
        while len(p.clients.unused_connections) > 4 or len(p.clients.open_connections) > 8:
            await asyncio.sleep(0)
        for n, (reader, writer) in enumerate(usual):
            writer.write(call(request_id=f"v{n}"))
            assert status(await read_message(reader)) == 200
        for _, writer in (*crowd, *usual):
            writer.close()


async def test_new_connection_is_not_evicted_by_the_next_one() -> None:
    """Connections that asked once and stay fill the room: they go first, not who is about to ask."""

    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port), most=8) as p:
        stayed = [await p.connect() for _ in range(8)]
        for n, (reader, writer) in enumerate(stayed):
            writer.write(call(request_id=f"s{n}"))
            assert status(await read_message(reader)) == 200
        new = [await p.connect() for _ in range(3)]
        while len(p.clients.unused_connections) < 3:
            await asyncio.sleep(0)
        for n, (reader, writer) in enumerate(new):
            writer.write(call(request_id=f"n{n}"))
            assert status(await read_message(reader)) == 200
        for _, writer in (*stayed, *new):
            writer.close()


async def test_longest_idle_connection_is_evicted_and_a_surplus_one_answered_503() -> None:
    blocked = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        await blocked.wait()
        writer.write(answer(200, b"late"))

    async with peer(handle) as b, proxy(entry("s-1", b.port), most=2) as p:
        idle_reader, _ = await p.connect()
        reader_a, writer_a = await p.connect()
        writer_a.write(call(request_id="a"))
        reader_b, writer_b = await p.connect()  # closes the idle one
        assert await idle_reader.read() == b""
        writer_b.write(call(request_id="b"))
        while b.connections < 2:
            await asyncio.sleep(0)
        assert status(await p.ask(call(request_id="c"))) == 503  # both are busy
        blocked.set()
        assert status(await read_message(reader_a)) == 200
        assert status(await read_message(reader_b)) == 200


@pytest.mark.parametrize("fresh", [True, False])
async def test_connection_is_not_evicted_while_its_request_arrives(
    fresh: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where all others are busy, or about to be, the newcomer is one too many."""

    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port), most=1) as p:
        client = Client(p)
        await until(lambda: len(p.clients.open_connections) == 1)
        [connection] = p.clients.open_connections
        if not fresh:
            client.send(call(request_id="r1"))
            await until(lambda: connection in p.clients.idle_connections)
        add = p.clients.add

        def crossed(newcomer: ClientConnection) -> bool:
            client.send(call(request_id="r2"))
            return add(newcomer)

        monkeypatch.setattr(p.clients, "add", crossed)
        assert status(await p.ask(call(request_id="r3"))) == 503
        assert await client.read(1 if fresh else 2) == ([200] if fresh else [200, 200])


async def test_connection_is_evicted_when_its_client_has_just_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What it has left unread is nobody's request any more."""

    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port), most=1) as p:
        client = Client(p)
        await until(lambda: len(p.clients.open_connections) == 1)
        add = p.clients.add

        def crossed(newcomer: ClientConnection) -> bool:
            client.send(call(request_id="r1"))
            client.socket.close()
            return add(newcomer)

        monkeypatch.setattr(p.clients, "add", crossed)
        assert status(await p.ask(call(request_id="r2"))) == 200
        assert len(b.seen) == 1
