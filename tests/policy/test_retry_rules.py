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
    [attempt] = actions_of_type(harness.send_request("r", "pay"), messages.StartAttempt)
    actions = harness.end_attempt(attempt, messages.Outcome.ERROR)
    assert actions_of_type(actions, messages.Fail) == [messages.Fail("r")]
    assert not actions_of_type(actions, messages.StartAttempt)


@pytest.mark.parametrize(
    ("elapsed_us", "retry_count"), [(100 * MILLISECOND_US, 1), (1500 * MILLISECOND_US, 0)]
)
def test_keyed_retry_is_sent_only_within_the_deduplication_window(elapsed_us: int, retry_count: int) -> None:
    keyed = messages.RequestClass(
        "write",
        6 * SECOND_US,
        9 * SECOND_US,
        idempotency=messages.Idempotency.KEYED,
        deduplication_window_us=1 * SECOND_US,
    )
    harness = BalancerHarness(balancer_settings(classes=(keyed,)))
    [attempt] = actions_of_type(
        harness.send_request("r", "write", time_remaining_us=9 * SECOND_US), messages.StartAttempt
    )
    harness.now_us += elapsed_us
    assert (
        len(actions_of_type(harness.end_attempt(attempt, messages.Outcome.ERROR), messages.StartAttempt))
        == retry_count
    )


@pytest.mark.parametrize(
    ("elapsed_us", "retry_count"), [(590 * MILLISECOND_US, 1), (610 * MILLISECOND_US, 0)]
)
def test_keyed_retry_leaves_time_for_its_connection_within_the_deduplication_window(
    elapsed_us: int, retry_count: int
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
    [attempt] = actions_of_type(
        harness.send_request("r", "write", time_remaining_us=9 * SECOND_US), messages.StartAttempt
    )
    harness.now_us += elapsed_us
    assert (
        len(actions_of_type(harness.end_attempt(attempt, messages.Outcome.ERROR), messages.StartAttempt))
        == retry_count
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
        [attempt] = actions_of_type(harness.send_request("r", "write"), messages.StartAttempt)
        [retry] = actions_of_type(harness.end_attempt(attempt, messages.Outcome.ERROR), messages.StartAttempt)
        assert retry.endpoint_id % 2 == attempt.endpoint_id % 2


def test_retry_goes_to_an_untried_endpoint() -> None:
    for seed in range(8):
        harness = BalancerHarness(endpoint_count=2, seed=seed)
        [attempt] = actions_of_type(harness.send_request("r"), messages.StartAttempt)
        harness.now_us += 1 * SECOND_US  # from here the failed attempt no longer counts as in flight
        [retry] = actions_of_type(harness.end_attempt(attempt, messages.Outcome.RESET), messages.StartAttempt)
        assert retry.endpoint_id != attempt.endpoint_id


def test_retries_are_limited_by_the_retry_budget() -> None:
    harness, attempt_count, request_count = BalancerHarness(), 0, 200
    for number in range(request_count):
        pending = actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
        attempt_number = 0
        while pending:
            attempt_count += 1
            pending = actions_of_type(
                harness.end_attempt(
                    pending[0],
                    messages.Outcome.REJECTED,
                    duration_us=MILLISECOND_US,
                    attempt_number=attempt_number,
                ),
                messages.StartAttempt,
            )
            attempt_number += 1
        harness.now_us += 1 * SECOND_US
    assert request_count < attempt_count <= request_count * (1 + RETRIES_PER_REQUEST) + MAX_SAVED_RETRIES
