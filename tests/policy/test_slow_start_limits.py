"""Limits on the attempts at an endpoint during slow start, and when an endpoint counts as warm."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.slow_start import MAX_BURST_ATTEMPTS
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US


def test_each_endpoint_gets_one_attempt_at_a_time_when_all_are_warming() -> None:
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(3))
    )
    endpoint_ids = [
        attempt.endpoint_id
        for number in range(30)
        for attempt in actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
    ]
    assert sorted(endpoint_ids) == [0, 1, 2]


def test_idle_warming_endpoint_accumulates_no_burst() -> None:
    harness = BalancerHarness(
        balancer_settings(rules=messages.Rules(0.4, 60 * SECOND_US, 3.0, 1 * SECOND_US)), endpoint_count=0
    )
    harness.update_endpoint_list(messages.Endpoint(0), messages.Endpoint(9, incarnation_us=harness.now_us))
    harness.balancer.endpoints.states[9].share = 1000.0
    harness.now_us += 20 * SECOND_US  # no attempts in this time
    endpoint_ids = [
        attempt.endpoint_id
        for number in range(30)
        for attempt in actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
    ]
    assert endpoint_ids.count(9) <= MAX_BURST_ATTEMPTS


def test_endpoint_with_future_start_is_warm_without_a_slow_start_phase() -> None:
    """Guards against requests that fail until the start time if the clock is behind and slow start off."""
    harness = BalancerHarness(
        balancer_settings(rules=messages.Rules(0.4, 0, 3.0, 1 * SECOND_US)), endpoint_count=0
    )
    harness.update_endpoint_list(
        *(
            messages.Endpoint(number, incarnation_us=harness.now_us + 50 * MILLISECOND_US)
            for number in range(3)
        )
    )
    assert actions_of_type(harness.send_request("r"), messages.StartAttempt)
