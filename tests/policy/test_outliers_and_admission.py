"""Outlier endpoints, the concurrency limit and admission, in small scripted cases of observed faults."""

from __future__ import annotations

import pytest

from load_balancer import messages
from load_balancer.policy.concurrency_limit import INITIAL_LIMIT, INITIAL_SHARED_LIMIT, MIN_LIMIT
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US


def test_unreachable_endpoint_does_not_attract_queued_requests() -> None:
    """Its attempts fail immediately, so it appears idle while all other endpoints are at their limits."""
    harness, attempts_at_unreachable = BalancerHarness(endpoint_count=3), 0
    harness.balancer.endpoints.states[0].endpoint = messages.Endpoint(0)
    for number in range(40):
        for attempt in actions_of_type(harness.send_request(f"r{number}", "pay"), messages.StartAttempt):
            while attempt.endpoint_id == 0:  # the attempt fails at the time at which it starts
                attempts_at_unreachable += 1
                retries = actions_of_type(
                    harness.end_attempt(
                        attempt,
                        messages.Outcome.NO_CONNECTION,
                        duration_us=1 * MILLISECOND_US,
                        attempt_number=0,
                    ),
                    messages.StartAttempt,
                )
                if not retries:
                    break
                attempt = retries[0]
    assert attempts_at_unreachable <= INITIAL_LIMIT


def test_concurrency_limit_falls_with_late_responses_and_recovers() -> None:
    harness = BalancerHarness()
    limits = [harness.balancer.concurrency_limit.attempts_per_endpoint]
    for phase, latency_us in enumerate((1500 * MILLISECOND_US, 50 * MILLISECOND_US)):
        in_flight: list[messages.StartAttempt] = []
        for number in range(400):
            harness.now_us += 10 * MILLISECOND_US
            new_attempts = actions_of_type(
                harness.send_request(f"r{phase}.{number}") + harness.send_request(f"s{phase}.{number}"),
                messages.StartAttempt,
            )
            in_flight += new_attempts
            if len(in_flight) >= 4 or not new_attempts:
                in_flight += actions_of_type(
                    harness.end_attempt(in_flight.pop(0), messages.Outcome.OK, duration_us=latency_us),
                    messages.StartAttempt,
                )
        limits.append(harness.balancer.concurrency_limit.attempts_per_endpoint)
        while in_flight:
            in_flight += actions_of_type(
                harness.end_attempt(in_flight.pop(0), messages.Outcome.OK, duration_us=latency_us),
                messages.StartAttempt,
            )
    assert limits[1] == 1.0 < limits[0]
    assert limits[2] > limits[1]


def test_large_share_does_not_exceed_the_concurrency_limit() -> None:
    """Guards against the overload of an endpoint whose share was raised by a few low latencies."""
    harness = BalancerHarness()
    harness.balancer.endpoints.states[0].share = 10.0
    harness.balancer.concurrency_limit.set_endpoint_limits(harness.balancer.endpoints.subset)
    attempts = [
        attempt
        for number in range(40)
        for attempt in actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
    ]
    assert (
        0
        < sum(attempt.endpoint_id == 0 for attempt in attempts)
        <= harness.balancer.concurrency_limit.attempts_per_endpoint
    )


def test_queued_requests_are_sent_by_priority_and_rejected_when_their_wait_ends() -> None:
    harness = BalancerHarness(endpoint_count=1)
    attempts = []
    for number in range(10):
        attempts += actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
    assert 0 < len(attempts) < 10
    assert not actions_of_type(harness.send_request("dear", "pay"), messages.StartAttempt)
    next_attempt, *_ = actions_of_type(
        harness.end_attempt(attempts[0], messages.Outcome.OK), messages.StartAttempt
    )
    assert next_attempt.request_id == "dear"
    rejections = actions_of_type(harness.advance(1 * SECOND_US), messages.Reject)
    assert len(rejections) >= 5


def test_least_served_class_goes_first_with_worst_class_weight() -> None:
    """By priority weight alone a class of low weight would be starved; both classes cost the same here."""
    first_request_ids = {}
    for worst_class_weight in (0.0, 0.6):
        harness = BalancerHarness(balancer_settings(worst_class_weight=worst_class_weight), endpoint_count=1)
        while attempts := actions_of_type(
            harness.send_request(f"fill{len(harness.actions)}", "mark"), messages.StartAttempt
        ):
            blocking_attempt = attempts[0]
        # The queued requests are rejected, so that no class is served well.
        harness.advance(300 * MILLISECOND_US)
        for number in range(20):
            # No response is possible in time.
            harness.send_request(f"cheap{number}", "read", time_remaining_us=1 * MILLISECOND_US)
        harness.send_request("twice the worth", "mark")
        harness.send_request("least served", "read")
        attempt, *_ = actions_of_type(
            harness.end_attempt(blocking_attempt, messages.Outcome.OK, duration_us=300 * MILLISECOND_US),
            messages.StartAttempt,
        )
        first_request_ids[worst_class_weight] = attempt.request_id
    assert first_request_ids == {0.0: "twice the worth", 0.6: "least served"}


def test_tenant_over_quota_waits_behind_others() -> None:
    tenants = (messages.Tenant("greedy", 2.0), messages.Tenant("modest", 50.0))
    harness = BalancerHarness(balancer_settings(tenants=tenants, over_quota_weight=0.1), endpoint_count=1)
    attempts = []
    for number in range(10):
        attempts += actions_of_type(
            harness.handle(messages.Request(f"g{number}", "read", 5 * SECOND_US, "greedy")),
            messages.StartAttempt,
        )
    assert not actions_of_type(
        harness.handle(messages.Request("m", "read", 5 * SECOND_US, "modest")), messages.StartAttempt
    )
    attempt, *_ = actions_of_type(
        harness.end_attempt(attempts[0], messages.Outcome.OK), messages.StartAttempt
    )
    assert attempt.request_id == "m"


def test_request_that_cannot_meet_its_latency_objective_is_rejected_at_once() -> None:
    harness = BalancerHarness()
    for number in range(60):
        for attempt in actions_of_type(harness.send_request(f"w{number}"), messages.StartAttempt):
            harness.end_attempt(attempt, messages.Outcome.OK, duration_us=SECOND_US)
    actions = harness.send_request("late", time_remaining_us=500 * MILLISECOND_US)
    assert actions_of_type(actions, messages.Reject) == [messages.Reject("late")]


def test_time_spent_before_arrival_shortens_the_attempt_timeout() -> None:
    harness = BalancerHarness()
    [attempt] = actions_of_type(harness.send_request("first"), messages.StartAttempt)
    harness.end_attempt(attempt, messages.Outcome.OK)
    [attempt] = actions_of_type(
        harness.send_request("older", time_remaining_us=4 * SECOND_US, retry=True), messages.StartAttempt
    )
    assert attempt.timeout_us <= 1 * SECOND_US


def test_client_retry_with_longer_deadline_does_not_shorten_attempt_timeouts() -> None:
    """A client's last attempt has the whole time remaining as its deadline, the earlier ones a part of it."""
    harness = BalancerHarness()
    for request_id, time_remaining_us, retry in (
        ("a", 27 * SECOND_US // 10, False),
        ("b", 45 * SECOND_US // 10, True),
    ):
        [attempt] = actions_of_type(
            harness.send_request(request_id, time_remaining_us=time_remaining_us, retry=retry),
            messages.StartAttempt,
        )
        harness.end_attempt(attempt, messages.Outcome.OK)
    for request_id, retry in (("c", False), ("d", True)):  # equal deadlines: no time has been spent
        [attempt] = actions_of_type(
            harness.send_request(request_id, time_remaining_us=27 * SECOND_US // 10, retry=retry),
            messages.StartAttempt,
        )
        assert attempt.timeout_us > 19 * SECOND_US // 10
        harness.end_attempt(attempt, messages.Outcome.OK)


def test_unknown_class_is_handled_as_unsafe() -> None:
    harness = BalancerHarness()
    [attempt] = actions_of_type(harness.send_request("r", "unknown"), messages.StartAttempt)
    assert actions_of_type(harness.end_attempt(attempt, messages.Outcome.ERROR), messages.Fail) == [
        messages.Fail("r")
    ]


def test_request_with_too_little_time_remaining_is_rejected() -> None:
    for time_remaining_us in (0, 1, 1500):
        harness = BalancerHarness()
        actions = harness.send_request("r", "pay", time_remaining_us)
        assert actions_of_type(actions, messages.Reject)
        assert not actions_of_type(actions, messages.StartAttempt)


def test_duplicate_request_id_is_one_request() -> None:
    harness = BalancerHarness()
    assert (
        len(actions_of_type(harness.send_request("r") + harness.send_request("r"), messages.StartAttempt))
        == 1
    )
    assert harness.balancer.request_factory.classes["read"].requests == 1


def count_sent_attempts(harness: BalancerHarness, seconds: float, latency_us: int) -> int:
    """Return how many attempts are sent at 20 requests per second with responses after `latency_us`."""
    in_flight: list[tuple[int, messages.StartAttempt]] = []
    sent_count = 0
    for number in range(int(seconds * 20)):
        attempts = actions_of_type(harness.advance(50 * MILLISECOND_US), messages.StartAttempt)
        while in_flight and in_flight[0][0] <= harness.now_us:
            attempts += actions_of_type(
                harness.end_attempt(in_flight.pop(0)[1], messages.Outcome.OK, duration_us=latency_us),
                messages.StartAttempt,
            )
        attempts += actions_of_type(
            harness.send_request(f"q{harness.now_us}.{number}"), messages.StartAttempt
        )
        in_flight += [(harness.now_us + latency_us, attempt) for attempt in attempts]
        sent_count += len(attempts)
    return sent_count


def test_initial_concurrency_limit_is_shared_by_many_balancers() -> None:
    """One attempt at each endpoint from each of hundreds of balancers would overload the endpoints."""
    harness = BalancerHarness(balancer_settings(instances=400), endpoint_count=40)
    balancer = harness.balancer
    assert balancer.endpoints.balancers_per_endpoint == 400 * len(balancer.endpoints.subset) / 40
    assert (
        balancer.concurrency_limit.attempts_per_endpoint * balancer.endpoints.balancers_per_endpoint
        == pytest.approx(INITIAL_SHARED_LIMIT)
    )
    sent_count = count_sent_attempts(harness, 10, latency_us=400 * MILLISECOND_US)
    # Little's law: the sum of the limits over the subset, divided by the latency of 400 ms.
    assert (
        0
        < sent_count
        <= 1.5 * balancer.concurrency_limit.attempts_per_endpoint * len(balancer.endpoints.subset) * 10 / 0.4
    )


def test_concurrency_limit_falls_below_one_only_under_overload() -> None:
    limits = []
    for latency_us in (800 * MILLISECOND_US, 1800 * MILLISECOND_US):  # late; overload
        harness = BalancerHarness(balancer_settings(instances=8), endpoint_count=4)
        count_sent_attempts(harness, 60, latency_us)
        limits.append(harness.balancer.concurrency_limit.attempts_per_endpoint)
    assert limits[0] == pytest.approx(1.0, abs=0.1)
    assert MIN_LIMIT / 8 <= limits[1] < 0.5


def test_endpoint_that_failed_a_class_is_avoided_for_that_class_only() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=1)))

    def chosen_endpoint_id(class_name: str, number: int) -> int:
        [attempt] = actions_of_type(
            harness.send_request(f"{class_name}{number}", class_name), messages.StartAttempt
        )
        harness.now_us += 1 * MILLISECOND_US
        harness.end_attempt(attempt, messages.Outcome.OK, duration_us=1 * MILLISECOND_US)
        return attempt.endpoint_id

    [first_attempt] = actions_of_type(harness.send_request("a"), messages.StartAttempt)
    harness.end_attempt(first_attempt, messages.Outcome.ERROR)
    harness.now_us += 500 * MILLISECOND_US  # the failed attempt no longer counts as in flight
    # Undoes the effect of the change detector, which has its own tests.
    harness.balancer.endpoints.states[first_attempt.endpoint_id].share = 1.0
    assert first_attempt.endpoint_id not in {chosen_endpoint_id("read", number) for number in range(60)}
    assert first_attempt.endpoint_id in {chosen_endpoint_id("mark", number) for number in range(60)}
    harness.now_us += 5 * SECOND_US
    assert first_attempt.endpoint_id in {chosen_endpoint_id("read", 100 + number) for number in range(60)}


def test_endpoint_that_failed_a_class_is_used_when_no_other_is_available() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=1)), endpoint_count=1)
    [first_attempt] = actions_of_type(harness.send_request("a"), messages.StartAttempt)
    harness.end_attempt(first_attempt, messages.Outcome.ERROR)
    harness.now_us += 500 * MILLISECOND_US
    assert actions_of_type(harness.send_request("b"), messages.StartAttempt)


def test_failed_connection_does_not_lower_the_concurrency_limit() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=1)))
    for number in range(40):
        limit_before = harness.balancer.concurrency_limit.attempts_per_endpoint
        [attempt] = actions_of_type(harness.send_request(f"r{number}"), messages.StartAttempt)
        harness.end_attempt(attempt, messages.Outcome.NO_CONNECTION, duration_us=1)
        harness.advance(500 * MILLISECOND_US)
        assert harness.balancer.concurrency_limit.attempts_per_endpoint >= limit_before


@pytest.mark.parametrize(("waited_share", "served"), [(0.45, True), (0.55, False)])
def test_request_waits_for_a_free_endpoint_for_half_of_its_useful_time(
    waited_share: float, served: bool
) -> None:
    """It is then rejected without an attempt, so that the client may safely retry."""
    harness = BalancerHarness(endpoint_count=1)
    attempts: list[messages.StartAttempt] = []
    while (
        len(new_attempts := actions_of_type(harness.send_request(f"r{len(attempts)}"), messages.StartAttempt))
        == 1
    ):
        attempts += new_attempts
    actions_after = harness.advance(
        int(waited_share * harness.balancer.request_factory.classes["read"].settings.latency_objective_us)
    )
    queued_id = f"r{len(attempts)}"
    assert [action.request_id for action in actions_of_type(actions_after, messages.Reject)] == (
        [] if served else [queued_id]
    )
    actions_after = [
        action for attempt in attempts for action in harness.end_attempt(attempt, messages.Outcome.OK)
    ]
    assert [action.request_id for action in actions_of_type(actions_after, messages.StartAttempt)] == (
        [queued_id] if served else []
    )


def busy_warming_endpoints() -> tuple[BalancerHarness, list[messages.StartAttempt]]:
    """Return a balancer with three busy warming endpoints and a queued request, and its attempts."""
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(3))
    )
    for state in harness.balancer.endpoints.subset:
        state.warming.bucket.tokens = state.warming.phase = 0.0
    attempts = [
        attempt
        for number in range(3)
        for attempt in actions_of_type(harness.send_request(f"r{number}", "pay"), messages.StartAttempt)
    ]
    assert len({attempt.endpoint_id for attempt in attempts}) == 3  # one attempt at each
    assert not actions_of_type(harness.send_request("cheap", "read"), messages.StartAttempt)
    return harness, attempts


def test_queued_request_with_unsent_attempt_does_not_hold_back_first_attempts() -> None:
    """The next attempt of `r0` counts as a first one and starts at once; `cheap` gets the next endpoint."""
    harness, attempts = busy_warming_endpoints()
    next_attempts = actions_of_type(
        harness.end_attempt(attempts[0], messages.Outcome.NOT_SENT), messages.StartAttempt
    )
    assert [(attempt.request_id, attempt.endpoint_id) for attempt in next_attempts] == [
        ("r0", attempts[0].endpoint_id)
    ]
    next_attempts = actions_of_type(
        harness.end_attempt(attempts[1], messages.Outcome.OK), messages.StartAttempt
    )
    assert [(attempt.request_id, attempt.endpoint_id) for attempt in next_attempts] == [
        ("cheap", attempts[1].endpoint_id)
    ]


def test_queued_request_with_rejected_attempt_does_not_hold_back_first_attempts() -> None:
    """A first attempt, which needs no budget, must not wait behind a retry, which needs some."""
    harness, attempts = busy_warming_endpoints()
    assert not actions_of_type(
        harness.end_attempt(attempts[0], messages.Outcome.REJECTED), messages.StartAttempt
    )
    next_attempts = actions_of_type(
        harness.end_attempt(attempts[1], messages.Outcome.UNUSABLE), messages.StartAttempt
    )
    assert [(attempt.request_id, attempt.endpoint_id) for attempt in next_attempts] == [
        ("cheap", attempts[1].endpoint_id)
    ]


@pytest.mark.parametrize("max_attempts", [1, 3, 20])
def test_unsent_attempts_end_at_the_limit_on_attempts(max_attempts: int) -> None:
    """They use no retry budget, so the budget alone would not end them."""
    harness = BalancerHarness(
        balancer_settings(limits=messages.Limits(max_attempts=max_attempts, cancel=True))
    )
    actions, attempt_count = harness.send_request("r", "pay"), 0
    while started := actions_of_type(actions, messages.StartAttempt):
        attempt_count += 1
        assert attempt_count <= max_attempts
        actions = harness.end_attempt(
            started[0], messages.Outcome.NOT_SENT, duration_us=0, attempt_number=attempt_count - 1
        )
    assert attempt_count == max_attempts
    assert [action.request_id for action in actions_of_type(actions, messages.Reject)] == ["r"]
    assert not harness.balancer.open_requests.by_id
    assert not harness.balancer.dispatcher.in_flight
    assert not harness.balancer.queue
