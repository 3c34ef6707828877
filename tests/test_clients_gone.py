"""A client that has left has left: no attempt begins for it any more, wherever its request waits."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from snowvalve import interface as i
from snowvalve.net import upstream
from tests.helpers import settings
from tests.net_helpers import (
    Peer,
    Proxy,
    answer,
    call,
    entry,
    peer,
    proxy,
    read_message,
    run,
    until,
)

WAYS = ["FIN", "half", "RST"]
FAILURE = answer(503, Srv_Declined="1")


class Client:
    """A client whose bytes and whose end are with the system at once, before the loop turns."""

    def __init__(self, p: Proxy) -> None:
        self.socket = socket.create_connection(("127.0.0.1", p.port))

    def send(self, sent: bytes) -> None:
        self.socket.sendall(sent)

    def leave(self, way: str) -> None:
        """By an end, by an end of its sending alone, which counts as leaving too, or by a reset."""
        if way == "half":
            self.socket.shutdown(socket.SHUT_WR)
            return
        if way == "RST":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


@asynccontextmanager
async def silent() -> AsyncIterator[Peer]:
    """A backend that takes requests and answers none: a test answers in its place, when it likes."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            made.seen.append(await read_message(reader))

    async with peer(handle) as made:
        yield made


def limits(cancel: bool) -> i.Settings:
    return settings(limits=i.Limits(max_attempts=3, cancel=cancel))


def out(p: Proxy) -> upstream.Connection:
    """The connection of the longest open attempt."""
    attempt = next(iter(p.driver._attempts.values()))
    assert attempt._connection is not None
    return attempt._connection


async def settled() -> None:
    for _ in range(50):
        await asyncio.sleep(0)


def nothing_left(p: Proxy) -> bool:
    balancer = p.driver._balancer
    return p.driver.idle and not (balancer.lives or balancer.out or balancer.held or p.frontend.ids)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("cancel", [True, False])
def test_no_further_attempt_begins_though_the_end_is_not_read_yet(way: str, cancel: bool) -> None:
    """The attempt fails in the very turn in which its client leaves, and is read first."""

    async def test() -> None:
        async with (
            silent() as a,
            silent() as b,
            proxy(entry("a", a.port), entry("b", b.port), setup=limits(cancel)) as p,
        ):
            client = Client(p)
            client.send(call())
            await until(lambda: len(a.seen) + len(b.seen) == 1)
            failing = out(p)
            client.leave(way)
            failing.data_received(FAILURE)
            assert not p.driver._attempts and p.driver.idle
            await until(lambda: not p.frontend.open)
            await settled()
            assert len(a.seen) + len(b.seen) == 1 and a.connections + b.connections == 1
            assert nothing_left(p)

    run(test)


@pytest.mark.parametrize("cancel", [True, False])
def test_a_further_attempt_begins_for_one_that_stays(cancel: bool) -> None:
    async def test() -> None:
        async with (
            silent() as a,
            silent() as b,
            proxy(entry("a", a.port), entry("b", b.port), setup=limits(cancel)) as p,
        ):
            client = Client(p)
            client.send(call())
            await until(lambda: len(a.seen) + len(b.seen) == 1)
            out(p).data_received(FAILURE)
            await until(lambda: len(a.seen) + len(b.seen) == 2)
            client.socket.close()

    run(test)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("cancel", [True, False])
def test_what_is_held_is_not_sent_though_the_end_is_not_read_yet(
    way: str, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A backend comes free in the very turn in which the client of a held request leaves."""
    monkeypatch.setattr(upstream, "SETTLE_S", -1.0)  # the connection that comes free is taken at once

    async def test() -> None:
        async with silent() as b, proxy(entry("b", b.port), setup=limits(cancel)) as p:
            clients: list[Client] = []
            while not p.driver._balancer.held:
                clients.append(Client(p))
                clients[-1].send(call(id=f"r{len(clients)}"))
                await until(lambda: len(p.driver._balancer.lives) == len(clients))
            sent = len(clients) - 1
            await until(lambda: len(b.seen) == sent)
            clients[-1].leave(way)
            out(p).data_received(answer(200, b"x"))
            assert not p.driver._balancer.held  # its turn came
            await until(lambda: len(p.frontend.open) == sent)
            await settled()
            assert len(b.seen) == sent == len(p.driver._balancer.out) + 1
            for client in clients[:-1]:
                client.leave("FIN")
            await until(lambda: not p.frontend.open)
            if cancel:
                assert nothing_left(p)

    run(test)
