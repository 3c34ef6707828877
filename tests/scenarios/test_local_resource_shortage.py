"""System calls that fail for a local resource shortage count as no endpoint failure and use no retry budget.

The failures are injected at the system call boundary of real sockets, by `FailingSocket`.
"""

from __future__ import annotations

import errno
import os
import sys

import pytest

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connect_pacing import SHORTAGE_PAUSE_S
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.idle_connections import SETTLE_S
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.policy.change_detector import PRIOR_SAMPLES
from load_balancer.policy.retry_budget import MAX_SAVED_RETRIES
from tests.support.attempts import RecordedAttempts
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import (
    endpoint_entry,
)
from tests.support.failing_sockets import (
    ERRNOS_OF_RESOURCE_SHORTAGE,
    SocketFailures,
    any_socket,
)
from tests.support.http_messages import (
    http_request,
    http_response,
    read_http_message,
    response_status,
)
from tests.support.log_lines import problem_lines, traceback_lines
from tests.support.loopback_proxy import running_proxy
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import SteppedClock, wait_until

SHORTAGES = [
    *(("socket", error) for error in ERRNOS_OF_RESOURCE_SHORTAGE),
    *(("connect", error) for error in (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM)),
]
EACH_SHORTAGE = pytest.mark.parametrize(
    ("call", "error"),
    SHORTAGES,
    ids=[f"{call} {errno.errorcode[error]}" for call, error in SHORTAGES],
)


@EACH_SHORTAGE
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes")
async def test_local_resource_shortage_does_not_count_against_the_endpoint(
    call: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        reader, writer = await proxy.connect()
        await wait_until(lambda: len(proxy.clients.open_connections) == 1)
        failure = socket_failures.add(call, any_socket, error)
        writer.write(http_request())
        assert response_status(await read_http_message(reader)) == 200
        assert failure.hit_count == 1
        assert len(endpoint.received) == 1
        assert not proxy.pool.pacing.no_extra_connect_until_s
        [state] = proxy.driver.balancer.endpoints.states.values()
        assert state.detector.first_epoch_count == PRIOR_SAMPLES + 1  # only the response is counted
        assert proxy.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
        writer.close()
    assert not traceback_lines(caplog)


@EACH_SHORTAGE
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes")
async def test_lasting_local_resource_shortage_rejects_requests_at_once(
    call: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    """Each makes the maximum number of attempts; no retry budget is used and no connection is left open."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(*(endpoint_entry(f"b{number}", endpoint.port) for number in range(5))) as proxy,
    ):
        reader, writer = await proxy.connect()
        await wait_until(lambda: len(proxy.clients.open_connections) == 1)
        failure = socket_failures.add(call, any_socket, error, times=sys.maxsize)
        for request_count in range(1, 31):
            writer.write(http_request(request_id=f"r{request_count}"))
            assert response_status(await read_http_message(reader)) == 503
            assert failure.hit_count == 3 * request_count
            assert proxy.driver.is_idle
        assert proxy.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
        assert not endpoint.received
        assert not proxy.pool.pending.by_endpoint
        assert not proxy.pool.connections.open
        assert not proxy.pool.waiting.by_endpoint
        socket_failures.clear()
        writer.write(http_request(request_id="last"))
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
    assert not traceback_lines(caplog)


async def test_local_resource_shortage_beside_a_late_connect_is_not_retried_rapidly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt with a late connect starts another one; if that fails at once, a pause follows."""

    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(60.0, 60.0, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, [0.005] * 10 + [1.0] * 5)
        open_connection, connect_count = pool.connector.open, 0

        async def open_only_the_first(endpoint: EndpointAddress) -> UpstreamConnection:
            nonlocal connect_count
            connect_count += 1
            if connect_count > 1:
                raise OSError(errno.EADDRNOTAVAIL, "no local port")
            return await open_connection(endpoint)

        monkeypatch.setattr(pool.connector, "open", open_only_the_first)
        attempts.start_attempt("a", timeout_s=5.0)
        began_s = pool.loop.time()
        for _ in range(200):
            await connects.advance(0.003)
        assert not attempts.outcomes
        assert 1 < connect_count <= 2 + (pool.loop.time() - began_s) / SHORTAGE_PAUSE_S
        pool.close()


class FailingPoll:
    """Stand-in for `select.poll` whose system call fails."""

    def __init__(self, error: int) -> None:
        self.error, self.poll_count = error, 0

    def register(self, *args: object) -> None:
        pass

    def poll(self, *args: object) -> list[tuple[int, int]]:
        self.poll_count += 1
        raise OSError(self.error, os.strerror(self.error))


@pytest.mark.parametrize("error", ERRNOS_OF_RESOURCE_SHORTAGE, ids=lambda number: errno.errorcode[number])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_requests_are_served_when_poll_fails(
    error: int, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Socket states are then unknown: no idle connection is reused or closed, no client counts as gone."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry("b", endpoint.port)) as proxy,
    ):
        failing_poll = FailingPoll(error)
        reader, writer = await proxy.connect()
        idle_reader, idle_writer = await proxy.connect()
        await wait_until(lambda: len(proxy.clients.open_connections) == 2)
        clock = SteppedClock()
        with monkeypatch.context() as patch:
            patch.setattr("load_balancer.net.socket_state.select.poll", lambda: failing_poll)
            for number in range(3):
                writer.write(http_request(request_id=f"r{number}"))
                assert response_status(await read_http_message(reader)) == 200
                clock.advance(SETTLE_S)
            assert endpoint.connection_count == 3
            assert failing_poll.poll_count
            assert proxy.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
            clock.advance(1.0)
            proxy.listener.close_idle_connections()
            proxy.listener.sweep()
            assert len(proxy.clients.open_connections) == 2
            assert not proxy.listener.is_drained
        proxy.listener.close_idle_connections()  # poll works again
        assert await idle_reader.read() == await reader.read() == b""
        writer.close()
        idle_writer.close()
    assert not problem_lines(caplog)
