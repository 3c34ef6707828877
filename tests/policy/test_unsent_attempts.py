"""Requests whose attempts ended with nothing sent, when all endpoints are in slow start."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type


def balancer_with_warming_endpoints() -> BalancerHarness:
    """Return a balancer with three endpoints that have just started, without any budget yet."""
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(3))
    )
    for state in harness.balancer.endpoints.subset:
        state.warming.bucket.tokens = state.warming.phase = 0.0
    return harness


def test_unsent_attempt_is_retried_at_an_idle_warming_endpoint() -> None:
    """It counted as a retry, and was rejected although endpoints were idle."""
    harness = balancer_with_warming_endpoints()
    [send] = actions_of_type(harness.send_request("r", "pay"), messages.StartAttempt)
    done = harness.end_attempt(send, messages.Outcome.NOT_SENT, duration_us=0)
    assert [again.request_id for again in actions_of_type(done, messages.StartAttempt)] == ["r"]
    assert not actions_of_type(done, messages.Reject)


@pytest.mark.parametrize("outcome", [messages.Outcome.REJECTED, messages.Outcome.NO_CONNECTION])
def test_sent_attempt_leaves_no_free_first_attempt(outcome: messages.Outcome) -> None:
    harness = balancer_with_warming_endpoints()
    [send] = actions_of_type(harness.send_request("r"), messages.StartAttempt)
    assert not actions_of_type(harness.end_attempt(send, outcome, duration_us=0), messages.StartAttempt)
