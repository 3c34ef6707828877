"""The life of a request: one final answer, and no effect twice."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type
from tests.support.units import MILLISECOND_US, SECOND_US


def first_send(harness: BalancerHarness, cls: str) -> messages.StartAttempt:
    [send] = actions_of_type(harness.request("r", cls), messages.StartAttempt)
    return send


@pytest.mark.parametrize(
    "outcome",
    [messages.Outcome.ERROR, messages.Outcome.RESET, messages.Outcome.TIMEOUT, messages.Outcome.UNKNOWN],
)
def test_unsafe_work_that_may_have_run_fails_at_once(outcome: messages.Outcome) -> None:
    harness = BalancerHarness()
    actions = harness.end_attempt(first_send(harness, "pay"), outcome)
    assert actions_of_type(actions, messages.Fail) == [messages.Fail("r")]
    assert not actions_of_type(actions, messages.StartAttempt)
    assert not actions_of_type(actions, messages.Reject)


@pytest.mark.parametrize("outcome", [messages.Outcome.REJECTED, messages.Outcome.NO_CONNECTION])
def test_unsafe_work_that_never_ran_is_sent_elsewhere_and_then_refused(outcome: messages.Outcome) -> None:
    harness = BalancerHarness()
    send, tried = first_send(harness, "pay"), set()
    for attempt in range(3):
        tried.add(send.endpoint_id)
        actions = harness.end_attempt(send, outcome, attempt=attempt)
        if attempt < 2:
            [send] = actions_of_type(actions, messages.StartAttempt)
    assert len(tried) == 3
    assert actions_of_type(actions, messages.Reject)
    assert not actions_of_type(actions, messages.StartAttempt)


def test_a_keyed_request_that_may_have_run_stays_in_its_cell() -> None:
    for seed in range(20):
        harness = BalancerHarness(endpoint_count=6, seed=seed)
        send = first_send(harness, "write")
        [again] = actions_of_type(harness.end_attempt(send, messages.Outcome.ERROR), messages.StartAttempt)
        assert again.endpoint_id % 2 == send.endpoint_id % 2
        assert again.endpoint_id != send.endpoint_id


def test_a_keyed_request_is_not_sent_again_once_it_may_be_forgotten() -> None:
    harness = BalancerHarness()
    send = first_send(harness, "write")
    harness.now_us += 4 * SECOND_US - 1 * MILLISECOND_US
    actions = harness.end_attempt(send, messages.Outcome.ERROR)
    assert actions_of_type(actions, messages.Fail)
    assert not actions_of_type(actions, messages.StartAttempt)


def test_without_backends_a_request_is_held_and_then_refused() -> None:
    harness = BalancerHarness(endpoint_count=0)
    assert not actions_of_type(harness.request("r"), messages.StartAttempt)
    assert actions_of_type(harness.advance(5 * SECOND_US), messages.Reject) == [messages.Reject("r")]


def test_a_client_that_left_gets_nothing_more() -> None:
    harness = BalancerHarness()
    send = first_send(harness, "read")
    assert actions_of_type(harness.handle(messages.ClientGone("r")), messages.CancelAttempt) == [
        messages.CancelAttempt("r", 0)
    ]
    actions = harness.end_attempt(send, messages.Outcome.CANCELLED) + harness.advance(6 * SECOND_US)
    assert not actions_of_type(actions, messages.StartAttempt)
    assert not actions_of_type(actions, messages.Reject)
    assert not actions_of_type(actions, messages.Fail)


def test_nothing_goes_to_a_draining_backend() -> None:
    harness = BalancerHarness()
    harness.update_endpoint_list(
        *(
            messages.Endpoint(n, messages.EndpointStatus.DRAINING if n else messages.EndpointStatus.UP)
            for n in range(4)
        ),
        kind=messages.EndpointListKind.CHANGES,
        version=2,
    )
    sends = [actions_of_type(harness.request(f"r{n}"), messages.StartAttempt) for n in range(3)]
    assert [s[0].endpoint_id for s in sends] == [0, 0, 0]


def test_an_answer_that_has_begun_is_not_cut_off_at_the_deadline() -> None:
    harness = BalancerHarness()
    send = first_send(harness, "read")
    harness.handle(messages.StreamStarted("r", 0))
    late = harness.advance(8 * SECOND_US)
    assert not actions_of_type(late, messages.Reject)
    assert not actions_of_type(late, messages.Fail)
    assert not actions_of_type(late, messages.CancelAttempt)
    harness.end_attempt(send, messages.Outcome.OK)
    assert not harness.balancer.open_requests.by_id
