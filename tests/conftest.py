"""Pytest hooks and fixtures of all tests, including the real-time limit of asynchronous tests."""

from __future__ import annotations

import inspect
import socket
from collections.abc import AsyncIterator, Generator, Iterator

import pytest

from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.endpoint_lists import endpoint_entry
from tests.support.failing_sockets import FailingSocket, SocketFailures
from tests.support.http_messages import http_response
from tests.support.known_failures import read_listed_tests
from tests.support.log_lines import recorded_problem_lines
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInEndpoint
from tests.support.time_limit import with_time_limit


def pytest_configure(config: pytest.Config) -> None:
    """Register the marker for tests that need a longer time limit."""
    config.addinivalue_line("markers", "time_limit_s(seconds): bound on an asynchronous test in real time")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the failure of exactly the tests that `KNOWN-RED.txt` lists."""
    listed = read_listed_tests()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=listed[item.nodeid]))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures that were passed over, and the listed tests that passed this time."""
    for report in terminalreporter.stats.get("xfailed", ()):
        terminalreporter.write_line(f"known failure, see KNOWN-RED.txt: {report.nodeid}")
    for report in terminalreporter.stats.get("xpassed", ()):
        terminalreporter.write_line(
            f"intermittent failure, passed this time, see KNOWN-RED.txt: {report.nodeid}"
        )


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call(item: pytest.Item) -> Generator[None, None, None]:
    """Limit the real time of each asynchronous test."""
    if isinstance(item, pytest.Function) and inspect.iscoroutinefunction(item.obj):
        marker = item.get_closest_marker("time_limit_s")
        item.obj = with_time_limit(item.obj, *(marker.args if marker else ()))
    return (yield)


@pytest.fixture
def bytes_from_endpoints(monkeypatch: pytest.MonkeyPatch) -> bytearray:
    """All bytes that the proxy has read from endpoints so far."""
    received = bytearray()
    data_received = UpstreamConnection.data_received

    def record_and_receive(connection: UpstreamConnection, data: bytes) -> None:
        received.extend(data)
        data_received(connection, data)

    monkeypatch.setattr(UpstreamConnection, "data_received", record_and_receive)
    return received


@pytest.fixture
def socket_failures(monkeypatch: pytest.MonkeyPatch) -> Iterator[SocketFailures]:
    """System call failures added by the test; they apply to all sockets created from now on."""
    active_failures = SocketFailures()

    class SocketOfThisTest(
        FailingSocket
    ):  # own class: a socket that outlives its test must not use the next test's failures
        failures = active_failures

    monkeypatch.setattr(socket, "socket", SocketOfThisTest)
    yield active_failures
    active_failures.clear()


@pytest.fixture
def no_problems_until_loop_closes() -> Iterator[None]:
    """Fail the test if it logs a line of level WARNING or above, also while its event loop closes."""
    with recorded_problem_lines() as lines:
        yield
    assert not lines


@pytest.fixture
def no_tracebacks_until_loop_closes() -> Iterator[None]:
    """Fail the test if it logs a traceback, also while its event loop closes."""
    with recorded_problem_lines() as lines:
        yield
    assert not [line for line in lines if "Traceback" in line]


@pytest.fixture
async def endpoint() -> AsyncIterator[StandInEndpoint]:
    """An endpoint that responds to each request with 200 and the body `x`."""
    async with StandInEndpoint(http_response(200, b"x")) as stand_in:
        yield stand_in


@pytest.fixture
async def proxy(endpoint: StandInEndpoint) -> AsyncIterator[LoopbackProxy]:
    """A proxy with the default test settings in front of that endpoint, whose uid is `s-1`."""
    async with running_proxy(endpoint_entry("s-1", endpoint.port)) as running:
        yield running


@pytest.fixture
def at_most_one_problem_until_loop_closes() -> Iterator[None]:
    """Fail the test if it logs more than one line of level WARNING or above, also while its loop closes."""
    with recorded_problem_lines() as lines:
        yield
    assert len(lines) <= 1
