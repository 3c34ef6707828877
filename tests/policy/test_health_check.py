"""Calls whose answers never come, though the backend is there or its connection stays open."""

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
PROBING = balancer_settings(limits=LIMITS)


def asked(harness: BalancerHarness, us: int) -> list[messages.CheckHealth]:
    return actions_of_type(harness.advance(us), messages.CheckHealth)


def test_a_call_that_hangs_is_asked_about_ever_more_seldom() -> None:
    harness = BalancerHarness(PROBING)
    harness.request("a")
    assert not asked(harness, 1150 * MILLISECOND_US)
    times: list[int] = []
    for _ in range(35):
        for probe in asked(harness, 100 * MILLISECOND_US):
            times.append(harness.now_us)
            harness.handle(messages.HealthCheckEnded(probe.endpoint_id, True, 1.0))
    assert [later - sooner for sooner, later in pairwise(times)] == [
        400 * MILLISECOND_US,
        800 * MILLISECOND_US,
        1600 * MILLISECOND_US,
    ]
    assert not actions_of_type(
        harness.actions, messages.CancelAttempt
    )  # it holds the request, so it is only long


@pytest.mark.parametrize(
    ("cls", "answers", "again"), [("read", False, True), ("read", True, False), ("pay", False, False)]
)
def test_where_none_may_be_asked_a_silent_backend_is_left_in_time(
    cls: str, answers: bool, again: bool
) -> None:
    """One that answers others meanwhile is only slow, and what must not run twice waits all the same."""
    harness = BalancerHarness(endpoint_count=2)
    [send] = actions_of_type(harness.request("a", cls), messages.StartAttempt)
    harness.now_us += 100 * MILLISECOND_US
    others = [s for n in range(6) for s in actions_of_type(harness.request(f"b{n}"), messages.StartAttempt)]
    for other in others:
        if answers or other.endpoint_id != send.endpoint_id:
            harness.end_attempt(other, messages.Outcome.OK, took=1 * MILLISECOND_US)
    norm = harness.balancer.request_factory.classes[cls].usual_latency_us
    cancels = [
        c
        for c in actions_of_type(
            harness.advance(int(3 * norm) + 200 * MILLISECOND_US), messages.CancelAttempt
        )
        if c.request == "a"
    ]
    assert cancels == ([messages.CancelAttempt("a", 0)] if again else [])
    if again:
        [resend] = actions_of_type(
            harness.end_attempt(send, messages.Outcome.CANCELLED), messages.StartAttempt
        )
        assert resend.request == "a"
        assert resend.endpoint_id != send.endpoint_id


def test_one_that_holds_fewer_than_we_wait_for_has_lost_an_answer() -> None:
    harness = BalancerHarness(PROBING)
    [first] = actions_of_type(harness.request("a"), messages.StartAttempt)
    [probe] = asked(harness, 1300 * MILLISECOND_US)
    assert probe.endpoint_id == first.endpoint_id
    [cancel] = actions_of_type(
        harness.handle(messages.HealthCheckEnded(probe.endpoint_id, True, 0.0)), messages.CancelAttempt
    )
    assert cancel == messages.CancelAttempt("a", 0)
    [again] = actions_of_type(harness.end_attempt(first, messages.Outcome.CANCELLED), messages.StartAttempt)
    assert len(asked(harness, 1100 * MILLISECOND_US)) == 1  # the next one that hangs is asked about sooner
    assert again.request == "a"
    assert again.endpoint_id != first.endpoint_id


def test_what_is_too_young_for_the_report_is_not_taken_for_lost() -> None:
    harness = BalancerHarness(PROBING, endpoint_count=1)
    harness.request("a")
    harness.advance(1200 * MILLISECOND_US)
    harness.request("b")
    harness.advance(100 * MILLISECOND_US)
    [probe] = actions_of_type(harness.actions, messages.CheckHealth)
    cancels = actions_of_type(
        harness.handle(messages.HealthCheckEnded(probe.endpoint_id, True, 0.0)), messages.CancelAttempt
    )
    assert cancels == [messages.CancelAttempt("a", 0)]


def test_one_that_says_nothing_twice_gets_nothing_until_it_speaks() -> None:
    harness = BalancerHarness(PROBING, endpoint_count=1)
    [first] = actions_of_type(harness.request("a"), messages.StartAttempt)
    [probe] = asked(harness, 1300 * MILLISECOND_US)
    once = harness.handle(messages.HealthCheckEnded(probe.endpoint_id, False))
    assert actions_of_type(once, messages.CheckHealth)
    assert not actions_of_type(once, messages.CancelAttempt)  # it may have been a pause
    assert actions_of_type(
        harness.handle(messages.HealthCheckEnded(probe.endpoint_id, False)), messages.CancelAttempt
    )
    harness.end_attempt(first, messages.Outcome.CANCELLED)
    assert not actions_of_type(harness.request("b"), messages.StartAttempt)
    [probe] = asked(harness, 600 * MILLISECOND_US)
    harness.handle(messages.HealthCheckEnded(probe.endpoint_id, True))
    assert actions_of_type(harness.request("c"), messages.StartAttempt)


def test_an_unsafe_request_whose_answer_is_lost_is_not_sent_again() -> None:
    harness = BalancerHarness(PROBING)
    [first] = actions_of_type(harness.request("a", "pay"), messages.StartAttempt)
    [probe] = asked(harness, 1300 * MILLISECOND_US)
    harness.handle(messages.HealthCheckEnded(probe.endpoint_id, True, 0.0))
    ended = harness.end_attempt(first, messages.Outcome.CANCELLED)
    assert actions_of_type(ended, messages.Fail)
    assert not actions_of_type(ended, messages.StartAttempt)


def test_nothing_is_asked_where_the_site_allows_no_probes() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=3, cancel=True)))
    harness.request("a")
    assert not asked(harness, 3 * SECOND_US)


@pytest.mark.parametrize(
    ("report", "holds"),
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
def test_a_report_is_read_where_it_can_be(report: bytes, holds: float | None) -> None:
    assert read_requests_in_flight(report) == holds


async def test_a_lost_answer_is_found_on_the_sockets_and_its_request_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(health_check, "SUSPECT_LIMIT", HangLimit(0.0, 60 * MILLISECOND_US))
    monkeypatch.setattr(health_check, "REPORT_AGE_US", 0)
    monkeypatch.setattr(scan_timer, "SCAN_INTERVAL_US", 10 * MILLISECOND_US)
    lost: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, headers, _ = await read_http_message(reader)
            if "/status/load" in first:
                writer.write(http_response(200, b"busy_reqs=0"))
            elif not lost:
                lost.append(headers["req-id"])  # and its connection stays open
            else:
                writer.write(http_response(200, b"x"))

    async with (
        StandInServer(handle) as a,
        StandInServer(handle) as b,
        running_proxy(endpoint_entry("s-1", a.port), endpoint_entry("s-2", b.port), settings=PROBING) as p,
    ):
        assert (await p.send_request(http_request(request_id="a1")))[2] == b"x"
        assert lost == ["a1"]
        assert not p.driver.balancer.health.pending
