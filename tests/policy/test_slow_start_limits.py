"""What an endpoint gets while it warms up, and when it counts as warm."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.slow_start import MAX_BURST_ATTEMPTS
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US


def test_where_all_are_cold_each_gets_one_call_at_a_time() -> None:
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(*(messages.Endpoint(n, incarnation_us=harness.now_us) for n in range(3)))
    sends = [
        s.endpoint_id
        for n in range(30)
        for s in actions_of_type(harness.request(f"r{n}"), messages.StartAttempt)
    ]
    assert sorted(sends) == [0, 1, 2]


def test_a_cold_backend_saves_up_no_burst() -> None:
    harness = BalancerHarness(
        balancer_settings(rules=messages.Rules(0.4, 60 * SECOND_US, 3.0, 1 * SECOND_US)), endpoint_count=0
    )
    harness.update_endpoint_list(messages.Endpoint(0), messages.Endpoint(9, incarnation_us=harness.now_us))
    harness.balancer.endpoints.states[9].share = 1000.0
    harness.now_us += 20 * SECOND_US  # long idle
    sends = [
        s.endpoint_id
        for n in range(30)
        for s in actions_of_type(harness.request(f"r{n}"), messages.StartAttempt)
    ]
    assert sends.count(9) <= MAX_BURST_ATTEMPTS


def test_a_start_still_to_come_is_no_cold_one_where_none_are_cold() -> None:
    """A clock a little behind, and settings that know no cold phase: each request failed until then."""
    harness = BalancerHarness(
        balancer_settings(rules=messages.Rules(0.4, 0, 3.0, 1 * SECOND_US)), endpoint_count=0
    )
    harness.update_endpoint_list(
        *(messages.Endpoint(n, incarnation_us=harness.now_us + 50 * MILLISECOND_US) for n in range(3))
    )
    assert actions_of_type(harness.request("r"), messages.StartAttempt)
