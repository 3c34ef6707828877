"""Requests whose attempts ended with nothing sent, before backends that are all in slow start."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type


def all_cold() -> BalancerHarness:
    """Three backends that have just come up, with no budget yet."""
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(*(messages.Endpoint(n, incarnation_us=harness.now_us) for n in range(3)))
    for server in harness.balancer.endpoints.subset:
        server.warming.bucket.tokens = server.warming.phase = 0.0
    return harness


def test_a_request_whose_attempt_was_not_sent_goes_to_an_idle_cold_backend() -> None:
    """It counted as a further attempt, and was refused beside idle ones."""
    harness = all_cold()
    [send] = actions_of_type(harness.request("r", "pay"), messages.StartAttempt)
    done = harness.end_attempt(send, messages.Outcome.NOT_SENT, took=0)
    assert [again.request for again in actions_of_type(done, messages.StartAttempt)] == ["r"]
    assert not actions_of_type(done, messages.Reject)


@pytest.mark.parametrize("outcome", [messages.Outcome.REJECTED, messages.Outcome.NO_CONNECTION])
def test_one_that_left_us_has_no_first_call_left(outcome: messages.Outcome) -> None:
    harness = all_cold()
    [send] = actions_of_type(harness.request("r"), messages.StartAttempt)
    assert not actions_of_type(harness.end_attempt(send, outcome, took=0), messages.StartAttempt)
