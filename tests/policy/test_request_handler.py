"""Each request gets exactly one final response and takes effect at most once."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type
from tests.support.units import MILLISECOND_US, SECOND_US


def start_first_attempt(harness: BalancerHarness, class_name: str) -> messages.StartAttempt:
    [attempt] = actions_of_type(harness.send_request("r", class_name), messages.StartAttempt)
    return attempt


@pytest.mark.parametrize(
    "outcome",
    [messages.Outcome.ERROR, messages.Outcome.RESET, messages.Outcome.TIMEOUT, messages.Outcome.UNKNOWN],
)
def test_unsafe_request_that_may_have_run_fails_at_once(outcome: messages.Outcome) -> None:
    harness = BalancerHarness()
    actions = harness.end_attempt(start_first_attempt(harness, "pay"), outcome)
    assert actions_of_type(actions, messages.Fail) == [messages.Fail("r")]
    assert not actions_of_type(actions, messages.StartAttempt)
    assert not actions_of_type(actions, messages.Reject)


@pytest.mark.parametrize("outcome", [messages.Outcome.REJECTED, messages.Outcome.NO_CONNECTION])
def test_unsafe_request_that_never_ran_is_retried_elsewhere_then_rejected(outcome: messages.Outcome) -> None:
    harness = BalancerHarness()
    attempt, tried_ids = start_first_attempt(harness, "pay"), set()
    for attempt_number in range(3):
        tried_ids.add(attempt.endpoint_id)
        actions = harness.end_attempt(attempt, outcome, attempt_number=attempt_number)
        if attempt_number < 2:
            [attempt] = actions_of_type(actions, messages.StartAttempt)
    assert len(tried_ids) == 3
    assert actions_of_type(actions, messages.Reject)
    assert not actions_of_type(actions, messages.StartAttempt)


def test_keyed_request_that_may_have_run_is_retried_in_its_cell() -> None:
    for seed in range(20):
        harness = BalancerHarness(endpoint_count=6, seed=seed)
        attempt = start_first_attempt(harness, "write")
        [retry] = actions_of_type(harness.end_attempt(attempt, messages.Outcome.ERROR), messages.StartAttempt)
        assert retry.endpoint_id % 2 == attempt.endpoint_id % 2
        assert retry.endpoint_id != attempt.endpoint_id


def test_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    harness = BalancerHarness()
    attempt = start_first_attempt(harness, "write")
    harness.now_us += 4 * SECOND_US - 1 * MILLISECOND_US
    actions = harness.end_attempt(attempt, messages.Outcome.ERROR)
    assert actions_of_type(actions, messages.Fail)
    assert not actions_of_type(actions, messages.StartAttempt)


def test_request_without_endpoints_is_queued_then_rejected() -> None:
    harness = BalancerHarness(endpoint_count=0)
    assert not actions_of_type(harness.send_request("r"), messages.StartAttempt)
    assert actions_of_type(harness.advance(5 * SECOND_US), messages.Reject) == [messages.Reject("r")]


def test_nothing_is_sent_after_client_disconnects() -> None:
    harness = BalancerHarness()
    attempt = start_first_attempt(harness, "read")
    assert actions_of_type(harness.handle(messages.ClientGone("r")), messages.CancelAttempt) == [
        messages.CancelAttempt("r", 0)
    ]
    actions = harness.end_attempt(attempt, messages.Outcome.CANCELLED) + harness.advance(6 * SECOND_US)
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
    attempts_by_request = [
        actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt) for number in range(3)
    ]
    assert [attempts[0].endpoint_id for attempts in attempts_by_request] == [0, 0, 0]


def test_started_response_is_not_cut_off_at_the_deadline() -> None:
    harness = BalancerHarness()
    attempt = start_first_attempt(harness, "read")
    harness.handle(messages.StreamStarted("r", 0))
    later_actions = harness.advance(8 * SECOND_US)
    assert not actions_of_type(later_actions, messages.Reject)
    assert not actions_of_type(later_actions, messages.Fail)
    assert not actions_of_type(later_actions, messages.CancelAttempt)
    harness.end_attempt(attempt, messages.Outcome.OK)
    assert not harness.balancer.open_requests.by_id
