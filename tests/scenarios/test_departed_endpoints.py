"""Idle connections to endpoints that have left the subset are closed and do not accumulate."""

from __future__ import annotations

import asyncio
import random

import pytest

from load_balancer import messages
from load_balancer.messages import EndpointListKind, EndpointStatus
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid
from load_balancer.policy.endpoint_list import MAX_FORMER_MEMBERS
from load_balancer.simulator import encode_action
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.stand_in_server import StandInEndpoint


def subset_ids(harness: BalancerHarness) -> set[int]:
    """Return the ids of the endpoints in the subset."""
    return {state.endpoint.id for state in harness.balancer.endpoints.subset}


def apply_changes(harness: BalancerHarness, version: int, *endpoints: messages.Endpoint) -> list[int]:
    """Apply changes to the list; return the ids of endpoints whose idle connections are closed, in order."""
    update = messages.EndpointListUpdate(EndpointListKind.CHANGES, version, endpoints)
    return [action.endpoint_id for action in actions_of_type(harness.handle(update), messages.CloseIdle)]


class ListChurn:
    """List changes that add an endpoint at odd versions and drain or remove one at even versions."""

    def __init__(self, endpoint_count: int) -> None:
        self.random = random.Random(1)
        self.listed_ids = list(range(endpoint_count))

    def change(self, version: int) -> messages.Endpoint:
        """Return the change that brings the list to this version."""
        if version % 2:
            self.listed_ids.append(10_000 + version)
            return messages.Endpoint(self.listed_ids[-1])
        status = self.random.choice((EndpointStatus.DRAINING, EndpointStatus.REMOVED))
        return messages.Endpoint(self.listed_ids.pop(self.random.randrange(len(self.listed_ids))), status)


@pytest.mark.parametrize(("endpoint_count", "instances"), [(200, 34), (600, 102), (800, 34)])
def test_few_endpoints_outside_the_subset_keep_connections(endpoint_count: int, instances: int) -> None:
    """Each endpoint that enters the subset counts as connected until it is closed or delisted."""
    settings = balancer_settings(instances=instances, index=instances // 2)
    harness, churn = BalancerHarness(settings, endpoint_count), ListChurn(endpoint_count)
    connected_ids = subset_ids(harness)
    max_outside, closed_count = 0, 0
    for version in range(2, 2 + 6 * endpoint_count):
        closed_ids = set(apply_changes(harness, version, churn.change(version)))
        listed_ids = set(churn.listed_ids)
        assert not closed_ids & subset_ids(harness)
        assert closed_ids <= listed_ids
        closed_count += len(closed_ids)
        connected_ids = ((connected_ids | subset_ids(harness)) & listed_ids) - closed_ids
        max_outside = max(max_outside, len(connected_ids - subset_ids(harness)))
    assert closed_count
    assert max_outside == MAX_FORMER_MEMBERS


def ids_ranked_before(hashed_id: int, count: int) -> list[int]:
    """Return this many endpoint ids whose ring position is below the hash."""
    hashed_ids = ((number * 2_654_435_761 % 2**32, number) for number in range(1_000, 100_000))
    return [number for candidate_hash, number in hashed_ids if candidate_hash < hashed_id][:count]


def test_longest_departed_endpoint_is_closed_first_and_rejoined_one_keeps_connections() -> None:
    harness = BalancerHarness(balancer_settings(instances=34, index=0), endpoint_count=0)
    harness.update_endpoint_list(*(messages.Endpoint(number) for number in range(1, 189)))
    endpoints = harness.balancer.endpoints
    first_on_ring = min(endpoints.states.values(), key=lambda state: state.ring_position)
    initial_ids = [state.endpoint.id for state in endpoints.subset]

    # New endpoints with lower ring positions displace the last ones of the subset until they are removed.
    new_ids = ids_ranked_before(first_on_ring.hashed_id, MAX_FORMER_MEMBERS + 2)
    closed_ids = []
    for version, number in enumerate(new_ids, 2):
        closed_ids += apply_changes(harness, version, messages.Endpoint(number))
    assert subset_ids(harness) == {*new_ids, *initial_ids[: -len(new_ids)]}
    assert closed_ids == [initial_ids[-1], initial_ids[-2]]

    removals = (messages.Endpoint(number, EndpointStatus.REMOVED) for number in new_ids)
    assert not apply_changes(harness, 100, *removals)
    assert subset_ids(harness) == set(initial_ids)
    assert not endpoints.former_members


def test_simulator_writes_close_idle_in_its_wire_form() -> None:
    assert encode_action(messages.CloseIdle(7)) == {"msg": "CLOSE", "backend": 7}


async def test_departed_endpoint_loses_its_idle_connections_and_stays_usable() -> None:
    async with (
        StandInEndpoint(http_response(200, b"a")) as endpoint,
        running_proxy(endpoint_entry("a", endpoint.port)) as proxy,
    ):
        for request_id in ("r1", "r2"):
            assert (await proxy.send_request(http_request(request_id=request_id))).body == b"a"
            [[connection]] = proxy.pool.idle.by_endpoint.values()
            proxy.driver.actions.perform(messages.CloseIdle(endpoint_id_from_uid("a")), 0.0)
            assert connection.transport.is_closing()
            assert not proxy.pool.idle.by_endpoint
            await asyncio.sleep(0)
        assert endpoint.connection_count == 2
        proxy.driver.actions.perform(messages.CloseIdle(12345), 0.0)  # not on the list
