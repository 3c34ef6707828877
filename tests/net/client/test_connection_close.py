"""The last responses before a close: each is complete, and no later request is forwarded."""

from __future__ import annotations

import contextlib

import pytest

from load_balancer.net.client import client_limits
from load_balancer.net.client.client_connection import ClientConnection
from tests.support.client_helpers import (
    Client,
    attempt_connection,
    closes,
    narrow,
    settled,
    silent_backend,
    slow_reader,
    status,
    streams,
)
from tests.support.loopback import (
    Proxy,
    SteppedClock,
    answer,
    backend,
    call,
    entry,
    proxy,
    read_message,
    until,
)


@pytest.mark.parametrize("behind", [1, 3])
@pytest.mark.parametrize("read", [True, False])
async def test_pipelined_requests_are_answered_before_the_close_at_shutdown(behind: int, read: bool) -> None:
    """Only the last answer ends the connection, be what follows read or still with the system."""

    async with silent_backend() as b, proxy(entry("b", b.port)) as p:
        client = Client(p)
        client.send(call(request_id="r0"))
        await until(lambda: len(b.seen) == 1)
        p.listener.close_idle_connections()
        client.send(b"".join(call(request_id=f"r{n + 1}") for n in range(behind)))
        if read:
            [connection] = p.clients.open_connections
            await until(lambda: connection._http.received.size_bytes > 0)
        for n in range(1 + behind):
            await until(lambda n=n: len(b.seen) == n + 1)  # type: ignore[misc]
            assert not p.listener.is_drained
            attempt_connection(p).data_received(answer(200, b"%d" % n))
        reader, writer = await streams(client)
        got = [await read_message(reader) for _ in range(1 + behind)]
        assert [g[2] for g in got] == [b"%d" % n for n in range(1 + behind)]
        assert [closes(g) for g in got] == [False] * behind + [True]
        assert await reader.read() == b""
        writer.close()
        await until(lambda: p.listener.is_drained and not p.clients.open_connections)


async def test_each_request_on_a_surplus_connection_is_answered_503() -> None:
    async with silent_backend() as b, proxy(entry("b", b.port), most=1) as p:
        busy, surplus = Client(p), Client(p)
        busy.send(call(request_id="busy"))
        await until(lambda: len(b.seen) == 1)
        surplus.send(call(request_id="r1") + call(request_id="r2") + call(request_id="r3"))
        reader, writer = await streams(surplus)
        got = [await read_message(reader) for _ in range(3)]
        assert [status(g) for g in got] == [503] * 3
        assert [closes(g) for g in got] == [False, False, True]
        assert await reader.read() == b""
        writer.close()
        assert len(b.seen) == 1
        busy.leave("FIN")
        await until(lambda: not p.clients.open_connections)


@pytest.mark.parametrize("why", ["closing", "asked", "surplus", "bad"])
async def test_request_after_the_last_response_is_not_forwarded(why: str) -> None:
    """The connection is shut by then; it is read on only so that its end resets nothing."""

    async with silent_backend() as b, proxy(entry("b", b.port), most=1) as p:
        busy = Client(p)
        if why == "surplus":
            busy.send(call(request_id="busy"))
            await until(lambda: len(b.seen) == 1)
        client = busy if why != "surplus" else Client(p)
        first = {"asked": call(Connection="close"), "bad": call(request_id="")}.get(why, call())
        client.send(first)
        if why in ("closing", "asked"):
            await until(lambda: len(b.seen) == 1)
            p.clients.is_draining = why == "closing"
            attempt_connection(p).data_received(answer(200, b"x"))
        [connection] = [c for c in await shut(p) if c._is_lingering]
        sent = len(b.seen)
        client.send(call(request_id="late1"))
        await settled()
        client.send(call(request_id="late2") + call(request_id="late3"))
        await settled()
        reader, writer = await streams(client)
        got = await read_message(reader)
        assert status(got) == {"surplus": 503, "bad": 400}.get(why, 200)
        assert closes(got)
        assert await reader.read() == b""
        assert connection in p.clients.open_connections
        assert not connection._http.received
        assert len(b.seen) == sent
        writer.close()
        await until(lambda: connection not in p.clients.open_connections)
        busy.socket.close()


async def shut(p: Proxy) -> list[ClientConnection]:
    """The connections, once one of them has been shut."""
    await until(lambda: any(c._is_lingering for c in p.clients.open_connections))
    return list(p.clients.open_connections)


@pytest.mark.parametrize("last", [True, False])
async def test_connection_is_not_evicted_while_it_writes_a_response(last: bool) -> None:
    """Its connection counts as idle, or as about to end, from its last byte's hand-over on."""

    async with backend(answer(200, b"x" * 65_536)) as b, proxy(entry("b", b.port), most=1) as p:
        narrow(p)
        reader, writer = await slow_reader(p)
        writer.write(call(request_id="slow", Connection="close" if last else "keep-alive"))
        await until(lambda: any(c.is_writing for c in p.clients.open_connections))
        assert status(await p.ask(call(request_id="new"))) == 503
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert len((await read_message(reader))[2]) == 65_536
        writer.close()
        await until(lambda: not p.clients.open_connections)


@pytest.mark.parametrize("last", [True, False])
async def test_slowly_read_response_is_delivered_complete(last: bool) -> None:
    """Also where it is the last one, and then the end comes behind it and not instead of its rest."""

    async with backend(answer(200, b"x" * 65_536)) as b, proxy(entry("b", b.port)) as p:
        narrow(p)
        clock = SteppedClock()
        reader, writer = await slow_reader(p)
        writer.write(call(request_id="slow", Connection="close" if last else "keep-alive"))
        await until(lambda: any(c.is_writing for c in p.clients.open_connections))
        [connection] = p.clients.open_connections
        clock.step(client_limits.WRITE_TIMEOUT_S - 0.5)
        await settled()
        assert connection in p.clients.open_connections
        assert connection.is_writing
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert len((await read_message(reader))[2]) == 65_536
        await until(lambda: not connection.is_writing)
        connection.check_time_limits(p.listener.loop.time())
        assert connection in p.clients.open_connections
        assert not connection.transport.is_closing()
        if last:
            assert await reader.read() == b""
            clock.step(client_limits.LINGER_TIMEOUT_S + client_limits.SWEEP_INTERVAL_S)
            await until(lambda: not p.clients.open_connections)
        writer.close()


@pytest.mark.parametrize("how", ["expiry", "end", "room"])
@pytest.mark.parametrize("later", [False, True])
async def test_request_that_crosses_the_close_of_an_idle_connection_is_not_forwarded(
    how: str, later: bool
) -> None:
    """It comes after the last look at the connection: the client sends it once more on a new one."""

    async with silent_backend() as b, proxy(entry("b", b.port), most=1) as p:
        clock, client = SteppedClock(), Client(p)
        client.send(call(request_id="first"))
        await until(lambda: len(b.seen) == 1)
        attempt_connection(p).data_received(answer(200, b"first"))
        await until(lambda: bool(p.clients.idle_connections))
        [connection] = p.clients.open_connections
        clock.step(1.0)
        if how == "expiry":
            connection.check_time_limits(p.listener.loop.time() + client_limits.KEEP_ALIVE_TIMEOUT_S + 1.0)
        elif how == "end":
            p.listener.close_idle_connections()
        else:
            other = Client(p)
            await until(lambda: connection.transport.is_closing())
        assert connection.transport.is_closing()
        if later:
            await settled()
        with contextlib.suppress(ConnectionError):
            client.send(call(request_id="crossing"))
            client.send(call(request_id="another"))
        await settled()
        reader, writer = await streams(client)
        assert (await read_message(reader))[2] == b"first"  # it was not taken along
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()
        assert len(b.seen) == 1
        assert p.driver.is_idle
        if how == "room":
            other.leave("FIN")
        await until(lambda: not p.clients.open_connections)


@pytest.mark.parametrize(
    ("sent", "statuses", "on"),
    [
        (
            [call(request_id="a"), call(request_id="b", Connection="close"), call(request_id="c")],
            [200, 200],
            2,
        ),
        ([call(request_id="a"), b"nonsense\r\n\r\n", call(request_id="c")], [200, 400], 1),
        (
            [call(request_id="a"), call(request_id="b", Req_Deadline="soon"), call(request_id="c")],
            [200, 400],
            1,
        ),
        (
            [call("mark", request_id="a", body=b"x", Expect="100-continue"), call(request_id="b")],
            [100, 200, 200],
            2,
        ),
        ([call(request_id="a"), call(path="/ready"), call(request_id="a")], [200, 200, 200], 2),
    ],
    ids=["a close in the middle", "noise in the middle", "a bad one in the middle", "a 100", "one id again"],
)
@pytest.mark.parametrize("whole", [True, False])
async def test_each_pipelined_request_up_to_the_last_gets_one_final_response(
    sent: list[bytes], statuses: list[int], on: int, whole: bool
) -> None:
    """Also where the rest comes only while the first one is open."""

    async with silent_backend() as b, proxy(entry("b", b.port)) as p:
        client = Client(p)
        client.send(b"".join(sent) if whole else sent[0])
        for n in range(on):
            await until(lambda n=n: len(b.seen) == n + 1)  # type: ignore[misc]
            if n == 0 and not whole:
                client.send(b"".join(sent[1:]))
            attempt_connection(p).data_received(answer(200, b"%d" % n))
        reader, writer = await streams(client)
        got = [await read_message(reader) for _ in statuses]
        assert [status(g) for g in got] == statuses
        await settled()
        if statuses[-1] == 400 or len(statuses) == 2:
            assert await reader.read() == b""
        else:
            writer.write(call(path="/ready", Connection="close"))
            assert status(await read_message(reader)) == 200
            assert await reader.read() == b""
        assert len(b.seen) == on
        writer.close()
        await until(lambda: not p.clients.open_connections)
