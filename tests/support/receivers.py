"""Stand-in for a connection that submits received bytes to the scheduler."""

from __future__ import annotations

from load_balancer.net.receive_scheduler import ITERATION_BUDGET_S, MAX_SHORT_STEP_S, ReceiveState
from tests.support.stepped_clock import FrozenClock


class StandInReceiver:
    """A connection with a number of steps to process, each of which advances the clock."""

    def __init__(
        self,
        clock: FrozenClock,
        steps: int,
        expected_step_s: float = MAX_SHORT_STEP_S / 2,
        step_s: float = ITERATION_BUDGET_S / 4,
    ) -> None:
        self.receive_state = ReceiveState()
        self.expected_step_s = expected_step_s
        self.remaining_steps = steps
        self._clock = clock
        self._step_s = step_s

    def process_received(self) -> bool:
        """Process one step, and return whether another one remains."""
        self._clock.advance(self._step_s)
        self.remaining_steps -= 1
        return self.remaining_steps > 0
