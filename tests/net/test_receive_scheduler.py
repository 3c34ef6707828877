"""The scheduler of received bytes: what it processes at once, what it queues, and its budget."""

from __future__ import annotations

import pytest

from load_balancer.net.receive_scheduler import (
    ITERATION_BUDGET_S,
    ITERATIONS_BETWEEN_LONG_STEPS,
    MAX_SHORT_STEP_S,
    ReceiveScheduler,
)
from tests.support.receivers import StandInReceiver
from tests.support.stepped_clock import FrozenClock, run_loop_turns

STEP_S = ITERATION_BUDGET_S / 4
ROUNDING_S = 1e-9
SHORT_S, LONG_S = MAX_SHORT_STEP_S / 2, 2 * MAX_SHORT_STEP_S  # expected durations of steps


@pytest.fixture
async def clock() -> FrozenClock:
    return FrozenClock()


async def test_short_step_is_processed_at_once(clock: FrozenClock) -> None:
    scheduler, receiver = ReceiveScheduler(), StandInReceiver(clock, steps=1)
    scheduler.submit(receiver)
    assert receiver.remaining_steps == 0
    assert not receiver.receive_state.is_queued
    assert scheduler.deferred_count == 0


async def test_long_step_is_queued(clock: FrozenClock) -> None:
    scheduler, receiver = ReceiveScheduler(), StandInReceiver(clock, 1, expected_step_s=LONG_S)
    scheduler.submit(receiver)
    assert receiver.remaining_steps == 1
    assert receiver.receive_state.is_queued
    await run_loop_turns(2)
    assert receiver.remaining_steps == 0
    assert scheduler.deferred_count == 1


async def test_one_iteration_runs_one_step_of_a_connection(clock: FrozenClock) -> None:
    scheduler, receiver = ReceiveScheduler(), StandInReceiver(clock, steps=10)
    scheduler.submit(receiver)
    for remaining_steps in range(9, 0, -1):
        assert receiver.remaining_steps == remaining_steps
        await run_loop_turns(1)
    assert receiver.remaining_steps == 0


@pytest.mark.parametrize("expected_step_s", [SHORT_S, LONG_S])
async def test_all_connections_together_keep_the_budget_of_an_iteration(
    clock: FrozenClock, expected_step_s: float
) -> None:
    scheduler = ReceiveScheduler()
    receivers = [StandInReceiver(clock, 2, expected_step_s) for _ in range(50)]
    for receiver in receivers:
        scheduler.submit(receiver)
    used_s = [clock.advanced_s]
    while any(receiver.remaining_steps for receiver in receivers):
        await run_loop_turns(1)
        used_s.append(clock.advanced_s - sum(used_s))
    assert max(used_s) <= ITERATION_BUDGET_S + STEP_S + ROUNDING_S
    # No iteration is left unused while some of them wait.
    assert min(used_s[1:-1]) >= ITERATION_BUDGET_S - ROUNDING_S


async def test_other_connections_are_served_between_steps_that_exceed_the_budget(clock: FrozenClock) -> None:
    """A request needs many iterations, and each of them would otherwise take as long as such a step."""
    scheduler = ReceiveScheduler()
    receivers = [StandInReceiver(clock, 1, LONG_S, 10 * ITERATION_BUDGET_S) for _ in range(3)]
    for receiver in receivers:
        scheduler.submit(receiver)
    for done_count in range(1, 4):
        await run_loop_turns(1)
        for _ in range(ITERATIONS_BETWEEN_LONG_STEPS):
            assert sum(receiver.remaining_steps == 0 for receiver in receivers) == done_count
            scheduler.submit(other := StandInReceiver(clock, 1))
            await run_loop_turns(1)
            assert other.remaining_steps == 0


async def test_long_steps_run_although_short_ones_use_the_whole_budget(clock: FrozenClock) -> None:
    scheduler, long = ReceiveScheduler(), StandInReceiver(clock, 20, LONG_S)
    scheduler.submit(long)
    for _ in range(50):
        scheduler.submit(StandInReceiver(clock, 100))
    await run_loop_turns(20)
    assert long.remaining_steps == 0


async def test_connection_that_is_enqueued_in_its_own_step_is_processed_later(clock: FrozenClock) -> None:
    scheduler, receiver = ReceiveScheduler(), StandInReceiver(clock, steps=2)

    def process_and_enqueue() -> bool:
        receiver.remaining_steps -= 1
        if receiver.remaining_steps:
            scheduler.enqueue(receiver)
        return False

    receiver.process_received = process_and_enqueue  # type: ignore[method-assign]
    scheduler.submit(receiver)
    assert receiver.remaining_steps == 1
    await run_loop_turns(2)
    assert receiver.remaining_steps == 0
    assert not receiver.receive_state.is_queued
