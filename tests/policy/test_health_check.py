"""Attempts that never get a response although the endpoint is up or the connection stays open."""

from __future__ import annotations

import asyncio
from itertools import pairwise

import pytest

from load_balancer import messages
from load_balancer.net.upstream.load_report import read_requests_in_flight
from load_balancer.policy import health_check, scan_timer
from load_balancer.policy.attempt import HangLimit
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.loopback_proxy import running_proxy
from tests.support.stand_in_server import StandInServer
from tests.support.units import MILLISECOND_US, SECOND_US

LIMITS = messages.Limits(max_attempts=3, cancel=True, health_checks=True)
HEALTH_CHECK_SETTINGS = balancer_settings(limits=LIMITS)


def health_checks_within(harness: BalancerHarness, within_us: int) -> list[messages.CheckHealth]:
    return actions_of_type(harness.advance(within_us), messages.CheckHealth)


def test_health_checks_of_hanging_attempt_back_off() -> None:
    harness = BalancerHarness(HEALTH_CHECK_SETTINGS)
    harness.send_request("a")
    assert not health_checks_within(harness, 1150 * MILLISECOND_US)
    check_times_us: list[int] = []
    for _ in range(35):
        for check in health_checks_within(harness, 100 * MILLISECOND_US):
            check_times_us.append(harness.now_us)
            harness.handle(messages.HealthCheckEnded(check.endpoint_id, True, 1.0))
    assert [later - earlier for earlier, later in pairwise(check_times_us)] == [
        400 * MILLISECOND_US,
        800 * MILLISECOND_US,
        1600 * MILLISECOND_US,
    ]
    # The endpoint still processes the request: it is slow.
    assert not actions_of_type(harness.actions, messages.CancelAttempt)


@pytest.mark.parametrize(
    ("class_name", "endpoint_responds", "is_retried"),
    [("read", False, True), ("read", True, False), ("pay", False, False)],
)
def test_attempt_at_silent_endpoint_is_abandoned_without_health_checks(
    class_name: str, endpoint_responds: bool, is_retried: bool
) -> None:
    """An endpoint that responds to other requests is only slow; an unsafe request is never abandoned."""
    harness = BalancerHarness(endpoint_count=2)
    [attempt] = actions_of_type(harness.send_request("a", class_name), messages.StartAttempt)
    harness.now_us += 100 * MILLISECOND_US
    other_attempts = [
        attempt
        for number in range(6)
        for attempt in actions_of_type(harness.send_request(f"b{number}"), messages.StartAttempt)
    ]
    for other in other_attempts:
        if endpoint_responds or other.endpoint_id != attempt.endpoint_id:
            harness.end_attempt(other, messages.Outcome.OK, duration_us=1 * MILLISECOND_US)
    usual_latency_us = harness.balancer.request_factory.classes[class_name].usual_latency_us
    cancels = [
        cancel
        for cancel in actions_of_type(
            harness.advance(int(3 * usual_latency_us) + 200 * MILLISECOND_US), messages.CancelAttempt
        )
        if cancel.request_id == "a"
    ]
    assert cancels == ([messages.CancelAttempt("a", 0)] if is_retried else [])
    if is_retried:
        [retry] = actions_of_type(
            harness.end_attempt(attempt, messages.Outcome.CANCELLED), messages.StartAttempt
        )
        assert retry.request_id == "a"
        assert retry.endpoint_id != attempt.endpoint_id


def test_attempt_is_cancelled_when_endpoint_reports_fewer_requests_than_are_in_flight() -> None:
    harness = BalancerHarness(HEALTH_CHECK_SETTINGS)
    [first] = actions_of_type(harness.send_request("a"), messages.StartAttempt)
    [check] = health_checks_within(harness, 1300 * MILLISECOND_US)
    assert check.endpoint_id == first.endpoint_id
    [cancel] = actions_of_type(
        harness.handle(messages.HealthCheckEnded(check.endpoint_id, True, 0.0)), messages.CancelAttempt
    )
    assert cancel == messages.CancelAttempt("a", 0)
    [retry] = actions_of_type(harness.end_attempt(first, messages.Outcome.CANCELLED), messages.StartAttempt)
    # The next hanging attempt is checked earlier.
    assert len(health_checks_within(harness, 1100 * MILLISECOND_US)) == 1
    assert retry.request_id == "a"
    assert retry.endpoint_id != first.endpoint_id


def test_attempt_younger_than_the_load_report_is_not_cancelled() -> None:
    harness = BalancerHarness(HEALTH_CHECK_SETTINGS, endpoint_count=1)
    harness.send_request("a")
    harness.advance(1200 * MILLISECOND_US)
    harness.send_request("b")
    harness.advance(100 * MILLISECOND_US)
    [check] = actions_of_type(harness.actions, messages.CheckHealth)
    cancels = actions_of_type(
        harness.handle(messages.HealthCheckEnded(check.endpoint_id, True, 0.0)), messages.CancelAttempt
    )
    assert cancels == [messages.CancelAttempt("a", 0)]


def test_endpoint_that_fails_two_health_checks_gets_nothing_until_it_responds() -> None:
    harness = BalancerHarness(HEALTH_CHECK_SETTINGS, endpoint_count=1)
    [first] = actions_of_type(harness.send_request("a"), messages.StartAttempt)
    [check] = health_checks_within(harness, 1300 * MILLISECOND_US)
    after_first_failure = harness.handle(messages.HealthCheckEnded(check.endpoint_id, False))
    assert actions_of_type(after_first_failure, messages.CheckHealth)
    # The endpoint may have paused briefly.
    assert not actions_of_type(after_first_failure, messages.CancelAttempt)
    assert actions_of_type(
        harness.handle(messages.HealthCheckEnded(check.endpoint_id, False)), messages.CancelAttempt
    )
    harness.end_attempt(first, messages.Outcome.CANCELLED)
    assert not actions_of_type(harness.send_request("b"), messages.StartAttempt)
    [check] = health_checks_within(harness, 600 * MILLISECOND_US)
    harness.handle(messages.HealthCheckEnded(check.endpoint_id, True))
    assert actions_of_type(harness.send_request("c"), messages.StartAttempt)


def test_unsafe_request_with_lost_response_is_not_retried() -> None:
    harness = BalancerHarness(HEALTH_CHECK_SETTINGS)
    [first] = actions_of_type(harness.send_request("a", "pay"), messages.StartAttempt)
    [check] = health_checks_within(harness, 1300 * MILLISECOND_US)
    harness.handle(messages.HealthCheckEnded(check.endpoint_id, True, 0.0))
    ended = harness.end_attempt(first, messages.Outcome.CANCELLED)
    assert actions_of_type(ended, messages.Fail)
    assert not actions_of_type(ended, messages.StartAttempt)


def test_no_health_check_is_sent_where_settings_forbid_them() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=3, cancel=True)))
    harness.send_request("a")
    assert not health_checks_within(harness, 3 * SECOND_US)


@pytest.mark.parametrize(
    ("report", "requests_in_flight"),
    [
        (b"inflight=7,queue=2,util=0.61", 7.0),
        (b"failed_ps=0,busy_reqs=0.5,cpu_share=1", 0.5),
        (b"inflight=", None),
        (b"inflight=nan,util=1", None),
        (b"xinflight=3", None),
        (b"\xff\x00", None),
        (b"", None),
    ],
)
def test_requests_in_flight_are_read_from_load_report(
    report: bytes, requests_in_flight: float | None
) -> None:
    assert read_requests_in_flight(report) == requests_in_flight


async def test_lost_response_is_detected_and_its_request_retried_on_real_sockets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(health_check, "HANG_LIMIT", HangLimit(0.0, 60 * MILLISECOND_US))
    monkeypatch.setattr(health_check, "MAX_REPORT_AGE_US", 0)
    monkeypatch.setattr(scan_timer, "SCAN_INTERVAL_US", 10 * MILLISECOND_US)
    lost: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            start_line, headers, _ = await read_http_message(reader)
            if "/status/load" in start_line:
                writer.write(http_response(200, b"busy_reqs=0"))
            elif not lost:
                lost.append(headers["req-id"])  # no response, and the connection stays open
            else:
                writer.write(http_response(200, b"x"))

    async with (
        StandInServer(handle) as first,
        StandInServer(handle) as second,
        running_proxy(
            endpoint_entry("s-1", first.port),
            endpoint_entry("s-2", second.port),
            settings=HEALTH_CHECK_SETTINGS,
        ) as proxy,
    ):
        assert (await proxy.send_request(http_request(request_id="a1")))[2] == b"x"
        assert lost == ["a1"]
        assert not proxy.driver.balancer.health_checker.pending
