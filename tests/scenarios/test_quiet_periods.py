"""Trouble that begins after hours without a request, with discovery's heartbeats only."""

from __future__ import annotations

import math

import pytest

from load_balancer import messages
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import HttpMessage, http_chunk, http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.raw_endpoint import ConnectionHandler, EndpointConnection, RawEndpoint
from tests.support.stand_in_discovery import (
    EACH_SUBSCRIPTION,
    LIST_DEADLINE_S,
    advance_to_next_call,
    answer_latest_call,
    watching_proxy,
)
from tests.support.stepped_clock import advance_until, run_loop_turns, wait_until
from tests.support.units import MILLISECOND_US, SECOND_US

HOURS = 10
BEAT_S = 2.0


def answers_as(name: bytes) -> ConnectionHandler:
    async def handle(wire: EndpointConnection, got: HttpMessage) -> None:
        wire.send(http_response(200, name))

    return handle


def numbers(of: object) -> list[float]:
    """Each number in the module's state, however deep."""
    found: list[float] = []
    seen: set[int] = set()
    left = [of]
    while left:
        one = left.pop()
        if isinstance(one, bool) or id(one) in seen:
            continue
        if isinstance(one, int | float):
            found.append(float(one))
            continue
        seen.add(id(one))
        if isinstance(one, dict):
            left += [*one.keys(), *one.values()]
        elif isinstance(one, list | tuple | set):
            left += one
        elif hasattr(one, "__dict__"):
            left += vars(one).values()
    return found


# The module


@pytest.mark.parametrize("quiet_s", [60, 3_600, HOURS * 3_600, 30 * 24 * 3_600])
def test_decisions_are_unchanged_after_a_quiet_period(quiet_s: int) -> None:
    """Rates run out to nothing and not to what is no number; epochs and shares stay as they were."""
    harness = BalancerHarness(balancer_settings(tenants=(messages.Tenant("t", 5.0),)))
    for n in range(200):
        harness.now_us += 10 * MILLISECOND_US
        for send in actions_of_type(harness.request(f"a{n}"), messages.StartAttempt):
            harness.end_attempt(
                send, messages.Outcome.OK, took=(20 + 200 * (send.endpoint_id == 3)) * MILLISECOND_US
            )
    shares = {endpoint_id: server.share for endpoint_id, server in harness.balancer.endpoints.states.items()}
    assert shares[3] < min(shares[n] for n in range(3))
    harness.advance(quiet_s * SECOND_US)
    assert {
        endpoint_id: server.share for endpoint_id, server in harness.balancer.endpoints.states.items()
    } == shares
    got = dict.fromkeys(range(4), 0)
    for n in range(400):
        harness.now_us += 10 * MILLISECOND_US
        [send] = actions_of_type(harness.request(f"b{n}"), messages.StartAttempt)
        got[send.endpoint_id] += 1
        harness.end_attempt(
            send, messages.Outcome.OK, took=(20 + 200 * (send.endpoint_id == 3)) * MILLISECOND_US
        )
    assert got[3] < min(got[n] for n in range(3))
    assert all(math.isfinite(number) for number in numbers(harness.balancer))
    assert not harness.balancer.open_requests.by_id
    assert not harness.balancer.dispatcher.in_flight
    assert len(harness.balancer.outbox.timers) <= 2


@pytest.mark.parametrize("quiet_s", [60, HOURS * 3_600])
def test_warming_endpoint_is_spared_after_a_quiet_period(quiet_s: int) -> None:
    """Nothing was sent for hours, so nothing tells what a backend takes: a burst finds one that is cold."""
    setup = balancer_settings(instances=20, index=3)
    harness = BalancerHarness(setup, endpoint_count=40)
    for n in range(500):
        harness.now_us += 10 * MILLISECOND_US
        for send in actions_of_type(harness.request(f"a{n}"), messages.StartAttempt):
            harness.end_attempt(send, messages.Outcome.OK, took=20 * MILLISECOND_US)
    harness.advance(quiet_s * SECOND_US)
    cold = harness.balancer.endpoints.subset[0].endpoint.id
    harness.update_endpoint_list(
        messages.Endpoint(cold, incarnation_us=harness.now_us, cell=cold % 2),
        kind=messages.EndpointListKind.CHANGES,
        version=2,
    )
    harness.balancer.endpoints.states[cold].share = 50.0  # even where its share would draw everything
    sent = 0
    for n in range(100):
        harness.now_us += 10 * MILLISECOND_US
        for send in actions_of_type(harness.request(f"b{n}"), messages.StartAttempt):
            sent += send.endpoint_id == cold
            harness.end_attempt(send, messages.Outcome.OK, took=20 * MILLISECOND_US)
    warm = 100 / len(harness.balancer.endpoints.subset)
    assert sent <= setup.rules.overload_multiple * setup.rules.start_capacity * warm
    assert all(math.isfinite(number) for number in numbers(harness.balancer))


# The watch


@EACH_SUBSCRIPTION
async def test_watch_with_only_heartbeats_stands_for_hours_and_is_reopened_in_time(
    setup: messages.Settings,
) -> None:
    async with watching_proxy(setup) as (d, p, clock):
        await advance_until(clock, lambda: len(d.calls) == 1)
        d.calls[0].send(WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9))))
        await advance_until(clock, lambda: p.driver.endpoint_list.watch.version == 1)
        for _ in range(round(2 * 3_600 / BEAT_S)):
            clock.advance(BEAT_S)
            d.calls[0].send(http_chunk("\n"))
            await run_loop_turns(12)
        assert len(d.calls) == 1
        assert len(p.driver.balancer.outbox.timers) == len(p.driver.timers) == 0
        waited = await advance_to_next_call(d, clock)  # it falls silent
        assert waited + await answer_latest_call(d, p, clock, setup) < LIST_DEADLINE_S


# Idle connections


async def test_first_request_after_a_quiet_period_uses_no_closed_connection() -> None:
    async with (
        RawEndpoint(answers_as(b"x")) as b,
        running_proxy(endpoint_entry("s-1", b.port)) as p,
    ):
        clock = p.step_clocks()
        assert (await p.send_request(http_request(request_id="r0")))[2] == b"x"
        for n in range(1, 5):
            clock.advance(HOURS * 3_600.0)
            await wait_until(lambda n=n: b.accepted[n - 1].has_remote_ended)  # type: ignore[misc]
            assert (await p.send_request(http_request(request_id=f"r{n}")))[2] == b"x"
            assert len(b.accepted) == n + 1
            assert not any(w.unparsed for w in b.accepted)
        assert b.request_ids == [f"r{n}" for n in range(5)]
