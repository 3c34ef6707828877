"""Failures met on the bench, each as a small scripted case."""

from __future__ import annotations

import pytest

from load_balancer import messages
from load_balancer.policy.concurrency_limit import INITIAL_LIMIT, INITIAL_SHARED_LIMIT, MIN_LIMIT
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.units import MILLISECOND_US, SECOND_US


def test_a_dead_backend_does_not_draw_what_is_held() -> None:
    """It refuses at once, so it always looks idle while all others are at their limits."""
    harness, to_dead = BalancerHarness(endpoint_count=3), 0
    harness.balancer.endpoints.states[0].endpoint = messages.Endpoint(0)
    for n in range(40):
        for send in actions_of_type(harness.request(f"r{n}", "pay"), messages.StartAttempt):
            while send.endpoint_id == 0:  # refused within the same instant
                to_dead += 1
                again = actions_of_type(
                    harness.end_attempt(
                        send, messages.Outcome.NO_CONNECTION, took=1 * MILLISECOND_US, attempt=0
                    ),
                    messages.StartAttempt,
                )
                if not again:
                    break
                send = again[0]
    assert to_dead <= INITIAL_LIMIT


def test_the_room_shrinks_while_answers_come_late_and_grows_back() -> None:
    harness = BalancerHarness()
    rooms = [harness.balancer.limit.attempts]
    for phase, took in enumerate((1500 * MILLISECOND_US, 50 * MILLISECOND_US)):
        open_: list[messages.StartAttempt] = []
        for n in range(400):
            harness.now_us += 10 * MILLISECOND_US
            more = actions_of_type(
                harness.request(f"r{phase}.{n}") + harness.request(f"s{phase}.{n}"), messages.StartAttempt
            )
            open_ += more
            if len(open_) >= 4 or not more:
                open_ += actions_of_type(
                    harness.end_attempt(open_.pop(0), messages.Outcome.OK, took=took), messages.StartAttempt
                )
        rooms.append(harness.balancer.limit.attempts)
        while open_:
            open_ += actions_of_type(
                harness.end_attempt(open_.pop(0), messages.Outcome.OK, took=took), messages.StartAttempt
            )
    assert rooms[1] == 1.0 < rooms[0]
    assert rooms[2] > rooms[1]


def test_a_large_share_gives_no_more_than_the_room() -> None:
    """A share of a few lucky samples let one backend choke."""
    harness = BalancerHarness()
    harness.balancer.endpoints.states[0].share = 10.0
    harness.balancer.limit.split(harness.balancer.endpoints.subset)
    sends = [s for n in range(40) for s in actions_of_type(harness.request(f"r{n}"), messages.StartAttempt)]
    assert 0 < sum(s.endpoint_id == 0 for s in sends) <= harness.balancer.limit.attempts


def test_held_requests_go_by_worth_and_are_refused_when_the_hold_ends() -> None:
    harness = BalancerHarness(endpoint_count=1)
    sends = []
    for n in range(10):
        sends += actions_of_type(harness.request(f"r{n}"), messages.StartAttempt)
    assert 0 < len(sends) < 10
    assert not actions_of_type(harness.request("dear", "pay"), messages.StartAttempt)
    next_send, *_ = actions_of_type(harness.end_attempt(sends[0], messages.Outcome.OK), messages.StartAttempt)
    assert next_send.request == "dear"
    refused = actions_of_type(harness.advance(1 * SECOND_US), messages.Reject)
    assert len(refused) >= 5


def test_the_least_served_class_goes_first_where_it_counts_for_itself() -> None:
    """By worth alone a cheap class would starve; both cost the same here."""
    first = {}
    for part in (0.0, 0.6):
        harness = BalancerHarness(balancer_settings(worst_class_weight=part), endpoint_count=1)
        while sends := actions_of_type(
            harness.request(f"fill{len(harness.actions)}", "mark"), messages.StartAttempt
        ):
            busy = sends[0]
        harness.advance(300 * MILLISECOND_US)  # what was held is refused: no class is served well
        for n in range(20):
            harness.request(f"cheap{n}", "read", time_left=1 * MILLISECOND_US)  # cannot be answered in time
        harness.request("twice the worth", "mark")
        harness.request("least served", "read")
        send, *_ = actions_of_type(
            harness.end_attempt(busy, messages.Outcome.OK, took=300 * MILLISECOND_US), messages.StartAttempt
        )
        first[part] = send.request
    assert first == {0.0: "twice the worth", 0.6: "least served"}


def test_a_tenant_beyond_its_share_waits_behind_the_others() -> None:
    tenants = (messages.Tenant("greedy", 2.0), messages.Tenant("modest", 50.0))
    harness = BalancerHarness(balancer_settings(tenants=tenants, over_quota_weight=0.1), endpoint_count=1)
    sends = []
    for n in range(10):
        sends += actions_of_type(
            harness.handle(messages.Request(f"g{n}", "read", 5 * SECOND_US, "greedy")), messages.StartAttempt
        )
    assert not actions_of_type(
        harness.handle(messages.Request("m", "read", 5 * SECOND_US, "modest")), messages.StartAttempt
    )
    send, *_ = actions_of_type(harness.end_attempt(sends[0], messages.Outcome.OK), messages.StartAttempt)
    assert send.request == "m"


def test_work_that_cannot_be_answered_in_its_aim_is_refused_at_once() -> None:
    harness = BalancerHarness()
    for n in range(60):
        for send in actions_of_type(harness.request(f"w{n}"), messages.StartAttempt):
            harness.end_attempt(send, messages.Outcome.OK, took=SECOND_US)
    actions = harness.request("late", time_left=500 * MILLISECOND_US)
    assert actions_of_type(actions, messages.Reject) == [messages.Reject("late")]


def test_the_time_used_up_before_arrival_counts() -> None:
    harness = BalancerHarness()
    [send] = actions_of_type(harness.request("first"), messages.StartAttempt)
    harness.end_attempt(send, messages.Outcome.OK)
    [send] = actions_of_type(
        harness.request("older", time_left=4 * SECOND_US, retry=True), messages.StartAttempt
    )
    assert send.timeout_us <= 1 * SECOND_US


def test_a_retry_that_waits_longer_makes_no_first_try_look_old() -> None:
    """Clients wait for the whole of what is left in their last try, for part of the deadline before."""
    harness = BalancerHarness()
    for request_id, time_left, retry in (
        ("a", 27 * SECOND_US // 10, False),
        ("b", 45 * SECOND_US // 10, True),
    ):
        [send] = actions_of_type(
            harness.request(request_id, time_left=time_left, retry=retry), messages.StartAttempt
        )
        harness.end_attempt(send, messages.Outcome.OK)
    for request_id, retry in (("c", False), ("d", True)):  # cut short alike: no age can be told
        [send] = actions_of_type(
            harness.request(request_id, time_left=27 * SECOND_US // 10, retry=retry), messages.StartAttempt
        )
        assert send.timeout_us > 19 * SECOND_US // 10
        harness.end_attempt(send, messages.Outcome.OK)


def test_an_unknown_class_is_handled_as_unsafe() -> None:
    harness = BalancerHarness()
    [send] = actions_of_type(harness.request("r", "never heard of"), messages.StartAttempt)
    assert actions_of_type(harness.end_attempt(send, messages.Outcome.ERROR), messages.Fail) == [
        messages.Fail("r")
    ]


def test_tiny_or_no_patience_is_refused() -> None:
    for time_left in (0, 1, 1500):
        harness = BalancerHarness()
        actions = harness.request("r", "pay", time_left)
        assert actions_of_type(actions, messages.Reject)
        assert not actions_of_type(actions, messages.StartAttempt)


def test_the_same_id_twice_is_one_request() -> None:
    harness = BalancerHarness()
    assert len(actions_of_type(harness.request("r") + harness.request("r"), messages.StartAttempt)) == 1
    assert harness.balancer.request_factory.classes["read"].requests == 1


def sends_in(harness: BalancerHarness, seconds: float, took: int) -> int:
    """How many of 20 requests a second are sent while each answer takes so long."""
    out: list[tuple[int, messages.StartAttempt]] = []
    sent = 0
    for n in range(int(seconds * 20)):
        sends = actions_of_type(harness.advance(50 * MILLISECOND_US), messages.StartAttempt)
        while out and out[0][0] <= harness.now_us:
            sends += actions_of_type(
                harness.end_attempt(out.pop(0)[1], messages.Outcome.OK, took=took), messages.StartAttempt
            )
        sends += actions_of_type(harness.request(f"q{harness.now_us}.{n}"), messages.StartAttempt)
        out += [(harness.now_us + took, send) for send in sends]
        sent += len(sends)
    return sent


def test_many_balancers_together_start_with_a_bounded_number_in_flight() -> None:
    """One call a backend for each of hundreds of balancers was no limit at all."""
    harness = BalancerHarness(balancer_settings(instances=400), endpoint_count=40)
    balancer = harness.balancer
    assert balancer.endpoints.sharing_balancers == 400 * len(balancer.endpoints.subset) / 40
    assert balancer.limit.attempts * balancer.endpoints.sharing_balancers == pytest.approx(
        INITIAL_SHARED_LIMIT
    )
    sent = sends_in(harness, 10, took=400 * MILLISECOND_US)
    # By Little's law: room for each of the subset, over the 400 ms that a call takes.
    assert 0 < sent <= 1.5 * balancer.limit.attempts * len(balancer.endpoints.subset) * 10 / 0.4


def test_the_room_falls_below_one_call_only_where_answers_are_far_too_late() -> None:
    rooms = []
    for took in (800 * MILLISECOND_US, 1800 * MILLISECOND_US):  # later than good; far too late
        harness = BalancerHarness(balancer_settings(instances=8), endpoint_count=4)
        sends_in(harness, 60, took)
        rooms.append(harness.balancer.limit.attempts)
    assert rooms[0] == pytest.approx(1.0, abs=0.1)
    assert MIN_LIMIT / 8 <= rooms[1] < 0.5


def test_one_that_failed_a_class_is_passed_over_for_that_class_alone() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=1)))

    def chosen(cls: str, n: int) -> int:
        [send] = actions_of_type(harness.request(f"{cls}{n}", cls), messages.StartAttempt)
        harness.now_us += 1 * MILLISECOND_US
        harness.end_attempt(send, messages.Outcome.OK, took=1 * MILLISECOND_US)
        return send.endpoint_id

    [first] = actions_of_type(harness.request("a"), messages.StartAttempt)
    harness.end_attempt(first, messages.Outcome.ERROR)
    harness.now_us += 500 * MILLISECOND_US  # the failed call counts as in flight no longer
    harness.balancer.endpoints.states[
        first.endpoint_id
    ].share = 1.0  # what the Cusum does about it is another matter
    assert first.endpoint_id not in {chosen("read", n) for n in range(60)}
    assert first.endpoint_id in {chosen("mark", n) for n in range(60)}
    harness.now_us += 5 * SECOND_US
    assert first.endpoint_id in {chosen("read", 100 + n) for n in range(60)}


def test_one_that_failed_a_class_still_gets_it_where_no_other_is_open() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=1)), endpoint_count=1)
    [first] = actions_of_type(harness.request("a"), messages.StartAttempt)
    harness.end_attempt(first, messages.Outcome.ERROR)
    harness.now_us += 500 * MILLISECOND_US
    assert actions_of_type(harness.request("b"), messages.StartAttempt)


def test_a_connection_that_does_not_come_up_leaves_the_room_of_the_others() -> None:
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=1)))
    for n in range(40):
        room = harness.balancer.limit.attempts
        [send] = actions_of_type(harness.request(f"r{n}"), messages.StartAttempt)
        harness.end_attempt(send, messages.Outcome.NO_CONNECTION, took=1)
        harness.advance(500 * MILLISECOND_US)
        assert harness.balancer.limit.attempts >= room


@pytest.mark.parametrize(("waits", "served"), [(0.45, True), (0.55, False)])
def test_a_request_waits_for_a_free_backend_for_half_of_its_useful_time(waits: float, served: bool) -> None:
    """It is refused at once then, with no attempt: trying again is harmless."""
    harness = BalancerHarness(endpoint_count=1)
    sends: list[messages.StartAttempt] = []
    while len(more := actions_of_type(harness.request(f"r{len(sends)}"), messages.StartAttempt)) == 1:
        sends += more
    done = harness.advance(
        int(waits * harness.balancer.request_factory.classes["read"].settings.latency_objective_us)
    )
    waiting = f"r{len(sends)}"
    assert [a.request for a in actions_of_type(done, messages.Reject)] == ([] if served else [waiting])
    done = [action for send in sends for action in harness.end_attempt(send, messages.Outcome.OK)]
    assert [a.request for a in actions_of_type(done, messages.StartAttempt)] == ([waiting] if served else [])


def crowded_cold() -> tuple[BalancerHarness, list[messages.StartAttempt]]:
    """All three are cold with a call out to each, and a cheap request waits."""
    harness = BalancerHarness(endpoint_count=0)
    harness.update_endpoint_list(*(messages.Endpoint(n, incarnation_us=harness.now_us) for n in range(3)))
    for server in harness.balancer.endpoints.subset:
        server.warming.bucket.tokens = server.warming.phase = 0.0
    sends = [
        send
        for n in range(3)
        for send in actions_of_type(harness.request(f"r{n}", "pay"), messages.StartAttempt)
    ]
    assert len({send.endpoint_id for send in sends}) == 3  # one call to each
    assert not actions_of_type(harness.request("cheap", "read"), messages.StartAttempt)
    return harness, sends


def test_one_whose_attempt_was_not_sent_keeps_no_place_from_those_without_an_attempt() -> None:
    """It is like a first one again, so it is sent again at once, and the next place is the other's."""
    harness, sends = crowded_cold()
    after = actions_of_type(harness.end_attempt(sends[0], messages.Outcome.NOT_SENT), messages.StartAttempt)
    assert [(send.request, send.endpoint_id) for send in after] == [("r0", sends[0].endpoint_id)]
    after = actions_of_type(harness.end_attempt(sends[1], messages.Outcome.OK), messages.StartAttempt)
    assert [(send.request, send.endpoint_id) for send in after] == [("cheap", sends[1].endpoint_id)]


def test_one_whose_attempt_was_rejected_keeps_no_place_from_those_without_an_attempt() -> None:
    """All are cold, so its further attempt needs budget. A first one needs none, yet it waited behind it."""
    harness, sends = crowded_cold()
    assert not actions_of_type(
        harness.end_attempt(sends[0], messages.Outcome.REJECTED), messages.StartAttempt
    )
    after = actions_of_type(harness.end_attempt(sends[1], messages.Outcome.UNUSABLE), messages.StartAttempt)
    assert [(send.request, send.endpoint_id) for send in after] == [("cheap", sends[1].endpoint_id)]


@pytest.mark.parametrize("most", [1, 3, 20])
def test_attempts_that_are_never_sent_end_with_their_number(most: int) -> None:
    """They cost no retry budget, so that alone would let them go on for ever."""
    harness = BalancerHarness(balancer_settings(limits=messages.Limits(max_attempts=most, cancel=True)))
    actions, sends = harness.request("r", "pay"), 0
    while again := actions_of_type(actions, messages.StartAttempt):
        sends += 1
        assert sends <= most
        actions = harness.end_attempt(again[0], messages.Outcome.NOT_SENT, took=0, attempt=sends - 1)
    assert sends == most
    assert [a.request for a in actions_of_type(actions, messages.Reject)] == ["r"]
    assert not harness.balancer.open_requests.by_id
    assert not harness.balancer.dispatcher.in_flight
    assert not harness.balancer.queue
