"""No collection grows with the number of past requests, clients or endpoints."""

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

WARM_UP_ROUNDS = 60  # collections have reached their steady sizes
MEASURED_ROUNDS = 240


def collect_objects(owner: object, objects_by_id: dict[int, object]) -> None:
    """Collect an object of the package and, recursively, those in its attributes, but not in collections."""
    if id(owner) in objects_by_id or not type(owner).__module__.startswith("load_balancer."):
        return
    objects_by_id[id(owner)] = owner
    for value in vars(owner).values() if hasattr(owner, "__dict__") else ():
        collect_objects(value, objects_by_id)


class TimerRecorder:
    """Records all timers that are set on the running event loop from now on."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._timers: weakref.WeakSet[asyncio.TimerHandle] = weakref.WeakSet()
        call_at = self._loop.call_at

        def record_and_call_at(
            when_s: float, callback: Callable[..., object], *args: Any, **kwargs: Any
        ) -> asyncio.TimerHandle:
            timer = call_at(when_s, callback, *args, **kwargs)
            self._timers.add(timer)
            return timer

        self._loop.call_at = record_and_call_at  # type: ignore[method-assign, assignment]

    @property
    def pending_count(self) -> int:
        """The number of timers that have neither fired nor been cancelled."""
        now_s = self._loop.time()
        return sum(not timer.cancelled() and timer.when() > now_s for timer in self._timers)


def collection_sizes(proxy: LoopbackProxy, timers: TimerRecorder) -> dict[str, int]:
    """Return the size of every collection that lives as long as the process, by class and attribute."""
    objects_by_id: dict[int, object] = {}
    for owner in (proxy.driver, proxy.pool, proxy.listener, proxy.clients):
        collect_objects(owner, objects_by_id)
    sizes: dict[str, int] = defaultdict(int)
    for instance in objects_by_id.values():
        for name, value in vars(instance).items() if hasattr(instance, "__dict__") else ():
            if isinstance(value, Sized) and not isinstance(value, str | bytes):
                sizes[f"{type(instance).__name__}.{name}"] += len(value)
    sizes["tasks"] = len(asyncio.all_tasks())
    sizes["timers"] = timers.pending_count
    return sizes


async def collection_sizes_at_rest(proxy: LoopbackProxy, timers: TimerRecorder) -> dict[str, int]:
    """Return the sizes once the timer of the periodic scan of attempts, if one is set, has fired."""
    await wait_until(lambda: not proxy.driver.timers)
    return collection_sizes(proxy, timers)


async def replace_endpoint_and_send_request(
    proxy: LoopbackProxy, port: int, number: int
) -> asyncio.StreamWriter:
    """Replace the only endpoint, and send a request on a new client connection.

    The previous endpoint is removed without draining. Every second client closes its connection; the others
    keep theirs open as long as the returned writer is referenced.
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


@pytest.mark.time_limit_s(60.0)  # takes about 1 s, and 9 s beside ten busy processes
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
