"""The concurrency limit: what lowers it and what must not."""

from __future__ import annotations

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type
from tests.support.units import MILLISECOND_US, SECOND_US


def test_prompt_failures_do_not_change_the_concurrency_limit() -> None:
    harness = BalancerHarness()
    initial_limit = harness.balancer.concurrency_limit.attempts_per_endpoint
    for number in range(60):
        for send in actions_of_type(harness.request(f"r{number}", "pay"), messages.StartAttempt):
            harness.end_attempt(send, messages.Outcome.ERROR, took=5 * MILLISECOND_US)
        harness.now_us += 1 * SECOND_US
    assert harness.balancer.concurrency_limit.attempts_per_endpoint == initial_limit


def test_few_late_answers_under_load_do_not_lower_the_concurrency_limit() -> None:
    """A running mean over only four answers lowered it: of 50 a second four are often late together."""
    harness = BalancerHarness(endpoint_count=8)
    initial_limit = harness.balancer.concurrency_limit.attempts_per_endpoint
    for number in range(400):
        harness.now_us += 25 * MILLISECOND_US
        harness.request(f"r{number}")
        busy = list(harness.balancer.dispatcher.in_flight)
        if len(busy) >= 20:
            late = number % 40 < 5
            request_id, attempt_number = busy[0]
            endpoint_id = harness.balancer.dispatcher.in_flight[busy[0]].endpoint.endpoint.id
            took = (1900 if late else 300) * MILLISECOND_US
            harness.handle(
                messages.AttemptEnded(
                    request_id,
                    attempt_number,
                    endpoint_id,
                    messages.Outcome.OK,
                    took,
                    is_request_finished=True,
                )
            )
    assert harness.balancer.concurrency_limit.attempts_per_endpoint >= initial_limit
