"""Connections to backends that have left the subset don't pile up."""

from __future__ import annotations

import asyncio
import random

import pytest

from load_balancer import messages
from load_balancer.net.discovery.endpoint_list_json import endpoint_number
from load_balancer.policy.endpoint_list import MAX_DEPARTED
from load_balancer.simulator import write_action
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.stand_in_server import StandInEndpoint


def subset(harness: BalancerHarness) -> set[int]:
    return {server.endpoint.id for server in harness.balancer.endpoints.subset}


@pytest.mark.parametrize(("backends", "instances"), [(200, 34), (600, 102), (800, 34)])
def test_few_endpoints_outside_the_subset_keep_connections(backends: int, instances: int) -> None:
    """Taking it that each backend that was ever in the subset holds one."""
    harness = BalancerHarness(balancer_settings(instances=instances, index=instances // 2), backends)
    rng = random.Random(1)
    there = list(range(backends))
    connected = subset(harness)
    most, closed = 0, 0
    for version in range(2, 2 + 6 * backends):
        if version % 2:
            there.append(10_000 + version)
            entry = messages.Endpoint(there[-1])
        else:
            status = rng.choice((messages.EndpointStatus.DRAINING, messages.EndpointStatus.REMOVED))
            entry = messages.Endpoint(there.pop(rng.randrange(len(there))), status)
        done = harness.handle(
            messages.EndpointListUpdate(messages.EndpointListKind.CHANGES, version, (entry,))
        )
        told = {action.endpoint_id for action in actions_of_type(done, messages.CloseIdle)}
        assert not told & subset(harness)
        assert told <= set(there)
        closed += len(told)
        connected = ((connected | subset(harness)) & set(there)) - told
        most = max(most, len(connected - subset(harness)))
    assert closed
    assert most == MAX_DEPARTED


def test_longest_departed_endpoint_is_closed_first_and_returned_one_is_kept() -> None:
    harness = BalancerHarness(balancer_settings(instances=34, index=0), endpoint_count=0)
    harness.update_endpoint_list(*(messages.Endpoint(number) for number in range(1, 189)))
    ring = sorted(harness.balancer.endpoints.states.values(), key=lambda server: server.ring_position)
    before = [server.endpoint.id for server in harness.balancer.endpoints.subset]
    # What comes to stand before the first arc's start pushes out its last ones, until it goes again.
    mixed = ((number * 2_654_435_761 % 2**32, number) for number in range(1_000, 100_000))
    newcomers = [number for rank, number in mixed if rank < ring[0].mixed_id][: MAX_DEPARTED + 2]
    told = []
    for version, number in enumerate(newcomers, 2):
        news = messages.EndpointListUpdate(
            messages.EndpointListKind.CHANGES, version, (messages.Endpoint(number),)
        )
        told += [action.endpoint_id for action in actions_of_type(harness.handle(news), messages.CloseIdle)]
    assert subset(harness) == {*newcomers, *before[: -len(newcomers)]}
    assert told == [before[-1], before[-2]]
    gone = tuple(messages.Endpoint(number, messages.EndpointStatus.REMOVED) for number in newcomers)
    assert not actions_of_type(
        harness.handle(messages.EndpointListUpdate(messages.EndpointListKind.CHANGES, 100, gone)),
        messages.CloseIdle,
    )
    assert subset(harness) == set(before)
    assert not harness.balancer.endpoints.departed


def test_simulator_writes_close_idle_in_its_wire_form() -> None:
    assert write_action(messages.CloseIdle(7)) == {"msg": "CLOSE", "backend": 7}


async def test_departed_endpoint_loses_its_idle_connections_and_stays_usable() -> None:
    async with (
        StandInEndpoint(http_response(200, b"a")) as a,
        running_proxy(endpoint_entry("a", a.port)) as p,
    ):
        for n in (1, 2):
            assert (await p.send_request(http_request(request_id=f"r{n}")))[2] == b"a"
            [[connection]] = p.pool.idle.by_endpoint.values()
            p.driver.actions.perform(messages.CloseIdle(endpoint_number("a")), 0.0)
            assert connection.transport.is_closing()
            assert not p.pool.idle.by_endpoint
            await asyncio.sleep(0)
        assert a.connection_count == 2
        p.driver.actions.perform(messages.CloseIdle(12345), 0.0)  # not on the list any more
