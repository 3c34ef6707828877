"""Timeouts of attempts, and requests whose deadline passes during an attempt."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import UNSAFE_CLASS, BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import SECOND_US


def test_attempt_times_out_before_its_response_would_be_late() -> None:
    harness = BalancerHarness()
    [attempt] = actions_of_type(harness.send_request("r", "pay"), messages.StartAttempt)
    assert attempt.timeout_us <= UNSAFE_CLASS.latency_objective_us - 2 * harness.balancer.settings.tick_us


@pytest.mark.parametrize("allowed", [True, False])
def test_attempt_in_flight_at_the_deadline_is_cancelled_where_allowed(allowed: bool) -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=3, cancel=allowed)))
    harness.send_request("r")
    actions = harness.advance(6 * SECOND_US)  # without an outcome
    assert actions_of_type(actions, messages.Reject) == [messages.Reject("r")]
    assert actions_of_type(actions, messages.CancelAttempt) == (
        [messages.CancelAttempt("r", 0)] if allowed else []
    )
