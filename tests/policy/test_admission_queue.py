"""How long a request is held for a free backend: by its own time, as a refusal past half of that costs."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US


def full(setup: messages.Settings | None = None, backends: int = 2) -> BalancerHarness:
    """All backends have as many calls as they may, and one more request is held."""
    harness = BalancerHarness(setup or balancer_settings(), backends)
    while not harness.balancer.queue:
        harness.request(f"c{harness.now_us}-{len(harness.actions)}", "pay")
    return harness


def refused_after(harness: BalancerHarness, request_id: str, within: int) -> int | None:
    """Microseconds from now to its refusal, stepped finely, or none."""
    began = harness.now_us
    while harness.now_us - began < within:
        if any(
            r.request == request_id for r in actions_of_type(harness.advance(MILLISECOND_US), messages.Reject)
        ):
            return harness.now_us - began
    return None


@pytest.mark.parametrize(
    "time_left", [900 * MILLISECOND_US, SECOND_US, 1_500 * MILLISECOND_US, 2 * SECOND_US, 5 * SECOND_US]
)
@pytest.mark.parametrize("phase", [0, 3 * MILLISECOND_US, 11 * MILLISECOND_US, 19 * MILLISECOND_US])
def test_one_for_which_nothing_comes_free_is_refused_by_half_of_its_own_time(
    time_left: int, phase: int
) -> None:
    """Whatever the phase of the looks at the queue, and no sooner than that."""
    harness = full()
    harness.advance(phase)
    harness.request("held", "read", time_left)
    useful = min(time_left, 2 * SECOND_US)  # an answer after the aim of its class earns nothing
    after = refused_after(harness, "held", 3 * SECOND_US)
    assert after is not None
    assert useful // 2 - 2 * MILLISECOND_US <= after <= useful // 2


def held_again(outcome: messages.Outcome, after: int) -> BalancerHarness:
    """A request whose first attempt has ended, its backend draining by now and the other one full."""
    harness = BalancerHarness(balancer_settings(), 2)
    harness.request("first", "read", 5 * SECOND_US)
    [send] = actions_of_type(harness.actions, messages.StartAttempt)
    while not harness.balancer.queue:
        harness.request(f"c{len(harness.actions)}", "pay")
    harness.advance(after)
    draining = messages.Endpoint(
        send.endpoint_id, messages.EndpointStatus.DRAINING, cell=send.endpoint_id % 2
    )
    harness.update_endpoint_list(draining, kind=messages.EndpointListKind.CHANGES, version=2)
    harness.end_attempt(send, outcome)
    assert "first" in harness.balancer.queue.request_ids
    return harness


@pytest.mark.parametrize("outcome", [messages.Outcome.NOT_SENT, messages.Outcome.NO_CONNECTION])
def test_one_that_was_never_written_is_refused_by_half_of_its_time_from_its_arrival(
    outcome: messages.Outcome,
) -> None:
    after = refused_after(held_again(outcome, 600 * MILLISECOND_US), "first", 3 * SECOND_US)
    assert after is not None
    assert 398 * MILLISECOND_US <= after <= 400 * MILLISECOND_US


@pytest.mark.parametrize("outcome", [messages.Outcome.ERROR, messages.Outcome.RESET])
def test_one_that_was_written_is_held_for_as_long_again(outcome: messages.Outcome) -> None:
    """A refusal of that one costs no more by coming later."""
    after = refused_after(held_again(outcome, 200 * MILLISECOND_US), "first", 3 * SECOND_US)
    assert after is not None
    assert 998 * MILLISECOND_US <= after <= SECOND_US
