"""The concurrency limit: what lowers it and what must not."""

from __future__ import annotations

from load_balancer import messages
from tests.support.balancer_harness import MS, BalancerHarness, S, only


def test_prompt_failures_do_not_change_the_concurrency_limit() -> None:
    harness = BalancerHarness()
    initial_limit = harness.balancer.requests.limit.attempts
    for number in range(60):
        for send in only(harness.request(f"r{number}", "pay"), messages.StartAttempt):
            harness.end(send, messages.Outcome.ERROR, took=5 * MS)
        harness.now += 1 * S
    assert harness.balancer.requests.limit.attempts == initial_limit


def test_few_late_answers_under_load_do_not_lower_the_concurrency_limit() -> None:
    """A running mean over only four answers lowered it: of 50 a second four are often late together."""
    harness = BalancerHarness(backends=8)
    initial_limit = harness.balancer.requests.limit.attempts
    for number in range(400):
        harness.now += 25 * MS
        harness.request(f"r{number}")
        busy = list(harness.balancer.requests.in_flight)
        if len(busy) >= 20:
            late = number % 40 < 5
            request_id, attempt_number = busy[0]
            endpoint_id = harness.balancer.requests.in_flight[busy[0]].endpoint.endpoint.id
            took = (1900 if late else 300) * MS
            harness.event(
                messages.AttemptEnded(
                    request_id, attempt_number, endpoint_id, messages.Outcome.OK, took, last=True
                )
            )
    assert harness.balancer.requests.limit.attempts >= initial_limit
