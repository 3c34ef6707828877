"""Which latencies and failures lower the concurrency limit."""

from __future__ import annotations

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type
from tests.support.units import MILLISECOND_US, SECOND_US


def test_fast_failures_do_not_change_the_concurrency_limit() -> None:
    harness = BalancerHarness()
    initial_limit = harness.balancer.concurrency_limit.attempts_per_endpoint
    for number in range(60):
        for attempt in actions_of_type(harness.send_request(f"r{number}", "pay"), messages.StartAttempt):
            harness.end_attempt(attempt, messages.Outcome.ERROR, duration_us=5 * MILLISECOND_US)
        harness.now_us += 1 * SECOND_US
    assert harness.balancer.concurrency_limit.attempts_per_endpoint == initial_limit


def test_few_late_responses_under_load_do_not_lower_the_concurrency_limit() -> None:
    """At 50 responses per second, four are often late together; a mean over only four lowers the limit."""
    harness = BalancerHarness(endpoint_count=8)
    initial_limit = harness.balancer.concurrency_limit.attempts_per_endpoint
    for number in range(400):
        harness.now_us += 25 * MILLISECOND_US
        harness.send_request(f"r{number}")
        in_flight = list(harness.balancer.dispatcher.in_flight)
        if len(in_flight) >= 20:
            is_late = number % 40 < 5
            request_id, attempt_number = in_flight[0]
            endpoint_id = harness.balancer.dispatcher.in_flight[in_flight[0]].endpoint.endpoint.id
            latency_us = (1900 if is_late else 300) * MILLISECOND_US
            harness.handle(
                messages.AttemptEnded(
                    request_id,
                    attempt_number,
                    endpoint_id,
                    messages.Outcome.OK,
                    latency_us,
                    is_request_finished=True,
                )
            )
    assert harness.balancer.concurrency_limit.attempts_per_endpoint >= initial_limit
