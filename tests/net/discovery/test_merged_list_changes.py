"""Changes received in one read are merged and applied together, with the same effect as one after another."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import replace

import pytest

from load_balancer import messages
from load_balancer.net.discovery import endpoint_watch
from load_balancer.net.discovery.endpoint_list import EndpointListMessage, merge_changes
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid, read_list
from load_balancer.net.discovery.endpoint_watch import EndpointWatch, WatchCallbacks, WatchTimeouts
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import http_chunk
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import wait_until

STATES = ("in_service", "in_service", "terminating", "terminated")


def list_changes(*entries: dict[str, object], rev: int) -> dict[str, object]:
    return endpoint_list(*entries, rev=rev, is_complete=False)


def endpoint_ids(*uids: str) -> set[int]:
    return {endpoint_id_from_uid(uid) for uid in uids}


async def updates_until_watch_failure(proxy: LoopbackProxy) -> list[messages.EndpointListUpdate]:
    """Return the lists passed to the policy until the watch fails."""
    updates: list[messages.EndpointListUpdate] = []
    put_event = proxy.driver.events.put

    def record_and_put(event: messages.Event) -> None:
        if isinstance(event, messages.EndpointListUpdate):
            updates.append(event)
        put_event(event)

    proxy.driver.events.put = record_and_put  # type: ignore[method-assign]
    await wait_until(lambda: bool(updates) and updates[-1].kind is messages.EndpointListKind.FAILED)
    return updates[:-1]


async def updates_from_stream(
    stream_bytes: bytes,
) -> tuple[list[messages.EndpointListUpdate], set[int], int | None]:
    """Return the lists passed to the policy, the endpoint ids known then, and the version to resume from."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WATCH_RESPONSE_HEAD + stream_bytes)

    async with StandInServer(handle) as discovery, running_proxy(discovery_port=discovery.port) as proxy:
        updates = await updates_until_watch_failure(proxy)
        known_ids = set(proxy.driver.balancer.endpoints.states)
        return updates, known_ids, proxy.driver.endpoint_list.watch.version


async def test_changes_of_one_read_reach_the_policy_as_one_event() -> None:
    stream_bytes = endpoint_list_chunk(endpoint_list(endpoint_entry("a", 9), endpoint_entry("b", 9), rev=1))
    for number in range(50):
        stream_bytes += endpoint_list_chunk(
            list_changes(endpoint_entry(f"s-{number}", 9), rev=2 + number)
        ) + http_chunk("\n")
    stream_bytes += endpoint_list_chunk(list_changes(endpoint_entry("a", 9, "terminating"), rev=52))
    stream_bytes += endpoint_list_chunk(list_changes(endpoint_entry("a", 9, "terminated"), rev=53))
    updates, known_ids, resume_version = await updates_from_stream(stream_bytes + b"0\r\n\r\n")
    assert [(update.kind, update.version) for update in updates] == [
        (messages.EndpointListKind.COMPLETE, 1),
        (messages.EndpointListKind.CHANGES, 53),
    ]
    assert known_ids == endpoint_ids("b", *(f"s-{number}" for number in range(50)))
    assert resume_version == 53


@pytest.mark.parametrize(
    "invalid_bytes", [http_chunk('{"rev":'), http_chunk('{"rev":4}\n'), b"zz\r\n", b"0\r\n\r\n"]
)
async def test_lists_before_an_invalid_one_are_applied(invalid_bytes: bytes) -> None:
    valid_changes = endpoint_list_chunk(list_changes(endpoint_entry("a", 9), rev=2)) + endpoint_list_chunk(
        list_changes(endpoint_entry("b", 9), rev=3)
    )
    updates, known_ids, resume_version = await updates_from_stream(
        valid_changes + invalid_bytes + b"0\r\n\r\n"
    )
    assert [update.version for update in updates] == [3]
    assert known_ids == endpoint_ids("a", "b")
    assert resume_version == 3


async def test_list_that_failed_to_apply_does_not_advance_the_version() -> None:
    """Otherwise discovery would assume that the list is held, and never send it again."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        complete, changes = (
            endpoint_list(endpoint_entry("a", 9), rev=1),
            list_changes(endpoint_entry("b", 9), rev=2),
        )
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(complete) + endpoint_list_chunk(changes))

    def fail_on_changes(message: EndpointListMessage) -> None:
        if not message.is_complete:
            raise RuntimeError("list not applied")

    failed = asyncio.Event()
    async with StandInServer(handle) as discovery:
        watch = EndpointWatch(
            ("127.0.0.1", discovery.port),
            WatchCallbacks(fail_on_changes, lambda failure: failed.set()),
            WatchTimeouts((60.0,), 60.0),
        )
        watch.start()
        await failed.wait()
        assert watch.version == 1
        watch.close()


def test_complete_lists_and_old_changes_are_not_merged() -> None:
    lists = [
        read_list(list_changes(endpoint_entry("a", 9), rev=5)),
        read_list(list_changes(endpoint_entry("b", 9), rev=6)),
        read_list(endpoint_list(endpoint_entry("c", 9), rev=3)),
        read_list(list_changes(endpoint_entry("d", 9), rev=4)),
        read_list(list_changes(endpoint_entry("e", 9), rev=2)),
    ]
    assert [(update.version, update.is_complete) for update in merge_changes(lists)] == [
        (6, False),
        (3, True),
        (4, False),
        (2, False),
    ]


async def test_old_changes_in_a_later_read_are_not_merged() -> None:
    """Merged with newer changes, they would bring back an endpoint that has since been removed."""
    first_read = endpoint_list_chunk(endpoint_list(endpoint_entry("a", 9), rev=10)) + endpoint_list_chunk(
        list_changes(endpoint_entry("b", 9), rev=12)
    )
    later_read = endpoint_list_chunk(list_changes(endpoint_entry("gone", 9), rev=11)) + endpoint_list_chunk(
        list_changes(endpoint_entry("c", 9), rev=13)
    )
    first_list_applied = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WATCH_RESPONSE_HEAD + first_read)
        await first_list_applied.wait()
        writer.write(later_read + b"0\r\n\r\n")

    async with StandInServer(handle) as discovery, running_proxy(discovery_port=discovery.port) as proxy:
        await wait_until(lambda: proxy.driver.endpoint_list.watch.version == 12)
        first_list_applied.set()
        updates = await updates_until_watch_failure(proxy)
        assert [update.version for update in updates] == [11, 13]
        assert set(proxy.driver.balancer.endpoints.states) == endpoint_ids("a", "b", "c")


@pytest.mark.parametrize("removed_state", ["terminating", "terminated"])
def test_return_of_an_endpoint_is_not_merged_with_its_removal(removed_state: str) -> None:
    """Otherwise the returned endpoint would reuse the idle connections of the removed one."""
    lists = [
        read_list(list_changes(endpoint_entry("a", 9, state), rev=number))
        for number, state in ((2, removed_state), (3, "in_service"))
    ]
    assert merge_changes(lists) == lists


def random_lists(rng: random.Random) -> list[EndpointListMessage]:
    """Return a complete list, ten changes to it, some of them old, and sometimes a second complete list."""
    lists = [read_list(endpoint_list(*(endpoint_entry(f"s-{number}", 9) for number in range(4)), rev=9))]
    for rev in range(10, 20):
        entries = [
            endpoint_entry(
                f"s-{rng.randrange(6)}", rng.randrange(9, 11), rng.choice(STATES), boot_ms=rng.randrange(2)
            )
            for _ in range(rng.choice((0, 1, 2)))
        ]
        lists.append(read_list(list_changes(*entries, rev=rev - 3 * (rng.random() < 0.1))))
    if rng.random() < 0.5:
        lists.insert(rng.randrange(1, 11), replace(lists[0], version=rng.randrange(5, 15)))
    return lists


async def effect_of(lists: Iterable[EndpointListMessage]) -> tuple[object, ...]:
    """Return the endpoint state of a proxy that has received these lists."""
    async with running_proxy() as proxy:
        for message in lists:
            proxy.driver.endpoint_list.receive(message)
        endpoints, states = proxy.driver.endpoint_list.endpoints, proxy.driver.balancer.endpoints.states
        return (
            # Start times are omitted, as each of the two drivers has its own clock.
            {number: replace(state.endpoint, started_us=None) for number, state in states.items()},
            endpoints.by_id,
            endpoints.up_ids,
            set(proxy.pool.idle.reuse_from_s),
            proxy.driver.balancer.endpoints.version,
        )


async def test_merged_changes_have_the_same_effect_as_single_ones() -> None:
    rng = random.Random(1)
    for _ in range(40):
        lists = random_lists(rng)
        assert await effect_of(lists) == await effect_of(merge_changes(lists))


async def test_changes_received_while_reading_is_paused_are_merged(monkeypatch: pytest.MonkeyPatch) -> None:
    """A rollout publishes its changes one by one, some hundred per second."""
    monkeypatch.setattr(endpoint_watch, "READ_PAUSE_S", 1.0)
    first_list_applied = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("a", 9), rev=1)))
        await first_list_applied.wait()
        for number in range(5):
            writer.write(endpoint_list_chunk(list_changes(endpoint_entry(f"s-{number}", 9), rev=2 + number)))
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n")

    async with StandInServer(handle) as discovery, running_proxy(discovery_port=discovery.port) as proxy:
        await wait_until(lambda: proxy.driver.endpoint_list.watch.version == 1)
        first_list_applied.set()
        read_count = 0
        feed_data = asyncio.StreamReader.feed_data

        def count_and_feed(reader: asyncio.StreamReader, data: bytes) -> None:
            nonlocal read_count
            read_count += data.startswith(b"0\r\n") or b'"rev"' in data
            feed_data(reader, data)

        monkeypatch.setattr(asyncio.StreamReader, "feed_data", count_and_feed)
        assert [update.version for update in await updates_until_watch_failure(proxy)] == [6]
        assert read_count == 1  # the changes do not cost one event loop iteration each


def test_read_pause_leaves_time_for_a_process_stall() -> None:
    """A change must be applied within 250 ms, of which a stall of the process may take 150 ms."""
    assert endpoint_watch.READ_PAUSE_S + 0.15 < 0.25 - 0.05
