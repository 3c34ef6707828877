"""Requests whose attempts ended with nothing sent, before backends that are all in slow start."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, only


def all_cold() -> BalancerHarness:
    """Three backends that have just come up, with no budget yet."""
    harness = BalancerHarness(backends=0)
    harness.news(*(messages.Endpoint(n, incarnation_us=harness.now) for n in range(3)))
    for server in harness.balancer.endpoints.subset:
        server.warming.tokens = server.warming.phase = 0.0
    return harness


def test_unsent_attempt_is_retried_at_an_idle_warming_endpoint() -> None:
    """It counted as a further attempt, and was refused beside idle ones."""
    harness = all_cold()
    [send] = only(harness.request("r", "pay"), messages.StartAttempt)
    done = harness.end(send, messages.Outcome.NOT_SENT, took=0)
    assert [again.request for again in only(done, messages.StartAttempt)] == ["r"]
    assert not only(done, messages.Reject)


@pytest.mark.parametrize("outcome", [messages.Outcome.REJECTED, messages.Outcome.NO_CONNECTION])
def test_sent_attempt_leaves_no_free_first_attempt(outcome: messages.Outcome) -> None:
    harness = all_cold()
    [send] = only(harness.request("r"), messages.StartAttempt)
    assert not only(harness.end(send, outcome, took=0), messages.StartAttempt)
