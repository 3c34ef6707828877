"""Divides the time for processing received bytes between all connections, to clients and to endpoints.

The bytes that a peer sends decide how long they take to parse. The scheduler bounds the time that all
connections together take in one iteration of the event loop, so that timers and other connections get their
turn. `server` creates the one scheduler of the process; `net/client/request_processor` and
`net/upstream/upstream_connection` submit their connections.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from load_balancer.net.fair_queue import FairQueue, Flow

# Time for received bytes in one iteration of the event loop. The step that exceeds it is the last one.
ITERATION_BUDGET_S = 0.005
# Expected time to parse a line, such as a header or the size of a chunk, and a word of a header.
SECONDS_PER_LINE = 4e-6
SECONDS_PER_WORD = 0.5e-6
MAX_CHEAP_BYTES = 512  # even if each of them is a line, they need no estimate
# Expected time up to which a step is short. A usual request or response takes a fifth of it.
MAX_SHORT_STEP_S = 0.0004
# After a long step that alone exceeded the budget, such as one for a head of thousands of lines, no long step
# runs for this many iterations: about as many as a request takes until it is written to an endpoint.
ITERATIONS_BETWEEN_LONG_STEPS = 10


def expected_parsing_s(data: bytes) -> float:
    """Return the expected time to parse bytes in seconds, by what they contain that takes time."""
    if len(data) <= MAX_CHEAP_BYTES:
        return 0.0
    word_count = data.count(b" ") + data.count(b"\t")
    return data.count(b"\n") * SECONDS_PER_LINE + word_count * SECONDS_PER_WORD


@dataclass(slots=True)
class ReceiveState(Flow):
    """State of one connection in the scheduler.

    Attributes:
        is_queued: Whether the connection waits for its next step.
    """

    is_queued: bool = False


class Receiver(Protocol):
    """Interface that the scheduler requires of a connection."""

    @property
    def receive_state(self) -> ReceiveState:
        """The state of the connection in the scheduler, which only the scheduler changes."""

    @property
    def expected_step_s(self) -> float:
        """Expected duration of the next step in seconds, by `expected_parsing_s`."""

    def process_received(self) -> bool:
        """Process a bounded part of the received bytes; raise nothing.

        Returns:
            Whether another part has been received and can be processed.
        """


class ReceiveScheduler:
    """Runs the processing of received bytes, step by step, within the budget of each iteration.

    Short steps go first, in the order in which they were queued. Long steps are ordered by `FairQueue`,
    and at least one of them runs in each iteration. If that one exceeds the budget by itself,
    `ITERATIONS_BETWEEN_LONG_STEPS` iterations without a long step follow.

    Attributes:
        deferred_count: Number of steps that had to wait for a later iteration.
    """

    def __init__(self) -> None:
        """Create a scheduler without connections. Requires a running event loop."""
        self.deferred_count = 0
        self._loop = asyncio.get_running_loop()
        self._short: deque[Receiver] = deque()
        self._long: FairQueue[Receiver] = FairQueue()
        self._processed: list[Receiver] = []  # have had their step in this iteration and need another one
        self._running: Receiver | None = None  # the connection whose step is running
        self._remaining_s = ITERATION_BUDGET_S
        self._iterations_to_long_step = 0
        self._has_scheduled_run = False

    def submit(self, receiver: Receiver) -> None:
        """Process bytes that have just been received: the first step now if possible, the others later.

        Args:
            receiver: The connection. None of its steps may be running.
        """
        if receiver.receive_state.is_queued:
            return
        if self._remaining_s <= 0.0 or receiver.expected_step_s > MAX_SHORT_STEP_S:
            self.enqueue(receiver)
        elif self._run_step(receiver):
            self._push(receiver)
        elif self._remaining_s <= 0.0:
            self._schedule_run()  # begins a new budget

    def enqueue(self, receiver: Receiver) -> None:
        """Process bytes that were received earlier, in a later iteration of the event loop."""
        if receiver.receive_state.is_queued:
            return
        receiver.receive_state.is_queued = True
        if receiver is not self._running:  # otherwise it is added after its step, when the cost is known
            self._push(receiver)

    def _push(self, receiver: Receiver) -> None:
        self.deferred_count += 1
        expected_s = receiver.expected_step_s
        if expected_s > MAX_SHORT_STEP_S:
            self._long.push(receiver, receiver.receive_state, expected_s)
        else:
            self._short.append(receiver)
        self._schedule_run()

    def _schedule_run(self) -> None:
        if not self._has_scheduled_run:
            self._has_scheduled_run = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Begin a new budget, and run at most one step of each queued connection within it."""
        self._has_scheduled_run = False
        self._remaining_s = ITERATION_BUDGET_S
        while self._short and self._remaining_s > 0.0:
            self._run_queued_step(self._short.popleft())
        if self._iterations_to_long_step > 0:
            self._iterations_to_long_step -= 1
        else:
            self._run_long_steps()
        for receiver in self._processed:
            self._push(receiver)
        self._processed.clear()
        if self._short or self._long:
            self._schedule_run()

    def _run_long_steps(self) -> None:
        """Run one long step even if no time is left, and further ones within the budget."""
        while self._long:
            receiver = self._long.pop()
            cost_s = self._run_queued_step(receiver)
            self._long.charge(receiver.receive_state, cost_s, len(self._long) + len(self._processed) + 1)
            if cost_s > ITERATION_BUDGET_S:
                self._iterations_to_long_step = ITERATIONS_BETWEEN_LONG_STEPS
            if self._remaining_s <= 0.0:
                return

    def _run_queued_step(self, receiver: Receiver) -> float:
        """Run the step that a connection was queued for, and return its duration in seconds."""
        receiver.receive_state.is_queued = False
        remaining_s = self._remaining_s
        if self._run_step(receiver):
            self._processed.append(receiver)
        return remaining_s - self._remaining_s

    def _run_step(self, receiver: Receiver) -> bool:
        """Run one step of a connection, and return whether it needs another one."""
        started_s = self._loop.time()
        self._running = receiver
        has_more = receiver.process_received()
        self._running = None
        self._remaining_s -= self._loop.time() - started_s
        receiver.receive_state.is_queued |= has_more
        return receiver.receive_state.is_queued
