"""When a watch resumes from the last version, and when the complete list is requested again."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest

from load_balancer import messages
from tests.net.discovery.versioned_discovery import BOTH, FollowingProxy, following_proxy, pass_until
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_chunk

Event = Callable[[FollowingProxy], Awaitable[None]]


async def nothing(following: FollowingProxy) -> None:
    pass


async def changes(following: FollowingProxy) -> None:
    for _ in range(3):
        following.first.change()
    await following.follow(following.first)


async def end(following: FollowingProxy) -> None:
    following.first.open_writers[0].write(b"0\r\n\r\n")
    await pass_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def reset(following: FollowingProxy) -> None:
    following.first.open_writers[0].transport.abort()
    await pass_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def silence(following: FollowingProxy) -> None:
    await pass_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def silent_twice(following: FollowingProxy) -> None:
    following.first.is_silent = True
    await pass_until(following.clock, lambda: len(following.first.request_targets) == 3)
    following.first.is_silent = False
    await pass_until(following.clock, lambda: len(following.first.request_targets) == 4)


async def spoilt(following: FollowingProxy) -> None:
    following.first.open_writers[0].write(
        http_chunk('{"rev":42,"all":false,"targets":[{"uid":"x","state":"odd"}]}\n')
    )
    await pass_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def half_a_list(following: FollowingProxy) -> None:
    following.first.open_writers[0].write(http_chunk('{"rev":42,"all":true,"targets":['))
    await pass_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def moved(following: FollowingProxy) -> None:
    following.move(following.second)
    await following.follow(following.second)


async def moved_and_back_at_once(following: FollowingProxy) -> None:
    for to in (following.second, following.first, following.second, following.first):
        following.move(to)
    await pass_until(following.clock, lambda: len(following.first.request_targets) == 2)


async def moved_and_back_from_a_silent_one(following: FollowingProxy) -> None:
    following.second.is_silent = True
    following.move(following.second)
    await pass_until(following.clock, lambda: len(following.second.request_targets) == 2)
    following.first.change()
    following.move(following.first)
    await following.follow(following.first)


async def moved_and_back_from_one_that_told(following: FollowingProxy) -> None:
    following.move(following.second)
    await following.follow(following.second)
    following.first.rev = (
        following.second.rev + 1
    )  # it knows the version that we hold, which is another one of that number
    following.move(following.first)
    await following.follow(following.first)


EVENTS: list[tuple[Event, int]] = [  # and the whole lists that it may cost
    (nothing, 0),
    (changes, 0),
    (end, 0),
    (reset, 0),
    (silence, 0),
    (silent_twice, 0),
    (spoilt, 0),
    (half_a_list, 0),
    (moved, 1),  # another discovery's versions tell nothing of what we hold
    (moved_and_back_at_once, 0),
    (moved_and_back_from_a_silent_one, 0),
    (moved_and_back_from_one_that_told, 2),
]


@BOTH
@pytest.mark.parametrize(("event", "complete_lists"), EVENTS, ids=[event.__name__ for event, _ in EVENTS])
async def test_complete_list_is_requested_only_when_no_version_can_be_resumed(
    setup: messages.Settings, event: Event, complete_lists: int
) -> None:
    """At 3,200 endpoints it has half a megabyte."""

    async with following_proxy(setup) as following:
        await following.follow(following.first)
        assert following.first.complete_list_count == 1
        await event(following)
        await following.follow(following.second if event is moved else following.first)
        assert (
            following.first.complete_list_count + following.second.complete_list_count - 1 == complete_lists
        )


@BOTH
async def test_watch_resumes_from_a_cached_list_at_the_start(setup: messages.Settings) -> None:
    async with following_proxy(setup, endpoint_entry("a-1", 9)) as following:
        await following.follow(following.first)
        assert following.first.complete_list_count == 0
        assert following.first.request_targets == ["/v1/endpoints?follow=1&since=1"]
