"""When a watch resumes from the last version, and when the complete list is requested again."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest

from load_balancer import messages
from tests.net.discovery.versioned_discovery import BOTH, Play, pass_until, play
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_chunk

Event = Callable[["Play"], Awaitable[None]]


async def nothing(play: Play) -> None:
    pass


async def changes(play: Play) -> None:
    for _ in range(3):
        play.a.change()
    await play.follows(play.a)


async def end(play: Play) -> None:
    play.a.open[0].write(b"0\r\n\r\n")
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def reset(play: Play) -> None:
    play.a.open[0].transport.abort()
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def silence(play: Play) -> None:
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def silent_twice(play: Play) -> None:
    play.a.silent = True
    await pass_until(play.clock, lambda: len(play.a.asked) == 3)
    play.a.silent = False
    await pass_until(play.clock, lambda: len(play.a.asked) == 4)


async def spoilt(play: Play) -> None:
    play.a.open[0].write(http_chunk('{"rev":42,"all":false,"targets":[{"uid":"x","state":"odd"}]}\n'))
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def half_a_list(play: Play) -> None:
    play.a.open[0].write(http_chunk('{"rev":42,"all":true,"targets":['))
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def moved(play: Play) -> None:
    play.move(play.b)
    await play.follows(play.b)


async def moved_and_back_at_once(play: Play) -> None:
    for to in (play.b, play.a, play.b, play.a):
        play.move(to)
    await pass_until(play.clock, lambda: len(play.a.asked) == 2)


async def moved_and_back_from_a_silent_one(play: Play) -> None:
    play.b.silent = True
    play.move(play.b)
    await pass_until(play.clock, lambda: len(play.b.asked) == 2)
    play.a.change()
    play.move(play.a)
    await play.follows(play.a)


async def moved_and_back_from_one_that_told(play: Play) -> None:
    play.move(play.b)
    await play.follows(play.b)
    play.a.rev = play.b.rev + 1  # it knows the version that we hold, which is another one of that number
    play.move(play.a)
    await play.follows(play.a)


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
@pytest.mark.parametrize(("event", "whole"), EVENTS, ids=[event.__name__ for event, _ in EVENTS])
async def test_complete_list_is_requested_only_when_no_version_can_be_resumed(
    setup: messages.Settings, event: Event, whole: int
) -> None:
    """At 3,200 endpoints it has half a megabyte."""

    async with play(setup) as made:
        await made.follows(made.a)
        assert made.a.whole == 1
        await event(made)
        await made.follows(made.b if event is moved else made.a)
        assert made.a.whole + made.b.whole - 1 == whole


@BOTH
async def test_watch_resumes_from_a_cached_list_at_the_start(setup: messages.Settings) -> None:
    async with play(setup, endpoint_entry("a-1", 9)) as made:
        await made.follows(made.a)
        assert made.a.whole == 0
        assert made.a.asked == ["/v1/endpoints?follow=1&since=1"]
