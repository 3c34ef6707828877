"""System calls that fail for a shortage on this machine: no fault of the endpoint, no retry spent.

The failures are made at the boundary to the system, on real sockets, by a socket class that does as it is
told.
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

OF_THIS_MACHINE = [
    *(("socket", error) for error in ERRNOS_OF_RESOURCE_SHORTAGE),
    *(("connect", error) for error in (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM)),
]
EACH_LACK = pytest.mark.parametrize(
    ("name", "error"),
    OF_THIS_MACHINE,
    ids=[f"{name} {errno.errorcode[error]}" for name, error in OF_THIS_MACHINE],
)


@EACH_LACK
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes")
async def test_local_resource_shortage_is_not_blamed_on_the_endpoint(
    name: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        reader, writer = await p.connect()
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        rule = socket_failures.add(name, any_socket, error)
        writer.write(http_request())
        assert response_status(await read_http_message(reader)) == 200
        assert rule.hits == 1
        assert len(b.received) == 1
        assert not p.pool.pacing.no_extra_until_s
        [server] = p.driver.balancer.endpoints.states.values()
        assert server.detector.first_epoch_count == PRIOR_SAMPLES + 1  # of the answer alone
        assert p.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
        writer.close()
    assert not traceback_lines(caplog)


@EACH_LACK
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes")
async def test_lasting_local_resource_shortage_rejects_requests_at_once(
    name: str, error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    """After as many tries as the settings allow, which cost no retry, and none of them goes on."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(*(endpoint_entry(f"b{n}", b.port) for n in range(5))) as p,
    ):
        reader, writer = await p.connect()
        await wait_until(lambda: len(p.clients.open_connections) == 1)
        rule = socket_failures.add(name, any_socket, error, times=sys.maxsize)
        for answers in range(1, 31):
            writer.write(http_request(request_id=f"r{answers}"))
            assert response_status(await read_http_message(reader)) == 503
            assert rule.hits == 3 * answers
            assert p.driver.is_idle
        assert p.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
        assert not b.received
        assert not p.pool.pending.by_endpoint
        assert not p.pool.connections.open
        assert not p.pool.waiting.by_endpoint
        socket_failures.clear()
        writer.write(http_request(request_id="last"))
        assert response_status(await read_http_message(reader)) == 200
        writer.close()
    assert not traceback_lines(caplog)


async def test_local_resource_shortage_beside_a_late_connect_is_not_retried_rapidly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt whose connection is late tries another one often, as one that fails at once is soon gone."""

    async with StandInEndpoint(http_response(200)) as b:
        pool = ConnectionPool(60.0, 60.0, 10)
        calls, connects = RecordedAttempts(pool, b), ConnectGates(pool, [0.005] * 10 + [1.0] * 5)
        made, tried = pool.connector.open, 0

        async def lacks_all_but_the_first(endpoint: EndpointAddress) -> UpstreamConnection:
            nonlocal tried
            tried += 1
            if tried > 1:
                raise OSError(errno.EADDRNOTAVAIL, "no local port")
            return await made(endpoint)

        monkeypatch.setattr(pool.connector, "open", lacks_all_but_the_first)
        calls.begin("a", timeout_s=5.0)
        began = pool.loop.time()
        for _ in range(200):
            await connects.advance(0.003)
        assert not calls.outcomes
        assert 1 < tried <= 2 + (pool.loop.time() - began) / SHORTAGE_PAUSE_S
        pool.close()


class Unpolled:
    """A poll that the system refuses."""

    def __init__(self, error: int) -> None:
        self.error, self.asked = error, 0

    def register(self, *args: object) -> None:
        pass

    def poll(self, *args: object) -> list[tuple[int, int]]:
        self.asked += 1
        raise OSError(self.error, os.strerror(self.error))


@pytest.mark.parametrize("error", ERRNOS_OF_RESOURCE_SHORTAGE, ids=lambda number: errno.errorcode[number])
@pytest.mark.usefixtures("no_problems_until_loop_closes")
async def test_requests_are_served_when_poll_fails(
    error: int, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The careful answer counts: a resting connection is not used, no client has left, none is closed."""

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("b", b.port)) as p,
    ):
        failing = Unpolled(error)
        reader, writer = await p.connect()
        idle_reader, idle = await p.connect()
        await wait_until(lambda: len(p.clients.open_connections) == 2)
        clock = SteppedClock()
        with monkeypatch.context() as patch:
            patch.setattr("load_balancer.net.socket_state.select.poll", lambda: failing)
            for number in range(3):
                writer.write(http_request(request_id=f"r{number}"))
                assert response_status(await read_http_message(reader)) == 200
                clock.advance(SETTLE_S)
            assert b.connection_count == 3
            assert failing.asked
            assert p.driver.balancer.retry_budget.tokens == MAX_SAVED_RETRIES
            clock.advance(1.0)
            p.listener.close_idle_connections()
            p.listener.sweep()
            assert len(p.clients.open_connections) == 2
            assert not p.listener.is_drained
        p.listener.close_idle_connections()  # it can tell again
        assert await idle_reader.read() == await reader.read() == b""
        writer.close()
        idle.close()
    assert not problem_lines(caplog)
