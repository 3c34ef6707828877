"""Connects that fail for lack of a route: the endpoint is avoided for a while and keeps its share.

The failures are injected at the system call boundary of real sockets, by `FailingSocket`.
"""

from __future__ import annotations

import errno
from itertools import count

import pytest

from load_balancer import messages
from load_balancer.net import socket_state
from load_balancer.net.addresses import EndpointAddress
from load_balancer.policy.change_detector import PRIOR_SAMPLES
from load_balancer.policy.endpoint_state import COOL_DOWN_US, EndpointState
from tests.support.balancer_harness import BalancerHarness, actions_of_type
from tests.support.endpoint_lists import (
    endpoint_entry,
)
from tests.support.failing_sockets import (
    SocketFailure,
    SocketFailures,
    connected_to,
)
from tests.support.http_messages import (
    http_request,
    http_response,
    response_status,
)
from tests.support.log_lines import traceback_lines
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import FrozenClock
from tests.support.units import MILLISECOND_US, SECOND_US

EACH_ROUTE_ERROR = pytest.mark.parametrize(
    "error", socket_state.NO_ROUTE_ERRNOS, ids=lambda number: errno.errorcode[number]
)


REQUEST_NUMBERS = count()


def endpoint_address(proxy: LoopbackProxy, endpoint: StandInEndpoint) -> EndpointAddress:
    addresses = proxy.driver.endpoint_list.endpoints.by_id.values()
    return next(listed for listed in addresses if listed.address[1] == endpoint.port)


async def check_served(proxy: LoopbackProxy) -> None:
    """Send a request with a unique id and check that it is served."""
    request_id = f"r{next(REQUEST_NUMBERS)}"
    assert response_status(await proxy.send_request(http_request(request_id=request_id))) == 200


async def fail_connects(
    proxy: LoopbackProxy, unreachable_state: EndpointState, failure: SocketFailure, failure_count: int
) -> None:
    """Send requests until this many connects have failed, ending the avoidance period after each one."""
    clock = FrozenClock()
    proxy.link_policy_clock(clock)
    while failure.hit_count < failure_count:
        await check_served(proxy)
        if proxy.driver.clock.now_us() < unreachable_state.unreachable_until_us:
            clock.advance(COOL_DOWN_US / SECOND_US)


@EACH_ROUTE_ERROR
@pytest.mark.usefixtures("no_tracebacks_until_loop_closes")
async def test_unreachable_endpoint_keeps_its_share_and_is_used_again(
    error: int, socket_failures: SocketFailures, caplog: pytest.LogCaptureFixture
) -> None:
    """Requests whose connects fail are served by the other endpoint."""
    async with (
        StandInEndpoint(http_response(200, b"a")) as unreachable,
        StandInEndpoint(http_response(200, b"b")) as other,
        running_proxy(endpoint_entry("a", unreachable.port), endpoint_entry("b", other.port)) as proxy,
    ):
        pacing, unreachable_address = proxy.pool.pacing, endpoint_address(proxy, unreachable)
        unreachable_state = proxy.driver.balancer.endpoints.states[unreachable_address.id]
        failure = socket_failures.add("connect", connected_to(unreachable.port), error, times=3)
        await fail_connects(proxy, unreachable_state, failure, 3)
        assert unreachable_state.detector.first_epoch_count == PRIOR_SAMPLES
        assert unreachable_state.share == 1.0
        assert not unreachable.received
        avoided_until_s = pacing.no_extra_connect_until_s[unreachable_address]
        assert avoided_until_s <= proxy.pool.loop.time() + pacing.connect_timeout_s
        while not unreachable.received:
            await check_served(proxy)
        assert not pacing.no_extra_connect_until_s
        assert unreachable_state.unreachable_backoff_us == 0
    assert not traceback_lines(caplog)


def test_endpoint_is_avoided_only_briefly_after_a_brief_loss_of_route() -> None:
    """Of four endpoints at 100 requests per second, one is unreachable for 0.3 s."""
    harness, number = BalancerHarness(endpoint_count=4), 0

    def send_request(is_reachable: bool) -> int:
        nonlocal number
        number += 1
        harness.now_us += 10 * MILLISECOND_US
        actions, attempt_number = harness.send_request(f"r{number}"), 0
        while True:
            [attempt] = actions_of_type(actions, messages.StartAttempt)
            if attempt.endpoint_id or is_reachable:
                harness.end_attempt(attempt, messages.Outcome.OK, 50 * MILLISECOND_US, attempt_number)
                return attempt.endpoint_id
            actions = harness.end_attempt(
                attempt, messages.Outcome.UNREACHABLE, 1 * MILLISECOND_US, attempt_number
            )
            attempt_number += 1

    for _ in range(200):
        send_request(True)
    state = harness.balancer.endpoints.states[0]
    for _ in range(30):
        send_request(False)
    assert state.unreachable_until_us
    harness.now_us = state.unreachable_until_us
    assert state.share > 0.8
    assert 60 < sum(send_request(True) == 0 for _ in range(400)) < 140


def test_endpoint_unreachable_for_long_is_retried_at_intervals() -> None:
    """It is never removed: an endpoint that is the only one is tried for each request."""
    harness, attempt_count = BalancerHarness(endpoint_count=4), 0
    for number in range(6000):  # for one minute
        harness.now_us += 10 * MILLISECOND_US
        actions, attempt_number = harness.send_request(f"r{number}"), 0
        while (attempt := actions_of_type(actions, messages.StartAttempt)[0]).endpoint_id == 0:
            attempt_count += 1
            actions = harness.end_attempt(
                attempt, messages.Outcome.UNREACHABLE, 1 * MILLISECOND_US, attempt_number
            )
            attempt_number += 1
        harness.end_attempt(attempt, messages.Outcome.OK, 50 * MILLISECOND_US, attempt_number)
    assert 60 * SECOND_US / COOL_DOWN_US <= attempt_count <= 60 * SECOND_US / COOL_DOWN_US + 5
    single_endpoint_harness = BalancerHarness(endpoint_count=1)
    for number in range(3):
        [attempt] = actions_of_type(single_endpoint_harness.send_request(f"r{number}"), messages.StartAttempt)
        [attempt] = actions_of_type(
            single_endpoint_harness.end_attempt(attempt, messages.Outcome.UNREACHABLE, 1 * MILLISECOND_US),
            messages.StartAttempt,
        )
        single_endpoint_harness.end_attempt(attempt, messages.Outcome.OK, 50 * MILLISECOND_US, 1)
