"""When a watch resumes from the last version, and when it requests the complete list."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest

from load_balancer import messages
from tests.net.discovery.versioned_discovery import (
    EACH_SUBSCRIPTION,
    FollowingProxy,
    advance_clock_until,
    following_proxy,
)
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_chunk

Event = Callable[[FollowingProxy], Awaitable[None]]


async def no_event(following: FollowingProxy) -> None:
    pass


async def changes_published(following: FollowingProxy) -> None:
    for _ in range(3):
        following.first.publish_change()
    await following.wait_until_followed(following.first)


async def watch_ended(following: FollowingProxy) -> None:
    following.first.open_writers[0].write(b"0\r\n\r\n")
    await advance_clock_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def watch_reset(following: FollowingProxy) -> None:
    following.first.open_writers[0].transport.abort()
    await advance_clock_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def watch_silent(following: FollowingProxy) -> None:
    await advance_clock_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def two_watches_silent(following: FollowingProxy) -> None:
    following.first.is_silent = True
    await advance_clock_until(following.clock, lambda: len(following.first.request_targets) == 3)
    following.first.is_silent = False
    await advance_clock_until(following.clock, lambda: len(following.first.request_targets) == 4)


async def invalid_list(following: FollowingProxy) -> None:
    following.first.open_writers[0].write(
        http_chunk('{"rev":42,"all":false,"targets":[{"uid":"x","state":"odd"}]}\n')
    )
    await advance_clock_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def truncated_list(following: FollowingProxy) -> None:
    following.first.open_writers[0].write(http_chunk('{"rev":42,"all":true,"targets":['))
    await advance_clock_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def discovery_changed(following: FollowingProxy) -> None:
    following.change_discovery(following.second)
    await following.wait_until_followed(following.second)


async def discovery_restored_at_once(following: FollowingProxy) -> None:
    for discovery in (following.second, following.first, following.second, following.first):
        following.change_discovery(discovery)
    await advance_clock_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def discovery_restored_after_a_silent_one(following: FollowingProxy) -> None:
    following.second.is_silent = True
    following.change_discovery(following.second)
    await advance_clock_until(following.clock, lambda: len(following.second.request_targets) == 2)
    following.first.publish_change()
    following.change_discovery(following.first)
    await following.wait_until_followed(following.first)


async def discovery_restored_after_a_list_of_another(following: FollowingProxy) -> None:
    following.change_discovery(following.second)
    await following.wait_until_followed(following.second)
    # The first discovery has a version with the number that the proxy holds, but with other contents.
    following.first.rev = following.second.rev + 1
    following.change_discovery(following.first)
    await following.wait_until_followed(following.first)


# Each event, and the number of complete lists requested after it.
EVENTS: list[tuple[Event, int]] = [
    (no_event, 0),
    (changes_published, 0),
    (watch_ended, 0),
    (watch_reset, 0),
    (watch_silent, 0),
    (two_watches_silent, 0),
    (invalid_list, 0),
    (truncated_list, 0),
    (discovery_changed, 1),  # versions of one discovery mean nothing to another
    (discovery_restored_at_once, 0),
    (discovery_restored_after_a_silent_one, 0),
    (discovery_restored_after_a_list_of_another, 2),
]


@EACH_SUBSCRIPTION
@pytest.mark.parametrize(
    ("event", "expected_complete_lists"), EVENTS, ids=[event.__name__ for event, _ in EVENTS]
)
async def test_complete_list_is_requested_only_when_no_version_can_be_resumed(
    settings: messages.Settings, event: Event, expected_complete_lists: int
) -> None:
    """A complete list of 3,200 endpoints has half a megabyte."""

    async with following_proxy(settings) as following:
        await following.wait_until_followed(following.first)
        assert following.first.complete_list_count == 1
        await event(following)
        await following.wait_until_followed(
            following.second if event is discovery_changed else following.first
        )
        assert (
            following.first.complete_list_count + following.second.complete_list_count - 1
            == expected_complete_lists
        )


@EACH_SUBSCRIPTION
async def test_watch_resumes_from_a_cached_list_at_the_start(settings: messages.Settings) -> None:
    async with following_proxy(settings, endpoint_entry("a-1", 9)) as following:
        await following.wait_until_followed(following.first)
        assert following.first.complete_list_count == 0
        assert following.first.request_targets == ["/v1/endpoints?follow=1&since=1"]
