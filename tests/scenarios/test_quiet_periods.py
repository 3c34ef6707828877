"""The policy, the watch and connections after hours with heartbeats from discovery but no request."""

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
    advance_to_next_request,
    respond_to_latest_request,
    watching_proxy,
)
from tests.support.stepped_clock import advance_until, run_loop_turns, wait_until
from tests.support.units import MILLISECOND_US, SECOND_US

QUIET_HOURS = 10
HEARTBEAT_INTERVAL_S = 2.0


def respond_with_body(body: bytes) -> ConnectionHandler:
    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        connection.send(http_response(200, body))

    return handle


def numbers_in(root: object) -> list[float]:
    """Return all numbers in the state of an object, at any depth."""
    numbers: list[float] = []
    seen: set[int] = set()
    pending_values = [root]
    while pending_values:
        value = pending_values.pop()
        if isinstance(value, bool) or id(value) in seen:
            continue
        if isinstance(value, int | float):
            numbers.append(float(value))
            continue
        seen.add(id(value))
        if isinstance(value, dict):
            pending_values += [*value.keys(), *value.values()]
        elif isinstance(value, list | tuple | set):
            pending_values += value
        elif hasattr(value, "__dict__"):
            pending_values += vars(value).values()
    return numbers


# The policy


@pytest.mark.parametrize("quiet_s", [60, 3_600, QUIET_HOURS * 3_600, 30 * 24 * 3_600])
def test_decisions_are_unchanged_after_a_quiet_period(quiet_s: int) -> None:
    """Rates decay to zero, not to NaN; epochs and shares are unchanged."""
    harness = BalancerHarness(balancer_settings(tenants=(messages.Tenant("t", 5.0),)))
    for number in range(200):
        harness.now_us += 10 * MILLISECOND_US
        for attempt in actions_of_type(harness.send_request(f"a{number}"), messages.StartAttempt):
            harness.end_attempt(
                attempt,
                messages.Outcome.OK,
                duration_us=(20 + 200 * (attempt.endpoint_id == 3)) * MILLISECOND_US,
            )
    shares = {endpoint_id: state.share for endpoint_id, state in harness.balancer.endpoints.states.items()}
    assert shares[3] < min(shares[number] for number in range(3))
    harness.advance(quiet_s * SECOND_US)
    assert {
        endpoint_id: state.share for endpoint_id, state in harness.balancer.endpoints.states.items()
    } == shares
    attempts_by_endpoint = dict.fromkeys(range(4), 0)
    for number in range(400):
        harness.now_us += 10 * MILLISECOND_US
        [attempt] = actions_of_type(harness.send_request(f"b{number}"), messages.StartAttempt)
        attempts_by_endpoint[attempt.endpoint_id] += 1
        harness.end_attempt(
            attempt, messages.Outcome.OK, duration_us=(20 + 200 * (attempt.endpoint_id == 3)) * MILLISECOND_US
        )
    assert attempts_by_endpoint[3] < min(attempts_by_endpoint[number] for number in range(3))
    assert all(math.isfinite(number) for number in numbers_in(harness.balancer))
    assert not harness.balancer.open_requests.by_id
    assert not harness.balancer.dispatcher.in_flight
    assert len(harness.balancer.outbox.timers) <= 2


@pytest.mark.parametrize("quiet_s", [60, QUIET_HOURS * 3_600])
def test_warming_up_endpoint_is_not_overloaded_after_a_quiet_period(quiet_s: int) -> None:
    """After hours without requests no rate is known when a burst arrives and an endpoint has just started."""
    settings = balancer_settings(instances=20, index=3)
    harness = BalancerHarness(settings, endpoint_count=40)
    for number in range(500):
        harness.now_us += 10 * MILLISECOND_US
        for attempt in actions_of_type(harness.send_request(f"a{number}"), messages.StartAttempt):
            harness.end_attempt(attempt, messages.Outcome.OK, duration_us=20 * MILLISECOND_US)
    harness.advance(quiet_s * SECOND_US)
    restarted_id = harness.balancer.endpoints.subset[0].endpoint.id
    harness.update_endpoint_list(
        messages.Endpoint(restarted_id, incarnation_us=harness.now_us, cell=restarted_id % 2),
        kind=messages.EndpointListKind.CHANGES,
        version=2,
    )
    harness.balancer.endpoints.states[
        restarted_id
    ].share = 50.0  # even with a share that would attract all requests
    attempts_at_restarted = 0
    for number in range(100):
        harness.now_us += 10 * MILLISECOND_US
        for attempt in actions_of_type(harness.send_request(f"b{number}"), messages.StartAttempt):
            attempts_at_restarted += attempt.endpoint_id == restarted_id
            harness.end_attempt(attempt, messages.Outcome.OK, duration_us=20 * MILLISECOND_US)
    mean_attempts = 100 / len(harness.balancer.endpoints.subset)
    assert (
        attempts_at_restarted
        <= settings.rules.overload_multiple * settings.rules.start_capacity * mean_attempts
    )
    assert all(math.isfinite(number) for number in numbers_in(harness.balancer))


# The watch


@EACH_SUBSCRIPTION
async def test_watch_with_only_heartbeats_stays_open_for_hours_and_is_reopened_in_time(
    settings: messages.Settings,
) -> None:
    async with watching_proxy(settings) as (discovery, proxy, clock):
        await advance_until(clock, lambda: len(discovery.requests) == 1)
        discovery.requests[0].send(
            WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("s-1", 9)))
        )
        await advance_until(clock, lambda: proxy.driver.endpoint_list.watch.version == 1)
        for _ in range(round(2 * 3_600 / HEARTBEAT_INTERVAL_S)):
            clock.advance(HEARTBEAT_INTERVAL_S)
            discovery.requests[0].send(http_chunk("\n"))
            await run_loop_turns(12)
        assert len(discovery.requests) == 1
        assert len(proxy.driver.balancer.outbox.timers) == len(proxy.driver.timers) == 0
        waited_s = await advance_to_next_request(discovery, clock)  # heartbeats have stopped
        assert waited_s + await respond_to_latest_request(discovery, proxy, clock, settings) < LIST_DEADLINE_S


# Idle connections


async def test_first_request_after_a_quiet_period_uses_no_closed_connection() -> None:
    async with (
        RawEndpoint(respond_with_body(b"x")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        clock = proxy.use_stepped_clock()
        assert (await proxy.send_request(http_request(request_id="r0")))[2] == b"x"
        for number in range(1, 5):
            clock.advance(QUIET_HOURS * 3_600.0)
            await wait_until(lambda number=number: endpoint.connections[number - 1].has_proxy_closed)  # type: ignore[misc]
            assert (await proxy.send_request(http_request(request_id=f"r{number}")))[2] == b"x"
            assert len(endpoint.connections) == number + 1
            assert not any(connection.unparsed for connection in endpoint.connections)
        assert endpoint.request_ids == [f"r{number}" for number in range(5)]
