"""How long a request is held for a free backend: by its own time, as a refusal past half of that costs."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import MS, BalancerHarness, S, only, settings


def full(setup: messages.Settings | None = None, backends: int = 2) -> BalancerHarness:
    """All backends have as many calls as they may, and one more request is held."""
    harness = BalancerHarness(setup or settings(), backends)
    while not harness.balancer.requests.queue:
        harness.request(f"c{harness.now}-{len(harness.done)}", "pay")
    return harness


def refused_after(harness: BalancerHarness, request_id: str, within: int) -> int | None:
    """Microseconds from now to its refusal, stepped finely, or none."""
    began = harness.now
    while harness.now - began < within:
        if any(r.request == request_id for r in only(harness.pass_time(MS), messages.Reject)):
            return harness.now - began
    return None


@pytest.mark.parametrize("time_left", [900 * MS, S, 1_500 * MS, 2 * S, 5 * S])
@pytest.mark.parametrize("phase", [0, 3 * MS, 11 * MS, 19 * MS])
def test_queued_request_is_rejected_within_half_of_its_useful_time(time_left: int, phase: int) -> None:
    """Whatever the phase of the looks at the queue, and no sooner than that."""
    harness = full()
    harness.pass_time(phase)
    harness.request("held", "read", time_left)
    useful = min(time_left, 2 * S)  # an answer after the aim of its class earns nothing
    after = refused_after(harness, "held", 3 * S)
    assert after is not None
    assert useful // 2 - 2 * MS <= after <= useful // 2


def held_again(outcome: messages.Outcome, after: int) -> BalancerHarness:
    """A request whose first attempt has ended, its backend draining by now and the other one full."""
    harness = BalancerHarness(settings(), 2)
    harness.request("first", "read", 5 * S)
    [send] = only(harness.done, messages.StartAttempt)
    while not harness.balancer.requests.queue:
        harness.request(f"c{len(harness.done)}", "pay")
    harness.pass_time(after)
    draining = messages.Endpoint(
        send.endpoint_id, messages.EndpointStatus.DRAINING, cell=send.endpoint_id % 2
    )
    harness.news(draining, kind=messages.EndpointListKind.CHANGES, version=2)
    harness.end(send, outcome)
    assert "first" in harness.balancer.requests.queue.request_ids
    return harness


@pytest.mark.parametrize("outcome", [messages.Outcome.NOT_SENT, messages.Outcome.NO_CONNECTION])
def test_queued_retry_of_unwritten_request_is_rejected_by_half_of_its_time_since_arrival(
    outcome: messages.Outcome,
) -> None:
    after = refused_after(held_again(outcome, 600 * MS), "first", 3 * S)
    assert after is not None
    assert 398 * MS <= after <= 400 * MS


@pytest.mark.parametrize("outcome", [messages.Outcome.ERROR, messages.Outcome.RESET])
def test_queued_retry_of_written_request_waits_for_its_full_queue_time(outcome: messages.Outcome) -> None:
    """A refusal of that one costs no more by coming later."""
    after = refused_after(held_again(outcome, 200 * MS), "first", 3 * S)
    assert after is not None
    assert 998 * MS <= after <= S
