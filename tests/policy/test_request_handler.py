"""The life of a request: exactly one final response, and no effect twice."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import MS, BalancerHarness, S, only


def first_send(harness: BalancerHarness, cls: str) -> messages.StartAttempt:
    [send] = only(harness.request("r", cls), messages.StartAttempt)
    return send


@pytest.mark.parametrize(
    "outcome",
    [messages.Outcome.ERROR, messages.Outcome.RESET, messages.Outcome.TIMEOUT, messages.Outcome.UNKNOWN],
)
def test_unsafe_request_that_may_have_run_fails_at_once(outcome: messages.Outcome) -> None:
    harness = BalancerHarness()
    actions = harness.end(first_send(harness, "pay"), outcome)
    assert only(actions, messages.Fail) == [messages.Fail("r")]
    assert not only(actions, messages.StartAttempt)
    assert not only(actions, messages.Reject)


@pytest.mark.parametrize("outcome", [messages.Outcome.REJECTED, messages.Outcome.NO_CONNECTION])
def test_unsafe_request_that_never_ran_is_retried_elsewhere_then_rejected(outcome: messages.Outcome) -> None:
    harness = BalancerHarness()
    send, tried = first_send(harness, "pay"), set()
    for attempt in range(3):
        tried.add(send.endpoint_id)
        actions = harness.end(send, outcome, attempt=attempt)
        if attempt < 2:
            [send] = only(actions, messages.StartAttempt)
    assert len(tried) == 3
    assert only(actions, messages.Reject)
    assert not only(actions, messages.StartAttempt)


def test_keyed_request_that_may_have_run_is_retried_in_its_cell() -> None:
    for seed in range(20):
        harness = BalancerHarness(backends=6, seed=seed)
        send = first_send(harness, "write")
        [again] = only(harness.end(send, messages.Outcome.ERROR), messages.StartAttempt)
        assert again.endpoint_id % 2 == send.endpoint_id % 2
        assert again.endpoint_id != send.endpoint_id


def test_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    harness = BalancerHarness()
    send = first_send(harness, "write")
    harness.now += 4 * S - 1 * MS
    actions = harness.end(send, messages.Outcome.ERROR)
    assert only(actions, messages.Fail)
    assert not only(actions, messages.StartAttempt)


def test_request_without_endpoints_is_queued_then_rejected() -> None:
    harness = BalancerHarness(backends=0)
    assert not only(harness.request("r"), messages.StartAttempt)
    assert only(harness.pass_time(5 * S), messages.Reject) == [messages.Reject("r")]


def test_nothing_is_sent_after_client_disconnects() -> None:
    harness = BalancerHarness()
    send = first_send(harness, "read")
    assert only(harness.event(messages.ClientGone("r")), messages.CancelAttempt) == [
        messages.CancelAttempt("r", 0)
    ]
    actions = harness.end(send, messages.Outcome.CANCELLED) + harness.pass_time(6 * S)
    assert not only(actions, messages.StartAttempt)
    assert not only(actions, messages.Reject)
    assert not only(actions, messages.Fail)


def test_draining_endpoint_gets_no_attempts() -> None:
    harness = BalancerHarness()
    harness.news(
        *(
            messages.Endpoint(
                number, messages.EndpointStatus.DRAINING if number else messages.EndpointStatus.UP
            )
            for number in range(4)
        ),
        kind=messages.EndpointListKind.CHANGES,
        version=2,
    )
    sends = [only(harness.request(f"r{number}"), messages.StartAttempt) for number in range(3)]
    assert [started[0].endpoint_id for started in sends] == [0, 0, 0]


def test_started_response_is_not_cut_off_at_the_deadline() -> None:
    harness = BalancerHarness()
    send = first_send(harness, "read")
    harness.event(messages.StreamStarted("r", 0))
    late = harness.pass_time(8 * S)
    assert not only(late, messages.Reject)
    assert not only(late, messages.Fail)
    assert not only(late, messages.CancelAttempt)
    harness.end(send, messages.Outcome.OK)
    assert not harness.balancer.requests.requests
