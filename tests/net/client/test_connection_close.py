"""Responses before the close of a client connection: each is complete, and no later request is forwarded."""

from __future__ import annotations

import contextlib

import pytest

from load_balancer.net.client import client_limits
from load_balancer.net.client.client_connection import ClientConnection
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import (
    closes_connection,
    http_request,
    http_response,
    read_http_message,
    response_status,
)
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.socket_client import SocketClient, connect_paused_client
from tests.support.stand_in_server import SilentEndpoint, StandInEndpoint, StandInServer
from tests.support.stepped_clock import FrozenClock, run_loop_turns, wait_until


@pytest.mark.parametrize("pipelined_count", [1, 3])
@pytest.mark.parametrize("is_read_early", [True, False])
async def test_pipelined_requests_get_responses_before_the_close_at_shutdown(
    pipelined_count: int, is_read_early: bool
) -> None:
    """Only the last response closes the connection, whether or not the pipelined requests were read."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        client = SocketClient(proxy)
        client.send(http_request(request_id="r0"))
        await wait_until(lambda: len(endpoint.received) == 1)
        proxy.listener.close_idle_connections()
        client.send(b"".join(http_request(request_id=f"r{number + 1}") for number in range(pipelined_count)))
        if is_read_early:
            [connection] = proxy.clients.open_connections
            await wait_until(lambda: connection.http.received.size_bytes > 0)
        for number in range(1 + pipelined_count):
            await wait_until(lambda number=number: len(endpoint.received) == number + 1)  # type: ignore[misc]
            assert not proxy.listener.is_drained
            proxy.oldest_attempt_connection().data_received(http_response(200, b"%d" % number))
        reader, writer = await client.streams()
        responses = [await read_http_message(reader) for _ in range(1 + pipelined_count)]
        assert [response[2] for response in responses] == [
            b"%d" % number for number in range(1 + pipelined_count)
        ]
        assert [closes_connection(response) for response in responses] == [False] * pipelined_count + [True]
        assert await reader.read() == b""
        writer.close()
        await wait_until(lambda: proxy.listener.is_drained and not proxy.clients.open_connections)


async def test_each_request_on_a_connection_over_the_limit_gets_503() -> None:
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=1) as proxy,
    ):
        busy, over_limit_client = SocketClient(proxy), SocketClient(proxy)
        busy.send(http_request(request_id="busy"))
        await wait_until(lambda: len(endpoint.received) == 1)
        over_limit_client.send(
            http_request(request_id="r1") + http_request(request_id="r2") + http_request(request_id="r3")
        )
        reader, writer = await over_limit_client.streams()
        responses = [await read_http_message(reader) for _ in range(3)]
        assert [response_status(response) for response in responses] == [503] * 3
        assert [closes_connection(response) for response in responses] == [False, False, True]
        assert await reader.read() == b""
        writer.close()
        assert len(endpoint.received) == 1
        busy.disconnect("FIN")
        await wait_until(lambda: not proxy.clients.open_connections)


async def send_last_request(
    proxy: LoopbackProxy, endpoint: StandInServer, client: SocketClient, close_reason: str
) -> ClientConnection:
    """Send a request whose response closes the connection, and return the connection once it lingers."""
    client.send(
        {"requested": http_request(Connection="close"), "malformed": http_request(request_id="")}.get(
            close_reason, http_request()
        )
    )
    if close_reason in ("draining", "requested"):
        await wait_until(lambda: len(endpoint.received) == 1)
        proxy.clients.is_draining = close_reason == "draining"
        proxy.oldest_attempt_connection().data_received(http_response(200, b"x"))
    [connection] = [
        client_connection
        for client_connection in await wait_for_lingering_connection(proxy)
        if client_connection.is_lingering
    ]
    return connection


async def send_late_requests(client: SocketClient) -> None:
    client.send(http_request(request_id="late1"))
    await run_loop_turns()
    client.send(http_request(request_id="late2") + http_request(request_id="late3"))
    await run_loop_turns()


@pytest.mark.parametrize("close_reason", ["draining", "requested", "over the limit", "malformed"])
async def test_request_after_the_last_response_is_not_forwarded(close_reason: str) -> None:
    """The lingering connection is read only so that its close does not reset the response."""
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=1) as proxy,
    ):
        busy = SocketClient(proxy)
        if close_reason == "over the limit":
            busy.send(http_request(request_id="busy"))
            await wait_until(lambda: len(endpoint.received) == 1)
        client = busy if close_reason != "over the limit" else SocketClient(proxy)
        connection = await send_last_request(proxy, endpoint, client, close_reason)
        forwarded_count = len(endpoint.received)
        await send_late_requests(client)
        reader, writer = await client.streams()
        response = await read_http_message(reader)
        assert response_status(response) == {"over the limit": 503, "malformed": 400}.get(close_reason, 200)
        assert closes_connection(response)
        assert await reader.read() == b""
        assert connection in proxy.clients.open_connections
        assert not connection.http.received
        assert len(endpoint.received) == forwarded_count
        writer.close()
        await wait_until(lambda: connection not in proxy.clients.open_connections)
        busy.socket.close()


async def wait_for_lingering_connection(proxy: LoopbackProxy) -> list[ClientConnection]:
    """Wait until an open connection lingers, and return all open connections."""
    await wait_until(lambda: any(connection.is_lingering for connection in proxy.clients.open_connections))
    return list(proxy.clients.open_connections)


@pytest.mark.parametrize("is_last", [True, False])
async def test_connection_is_not_evicted_while_it_writes_a_response(is_last: bool) -> None:
    """The connection is idle or lingering as soon as the response has been passed to the transport.

    It is then a candidate for eviction, although the client has not received all of the response.
    """

    async with (
        StandInEndpoint(http_response(200, b"x" * 65_536)) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=1) as proxy,
    ):
        proxy.limit_send_buffers()
        reader, writer = await connect_paused_client(proxy)
        writer.write(http_request(request_id="slow", Connection="close" if is_last else "keep-alive"))
        await wait_until(lambda: any(connection.is_writing for connection in proxy.clients.open_connections))
        assert response_status(await proxy.send_request(http_request(request_id="new"))) == 503
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert len((await read_http_message(reader))[2]) == 65_536
        writer.close()
        await wait_until(lambda: not proxy.clients.open_connections)


@pytest.mark.parametrize("is_last", [True, False])
async def test_slowly_read_response_is_delivered_complete(is_last: bool) -> None:
    """A last response is complete too: the end of the stream follows it."""

    async with (
        StandInEndpoint(http_response(200, b"x" * 65_536)) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        proxy.limit_send_buffers()
        clock = FrozenClock()
        reader, writer = await connect_paused_client(proxy)
        writer.write(http_request(request_id="slow", Connection="close" if is_last else "keep-alive"))
        await wait_until(
            lambda: any(client_connection.is_writing for client_connection in proxy.clients.open_connections)
        )
        [connection] = proxy.clients.open_connections
        clock.advance(client_limits.WRITE_TIMEOUT_S - 0.5)
        await run_loop_turns()
        assert connection in proxy.clients.open_connections
        assert connection.is_writing
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert len((await read_http_message(reader))[2]) == 65_536
        await wait_until(lambda: not connection.is_writing)
        proxy.listener.time_limits.check(connection, proxy.listener.loop.time())
        assert connection in proxy.clients.open_connections
        assert not connection.transport.is_closing()
        if is_last:
            assert await reader.read() == b""
            clock.advance(client_limits.LINGER_TIMEOUT_S + client_limits.SWEEP_INTERVAL_S)
            await wait_until(lambda: not proxy.clients.open_connections)
        writer.close()


async def open_idle_connection(
    proxy: LoopbackProxy, endpoint: StandInServer, client: SocketClient
) -> ClientConnection:
    """Respond to the first request of the client, and return its connection once it is idle."""
    client.send(http_request(request_id="first"))
    await wait_until(lambda: len(endpoint.received) == 1)
    proxy.oldest_attempt_connection().data_received(http_response(200, b"first"))
    await wait_until(lambda: bool(proxy.clients.idle_connections))
    [connection] = proxy.clients.open_connections
    return connection


async def close_idle_connection(
    proxy: LoopbackProxy, connection: ClientConnection, close_cause: str
) -> SocketClient | None:
    """Close the connection for the given cause. For an eviction, return the client that caused it."""
    if close_cause == "idle timeout":
        proxy.listener.time_limits.check(
            connection, proxy.listener.loop.time() + client_limits.KEEP_ALIVE_TIMEOUT_S + 1.0
        )
    elif close_cause == "shutdown":
        proxy.listener.close_idle_connections()
    else:
        new_client = SocketClient(proxy)
        await wait_until(lambda: connection.transport.is_closing())
        return new_client
    return None


@pytest.mark.parametrize("close_cause", ["idle timeout", "shutdown", "eviction"])
@pytest.mark.parametrize("after_loop_turns", [False, True])
async def test_request_that_crosses_the_close_of_an_idle_connection_is_not_forwarded(
    close_cause: str, after_loop_turns: bool
) -> None:
    """It arrives after the last check of the connection. The client can safely send it again."""
    async with (
        SilentEndpoint() as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port), max_connections=1) as proxy,
    ):
        clock, client = FrozenClock(), SocketClient(proxy)
        connection = await open_idle_connection(proxy, endpoint, client)
        clock.advance(1.0)
        new_client = await close_idle_connection(proxy, connection, close_cause)
        assert connection.transport.is_closing()
        if after_loop_turns:
            await run_loop_turns()
        with contextlib.suppress(ConnectionError):
            client.send(http_request(request_id="crossing"))
            client.send(http_request(request_id="another"))
        await run_loop_turns()
        reader, writer = await client.streams()
        assert (await read_http_message(reader))[2] == b"first"  # the later requests have no response
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()
        assert len(endpoint.received) == 1
        assert proxy.driver.is_idle
        if new_client is not None:
            new_client.disconnect("FIN")
        await wait_until(lambda: not proxy.clients.open_connections)


@pytest.mark.parametrize(
    ("sent", "statuses", "forwarded_count"),
    [
        (
            [
                http_request(request_id="a"),
                http_request(request_id="b", Connection="close"),
                http_request(request_id="c"),
            ],
            [200, 200],
            2,
        ),
        ([http_request(request_id="a"), b"nonsense\r\n\r\n", http_request(request_id="c")], [200, 400], 1),
        (
            [
                http_request(request_id="a"),
                http_request(request_id="b", Req_Deadline="soon"),
                http_request(request_id="c"),
            ],
            [200, 400],
            1,
        ),
        (
            [
                http_request("mark", request_id="a", body=b"x", Expect="100-continue"),
                http_request(request_id="b"),
            ],
            [100, 200, 200],
            2,
        ),
        (
            [http_request(request_id="a"), http_request(path="/ready"), http_request(request_id="a")],
            [200, 200, 200],
            2,
        ),
    ],
    ids=[
        "close in the middle",
        "not HTTP in the middle",
        "malformed in the middle",
        "100 continue",
        "repeated id",
    ],
)
@pytest.mark.parametrize("in_one_write", [True, False])
async def test_each_pipelined_request_up_to_the_last_gets_one_final_response(
    sent: list[bytes], statuses: list[int], forwarded_count: int, in_one_write: bool
) -> None:
    """The requests are sent in one write, or the later ones while the first one is open."""

    async with SilentEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        client = SocketClient(proxy)
        client.send(b"".join(sent) if in_one_write else sent[0])
        for number in range(forwarded_count):
            await wait_until(lambda number=number: len(endpoint.received) == number + 1)  # type: ignore[misc]
            if number == 0 and not in_one_write:
                client.send(b"".join(sent[1:]))
            proxy.oldest_attempt_connection().data_received(http_response(200, b"%d" % number))
        reader, writer = await client.streams()
        responses = [await read_http_message(reader) for _ in statuses]
        assert [response_status(response) for response in responses] == statuses
        await run_loop_turns()
        if statuses[-1] == 400 or len(statuses) == 2:
            assert await reader.read() == b""
        else:
            writer.write(http_request(path="/ready", Connection="close"))
            assert response_status(await read_http_message(reader)) == 200
            assert await reader.read() == b""
        assert len(endpoint.received) == forwarded_count
        writer.close()
        await wait_until(lambda: not proxy.clients.open_connections)
