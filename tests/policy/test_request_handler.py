"""The life of a request: exactly one final response, and no effect twice."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type
from tests.support.units import MILLISECOND_US, SECOND_US


def first_send(harness: BalancerHarness, cls: str) -> messages.StartAttempt:
    [send] = actions_of_type(harness.send_request("r", cls), messages.StartAttempt)
    return send


@pytest.mark.parametrize(
    "outcome",
    [messages.Outcome.ERROR, messages.Outcome.RESET, messages.Outcome.TIMEOUT, messages.Outcome.UNKNOWN],
)
def test_unsafe_request_that_may_have_run_fails_at_once(outcome: messages.Outcome) -> None:
    harness = BalancerHarness()
    actions = harness.end_attempt(first_send(harness, "pay"), outcome)
    assert actions_of_type(actions, messages.Fail) == [messages.Fail("r")]
    assert not actions_of_type(actions, messages.StartAttempt)
    assert not actions_of_type(actions, messages.Reject)


@pytest.mark.parametrize("outcome", [messages.Outcome.REJECTED, messages.Outcome.NO_CONNECTION])
def test_unsafe_request_that_never_ran_is_retried_elsewhere_then_rejected(outcome: messages.Outcome) -> None:
    harness = BalancerHarness()
    send, tried = first_send(harness, "pay"), set()
    for attempt in range(3):
        tried.add(send.endpoint_id)
        actions = harness.end_attempt(send, outcome, attempt_number=attempt)
        if attempt < 2:
            [send] = actions_of_type(actions, messages.StartAttempt)
    assert len(tried) == 3
    assert actions_of_type(actions, messages.Reject)
    assert not actions_of_type(actions, messages.StartAttempt)


def test_keyed_request_that_may_have_run_is_retried_in_its_cell() -> None:
    for seed in range(20):
        harness = BalancerHarness(endpoint_count=6, seed=seed)
        send = first_send(harness, "write")
        [again] = actions_of_type(harness.end_attempt(send, messages.Outcome.ERROR), messages.StartAttempt)
        assert again.endpoint_id % 2 == send.endpoint_id % 2
        assert again.endpoint_id != send.endpoint_id


def test_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    harness = BalancerHarness()
    send = first_send(harness, "write")
    harness.now_us += 4 * SECOND_US - 1 * MILLISECOND_US
    actions = harness.end_attempt(send, messages.Outcome.ERROR)
    assert actions_of_type(actions, messages.Fail)
    assert not actions_of_type(actions, messages.StartAttempt)


def test_request_without_endpoints_is_queued_then_rejected() -> None:
    harness = BalancerHarness(endpoint_count=0)
    assert not actions_of_type(harness.send_request("r"), messages.StartAttempt)
    assert actions_of_type(harness.advance(5 * SECOND_US), messages.Reject) == [messages.Reject("r")]


def test_nothing_is_sent_after_client_disconnects() -> None:
    harness = BalancerHarness()
    send = first_send(harness, "read")
    assert actions_of_type(harness.handle(messages.ClientGone("r")), messages.CancelAttempt) == [
        messages.CancelAttempt("r", 0)
    ]
    actions = harness.end_attempt(send, messages.Outcome.CANCELLED) + harness.advance(6 * SECOND_US)
    assert not actions_of_type(actions, messages.StartAttempt)
    assert not actions_of_type(actions, messages.Reject)
    assert not actions_of_type(actions, messages.Fail)


def test_draining_endpoint_gets_no_attempts() -> None:
    harness = BalancerHarness()
    harness.update_endpoint_list(
        *(
            messages.Endpoint(
                number, messages.EndpointStatus.DRAINING if number else messages.EndpointStatus.UP
            )
            for number in range(4)
        ),
        kind=messages.EndpointListKind.CHANGES,
        version=2,
    )
    sends = [
        actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt) for number in range(3)
    ]
    assert [started[0].endpoint_id for started in sends] == [0, 0, 0]


def test_started_response_is_not_cut_off_at_the_deadline() -> None:
    harness = BalancerHarness()
    send = first_send(harness, "read")
    harness.handle(messages.StreamStarted("r", 0))
    late = harness.advance(8 * SECOND_US)
    assert not actions_of_type(late, messages.Reject)
    assert not actions_of_type(late, messages.Fail)
    assert not actions_of_type(late, messages.CancelAttempt)
    harness.end_attempt(send, messages.Outcome.OK)
    assert not harness.balancer.open_requests.by_id
