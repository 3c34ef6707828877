"""When an extra connection is worth its cost, by the outcomes of earlier connects."""

from __future__ import annotations

import asyncio
import errno
import math

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.socket_state import LOCAL_SHORTAGE_ERRNOS, NO_ROUTE_ERRNOS
from load_balancer.net.upstream.connect_latency import MIN_SAMPLES
from load_balancer.net.upstream.connect_pacing import MIN_LATE_S, SHORTAGE_PAUSE_S, ConnectPacing

ENDPOINT = EndpointAddress(1, ("127.0.0.1", 1))
CONNECT_TIMEOUT_S = 0.25


class StoppedLoop(asyncio.SelectorEventLoop):
    """Event loop that never runs; the test sets its clock."""

    now = 100.0

    def time(self) -> float:
        return self.now


@pytest.fixture
def loop() -> StoppedLoop:
    loop = StoppedLoop()
    loop.close()
    return loop


@pytest.fixture
def pacing(loop: StoppedLoop) -> ConnectPacing:
    return ConnectPacing(loop, CONNECT_TIMEOUT_S, 0.0)


def test_connection_is_late_after_the_connect_timeout_until_enough_samples_are_known(
    pacing: ConnectPacing,
) -> None:
    assert pacing.late_after_s == CONNECT_TIMEOUT_S
    for _ in range(MIN_SAMPLES):
        pacing.record_success(ENDPOINT, 0.01)
    assert pacing.late_after_s == pytest.approx(0.02)
    for _ in range(3 * MIN_SAMPLES):
        pacing.record_success(ENDPOINT, 0.0001)
    assert pacing.late_after_s == MIN_LATE_S


def test_cancelled_connect_counts_as_a_sample_only_if_longer_than_the_median(pacing: ConnectPacing) -> None:
    """Late connects are mostly cancelled; if none counted, all connects would seem fast."""
    for _ in range(MIN_SAMPLES):
        pacing.record_success(ENDPOINT, 0.01)
    for _ in range(10 * MIN_SAMPLES):
        pacing.record_cancelled(0.005)
    assert pacing.latency.median_s == 0.01
    for _ in range(2 * MIN_SAMPLES):
        pacing.record_cancelled(0.2)
    assert pacing.latency.median_s == 0.2


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (TimeoutError(), Outcome.NO_CONNECTION),
        (ConnectionRefusedError(errno.ECONNREFUSED, ""), Outcome.NO_CONNECTION),
        *((OSError(number, ""), Outcome.NOT_SENT) for number in LOCAL_SHORTAGE_ERRNOS),
        *((OSError(number, ""), Outcome.UNREACHABLE) for number in NO_ROUTE_ERRNOS),
    ],
    ids=repr,
)
def test_connect_error_determines_the_outcome_and_whether_the_endpoint_is_failing(
    error: OSError, outcome: Outcome, pacing: ConnectPacing
) -> None:
    assert pacing.record_failure(ENDPOINT, error, 0.1) is outcome
    assert pacing.has_local_shortage is (outcome is Outcome.NOT_SENT)
    refused_or_no_route = not isinstance(error, TimeoutError) and outcome is not Outcome.NOT_SENT
    assert pacing.is_failing(ENDPOINT) is refused_or_no_route


def test_local_shortage_ends_after_a_pause(loop: StoppedLoop, pacing: ConnectPacing) -> None:
    pacing.record_failure(ENDPOINT, OSError(errno.EMFILE, ""), 0.1)
    loop.now += 0.9 * SHORTAGE_PAUSE_S
    assert pacing.has_local_shortage
    loop.now += 0.2 * SHORTAGE_PAUSE_S
    assert not pacing.has_local_shortage


@pytest.mark.parametrize("ended_by", ["success", "forget"])
@pytest.mark.parametrize(
    ("number", "until_s"), [(errno.ECONNREFUSED, math.inf), (errno.EHOSTUNREACH, CONNECT_TIMEOUT_S)]
)
def test_no_extra_connection_is_opened_to_an_endpoint_that_fails_at_once(
    number: int, until_s: float, ended_by: str, loop: StoppedLoop, pacing: ConnectPacing
) -> None:
    """A refusal blocks extra connects until a connect succeeds, a missing route for one connect timeout."""
    for seconds in [0.01] * 8 + [0.2] * 2:
        pacing.record_success(ENDPOINT, seconds)
    ages_s = [0.05]
    assert pacing.is_extra_connect_worthwhile(ENDPOINT, ages_s, 1.0)
    pacing.record_failure(ENDPOINT, OSError(number, ""), 0.0)
    assert not pacing.is_extra_connect_worthwhile(ENDPOINT, ages_s, 1.0)
    loop.now += 1.1 * CONNECT_TIMEOUT_S
    assert pacing.is_extra_connect_worthwhile(ENDPOINT, ages_s, 1.0) is math.isfinite(until_s)
    pacing.record_failure(ENDPOINT, OSError(number, ""), 0.0)
    if ended_by == "success":
        pacing.record_success(ENDPOINT, 0.01)
    else:
        pacing.forget(ENDPOINT)
    assert not pacing.is_failing(ENDPOINT)
    assert pacing.is_extra_connect_worthwhile(ENDPOINT, ages_s, 1.0)
