"""Clients on real sockets: one final response for each request, whatever they send."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from load_balancer import messages
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.client import client_limits
from load_balancer.net.clock import Clock
from load_balancer.net.driver.client_messages import ClientRequest
from load_balancer.net.driver.event_loop_driver import LAG_MARGIN_US
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.balancer_harness import settings
from tests.support.client_helpers import Client, narrow, slow_reader, status
from tests.support.loopback import (
    Gate,
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


async def test_request_is_forwarded_complete_and_its_response_returned() -> None:
    async with backend(answer(200, b"\x00body")) as b, proxy(entry("s-1", b.port)) as p:
        sent = call("mark", "id7", "/api?sid=ab%20c", b"payload", Idempotency_Key="k1")
        got = await p.ask(sent)
        assert (status(got), got[2]) == (200, b"\x00body")
        first, headers, body = b.seen[0]
        assert first == "POST /api?sid=ab%20c HTTP/1.1"
        assert (headers["req-id"], headers["idempotency-key"], body) == ("id7", "k1", b"payload")
        assert 0 < float(headers["req-deadline"]) <= 4.0


async def test_client_and_endpoint_connections_are_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        reader, writer = await p.connect()
        for n in range(5):
            writer.write(call(request_id=f"r{n}"))
            assert status(await read_message(reader)) == 200
        writer.close()
        assert b.connections == 1


async def test_ready_only_while_an_endpoint_is_in_service() -> None:
    ready = call(path="/ready")
    async with proxy() as p:
        assert status(await p.ask(ready)) == 503
    async with proxy(entry("s-1", 9, "terminating")) as p:
        assert status(await p.ask(ready)) == 503
    async with proxy(entry("s-1", 9)) as p:
        assert status(await p.ask(ready)) == 200


@pytest.mark.parametrize(
    "sent",
    [
        b"nonsense\r\n\r\n",
        b"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        b"POST /api HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        call(request_id=""),
        call(kind=""),
        call(Req_Deadline="soon"),
        call(Req_Deadline="nan"),
        call(Req_Deadline="inf"),
        call(Req_Deadline="1_0"),
        call(Req_Deadline="-1"),
        call(Req_Deadline=""),
        call("unheard-of"),
        call("mark", Idempotency_Key=""),
        call(req_id="other"),
        call(req_kind="pay"),
        call("mark", Content_Length="-5"),
        call(body=b"with GET"),
        call("mark", Content_Length="0", Transfer_Encoding="chunked") + b"0\r\n\r\n",
    ],
)
async def test_malformed_head_is_answered_400_and_not_forwarded(sent: bytes) -> None:
    async with backend(answer(200)) as b, proxy(entry("s-1", b.port)) as p:
        assert status(await p.ask(sent)) == 400
        assert b.seen == []
        assert status(await p.ask(call())) == 200


@pytest.mark.parametrize("method", [b"HEAD", b"POST", b"CONNECT", b"DELETE"])
async def test_method_that_does_not_match_the_request_class_is_answered_405(method: bytes) -> None:
    async with backend(answer(200)) as b, proxy(entry("s-1", b.port)) as p:
        assert status(await p.ask(call().replace(b"GET", method, 1))) == 405
        assert b.seen == []


async def test_body_over_the_limit_is_answered_413() -> None:
    async with backend(answer(200)) as b, proxy(entry("s-1", b.port)) as p:
        assert status(await p.ask(call("mark", body=b"x" * 65536))) == 200
        assert status(await p.ask(call("mark", body=b"x" * 300_000))) == 413
        assert len(b.seen) == 1


async def test_id_of_an_open_request_is_answered_409() -> None:
    go_on = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            b.seen.append(await read_message(reader))
            await go_on.wait()
            writer.write(answer(200, b"x"))

    async with peer(handle) as b, proxy(entry("s-1", b.port)) as p:
        reader, writer = await p.connect()
        writer.write(call(request_id="same"))
        while not b.seen:
            await asyncio.sleep(0)
        assert status(await p.ask(call(request_id="same"))) == 409
        go_on.set()
        assert status(await read_message(reader)) == 200
        assert status(await p.ask(call(request_id="same"))) == 200  # over, so it may come again
        writer.close()
        assert len(b.seen) == 2
        assert not p.clients.open_request_ids


async def test_request_smuggled_in_a_body_is_not_forwarded() -> None:
    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        hidden = call(request_id="hidden")
        outer = call("mark", Content_Length=str(5 + len(hidden)), Transfer_Encoding="chunked")
        reader, writer = await p.connect()
        writer.write(outer + b"0\r\n\r\n" + hidden)
        first, headers, _ = await read_message(reader)
        assert (first.split()[1], headers["connection"]) == ("400", "close")
        assert await reader.read() == b""
        writer.close()
        assert b.seen == []


async def test_content_length_over_the_limit_is_rejected_before_the_body() -> None:
    async with backend(answer(200)) as b, proxy(entry("s-1", b.port)) as p:
        for length in ("60000000", "9" * 18, "9" * 5000):
            assert status(await p.ask(call("mark", Content_Length=length))) in (400, 413, 431)
        assert b.seen == []


async def test_long_claimed_deadline_does_not_affect_other_requests() -> None:
    """No client waits longer than its class allows, and none tells how old another's request is."""

    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        assert status(await p.ask(call(Req_Deadline="3600"))) == 200
        assert status(await p.ask(call(request_id="a2"))) == 200


async def test_retry_header_marks_a_request_as_a_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        asked: list[bool] = []
        take = p.driver.request

        def listen(caller: ClientRequest) -> str:
            asked.append(caller.is_retry)
            return take(caller)

        monkeypatch.setattr(p.driver, "request", listen)
        assert status(await p.ask(call())) == 200
        assert status(await p.ask(call(Req_Retry="1"))) == 200
        assert status(await p.ask(call(Req_Retry="0"))) == 200
        assert asked == [False, True, False]


@pytest.mark.parametrize(
    "sent", [b"", b"GET /api HTT", call("mark", Content_Length="9") + b"half", b"POST / HTTP/1.1\r\nA: b\r\n"]
)
async def test_incomplete_request_is_answered_408_and_its_connection_closed(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_limits, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client_limits, "SWEEP_INTERVAL_S", 0.02)

    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        for first in (b"", call()):  # as its first one, and later
            reader, writer = await p.connect()
            if first:
                writer.write(first)
                assert status(await read_message(reader)) == 200
                if not sent:
                    continue  # idle ones may stay for longer
            writer.write(sent)
            if sent:  # it is told why, before the end
                assert status(await read_message(reader)) == 408
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            writer.close()
        assert len(b.seen) == 1


async def test_client_that_does_not_read_responses_is_paused_then_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_limits, "WRITE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client_limits, "SWEEP_INTERVAL_S", 0.02)

    async with backend(answer(200, b"x" * 65536)) as b, proxy(entry("s-1", b.port)) as p:
        reader, writer = await p.connect()
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        for n in range(2000):
            writer.write(call(request_id=f"r{n}"))
        while not p.clients.open_connections:
            await asyncio.sleep(0)
        [connection] = p.clients.open_connections
        while p.clients.open_connections:
            await asyncio.sleep(0.01)
            assert connection.transport.get_write_buffer_size() <= 2 * 65536 + 1024
            assert (
                connection._http.received.size_bytes
                <= client_limits.MAX_BUFFERED_BYTES_PER_CONNECTION + 256 * 1024
            )  # the limit and one read
        assert len(b.seen) < 2000
        writer.transport.abort()


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
        take = p.driver.request

        def listen(caller: ClientRequest) -> str:
            patience.append(caller.time_left_us / 1e6)
            return take(caller)

        monkeypatch.setattr(p.driver, "request", listen)
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


async def test_chunked_body_is_forwarded_with_a_content_length() -> None:
    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        head = call("mark", Content_Length="0").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        assert status(await p.ask(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")) == 200
        assert b.seen[0][2] == b"abcde"


async def test_late_response_after_the_final_response_is_discarded() -> None:
    """Where attempts are not cancelled, a late answer of a backend must go nowhere."""

    late = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers, _ = await read_message(reader)
        if headers["req-id"] == "slow":
            await late.wait()
        writer.write(answer(200, headers["req-id"].encode()))

    limits = messages.Limits(max_attempts=3, cancel=False)
    async with peer(handle) as b, proxy(entry("s-1", b.port), setup=settings(limits=limits)) as p:
        reader, writer = await p.connect()
        writer.write(call(request_id="slow"))
        while b.connections == 0:
            await asyncio.sleep(0)
        p.driver.give_up()
        assert status(await read_message(reader)) == 503
        late.set()
        while p.driver._attempts:
            await asyncio.sleep(0)
        writer.write(call(request_id="next"))
        assert (await read_message(reader))[2] == b"next"
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


async def test_attempt_is_cancelled_when_its_client_disconnects() -> None:
    gone = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        client.close()
        assert await reader.read() == b""  # the proxy closes the attempt's connection
        gone.set()

    async with peer(handle) as b, proxy(entry("s-1", b.port)) as p:
        _, client = await p.connect()
        client.write(call())
        await gone.wait()
        assert p.driver.idle


async def test_unanswered_request_is_ended_before_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with peer(handle) as b, proxy(entry("s-1", b.port)) as p:
        told: list[messages.Event] = []
        handle_event = p.driver._balancer.handle

        def listen(now: int, event: messages.Event) -> list[messages.Action]:
            told.append(event)
            return handle_event(now, event)

        monkeypatch.setattr(p.driver._balancer, "handle", listen)
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert status(await p.ask(call(Req_Deadline="0.6"))) in (502, 503)
        assert loop.time() - began < 1.8  # by its own deadline, not by the class's aim of 2 s
        [request] = [e for e in told if isinstance(e, messages.Request)]
        assert 400_000 < request.time_left_us <= 600_000 - LAG_MARGIN_US


async def test_rejection_carries_retry_after() -> None:
    limits = messages.Limits(max_attempts=1, cancel=True, retry_after_us=2_000_000)
    async with (
        backend(answer(503, Srv_Declined="1")) as b,
        proxy(entry("s-1", b.port), setup=settings(limits=limits)) as p,
    ):
        got = await p.ask(call("pay"))
        assert status(got) == 503  # it never ran, so even an unsafe one is refused
        assert 0.0 < float(got[1]["retry-after"]) <= 2.0
    async with backend(answer(503, Srv_Declined="1")) as b, proxy(entry("s-1", b.port)) as p:
        assert "retry-after" not in (await p.ask(call(Req_Deadline="0.2")))[1]


async def test_request_that_may_have_run_is_answered_502() -> None:
    for said in (None, answer(500), answer(503)):
        async with backend(said) as b, proxy(entry("s-1", b.port)) as p:
            assert status(await p.ask(call("pay"))) == 502
            assert len(b.seen) == 1


async def test_policy_exception_is_logged_and_its_request_answered_502(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async with backend(answer(200)) as b, proxy(entry("s-1", b.port)) as p:

        def fault(now: int, event: messages.Event) -> list[messages.Action]:
            raise ZeroDivisionError("a fault")

        with monkeypatch.context() as patch:
            patch.setattr(p.driver._balancer, "handle", fault)
            assert status(await p.ask(call())) == 502
        assert "ZeroDivisionError: a fault" in caplog.text
        assert status(await p.ask(call())) == 200


async def test_nagle_is_disabled_on_client_and_endpoint_connections() -> None:
    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        reader, writer = await p.connect()
        writer.write(call())
        await read_message(reader)
        transports = [c.transport for c in p.clients.open_connections] + [c.transport for c in p.pool._open]
        assert len(transports) == 2
        for transport in transports:
            sock = transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        writer.close()


async def test_endpoint_400_is_not_retried_nor_counted_as_a_failure() -> None:
    """A request that is no good is no good anywhere: trying it elsewhere would lower all backends."""

    async with backend(answer(400)) as b, proxy(entry("s-1", b.port)) as p:
        assert status(await p.ask(call())) == 502  # no refusal: coming again would not help
        assert len(b.seen) == 1
        [server] = p.driver._balancer.endpoints.states.values()
        assert server.failure_penalty_ends_us == []
        assert server.detector.mean == 1.0


async def test_policy_exception_over_an_outcome_is_answered_502(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with peer(silent) as b, proxy(entry("s-1", b.port)) as p:
        handle = p.driver._balancer.handle

        def faulty(now: int, event: messages.Event) -> list[messages.Action]:
            if isinstance(event, messages.TimerFired | messages.AttemptEnded):
                raise RuntimeError("a fault")
            return handle(now, event)

        monkeypatch.setattr(p.driver._balancer, "handle", faulty)
        assert status(await p.ask(call(Req_Deadline="0.6"))) == 502
        assert p.driver.idle
        assert not p.driver._balancer.open_requests.by_id


async def test_failed_action_does_not_prevent_the_next_actions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        monkeypatch.setattr(
            p.driver._balancer,
            "handle",
            lambda now, e: [messages.StartAttempt("x", 1, 1), messages.Reject(e.id)],
        )
        monkeypatch.setattr(p.driver, "_start_attempt", None)  # can't be called
        assert status(await p.ask(call())) == 503


async def test_request_is_answered_502_when_the_policy_never_decides(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with proxy(entry("s-1", 9)) as p:
        monkeypatch.setattr(p.driver._balancer, "handle", lambda now, event: [])
        assert status(await p.ask(call(Req_Deadline="0.1"))) == 502
        assert p.driver.idle


@pytest.mark.parametrize("kind", ["read", "pay"])
@pytest.mark.parametrize("cancel", [True, False])
async def test_attempt_awaiting_its_connection_is_not_sent_after_client_disconnects(
    kind: str, cancel: bool
) -> None:
    """Settings may forbid to call an attempt off, but this one has not been sent yet."""

    limits = messages.Limits(max_attempts=3, cancel=cancel)
    async with (
        backend(answer(200, b"x")) as b,
        proxy(entry("s-1", b.port), setup=settings(limits=limits)) as p,
    ):
        gate = Gate(p.pool)
        _, writer = await p.connect()
        writer.write(call(kind))
        await until(lambda: gate.waiting == 1)
        writer.close()
        await until(lambda: p.driver.idle)
        gate.opened.set()
        await until(lambda: not p.driver._attempts)
        assert b.seen == []
        assert b.connections == 0
        assert not p.driver._balancer.dispatcher.in_flight
        assert not p.driver._balancer.open_requests.by_id


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


async def test_pipelined_request_behind_a_response_is_not_forwarded_after_client_disconnects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client's end has come, and what is queued for it still goes out: then the next request is read."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with backend(answer(200, b"x" * 65_536)) as b, proxy(entry("s-1", b.port)) as p:
        narrow(p)
        _, writer = await slow_reader(p)
        writer.write(call(request_id="r1") + call(request_id="r2"))
        await until(lambda: bool(p.clients.open_connections))
        [connection] = p.clients.open_connections
        await until(lambda: connection.transport.get_write_buffer_size() > 0)
        writer.write_eof()
        await until(connection.transport.is_closing)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        await until(lambda: connection not in p.clients.open_connections)
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(b.seen) == 1
        assert p.driver.idle


@pytest.mark.parametrize("paused", [False, True])
@pytest.mark.parametrize("cancel", [True, False])
async def test_pipelined_request_behind_an_open_request_is_not_forwarded_after_client_disconnects(
    paused: bool, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its end shows though it stands behind more bytes than are taken in ahead of their turn."""
    if paused:
        monkeypatch.setattr(client_limits, "MAX_BUFFERED_BYTES_PER_CONNECTION", 10_000)

    go_on, clock = asyncio.Event(), SteppedClock()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            b.seen.append(await read_message(reader))
            await go_on.wait()
            writer.write(answer(200, b"x"))

    limits = messages.Limits(max_attempts=3, cancel=cancel)
    async with peer(handle) as b, proxy(entry("s-1", b.port), setup=settings(limits=limits)) as p:
        _, writer = await p.connect()
        # Read in more than one go, so that the pause holds some of it back.
        body = b"x" * 60_000
        writer.write(b"".join(call("mark", request_id=f"r{n}", body=body) for n in range(6)))
        await until(lambda: bool(b.seen))
        [connection] = p.clients.open_connections
        await until(lambda: connection.transport.is_reading() is not paused)
        writer.close()
        for _ in range(100):
            await asyncio.sleep(0)
        clock.step(client_limits.SWEEP_INTERVAL_S)
        await until(lambda: p.driver.idle)
        go_on.set()
        await until(lambda: not p.driver._attempts and not p.clients.open_connections)
        assert [headers["req-id"] for _, headers, _ in b.seen] == ["r0"]
        assert p.clients.buffered.size_bytes == 0


async def test_request_read_after_its_client_disconnected_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It waited in the system, as it does while the event loop is busy; a kept connection is at harness."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        assert status(await p.ask(call(request_id="r1"))) == 200
        with socket.create_connection(("127.0.0.1", p.port)) as client:
            client.sendall(call(request_id="r2"))
        await until(lambda: bool(p.clients.open_connections))
        await until(lambda: not p.clients.open_connections)
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(b.seen) == 1
        assert p.driver.idle


@pytest.mark.parametrize("fresh", [True, False])
async def test_connection_is_not_closed_as_idle_while_its_request_arrives(fresh: bool) -> None:
    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        client = Client(p)
        await until(lambda: len(p.clients.open_connections) == 1)
        [connection] = p.clients.open_connections
        if not fresh:
            client.send(call(request_id="r1"))
            await until(lambda: connection in p.clients.idle_connections)
        client.send(call(request_id="r2"))
        connection.check_time_limits(p.listener.loop.time() + client_limits.KEEP_ALIVE_TIMEOUT_S + 1.0)
        assert await client.read(1 if fresh else 2) == ([200] if fresh else [200, 200])


@pytest.mark.parametrize(("kind", "kept"), [("pay", 0), ("mark", 1), ("read", 1)])
async def test_only_the_request_class_decides_whether_an_idle_connection_is_reused(
    kind: str, kept: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A header does not: a client may give a key to what must not run twice."""
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with backend(answer(200, b"x")) as b, proxy(entry("s-1", b.port)) as p:
        assert status(await p.ask(call(request_id="first"))) == 200
        assert status(await p.ask(call(kind, Idempotency_Key="k"))) == 200
        assert b.connections == 2 - kept
        assert b.seen[1][1]["idempotency-key"] == "k"


async def test_deadline_header_holds_the_time_remaining_when_the_attempt_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first one and a further one, though the connection of each comes up late."""

    clock, permits, asked = SteppedClock(), asyncio.Semaphore(0), 0
    now_us = Clock.now_us
    monkeypatch.setattr(Clock, "now_us", lambda self: now_us(self) + round(clock.ahead * 1e6))
    async with (
        backend(answer(500)) as a,
        proxy(entry("s-1", a.port), entry("s-2", a.port), connect_s=60.0) as p,
    ):
        connect = p.pool.connect

        async def held(
            endpoint: EndpointAddress,
        ) -> UpstreamConnection:
            nonlocal asked
            asked += 1
            await permits.acquire()
            return await connect(endpoint)

        monkeypatch.setattr(p.pool, "connect", held)
        got = asyncio.ensure_future(p.ask(call(Req_Deadline="1.9")))
        for number, late in ((1, 0.4), (2, 0.8)):
            await until(lambda number=number: asked == number)  # type: ignore[misc]
            clock.step(late)
            permits.release()
        await until(lambda: len(a.seen) == 2)
        first, second = (float(headers["req-deadline"]) for _, headers, _ in a.seen)
        margin = LAG_MARGIN_US / 1e6
        assert 1.0 < first <= 1.9 - 0.4 - margin
        assert 0.2 < second <= 1.9 - 1.2 - margin
        permits.release()
        assert status(await got) == 503
