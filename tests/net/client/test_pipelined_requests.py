"""Requests that a client sends ahead: each waits for its turn, with its own deadline."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.net.driver.client_messages import ClientRequest
from tests.support.client_helpers import narrow, slow_reader, status
from tests.support.loopback import (
    SteppedClock,
    answer,
    backend,
    call,
    entry,
    peer,
    proxy,
    read_message,
    until,
)


async def test_deadline_of_a_pipelined_request_counts_from_its_last_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """However long it waited behind others, and whenever these came."""

    go_on, clock = asyncio.Event(), SteppedClock()
    patience: list[float] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            b.seen.append(await read_message(reader))
            await go_on.wait()
            writer.write(answer(200, b"x"))

    async with peer(handle) as b, proxy(entry("s-1", b.port)) as p:
        take = p.driver.accept_request

        def listen(caller: ClientRequest) -> str:
            patience.append(caller.time_remaining_us / 1e6)
            return take(caller)

        monkeypatch.setattr(p.driver, "accept_request", listen)
        reader, writer = await p.connect()
        writer.write(call(request_id="r1") + call(request_id="r2"))
        await until(lambda: bool(b.seen))
        clock.step(1.0)
        third = call(request_id="r3")
        writer.write(third[:-9])
        [connection] = p.clients.open_connections
        await until(lambda: connection._http.received.size_bytes == len(third) - 9)
        clock.step(0.5)
        writer.write(third[-9:])
        await until(lambda: connection._http.received.size_bytes == len(third))
        go_on.set()
        for _ in range(3):
            assert status(await read_message(reader)) == 200
        assert 3.0 < patience[0] <= 4.0
        assert patience[1] <= 2.5
        assert 3.0 < patience[2] <= 4.0
        writer.close()


async def test_pipelined_requests_are_answered_in_order() -> None:
    async with (
        backend(answer(200, b"1"), answer(200, b"2"), answer(200, b"3")) as b,
        proxy(entry("s-1", b.port)) as p,
    ):
        reader, writer = await p.connect()
        writer.write(call(request_id="a") + call(request_id="b") + call(request_id="c"))
        assert [(await read_message(reader))[2] for _ in range(3)] == [b"1", b"2", b"3"]
        writer.close()


@pytest.mark.parametrize("size", [20_000, 65_536])
async def test_pipelined_request_waits_for_a_slowly_read_response(size: int) -> None:
    async with backend(answer(200, b"x" * size)) as b, proxy(entry("s-1", b.port)) as p:
        narrow(p)
        reader, writer = await slow_reader(p)
        writer.write(call(request_id="r1") + call(request_id="r2"))
        await until(lambda: bool(p.clients.open_connections))
        [connection] = p.clients.open_connections
        await until(lambda: connection.transport.get_write_buffer_size() > 0)
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(b.seen) == 1  # what is not read holds the next one back: guards memory
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(2):
            assert len((await read_message(reader))[2]) == size
        writer.close()
