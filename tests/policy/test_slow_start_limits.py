"""What an endpoint gets while it warms up, and when it counts as warm."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.slow_start import MAX_BURST_ATTEMPTS
from tests.support.balancer_harness import MS, BalancerHarness, S, only, settings


def test_where_all_are_cold_each_gets_one_call_at_a_time() -> None:
    harness = BalancerHarness(backends=0)
    harness.news(*(messages.Endpoint(n, incarnation_us=harness.now) for n in range(3)))
    sends = [s.endpoint_id for n in range(30) for s in only(harness.request(f"r{n}"), messages.StartAttempt)]
    assert sorted(sends) == [0, 1, 2]


def test_a_cold_backend_saves_up_no_burst() -> None:
    harness = BalancerHarness(settings(rules=messages.Rules(0.4, 60 * S, 3.0, 1 * S)), backends=0)
    harness.news(messages.Endpoint(0), messages.Endpoint(9, incarnation_us=harness.now))
    harness.balancer.endpoints.states[9].share = 1000.0
    harness.now += 20 * S  # long idle
    sends = [s.endpoint_id for n in range(30) for s in only(harness.request(f"r{n}"), messages.StartAttempt)]
    assert sends.count(9) <= MAX_BURST_ATTEMPTS


def test_a_start_still_to_come_is_no_cold_one_where_none_are_cold() -> None:
    """A clock a little behind, and settings that know no cold phase: each request failed until then."""
    harness = BalancerHarness(settings(rules=messages.Rules(0.4, 0, 3.0, 1 * S)), backends=0)
    harness.news(*(messages.Endpoint(n, incarnation_us=harness.now + 50 * MS) for n in range(3)))
    assert only(harness.request("r"), messages.StartAttempt)
