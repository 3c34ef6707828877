"""Outliers, the concurrency limit and admission: faults met on the bench, each as a small scripted case."""

from __future__ import annotations

import pytest

from load_balancer import messages
from load_balancer.policy.concurrency_limit import INITIAL_LIMIT, INITIAL_SHARED_LIMIT, MIN_LIMIT
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US


def test_dead_endpoint_does_not_draw_queued_requests() -> None:
    """It rejects at once, so it always looks idle while all others are at their limits."""
    harness, attempts_at_dead = BalancerHarness(endpoint_count=3), 0
    harness.balancer.endpoints.states[0].endpoint = messages.Endpoint(0)
    for number in range(40):
        for send in actions_of_type(harness.request(f"r{number}", "pay"), messages.StartAttempt):
            while send.endpoint_id == 0:  # rejected within the same instant
                attempts_at_dead += 1
                again = actions_of_type(
                    harness.end_attempt(
                        send, messages.Outcome.NO_CONNECTION, took=1 * MILLISECOND_US, attempt=0
                    ),
                    messages.StartAttempt,
                )
                if not again:
                    break
                send = again[0]
    assert attempts_at_dead <= INITIAL_LIMIT


def test_concurrency_limit_falls_with_late_answers_and_recovers() -> None:
    harness = BalancerHarness()
    limits = [harness.balancer.concurrency_limit.attempts_per_endpoint]
    for phase, took_us in enumerate((1500 * MILLISECOND_US, 50 * MILLISECOND_US)):
        in_flight: list[messages.StartAttempt] = []
        for number in range(400):
            harness.now_us += 10 * MILLISECOND_US
            more = actions_of_type(
                harness.request(f"r{phase}.{number}") + harness.request(f"s{phase}.{number}"),
                messages.StartAttempt,
            )
            in_flight += more
            if len(in_flight) >= 4 or not more:
                in_flight += actions_of_type(
                    harness.end_attempt(in_flight.pop(0), messages.Outcome.OK, took=took_us),
                    messages.StartAttempt,
                )
        limits.append(harness.balancer.concurrency_limit.attempts_per_endpoint)
        while in_flight:
            in_flight += actions_of_type(
                harness.end_attempt(in_flight.pop(0), messages.Outcome.OK, took=took_us),
                messages.StartAttempt,
            )
    assert limits[1] == 1.0 < limits[0]
    assert limits[2] > limits[1]


def test_large_share_does_not_exceed_the_concurrency_limit() -> None:
    """A share raised by a few quick samples let one endpoint be overloaded."""
    harness = BalancerHarness()
    harness.balancer.endpoints.states[0].share = 10.0
    harness.balancer.concurrency_limit.split(harness.balancer.endpoints.subset)
    sends = [
        send
        for number in range(40)
        for send in actions_of_type(harness.request(f"r{number}"), messages.StartAttempt)
    ]
    assert (
        0
        < sum(send.endpoint_id == 0 for send in sends)
        <= harness.balancer.concurrency_limit.attempts_per_endpoint
    )


def test_queued_requests_are_sent_by_priority_and_rejected_when_their_wait_ends() -> None:
    harness = BalancerHarness(endpoint_count=1)
    sends = []
    for number in range(10):
        sends += actions_of_type(harness.request(f"r{number}"), messages.StartAttempt)
    assert 0 < len(sends) < 10
    assert not actions_of_type(harness.request("dear", "pay"), messages.StartAttempt)
    next_send, *_ = actions_of_type(harness.end_attempt(sends[0], messages.Outcome.OK), messages.StartAttempt)
    assert next_send.request_id == "dear"
    refused = actions_of_type(harness.advance(1 * SECOND_US), messages.Reject)
    assert len(refused) >= 5


def test_least_served_class_goes_first_with_worst_class_weight() -> None:
    """By priority weight alone a class of low weight would starve; both cost the same here."""
    first_send = {}
    for part in (0.0, 0.6):
        harness = BalancerHarness(balancer_settings(worst_class_weight=part), endpoint_count=1)
        while sends := actions_of_type(
            harness.request(f"fill{len(harness.actions)}", "mark"), messages.StartAttempt
        ):
            busy_send = sends[0]
        harness.advance(300 * MILLISECOND_US)  # what was queued is rejected: no class is served well
        for number in range(20):
            harness.request(
                f"cheap{number}", "read", time_left=1 * MILLISECOND_US
            )  # cannot be answered in time
        harness.request("twice the worth", "mark")
        harness.request("least served", "read")
        send, *_ = actions_of_type(
            harness.end_attempt(busy_send, messages.Outcome.OK, took=300 * MILLISECOND_US),
            messages.StartAttempt,
        )
        first_send[part] = send.request_id
    assert first_send == {0.0: "twice the worth", 0.6: "least served"}


def test_tenant_over_quota_waits_behind_others() -> None:
    tenants = (messages.Tenant("greedy", 2.0), messages.Tenant("modest", 50.0))
    harness = BalancerHarness(balancer_settings(tenants=tenants, over_quota_weight=0.1), endpoint_count=1)
    sends = []
    for number in range(10):
        sends += actions_of_type(
            harness.handle(messages.Request(f"g{number}", "read", 5 * SECOND_US, "greedy")),
            messages.StartAttempt,
        )
    assert not actions_of_type(
        harness.handle(messages.Request("m", "read", 5 * SECOND_US, "modest")), messages.StartAttempt
    )
    send, *_ = actions_of_type(harness.end_attempt(sends[0], messages.Outcome.OK), messages.StartAttempt)
    assert send.request_id == "m"


def test_request_that_cannot_meet_its_latency_objective_is_rejected_at_once() -> None:
    harness = BalancerHarness()
    for number in range(60):
        for send in actions_of_type(harness.request(f"w{number}"), messages.StartAttempt):
            harness.end_attempt(send, messages.Outcome.OK, took=SECOND_US)
    actions = harness.request("late", time_left=500 * MILLISECOND_US)
    assert actions_of_type(actions, messages.Reject) == [messages.Reject("late")]


def test_time_spent_before_arrival_shortens_the_attempt_timeout() -> None:
    harness = BalancerHarness()
    [send] = actions_of_type(harness.request("first"), messages.StartAttempt)
    harness.end_attempt(send, messages.Outcome.OK)
    [send] = actions_of_type(
        harness.request("older", time_left=4 * SECOND_US, retry=True), messages.StartAttempt
    )
    assert send.timeout_us <= 1 * SECOND_US


def test_client_retry_with_longer_deadline_does_not_age_first_requests() -> None:
    """Clients wait for all of the time remaining in their last attempt, for a part of it in those before."""
    harness = BalancerHarness()
    for request_id, time_left, retry in (
        ("a", 27 * SECOND_US // 10, False),
        ("b", 45 * SECOND_US // 10, True),
    ):
        [send] = actions_of_type(
            harness.request(request_id, time_left=time_left, retry=retry), messages.StartAttempt
        )
        harness.end_attempt(send, messages.Outcome.OK)
    for request_id, retry in (("c", False), ("d", True)):  # both deadlines are as short: no age can be told
        [send] = actions_of_type(
            harness.request(request_id, time_left=27 * SECOND_US // 10, retry=retry), messages.StartAttempt
        )
        assert send.timeout_us > 19 * SECOND_US // 10
        harness.end_attempt(send, messages.Outcome.OK)


def test_unknown_class_is_handled_as_unsafe() -> None:
    harness = BalancerHarness()
    [send] = actions_of_type(harness.request("r", "never heard of"), messages.StartAttempt)
    assert actions_of_type(harness.end_attempt(send, messages.Outcome.ERROR), messages.Fail) == [
        messages.Fail("r")
    ]


def test_request_with_hardly_any_time_left_is_rejected() -> None:
    for time_left in (0, 1, 1500):
        harness = BalancerHarness()
        actions = harness.request("r", "pay", time_left)
        assert actions_of_type(actions, messages.Reject)
        assert not actions_of_type(actions, messages.StartAttempt)


def test_duplicate_request_id_is_one_request() -> None:
    harness = BalancerHarness()
    assert len(actions_of_type(harness.request("r") + harness.request("r"), messages.StartAttempt)) == 1
    assert harness.balancer.request_factory.classes["read"].requests == 1


def count_sent_attempts(harness: BalancerHarness, seconds: float, took_us: int) -> int:
    """Return how many of 20 requests a second are sent while each response takes `took_us`."""
    in_flight: list[tuple[int, messages.StartAttempt]] = []
    sent_count = 0
    for number in range(int(seconds * 20)):
        sends = actions_of_type(harness.advance(50 * MILLISECOND_US), messages.StartAttempt)
        while in_flight and in_flight[0][0] <= harness.now_us:
            sends += actions_of_type(
                harness.end_attempt(in_flight.pop(0)[1], messages.Outcome.OK, took=took_us),
                messages.StartAttempt,
            )
        sends += actions_of_type(harness.request(f"q{harness.now_us}.{number}"), messages.StartAttempt)
        in_flight += [(harness.now_us + took_us, send) for send in sends]
        sent_count += len(sends)
    return sent_count


def test_initial_concurrency_limit_is_shared_by_many_balancers() -> None:
    """One attempt at each endpoint from each of hundreds of balancers was no limit at all."""
    harness = BalancerHarness(balancer_settings(instances=400), endpoint_count=40)
    balancer = harness.balancer
    assert balancer.endpoints.balancers_per_endpoint == 400 * len(balancer.endpoints.subset) / 40
    assert (
        balancer.concurrency_limit.attempts_per_endpoint * balancer.endpoints.balancers_per_endpoint
        == pytest.approx(INITIAL_SHARED_LIMIT)
    )
    sent_count = count_sent_attempts(harness, 10, took_us=400 * MILLISECOND_US)
    # By Little's law: the limit of each endpoint of the subset, over the 400 ms that an attempt takes.
    assert (
        0
        < sent_count
        <= 1.5 * balancer.concurrency_limit.attempts_per_endpoint * len(balancer.endpoints.subset) * 10 / 0.4
    )


def test_concurrency_limit_falls_below_one_only_under_overload() -> None:
    limits = []
    for took_us in (800 * MILLISECOND_US, 1800 * MILLISECOND_US):  # late; under overload
        harness = BalancerHarness(balancer_settings(instances=8), endpoint_count=4)
        count_sent_attempts(harness, 60, took_us)
        limits.append(harness.balancer.concurrency_limit.attempts_per_endpoint)
    assert limits[0] == pytest.approx(1.0, abs=0.1)
    assert MIN_LIMIT / 8 <= limits[1] < 0.5


def test_endpoint_that_failed_a_class_is_avoided_for_that_class_only() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=1)))

    def chosen(cls: str, number: int) -> int:
        [send] = actions_of_type(harness.request(f"{cls}{number}", cls), messages.StartAttempt)
        harness.now_us += 1 * MILLISECOND_US
        harness.end_attempt(send, messages.Outcome.OK, took=1 * MILLISECOND_US)
        return send.endpoint_id

    [first_send] = actions_of_type(harness.request("a"), messages.StartAttempt)
    harness.end_attempt(first_send, messages.Outcome.ERROR)
    harness.now_us += 500 * MILLISECOND_US  # the failed attempt no longer counts as in flight
    harness.balancer.endpoints.states[
        first_send.endpoint_id
    ].share = 1.0  # what the change detector does about it is tested elsewhere
    assert first_send.endpoint_id not in {chosen("read", number) for number in range(60)}
    assert first_send.endpoint_id in {chosen("mark", number) for number in range(60)}
    harness.now_us += 5 * SECOND_US
    assert first_send.endpoint_id in {chosen("read", 100 + number) for number in range(60)}


def test_endpoint_that_failed_a_class_is_used_when_no_other_is_open() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=1)), endpoint_count=1)
    [first_send] = actions_of_type(harness.request("a"), messages.StartAttempt)
    harness.end_attempt(first_send, messages.Outcome.ERROR)
    harness.now_us += 500 * MILLISECOND_US
    assert actions_of_type(harness.request("b"), messages.StartAttempt)


def test_failed_connection_does_not_lower_the_concurrency_limit() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=1)))
    for number in range(40):
        limit_before = harness.balancer.concurrency_limit.attempts_per_endpoint
        [send] = actions_of_type(harness.request(f"r{number}"), messages.StartAttempt)
        harness.end_attempt(send, messages.Outcome.NO_CONNECTION, took=1)
        harness.advance(500 * MILLISECOND_US)
        assert harness.balancer.concurrency_limit.attempts_per_endpoint >= limit_before


@pytest.mark.parametrize(("waited_share", "served"), [(0.45, True), (0.55, False)])
def test_request_waits_for_a_free_endpoint_for_half_of_its_useful_time(
    waited_share: float, served: bool
) -> None:
    """It is rejected then, without an attempt: the client may safely retry."""
    harness = BalancerHarness(endpoint_count=1)
    sends: list[messages.StartAttempt] = []
    while len(more := actions_of_type(harness.request(f"r{len(sends)}"), messages.StartAttempt)) == 1:
        sends += more
    done = harness.advance(
        int(waited_share * harness.balancer.request_factory.classes["read"].settings.latency_objective_us)
    )
    waiting = f"r{len(sends)}"
    assert [action.request_id for action in actions_of_type(done, messages.Reject)] == (
        [] if served else [waiting]
    )
    done = [action for send in sends for action in harness.end_attempt(send, messages.Outcome.OK)]
    assert [action.request_id for action in actions_of_type(done, messages.StartAttempt)] == (
        [waiting] if served else []
    )


def busy_warming_endpoints() -> tuple[BalancerHarness, list[messages.StartAttempt]]:
    """Return a balancer with three busy warming endpoints, a queued request, and the attempts."""
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(
        *(messages.Endpoint(number, incarnation_us=harness.now_us) for number in range(3))
    )
    for state in harness.balancer.endpoints.subset:
        state.warming.bucket.tokens = state.warming.phase = 0.0
    sends = [
        send
        for number in range(3)
        for send in actions_of_type(harness.request(f"r{number}", "pay"), messages.StartAttempt)
    ]
    assert len({send.endpoint_id for send in sends}) == 3  # one attempt at each
    assert not actions_of_type(harness.request("cheap", "read"), messages.StartAttempt)
    return harness, sends


def test_queued_request_with_unsent_attempt_does_not_hold_back_first_attempts() -> None:
    """It counts as a first attempt again and is sent at once; the next free place is the other request's."""
    harness, sends = busy_warming_endpoints()
    after = actions_of_type(harness.end_attempt(sends[0], messages.Outcome.NOT_SENT), messages.StartAttempt)
    assert [(send.request_id, send.endpoint_id) for send in after] == [("r0", sends[0].endpoint_id)]
    after = actions_of_type(harness.end_attempt(sends[1], messages.Outcome.OK), messages.StartAttempt)
    assert [(send.request_id, send.endpoint_id) for send in after] == [("cheap", sends[1].endpoint_id)]


def test_queued_request_with_rejected_attempt_does_not_hold_back_first_attempts() -> None:
    """A retry at warming endpoints needs budget; a first attempt, which needs none, waited behind it."""
    harness, sends = busy_warming_endpoints()
    assert not actions_of_type(
        harness.end_attempt(sends[0], messages.Outcome.REJECTED), messages.StartAttempt
    )
    after = actions_of_type(harness.end_attempt(sends[1], messages.Outcome.UNUSABLE), messages.StartAttempt)
    assert [(send.request_id, send.endpoint_id) for send in after] == [("cheap", sends[1].endpoint_id)]


@pytest.mark.parametrize("max_attempts", [1, 3, 20])
def test_unsent_attempts_end_at_the_limit_on_attempts(max_attempts: int) -> None:
    """They cost no retry budget, so the budget alone would let them go on for ever."""
    harness = BalancerHarness(
        balancer_settings(limits=messages.Limits(max_attempts=max_attempts, cancel=True))
    )
    actions, sends = harness.request("r", "pay"), 0
    while again := actions_of_type(actions, messages.StartAttempt):
        sends += 1
        assert sends <= max_attempts
        actions = harness.end_attempt(again[0], messages.Outcome.NOT_SENT, took=0, attempt=sends - 1)
    assert sends == max_attempts
    assert [action.request_id for action in actions_of_type(actions, messages.Reject)] == ["r"]
    assert not harness.balancer.open_requests.by_id
    assert not harness.balancer.dispatcher.in_flight
    assert not harness.balancer.queue
