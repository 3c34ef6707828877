"""How long a request waits in the admission queue for an available endpoint before it is rejected."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US


def balancer_with_full_endpoints(
    settings: messages.Settings | None = None, endpoint_count: int = 2
) -> BalancerHarness:
    """Return a balancer whose endpoints are all at their concurrency limit, with one queued request."""
    harness = BalancerHarness(settings or balancer_settings(), endpoint_count)
    while not harness.balancer.queue:
        harness.send_request(f"c{harness.now_us}-{len(harness.actions)}", "pay")
    return harness


def time_until_rejection_us(harness: BalancerHarness, request_id: str, within_us: int) -> int | None:
    """Return the microseconds until the request is rejected, rounded up to 1 ms, or None if it is not."""
    started_at_us = harness.now_us
    while harness.now_us - started_at_us < within_us:
        if any(
            reject.request_id == request_id
            for reject in actions_of_type(harness.advance(MILLISECOND_US), messages.Reject)
        ):
            return harness.now_us - started_at_us
    return None


@pytest.mark.parametrize(
    "time_remaining_us",
    [900 * MILLISECOND_US, SECOND_US, 1_500 * MILLISECOND_US, 2 * SECOND_US, 5 * SECOND_US],
)
@pytest.mark.parametrize("phase_us", [0, 3 * MILLISECOND_US, 11 * MILLISECOND_US, 19 * MILLISECOND_US])
def test_queued_request_is_rejected_within_half_of_its_useful_time(
    time_remaining_us: int, phase_us: int
) -> None:
    """Holds at any phase of the periodic queue scan; the request is not rejected earlier either."""
    harness = balancer_with_full_endpoints()
    harness.advance(phase_us)
    harness.send_request("queued", "read", time_remaining_us)
    useful_us = min(time_remaining_us, 2 * SECOND_US)  # a response after the latency objective is of no use
    elapsed_us = time_until_rejection_us(harness, "queued", 3 * SECOND_US)
    assert elapsed_us is not None
    assert useful_us // 2 - 2 * MILLISECOND_US <= elapsed_us <= useful_us // 2


def balancer_with_queued_retry(outcome: messages.Outcome, elapsed_us: int) -> BalancerHarness:
    """Return a balancer with a queued retry: one endpoint is draining, the other is at its limit."""
    harness = BalancerHarness(balancer_settings(), 2)
    harness.send_request("first", "read", 5 * SECOND_US)
    [attempt] = actions_of_type(harness.actions, messages.StartAttempt)
    while not harness.balancer.queue:
        harness.send_request(f"c{len(harness.actions)}", "pay")
    harness.advance(elapsed_us)
    draining = messages.Endpoint(
        attempt.endpoint_id, messages.EndpointStatus.DRAINING, cell=attempt.endpoint_id % 2
    )
    harness.update_endpoint_list(draining, kind=messages.EndpointListKind.CHANGES, version=2)
    harness.end_attempt(attempt, outcome)
    assert "first" in harness.balancer.queue.request_ids
    return harness


@pytest.mark.parametrize("outcome", [messages.Outcome.NOT_SENT, messages.Outcome.NO_CONNECTION])
def test_queued_retry_of_unwritten_request_is_rejected_by_half_of_its_time_since_arrival(
    outcome: messages.Outcome,
) -> None:
    elapsed_us = time_until_rejection_us(
        balancer_with_queued_retry(outcome, 600 * MILLISECOND_US), "first", 3 * SECOND_US
    )
    assert elapsed_us is not None
    assert 398 * MILLISECOND_US <= elapsed_us <= 400 * MILLISECOND_US


@pytest.mark.parametrize("outcome", [messages.Outcome.ERROR, messages.Outcome.RESET])
def test_queued_retry_of_written_request_waits_for_its_full_queue_time(outcome: messages.Outcome) -> None:
    """A later rejection of such a request costs the client no more than an early one."""
    elapsed_us = time_until_rejection_us(
        balancer_with_queued_retry(outcome, 200 * MILLISECOND_US), "first", 3 * SECOND_US
    )
    assert elapsed_us is not None
    assert 998 * MILLISECOND_US <= elapsed_us <= SECOND_US
