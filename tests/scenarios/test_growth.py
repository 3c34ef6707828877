"""Nothing grows with the number of requests, clients or endpoints so far."""

from __future__ import annotations

import asyncio
import weakref
from collections import defaultdict
from collections.abc import Callable, Sized
from typing import Any

import pytest

from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.upstream import idle_connections
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import wait_until

WARM_UP_ROUNDS = 60  # after these the collections have their usual sizes
MEASURED_ROUNDS = 240


def parts_of(owner: object, seen: dict[int, object]) -> None:
    """Collect this object of the product and all that it refers to other than through a collection."""
    if id(owner) in seen or not type(owner).__module__.startswith("load_balancer."):
        return
    seen[id(owner)] = owner
    for value in vars(owner).values() if hasattr(owner, "__dict__") else ():
        parts_of(value, seen)


class TimerRecorder:
    """Sees all timers that are set on the running event loop from now on."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._timers: weakref.WeakSet[asyncio.TimerHandle] = weakref.WeakSet()
        call_at = self._loop.call_at

        def record_and_call_at(
            when_s: float, callback: Callable[..., object], *args: Any, **named: Any
        ) -> asyncio.TimerHandle:
            timer = call_at(when_s, callback, *args, **named)
            self._timers.add(timer)
            return timer

        self._loop.call_at = record_and_call_at  # type: ignore[method-assign, assignment]

    @property
    def pending_count(self) -> int:
        """How many timers are set that have not been cancelled and are still to fire."""
        now_s = self._loop.time()
        return sum(not timer.cancelled() and timer.when() > now_s for timer in self._timers)


def collection_sizes(proxy: LoopbackProxy, timers: TimerRecorder) -> dict[str, int]:
    """Return the size of every collection that lives as long as the process."""
    parts: dict[int, object] = {}
    for owner in (proxy.driver, proxy.pool, proxy.listener, proxy.clients):
        parts_of(owner, parts)
    counted: dict[str, int] = defaultdict(int)
    for part in parts.values():
        for name, value in vars(part).items() if hasattr(part, "__dict__") else ():
            if isinstance(value, Sized) and not isinstance(value, str | bytes):
                counted[f"{type(part).__name__}.{name}"] += len(value)
    counted["tasks"] = len(asyncio.all_tasks())
    counted["timers"] = timers.pending_count
    return counted


async def collection_sizes_at_rest(proxy: LoopbackProxy, timers: TimerRecorder) -> dict[str, int]:
    """Return the sizes once the timer of the periodic scan of attempts, if one is set, has fired."""
    await wait_until(lambda: not proxy.driver.timers)
    return collection_sizes(proxy, timers)


async def replace_endpoint_and_send_request(
    proxy: LoopbackProxy, port: int, number: int
) -> asyncio.StreamWriter:
    """Put a new endpoint in the place of the one before, and send a request on a new client connection.

    The endpoint before is gone without draining. Every other client closes its connection, the others keep it
    open for as long as what is returned is referred to.
    """
    change = endpoint_list(
        endpoint_entry(f"s-{number}", port, "terminated"),
        endpoint_entry(f"s-{number + 1}", port),
        rev=number + 2,
        is_complete=False,
    )
    proxy.driver.endpoint_list.receive(read_list(change))
    reader, writer = await proxy.connect()
    writer.write(http_request(request_id=f"r{number}"))
    assert (await read_http_message(reader))[2] == b"x"
    if number % 2:
        writer.close()
    return writer


@pytest.mark.time_limit_s(60.0)  # about 1 s; beside ten busy processes 9 s were measured
@pytest.mark.parametrize("first", range(0, 1500, 300))
async def test_no_entry_is_left_after_its_request_or_endpoint_is_gone(
    first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)
    timers = TimerRecorder()
    async with (
        StandInEndpoint(http_response(200, b"x")) as endpoint,
        running_proxy(endpoint_entry(f"s-{first}", endpoint.port), max_connections=20) as proxy,
    ):
        clients = [
            await replace_endpoint_and_send_request(proxy, endpoint.port, number)
            for number in range(first, first + WARM_UP_ROUNDS)
        ]
        before = await collection_sizes_at_rest(proxy, timers)
        clients += [
            await replace_endpoint_and_send_request(proxy, endpoint.port, number)
            for number in range(first + WARM_UP_ROUNDS, first + WARM_UP_ROUNDS + MEASURED_ROUNDS)
        ]
        after = await collection_sizes_at_rest(proxy, timers)
        assert before.keys() == after.keys()
        grown = {name: (before[name], after[name]) for name in after if after[name] > before[name]}
        assert not grown, grown
        for client in clients:
            client.close()
