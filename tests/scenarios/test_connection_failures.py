"""System calls on open connections that fail or do half of what was asked: each concerns it alone.

The failures are made at the boundary to the system, on real sockets, by a socket class that does as it is
told.
"""

from __future__ import annotations

import asyncio
import errno
import signal
import sys
from collections.abc import Iterator

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_messages import UpstreamRequest
from load_balancer.policy.retry_budget import MAX_SAVED_RETRIES
from tests.support.attempts import run_attempt
from tests.support.endpoint_lists import (
    endpoint_entry,
    endpoint_list,
)
from tests.support.failing_sockets import (
    ERRNOS_OF_BROKEN_CONNECTION,
    SocketFailures,
    SocketFilter,
    accepted_on,
    connected_to,
)
from tests.support.http_messages import (
    http_request,
    http_response,
    read_http_message,
    response_status,
)
from tests.support.log_lines import problem_lines
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_discovery import StandInListServer
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import wait_until

SIDES = ["client", "endpoint", "discovery"]
NEVER_ENDING = sys.maxsize  # times
EACH_STANDING = pytest.mark.parametrize(
    "error", ERRNOS_OF_BROKEN_CONNECTION, ids=lambda number: errno.errorcode[number]
)


def sockets_of(
    side: str, endpoint: StandInServer, discovery: StandInServer, proxy: LoopbackProxy
) -> SocketFilter:
    """Select the proxy's sockets to one of these three sides."""
    return {
        "client": accepted_on(proxy.port),
        "endpoint": connected_to(endpoint.port),
        "discovery": connected_to(discovery.port),
    }[side]


@pytest.mark.parametrize("side", SIDES)
@pytest.mark.parametrize("name", ["recv", "send"])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_bytes_that_come_or_go_one_by_one_are_read_and_written_completely(
    name: str, side: str, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"said" * 50)) as endpoint,
        StandInListServer(endpoint_list(endpoint_entry("b", endpoint.port))) as discovery,
        running_proxy(discovery_port=discovery.port) as proxy,
    ):
        sockets = sockets_of(side, endpoint, discovery, proxy)
        failure = socket_failures.add(name, sockets, times=NEVER_ENDING)
        await wait_until(lambda: proxy.driver.is_ready)
        for number in range(2):
            response = await proxy.send_request(
                http_request("mark", request_id=f"r{number}", body=b"asked" * 50)
            )
            assert (response_status(response), response[2]) == (200, b"said" * 50)
        assert [body for _, _, body in endpoint.received] == [b"asked" * 50] * 2
        assert failure.hit_count > 50
        assert discovery.connection_count == 1
    assert not problem_lines(caplog)


@pytest.fixture
def received_signals() -> Iterator[list[int]]:
    """The signals that this process has received, two a millisecond; they interrupt its system calls."""
    received: list[int] = []
    previous_handler = signal.signal(signal.SIGALRM, lambda number, frame: received.append(number))
    signal.setitimer(signal.ITIMER_REAL, 0.0005, 0.0005)
    yield received
    signal.setitimer(signal.ITIMER_REAL, 0.0)
    signal.signal(signal.SIGALRM, previous_handler)


@pytest.mark.parametrize("side", SIDES)
@pytest.mark.parametrize("name", ["recv", "send"])
async def test_interrupted_system_calls_are_repeated(
    name: str, side: str, socket_failures: SocketFailures, received_signals: list[int]
) -> None:
    """Calls are made to fail so, though Python repeats most itself; real signals interrupt waits."""
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        StandInListServer(endpoint_list(endpoint_entry("b", endpoint.port))) as discovery,
        running_proxy(discovery_port=discovery.port) as proxy,
    ):
        sockets = sockets_of(side, endpoint, discovery, proxy)
        failure = socket_failures.add(name, sockets, errno.EINTR, times=3)
        await wait_until(lambda: proxy.driver.is_ready)
        for number in range(3):
            assert response_status(await proxy.send_request(http_request(request_id=f"r{number}"))) == 200
        assert failure.hit_count == 3
        assert len(endpoint.received) == 3
        assert discovery.connection_count == 1
    assert received_signals


@pytest.mark.parametrize("all_but", [0, 1, 40])
async def test_request_counts_as_sent_with_its_last_byte(
    all_but: int, socket_failures: SocketFailures
) -> None:
    """The system takes one byte at a time and then no more; the endpoint reads these and closes."""
    request = UpstreamRequest(
        b"GET", b"/api", [(b"host", b"x")], b"", is_idempotent=True, adds_deadline_header=False
    )
    complete = b"GET /api HTTP/1.1\r\nhost: x\r\n\r\n"
    all_but = min(all_but, len(complete) - 1)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await reader.readexactly(len(complete) - all_but) == complete[: len(complete) - all_but]

    async with StandInServer(handle) as endpoint:
        pool = ConnectionPool(5.0, 30.0, 10)
        socket_failures.add("send", connected_to(endpoint.port), times=len(complete) - all_but)
        socket_failures.add("send", connected_to(endpoint.port), errno.EAGAIN, times=NEVER_ENDING)
        outcome, _ = await run_attempt(pool, ("127.0.0.1", endpoint.port), request)
        assert outcome is (Outcome.NO_CONNECTION if all_but else Outcome.RESET)
        pool.close()


class HoldingEndpoint(StandInServer):
    """Responds to no request by itself; a test writes the responses.

    Attributes:
        writer_by_id: The connection of each request, by the request's id.
        ended_ids: The requests whose connections the proxy has closed.
    """

    def __init__(self) -> None:
        super().__init__(self._hold)
        self.writer_by_id: dict[str, asyncio.StreamWriter] = {}
        self.ended_ids: list[str] = []

    async def _hold(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers, _ = await read_http_message(reader)
        self.writer_by_id[headers["req-id"]] = writer
        await reader.read()
        self.ended_ids.append(headers["req-id"])


@EACH_STANDING
@pytest.mark.parametrize("name", ["recv", "send"])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_failed_client_connection_ends_only_its_own_attempt(
    name: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with HoldingEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        other_reader, other = await proxy.connect()
        other.write(http_request(request_id="other"))
        _, writer = await proxy.connect()
        writer.write(http_request(request_id="lost"))
        await wait_until(lambda: len(endpoint.writer_by_id) == 2)
        client_address = writer.get_extra_info("sockname")
        failure = socket_failures.add(
            name,
            lambda checked: accepted_on(proxy.port)(checked) and checked.getpeername() == client_address,
            error,
        )
        if name == "recv":
            writer.write(b"G")  # what comes makes it read
            await wait_until(lambda: endpoint.ended_ids == ["lost"])
        else:
            endpoint.writer_by_id["lost"].write(http_response(200, b"x"))
        await wait_until(lambda: failure.hit_count == 1 and len(proxy.clients.open_connections) == 1)
        endpoint.writer_by_id["other"].write(http_response(200, b"y"))
        assert (await read_http_message(other_reader))[2] == b"y"
        assert proxy.driver.is_idle
        assert not proxy.driver.requests.attempts.in_flight
        assert not proxy.clients.open_request_ids
        assert len(endpoint.writer_by_id) == 2  # no attempt was made for it again
        other.close()
        writer.close()
    assert not problem_lines(caplog)


@EACH_STANDING
@pytest.mark.parametrize("when", ["at the first byte", "half written", "half written, read", "written"])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_failed_endpoint_connection_tells_by_the_last_byte_whether_the_request_may_have_run(
    when: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    half = 10  # bytes

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if when == "written":
            await read_http_message(reader)
        else:
            await reader.readexactly(half)
        if when in ("half written, read", "written"):
            writer.write(b"HTTP")  # makes the proxy read
        await reader.read()

    async with StandInServer(handle) as endpoint:
        pool = ConnectionPool(5.0, 30.0, 10)
        side = connected_to(endpoint.port)
        if "half" in when:
            socket_failures.add("send", side, times=half)
        if when == "half written, read":
            socket_failures.add("send", side, errno.EAGAIN, times=NEVER_ENDING)
        reads = when in ("half written, read", "written")
        failure = socket_failures.add("recv" if reads else "send", side, error)
        outcome, _ = await run_attempt(pool, ("127.0.0.1", endpoint.port))
        assert outcome is (Outcome.RESET if when == "written" else Outcome.NO_CONNECTION)
        assert failure.hit_count == 1
        await wait_until(lambda: not pool.connections.open)
        pool.close()
    assert not problem_lines(caplog)


@EACH_STANDING
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_failed_idle_connection_is_not_reused(
    error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        assert response_status(await proxy.send_request(http_request(request_id="r1"))) == 200
        await wait_until(lambda: bool(proxy.pool.idle.by_endpoint))
        socket_failures.add("recv", connected_to(endpoint.port), error)
        endpoint.writers[0].write(b"H")
        await wait_until(lambda: not proxy.pool.idle.by_endpoint and not proxy.pool.connections.open)
        assert response_status(await proxy.send_request(http_request(request_id="r2"))) == 200
        assert endpoint.connection_count == 2
        assert proxy.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
    assert not problem_lines(caplog)


@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_reset_at_the_end_of_sending_is_not_logged(
    socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        failure = socket_failures.add("shutdown", accepted_on(proxy.port), errno.ENOTCONN)
        reader, writer = await proxy.connect()
        writer.write(http_request() + b"nonsense\r\n\r\n")
        assert [response_status(await read_http_message(reader)) for _ in range(2)] == [200, 400]
        await wait_until(lambda: failure.hit_count == 1)
        writer.close()
        await wait_until(lambda: not proxy.clients.open_connections)
        assert response_status(await proxy.send_request(http_request(request_id="a2"))) == 200
        assert len(endpoint.received) == 2
    assert not problem_lines(caplog)
