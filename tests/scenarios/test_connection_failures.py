"""System calls on open connections that fail or are partial: each affects only its own connection.

The failures are injected at the system call boundary of real sockets, by `FailingSocket`.
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
UNLIMITED = sys.maxsize
EACH_CONNECTION_ERROR = pytest.mark.parametrize(
    "error", ERRNOS_OF_BROKEN_CONNECTION, ids=lambda number: errno.errorcode[number]
)


def select_sockets_of(
    side: str, endpoint: StandInServer, discovery: StandInServer, proxy: LoopbackProxy
) -> SocketFilter:
    """Return a filter that selects the proxy's sockets to clients, the endpoint or discovery."""
    return {
        "client": accepted_on(proxy.port),
        "endpoint": connected_to(endpoint.port),
        "discovery": connected_to(discovery.port),
    }[side]


@pytest.mark.parametrize("side", SIDES)
@pytest.mark.parametrize("call", ["recv", "send"])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_messages_are_complete_when_each_call_moves_one_byte(
    call: str, side: str, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"said" * 50)) as endpoint,
        StandInListServer(endpoint_list(endpoint_entry("b", endpoint.port))) as discovery,
        running_proxy(discovery_port=discovery.port) as proxy,
    ):
        sockets = select_sockets_of(side, endpoint, discovery, proxy)
        failure = socket_failures.add(call, sockets, times=UNLIMITED)
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
    """The signals that this process has received: two per millisecond, which interrupt its system calls."""
    received: list[int] = []
    previous_handler = signal.signal(signal.SIGALRM, lambda number, frame: received.append(number))
    signal.setitimer(signal.ITIMER_REAL, 0.0005, 0.0005)
    yield received
    signal.setitimer(signal.ITIMER_REAL, 0.0)
    signal.signal(signal.SIGALRM, previous_handler)


@pytest.mark.parametrize("side", SIDES)
@pytest.mark.parametrize("call", ["recv", "send"])
async def test_interrupted_system_calls_are_repeated(
    call: str, side: str, socket_failures: SocketFailures, received_signals: list[int]
) -> None:
    """EINTR is injected, as Python itself repeats most interrupted calls; real signals interrupt waits."""
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        StandInListServer(endpoint_list(endpoint_entry("b", endpoint.port))) as discovery,
        running_proxy(discovery_port=discovery.port) as proxy,
    ):
        sockets = select_sockets_of(side, endpoint, discovery, proxy)
        failure = socket_failures.add(call, sockets, errno.EINTR, times=3)
        await wait_until(lambda: proxy.driver.is_ready)
        for number in range(3):
            assert response_status(await proxy.send_request(http_request(request_id=f"r{number}"))) == 200
        assert failure.hit_count == 3
        assert len(endpoint.received) == 3
        assert discovery.connection_count == 1
    assert received_signals


@pytest.mark.parametrize("unsent_byte_count", [0, 1, 40])
async def test_request_counts_as_sent_with_its_last_byte(
    unsent_byte_count: int, socket_failures: SocketFailures
) -> None:
    """The system accepts one byte per call up to a limit; the endpoint reads these bytes and closes."""
    request = UpstreamRequest(
        b"GET", b"/api", [(b"host", b"x")], b"", is_idempotent=True, adds_deadline_header=False
    )
    request_bytes = b"GET /api HTTP/1.1\r\nhost: x\r\n\r\n"
    unsent_byte_count = min(unsent_byte_count, len(request_bytes) - 1)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert (
            await reader.readexactly(len(request_bytes) - unsent_byte_count)
            == request_bytes[: len(request_bytes) - unsent_byte_count]
        )

    async with StandInServer(handle) as endpoint:
        pool = ConnectionPool(5.0, 30.0, 10)
        socket_failures.add("send", connected_to(endpoint.port), times=len(request_bytes) - unsent_byte_count)
        socket_failures.add("send", connected_to(endpoint.port), errno.EAGAIN, times=UNLIMITED)
        outcome, _ = await run_attempt(pool, ("127.0.0.1", endpoint.port), request)
        assert outcome is (Outcome.NO_CONNECTION if unsent_byte_count else Outcome.RESET)
        pool.close()


class HoldingEndpoint(StandInServer):
    """Endpoint that sends no response by itself; a test writes the responses.

    Attributes:
        writer_by_id: The connection of each request, by the request's id.
        ended_ids: The ids of the requests whose connections the proxy has closed.
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


@EACH_CONNECTION_ERROR
@pytest.mark.parametrize("call", ["recv", "send"])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_failed_client_connection_ends_only_its_own_attempt(
    call: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with HoldingEndpoint() as endpoint, running_proxy(endpoint_entry("b", endpoint.port)) as proxy:
        other_reader, other_writer = await proxy.connect()
        other_writer.write(http_request(request_id="other"))
        _, writer = await proxy.connect()
        writer.write(http_request(request_id="lost"))
        await wait_until(lambda: len(endpoint.writer_by_id) == 2)
        client_address = writer.get_extra_info("sockname")
        failure = socket_failures.add(
            call,
            lambda candidate: accepted_on(proxy.port)(candidate)
            and candidate.getpeername() == client_address,
            error,
        )
        if call == "recv":
            writer.write(b"G")  # triggers a read by the proxy
            await wait_until(lambda: endpoint.ended_ids == ["lost"])
        else:
            endpoint.writer_by_id["lost"].write(http_response(200, b"x"))
        await wait_until(lambda: failure.hit_count == 1 and len(proxy.clients.open_connections) == 1)
        endpoint.writer_by_id["other"].write(http_response(200, b"y"))
        assert (await read_http_message(other_reader))[2] == b"y"
        assert proxy.driver.is_idle
        assert not proxy.driver.requests.attempts.in_flight
        assert not proxy.clients.open_request_ids
        assert len(endpoint.writer_by_id) == 2  # the lost request has had no further attempt
        other_writer.close()
        writer.close()
    assert not problem_lines(caplog)


@EACH_CONNECTION_ERROR
@pytest.mark.parametrize(
    "failure_point", ["at the first byte", "half written", "half written, read", "written"]
)
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_failed_endpoint_connection_counts_as_reset_only_once_the_request_is_sent(
    failure_point: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    sent_byte_count = 10  # bytes

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if failure_point == "written":
            await read_http_message(reader)
        else:
            await reader.readexactly(sent_byte_count)
        if failure_point in ("half written, read", "written"):
            writer.write(b"HTTP")  # triggers a read by the proxy
        await reader.read()

    async with StandInServer(handle) as endpoint:
        pool = ConnectionPool(5.0, 30.0, 10)
        endpoint_sockets = connected_to(endpoint.port)
        if "half" in failure_point:
            socket_failures.add("send", endpoint_sockets, times=sent_byte_count)
        if failure_point == "half written, read":
            socket_failures.add("send", endpoint_sockets, errno.EAGAIN, times=UNLIMITED)
        fails_on_read = failure_point in ("half written, read", "written")
        failure = socket_failures.add("recv" if fails_on_read else "send", endpoint_sockets, error)
        outcome, _ = await run_attempt(pool, ("127.0.0.1", endpoint.port))
        assert outcome is (Outcome.RESET if failure_point == "written" else Outcome.NO_CONNECTION)
        assert failure.hit_count == 1
        await wait_until(lambda: not pool.connections.open)
        pool.close()
    assert not problem_lines(caplog)


@EACH_CONNECTION_ERROR
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
async def test_failed_shutdown_of_a_reset_connection_is_not_logged(
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
