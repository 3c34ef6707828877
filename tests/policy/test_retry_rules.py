"""Which requests may be retried, at which endpoints, and how often."""

from __future__ import annotations

import pytest

from load_balancer import messages
from load_balancer.policy.retry import EARNED_PER_REQUEST, MAX_SAVED_RETRIES
from tests.support.balancer_harness import MS, BalancerHarness, S, only, settings


def test_unsafe_request_with_deduplication_window_is_not_retried() -> None:
    harness = BalancerHarness(
        settings(classes=(messages.RequestClass("pay", 2 * S, 5 * S, deduplication_window_us=4 * S),))
    )
    [send] = only(harness.request("r", "pay"), messages.StartAttempt)
    actions = harness.end(send, messages.Outcome.ERROR)
    assert only(actions, messages.Fail) == [messages.Fail("r")]
    assert not only(actions, messages.StartAttempt)


@pytest.mark.parametrize(("after", "sent"), [(100 * MS, 1), (1500 * MS, 0)])
def test_keyed_retry_is_sent_only_within_the_deduplication_window(after: int, sent: int) -> None:
    keyed = messages.RequestClass(
        "write", 6 * S, 9 * S, idempotency=messages.Idempotency.KEYED, deduplication_window_us=1 * S
    )
    harness = BalancerHarness(settings(classes=(keyed,)))
    [send] = only(harness.request("r", "write", time_left=9 * S), messages.StartAttempt)
    harness.now += after
    assert len(only(harness.end(send, messages.Outcome.ERROR), messages.StartAttempt)) == sent


@pytest.mark.parametrize(("after", "sent"), [(590 * MS, 1), (610 * MS, 0)])
def test_keyed_retry_leaves_time_for_its_connection_within_the_deduplication_window(
    after: int, sent: int
) -> None:
    keyed = messages.RequestClass(
        "write", 6 * S, 9 * S, idempotency=messages.Idempotency.KEYED, deduplication_window_us=1 * S
    )
    limits = messages.Limits(max_attempts=3, connect_timeout_us=250 * MS)
    harness = BalancerHarness(settings(classes=(keyed,), limits=limits))
    [send] = only(harness.request("r", "write", time_left=9 * S), messages.StartAttempt)
    harness.now += after
    assert len(only(harness.end(send, messages.Outcome.ERROR), messages.StartAttempt)) == sent


def test_keyed_retry_stays_in_its_zone() -> None:
    keyed = messages.RequestClass(
        "write",
        2 * S,
        5 * S,
        messages.Idempotency.KEYED,
        messages.KeyScope.ZONE,
        deduplication_window_us=4 * S,
    )
    for seed in range(8):
        harness = BalancerHarness(settings(classes=(keyed,)), backends=0, seed=seed)
        harness.news(*(messages.Endpoint(number, zone="ab"[number % 2]) for number in range(8)))
        [send] = only(harness.request("r", "write"), messages.StartAttempt)
        [again] = only(harness.end(send, messages.Outcome.ERROR), messages.StartAttempt)
        assert again.endpoint_id % 2 == send.endpoint_id % 2


def test_retry_goes_to_an_untried_endpoint() -> None:
    for seed in range(8):
        harness = BalancerHarness(backends=2, seed=seed)
        [send] = only(harness.request("r"), messages.StartAttempt)
        harness.now += 1 * S  # the failed attempt no longer counts as in flight
        [again] = only(harness.end(send, messages.Outcome.RESET), messages.StartAttempt)
        assert again.endpoint_id != send.endpoint_id


def test_retries_are_paid_from_the_retry_budget() -> None:
    harness, sends, requests = BalancerHarness(), 0, 200
    for number in range(requests):
        pending = only(harness.request(f"r{number}"), messages.StartAttempt)
        attempt = 0
        while pending:
            sends += 1
            pending = only(
                harness.end(pending[0], messages.Outcome.REJECTED, took=MS, attempt=attempt),
                messages.StartAttempt,
            )
            attempt += 1
        harness.now += 1 * S
    assert requests < sends <= requests * (1 + EARNED_PER_REQUEST) + MAX_SAVED_RETRIES
