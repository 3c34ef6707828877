"""Event loop clock that advances with the parsing of received bytes, as on a slow machine.

Tests of the cost of an iteration of the event loop measure it by this clock. They depend neither on the speed
of the machine nor on its load.
"""

from __future__ import annotations

import asyncio

import h11
import pytest

from tests.support.stepped_clock import FrozenClock

MAX_ITERATION_S = 0.15  # the longest stall of the process that deadlines and time limits allow for
EVENT_COST_S = 15e-6  # of a parser event, such as a chunk
LINE_COST_S = 5e-6  # of a line that the event was parsed from, such as a header


class ParsingClock(FrozenClock):
    """Frozen clock that each parser event advances by its cost.

    Attributes:
        longest_iteration_s: The longest time in one iteration of the event loop.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__()
        self.longest_iteration_s = 0.0
        self._iteration_began_s = self.advanced_s
        next_event = h11.Connection.next_event

        def parse_and_advance(parser: h11.Connection) -> object:
            lines_before = parser.trailing_data[0].count(b"\n")
            try:
                return next_event(parser)
            finally:
                parsed_lines = lines_before - parser.trailing_data[0].count(b"\n")
                self.advance(EVENT_COST_S + parsed_lines * LINE_COST_S)

        monkeypatch.setattr(h11.Connection, "next_event", parse_and_advance)
        self._handle = asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self.longest_iteration_s = max(self.longest_iteration_s, self.advanced_s - self._iteration_began_s)
        self._iteration_began_s = self.advanced_s
        self._handle = asyncio.get_running_loop().call_soon(self._begin_iteration)

    def stop(self) -> None:
        """Stop the measurement of iterations."""
        self._handle.cancel()
