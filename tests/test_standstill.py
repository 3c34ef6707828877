"""A proxy that stands still for a moment, as a busy machine makes it: limits count what it missed."""

from __future__ import annotations

from typing import Any

import pytest

from snowvalve.net import upstream
from tests.net_helpers import run
from tests.test_terms_backends import keyed_request


def test_a_keyed_repeat_is_not_late_where_the_proxy_stands_still_before_it_connects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time for the connection runs from the decision to send, as the module counts it."""

    async def test() -> None:
        async with keyed_request(100.0) as (request, seen):
            request.clock.step(70.0)
            begin = request.p.pool.attempt

            def stands_still(*what: Any) -> upstream.Attempt:
                out = begin(*what)
                request.clock.step(40.0)
                return out

            monkeypatch.setattr(request.p.pool, "attempt", stands_still)
            seen[0][1].reset()
            await request.status()
            assert seen[-1][0] - seen[0][0] <= 100.0

    run(test)
