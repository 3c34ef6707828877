"""Which requests may be retried, at which endpoints, and how often."""

from __future__ import annotations

import pytest

from load_balancer import messages
from load_balancer.policy.retry_budget import MAX_SAVED_RETRIES, RETRIES_PER_REQUEST
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US


def test_unsafe_request_with_deduplication_window_is_not_retried() -> None:
    harness = BalancerHarness(
        balancer_settings(
            classes=(
                messages.RequestClass(
                    "pay", 2 * SECOND_US, 5 * SECOND_US, deduplication_window_us=4 * SECOND_US
                ),
            )
        )
    )
    [send] = actions_of_type(harness.send_request("r", "pay"), messages.StartAttempt)
    actions = harness.end_attempt(send, messages.Outcome.ERROR)
    assert actions_of_type(actions, messages.Fail) == [messages.Fail("r")]
    assert not actions_of_type(actions, messages.StartAttempt)


@pytest.mark.parametrize(("after", "sent"), [(100 * MILLISECOND_US, 1), (1500 * MILLISECOND_US, 0)])
def test_keyed_retry_is_sent_only_within_the_deduplication_window(after: int, sent: int) -> None:
    keyed = messages.RequestClass(
        "write",
        6 * SECOND_US,
        9 * SECOND_US,
        idempotency=messages.Idempotency.KEYED,
        deduplication_window_us=1 * SECOND_US,
    )
    harness = BalancerHarness(balancer_settings(classes=(keyed,)))
    [send] = actions_of_type(
        harness.send_request("r", "write", time_remaining_us=9 * SECOND_US), messages.StartAttempt
    )
    harness.now_us += after
    assert (
        len(actions_of_type(harness.end_attempt(send, messages.Outcome.ERROR), messages.StartAttempt)) == sent
    )


@pytest.mark.parametrize(("after", "sent"), [(590 * MILLISECOND_US, 1), (610 * MILLISECOND_US, 0)])
def test_keyed_retry_leaves_time_for_its_connection_within_the_deduplication_window(
    after: int, sent: int
) -> None:
    keyed = messages.RequestClass(
        "write",
        6 * SECOND_US,
        9 * SECOND_US,
        idempotency=messages.Idempotency.KEYED,
        deduplication_window_us=1 * SECOND_US,
    )
    limits = messages.Limits(max_attempts=3, connect_timeout_us=250 * MILLISECOND_US)
    harness = BalancerHarness(balancer_settings(classes=(keyed,), limits=limits))
    [send] = actions_of_type(
        harness.send_request("r", "write", time_remaining_us=9 * SECOND_US), messages.StartAttempt
    )
    harness.now_us += after
    assert (
        len(actions_of_type(harness.end_attempt(send, messages.Outcome.ERROR), messages.StartAttempt)) == sent
    )


def test_keyed_retry_stays_in_its_zone() -> None:
    keyed = messages.RequestClass(
        "write",
        2 * SECOND_US,
        5 * SECOND_US,
        messages.Idempotency.KEYED,
        messages.KeyScope.ZONE,
        deduplication_window_us=4 * SECOND_US,
    )
    for seed in range(8):
        harness = BalancerHarness(balancer_settings(classes=(keyed,)), endpoint_count=0, seed=seed)
        harness.update_endpoint_list(
            *(messages.Endpoint(number, zone="ab"[number % 2]) for number in range(8))
        )
        [send] = actions_of_type(harness.send_request("r", "write"), messages.StartAttempt)
        [again] = actions_of_type(harness.end_attempt(send, messages.Outcome.ERROR), messages.StartAttempt)
        assert again.endpoint_id % 2 == send.endpoint_id % 2


def test_retry_goes_to_an_untried_endpoint() -> None:
    for seed in range(8):
        harness = BalancerHarness(endpoint_count=2, seed=seed)
        [send] = actions_of_type(harness.send_request("r"), messages.StartAttempt)
        harness.now_us += 1 * SECOND_US  # the failed attempt no longer counts as in flight
        [again] = actions_of_type(harness.end_attempt(send, messages.Outcome.RESET), messages.StartAttempt)
        assert again.endpoint_id != send.endpoint_id


def test_retries_are_paid_from_the_retry_budget() -> None:
    harness, sends, requests = BalancerHarness(), 0, 200
    for number in range(requests):
        pending = actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
        attempt = 0
        while pending:
            sends += 1
            pending = actions_of_type(
                harness.end_attempt(
                    pending[0], messages.Outcome.REJECTED, duration_us=MILLISECOND_US, attempt_number=attempt
                ),
                messages.StartAttempt,
            )
            attempt += 1
        harness.now_us += 1 * SECOND_US
    assert requests < sends <= requests * (1 + RETRIES_PER_REQUEST) + MAX_SAVED_RETRIES
