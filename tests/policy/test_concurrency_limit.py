"""The limit on attempts in flight: what lowers it and what must not."""

from __future__ import annotations

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type
from tests.support.units import MILLISECOND_US, SECOND_US


def test_failures_that_are_not_late_leave_the_room_alone() -> None:
    harness = BalancerHarness()
    room = harness.balancer.limit.attempts
    for n in range(60):
        for send in actions_of_type(harness.request(f"r{n}", "pay"), messages.StartAttempt):
            harness.end_attempt(send, messages.Outcome.ERROR, took=5 * MILLISECOND_US)
        harness.now_us += 1 * SECOND_US
    assert harness.balancer.limit.attempts == room


def test_a_busy_balancer_does_not_close_its_room_over_a_few_late_answers() -> None:
    """With the mean over four answers, four of fifty a second were late together in every round."""
    harness = BalancerHarness(endpoint_count=8)
    room = harness.balancer.limit.attempts
    for n in range(400):
        harness.now_us += 25 * MILLISECOND_US
        harness.request(f"r{n}")
        busy = list(harness.balancer.dispatcher.in_flight)
        if len(busy) >= 20:
            late = n % 40 < 5
            request_id, number = busy[0]
            backend = harness.balancer.dispatcher.in_flight[busy[0]].endpoint.endpoint.id
            took = (1900 if late else 300) * MILLISECOND_US
            harness.handle(
                messages.AttemptEnded(request_id, number, backend, messages.Outcome.OK, took, last=True)
            )
    assert harness.balancer.limit.attempts >= room
