"""The clock of the tests that ignore real time."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.support.stepped_clock import FrozenClock


async def test_frozen_clock_advances_by_exactly_the_requested_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against rounding: from 108 to 128 s after boot, 20 s later was up to 7e-15 s too early."""
    loop = asyncio.get_running_loop()
    start_times_s = random.Random(1)
    for _ in range(1000):
        start_time_s = start_times_s.uniform(108.0, 128.0)
        monkeypatch.setattr(loop, "time", lambda frozen_s=start_time_s: frozen_s)
        clock = FrozenClock()
        frozen_at_s = loop.time()
        assert 0.0 <= frozen_at_s - start_time_s < 0.001
        clock.advance(20.0)
        assert loop.time() - 20.0 == frozen_at_s
        assert loop.time() - frozen_at_s == 20.0
