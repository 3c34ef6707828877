"""What an endpoint gets during slow start, and when it counts as warm."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.slow_start import MAX_KEPT_ATTEMPTS
from tests.support.balancer_harness import MS, BalancerHarness, S, only, settings


def test_each_endpoint_gets_one_attempt_at_a_time_when_all_are_warming() -> None:
    harness = BalancerHarness(backends=0)
    harness.news(*(messages.Endpoint(number, incarnation_us=harness.now) for number in range(3)))
    sends = [
        send.endpoint_id
        for number in range(30)
        for send in only(harness.request(f"r{number}"), messages.StartAttempt)
    ]
    assert sorted(sends) == [0, 1, 2]


def test_warming_endpoint_saves_up_no_burst() -> None:
    harness = BalancerHarness(settings(rules=messages.Rules(0.4, 60 * S, 3.0, 1 * S)), backends=0)
    harness.news(messages.Endpoint(0), messages.Endpoint(9, incarnation_us=harness.now))
    harness.balancer.endpoints.states[9].share = 1000.0
    harness.now += 20 * S  # long idle
    sends = [
        send.endpoint_id
        for number in range(30)
        for send in only(harness.request(f"r{number}"), messages.StartAttempt)
    ]
    assert sends.count(9) <= MAX_KEPT_ATTEMPTS


def test_endpoint_with_future_start_is_warm_without_a_slow_start_phase() -> None:
    """With a clock a little behind and no slow start configured, each request failed until the start time."""
    harness = BalancerHarness(settings(rules=messages.Rules(0.4, 0, 3.0, 1 * S)), backends=0)
    harness.news(*(messages.Endpoint(number, incarnation_us=harness.now + 50 * MS) for number in range(3)))
    assert only(harness.request("r"), messages.StartAttempt)
