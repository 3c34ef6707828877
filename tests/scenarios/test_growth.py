"""Nothing grows with the number of requests, callers or backends that have been."""

from __future__ import annotations

import asyncio
from collections.abc import Sized

import pytest

from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.upstream import idle_connections
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInEndpoint

ROUNDS = 1500


def sizes(p: LoopbackProxy) -> dict[str, int]:
    """The entries of every collection that lives as long as the process."""
    counted = {}
    driver = p.driver
    for owner in (
        driver,
        driver.events,
        driver.requests,
        driver.requests.attempts,
        driver.attempts,
        driver.timers,
        driver.endpoint_list,
        driver.endpoint_list.endpoints,
        driver.balancer,
        p.pool,
        p.listener,
        p.clients,
    ):
        for name, value in vars(owner).items():
            if isinstance(value, Sized) and not isinstance(value, str | bytes):
                counted[f"{type(owner).__name__}.{name}"] = len(value)
    counted["tasks"] = len(asyncio.all_tasks())
    # Timers that were taken back leave the loop in groups of about a hundred.
    loop = asyncio.get_running_loop()
    counted["timers"] = sum(not handle.cancelled() for handle in loop._scheduled)  # type: ignore[attr-defined]
    return counted


async def test_no_entry_is_left_after_its_request_or_endpoint_is_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    async with (
        StandInEndpoint(http_response(200, b"x")) as b,
        running_proxy(endpoint_entry("s-0", b.port), max_connections=20) as p,
    ):
        before: dict[str, int] = {}
        for n in range(ROUNDS):
            # Each round a new backend at the address of the one before, which is gone without a drain.
            change = endpoint_list(
                endpoint_entry(f"s-{n}", b.port, "terminated"),
                endpoint_entry(f"s-{n + 1}", b.port),
                rev=n + 2,
                full=False,
            )
            p.driver.endpoint_list.receive(read_list(change))
            reader, writer = await p.connect()  # and a new connection, half of them kept for good
            writer.write(http_request(request_id=f"r{n}"))
            assert (await read_http_message(reader))[2] == b"x"
            if n % 2:
                writer.close()
            if n == 100:
                before = sizes(p)
        after = sizes(p)
        assert before.keys() == after.keys()
        grown = {name: (before[name], after[name]) for name in after if after[name] > before[name] + 5}
        assert not grown, grown
