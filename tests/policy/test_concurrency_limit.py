"""The limit on attempts in flight: what lowers it and what must not."""

from __future__ import annotations

from load_balancer import messages
from tests.support.balancer_harness import MS, BalancerHarness, S, only


def test_prompt_failures_do_not_change_the_concurrency_limit() -> None:
    harness = BalancerHarness()
    room = harness.balancer.requests.limit.attempts
    for n in range(60):
        for send in only(harness.request(f"r{n}", "pay"), messages.StartAttempt):
            harness.end(send, messages.Outcome.ERROR, took=5 * MS)
        harness.now += 1 * S
    assert harness.balancer.requests.limit.attempts == room


def test_few_late_answers_under_load_do_not_lower_the_concurrency_limit() -> None:
    """With the mean over four answers, four of fifty a second were late together in every round."""
    harness = BalancerHarness(backends=8)
    room = harness.balancer.requests.limit.attempts
    for n in range(400):
        harness.now += 25 * MS
        harness.request(f"r{n}")
        busy = list(harness.balancer.requests.in_flight)
        if len(busy) >= 20:
            late = n % 40 < 5
            request_id, number = busy[0]
            backend = harness.balancer.requests.in_flight[busy[0]].endpoint.endpoint.id
            took = (1900 if late else 300) * MS
            harness.event(
                messages.AttemptEnded(request_id, number, backend, messages.Outcome.OK, took, last=True)
            )
    assert harness.balancer.requests.limit.attempts >= room
