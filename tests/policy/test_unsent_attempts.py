"""Requests whose attempts ended before anything was sent, with all endpoints in slow start."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type


def balancer_with_warming_endpoints() -> BalancerHarness:
    """Return a balancer with three endpoints that have just started and have no tokens yet."""
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(3))
    )
    for state in harness.balancer.endpoints.subset:
        state.warming.bucket.tokens = state.warming.phase = 0.0
    return harness


def test_unsent_attempt_is_retried_at_an_idle_warming_endpoint() -> None:
    """If the next attempt counted as a retry, the request would be rejected although endpoints are idle."""
    harness = balancer_with_warming_endpoints()
    [attempt] = actions_of_type(harness.send_request("r", "pay"), messages.StartAttempt)
    actions = harness.end_attempt(attempt, messages.Outcome.NOT_SENT, duration_us=0)
    assert [retry.request_id for retry in actions_of_type(actions, messages.StartAttempt)] == ["r"]
    assert not actions_of_type(actions, messages.Reject)


@pytest.mark.parametrize("outcome", [messages.Outcome.REJECTED, messages.Outcome.NO_CONNECTION])
def test_sent_attempt_uses_up_the_unbudgeted_first_attempt(outcome: messages.Outcome) -> None:
    harness = balancer_with_warming_endpoints()
    [attempt] = actions_of_type(harness.send_request("r"), messages.StartAttempt)
    assert not actions_of_type(harness.end_attempt(attempt, outcome, duration_us=0), messages.StartAttempt)
