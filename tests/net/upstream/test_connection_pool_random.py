"""Random simulations of the connection pool: each attempt ends once, and the pool is empty afterwards.

Attempts start and end, and endpoints are disabled, also inside the outcome callback of another attempt. Each
simulation has a seed; its assertions hold in any order of concurrent events.
"""

from __future__ import annotations

import asyncio
import errno
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream import connect_pacing, connection_queue
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.connection_reuse import ConnectionReuse
from load_balancer.net.upstream.connection_wait import ConnectionWait
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse
from load_balancer.net.upstream.waiting_attempts import WaitingAttempt
from tests.support.http_messages import http_response, read_http_message
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import FrozenClock, run_loop_turns

IDEMPOTENT_REQUEST = UpstreamRequest(b"GET", b"/api", [(b"host", b"x")], b"", is_idempotent=True)
NON_IDEMPOTENT_REQUEST = replace(IDEMPOTENT_REQUEST, is_idempotent=False)
SEED_COUNT, STEP_COUNT, LOOP_TURNS, MAX_ATTEMPTS, MAX_NESTING = 24, 120, 8, 25, 4
STEP_DURATIONS_S = [0.001, 0.003, 0.01, 0.05, 0.2]
RESPONSES = [
    http_response(200, b"x"),
    http_response(200, b"x") + b"junk",
    http_response(500),
    http_response(503, Srv_Declined="1"),
    None,
]


@asynccontextmanager
async def random_endpoint(rng: random.Random) -> AsyncIterator[StandInServer]:
    """Run an endpoint that responds at random or not at all, and may close the connection."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_http_message(reader)
            response = rng.choice(RESPONSES)
            if rng.random() < 0.15:
                await reader.read()
            if response is None:
                return
            writer.write(response)
            if rng.random() < 0.1:
                return

    async with StandInServer(handle) as endpoint:
        yield endpoint


class PoolSimulation:
    """Random events on attempts to two endpoints."""

    def __init__(self, rng: random.Random, ports: list[int]) -> None:
        self.rng, self.clock = rng, FrozenClock()
        self.pool = ConnectionPool(0.25, 3.0, rng.choice([3, 8, 30]))
        for _ in range(rng.choice([0, 32])):
            self.pool.pacing.latency.add(0.001 if rng.random() < 0.6 else rng.random())
        self.endpoints = [EndpointAddress(index, ("127.0.0.1", port)) for index, port in enumerate(ports)]
        self.up = set(self.endpoints)
        for endpoint in self.endpoints:
            self.pool.enable_endpoint(endpoint)
        self.gates: list[asyncio.Event] = []
        self.attempts: dict[int, UpstreamAttempt] = {}
        self.started_count, self.nesting = 0, 0
        self.ended_counts: Counter[int] = Counter()
        self.violations: list[str] = []
        self._connect, self.pool.connector.open = self.pool.connector.open, self.connect  # type: ignore[method-assign]

    async def connect(self, endpoint: EndpointAddress) -> UpstreamConnection:
        """Connect at once, when the gate opens or never, or fail with a refusal or a descriptor shortage."""
        async with asyncio.timeout(self.pool.pacing.connect_timeout_s):
            draw = self.rng.random()
            if draw < 0.13:
                raise OSError(errno.ECONNREFUSED if draw < 0.1 else errno.EMFILE, "")
            if draw < 0.7:
                gate = asyncio.Event()
                if draw < 0.6:
                    self.gates.append(gate)
                await gate.wait()
        return await self._connect(endpoint)

    def perform_random_event(self) -> None:
        draw, endpoint = self.rng.random(), self.rng.choice(self.endpoints)
        if draw < 0.45:
            self.start_random_attempt()
        elif draw < 0.65 and self.attempts:
            attempt = self.rng.choice(list(self.attempts.values()))
            attempt.cancel() if draw < 0.55 else attempt.cancel_if_unsent()
        elif draw < 0.72:
            self.up.discard(endpoint)
            self.pool.disable_endpoint(endpoint)
        elif draw < 0.85:
            self.up.add(endpoint)
            self.pool.enable_endpoint(endpoint)
        elif draw < 0.9:
            self.pool.idle.suspend(endpoint)

    def start_random_attempt(self) -> None:
        if not self.up:
            return
        number = self.started_count
        self.started_count += 1

        def on_outcome(outcome: Outcome, response: UpstreamResponse | None) -> None:
            self.ended_counts[number] += 1
            self.attempts.pop(number, None)
            self.nesting += 1
            if self.nesting < MAX_NESTING:  # within the callback, as the policy does
                for _ in range(self.rng.choice([0, 0, 1, 1, 2])):
                    self.perform_random_event()
            self.nesting -= 1

        attempt = self.pool.start_attempt(
            self.rng.choice(sorted(self.up, key=lambda address: address.id)),
            self.rng.choice([IDEMPOTENT_REQUEST, IDEMPOTENT_REQUEST, NON_IDEMPOTENT_REQUEST]),
            self.rng.choice([0.05, 0.4, 2.0]),
            on_outcome,
            self.rng.choice([0.0, 0.1, 1.0]),
        )
        if not attempt.is_over:
            self.attempts[number] = attempt

    def check_send(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, request: UpstreamRequest
    ) -> None:
        possible_violations = {
            "request sent to a disabled endpoint": attempt.endpoint not in self.up,
            "request sent on a connection to another endpoint": connection.endpoint != attempt.endpoint,
            "request sent for an attempt that has ended": attempt.is_over,
            "request sent on a connection in use": connection.attempt is not None,
            "non-idempotent request sent on an idle connection": connection.was_idle
            and not request.is_idempotent,
        }
        self.violations += [text for text, is_violated in possible_violations.items() if is_violated]

    def check(self) -> None:
        for endpoint in self.endpoints:
            waiting = self.pool.waiting.by_endpoint.get(endpoint, {})
            pending = self.pool.pending.by_endpoint.get(endpoint, [])
            assert len(pending) >= len(waiting)
            if endpoint not in self.up:
                assert not waiting
                assert not pending
                assert not self.pool.idle.by_endpoint.get(endpoint)
        assert not any(attempt.is_over for attempt in self.attempts.values())
        assert not self.violations

    async def run(self, step_count: int) -> None:
        """Perform random events in this number of steps, then wait until all attempts have ended."""
        for _ in range(step_count):
            for _ in range(self.rng.choice([0, 1, 1, 3])):
                if len(self.attempts) < MAX_ATTEMPTS:
                    self.perform_random_event()
            if self.gates and self.rng.random() < 0.7:
                self.gates.pop(self.rng.randrange(len(self.gates))).set()
            await self.advance(self.rng.choice(STEP_DURATIONS_S) if self.rng.random() < 0.5 else 0.0)
        self.nesting = MAX_NESTING
        for _ in range(70):
            await self.advance(0.1)

    async def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)
            self.check()


def pending_timers(*owners: type) -> list[asyncio.TimerHandle]:
    """Return the pending event loop timers that call a method of these classes."""
    timers = asyncio.get_running_loop()._scheduled  # type: ignore[attr-defined]
    return [
        timer
        for timer in timers
        if not timer.cancelled() and isinstance(getattr(timer._callback, "__self__", None), owners)
    ]


def assert_pool_is_empty(pool: ConnectionPool) -> None:
    assert not pool.waiting.by_endpoint
    assert not pool.pending.by_endpoint
    assert not pool.idle.by_endpoint
    assert not pool.connections.open
    assert not pending_timers(
        UpstreamAttempt, ConnectionWait, UpstreamConnection, ConnectionReuse, ConnectionPool
    )


def assert_pool_has_forgotten(pool: ConnectionPool, endpoints: list[EndpointAddress]) -> None:
    """Disable the endpoints, and assert that no state of them remains."""
    for endpoint in endpoints:
        pool.disable_endpoint(endpoint)
    assert not pool.idle.reuse_from_s
    assert not pool.connections.last_activity_at_s
    assert not pool.pacing.no_extra_connect_until_s


@pytest.fixture
def check_simulation(monkeypatch: pytest.MonkeyPatch) -> Callable[[PoolSimulation], None]:
    """Return a function that makes a simulation record invalid sends and event loop exceptions."""
    send = UpstreamConnection.send

    def install(simulation: PoolSimulation) -> None:
        def check_and_send(
            connection: UpstreamConnection, attempt: UpstreamAttempt, request: UpstreamRequest
        ) -> Outcome | None:
            simulation.check_send(connection, attempt, request)
            return send(connection, attempt, request)

        monkeypatch.setattr(UpstreamConnection, "send", check_and_send)
        simulation.pool.loop.set_exception_handler(
            lambda _, context: simulation.violations.append(str(context))
        )

    return install


@pytest.mark.parametrize("seed", range(SEED_COUNT))
async def test_each_attempt_ends_once_and_the_pool_is_empty(
    seed: int, check_simulation: Callable[[PoolSimulation], None]
) -> None:
    rng = random.Random(seed)
    async with random_endpoint(rng) as first_endpoint, random_endpoint(rng) as second_endpoint:
        simulation = PoolSimulation(rng, [first_endpoint.port, second_endpoint.port])
        check_simulation(simulation)
        await simulation.run(STEP_COUNT)
        assert not simulation.attempts
        assert simulation.ended_counts == dict.fromkeys(range(simulation.started_count), 1)
        assert_pool_is_empty(simulation.pool)
        assert_pool_has_forgotten(simulation.pool, simulation.endpoints)
        assert not simulation.violations
        simulation.pool.loop.set_exception_handler(None)


def block_all_connects(pool: ConnectionPool) -> None:
    async def never(endpoint: EndpointAddress) -> UpstreamConnection:
        await asyncio.Event().wait()
        raise AssertionError

    pool.connector.open = never  # type: ignore[method-assign]


def record_considered(pool: ConnectionPool) -> list[WaitingAttempt]:
    """Return a list that collects the attempt each time the pool considers an extra connection for it."""
    considered: list[WaitingAttempt] = []
    is_extra_connect_worthwhile = pool.queue.is_extra_connect_worthwhile

    def record(attempt: WaitingAttempt) -> bool:
        considered.append(attempt)
        return is_extra_connect_worthwhile(attempt)

    pool.queue.is_extra_connect_worthwhile = record  # type: ignore[method-assign]
    return considered


async def test_waiting_attempt_considers_an_extra_connection_a_few_times_only() -> None:
    """Its wait may be hundreds of times the usual one, and each decision blocks the event loop."""
    async with random_endpoint(random.Random(0)) as stand_in:
        pool, clock = ConnectionPool(1.0, 30.0, 10), FrozenClock()
        for _ in range(32):
            pool.pacing.latency.add(0.0001)
        block_all_connects(pool)
        considered, outcomes = record_considered(pool), list[Outcome]()
        pool.start_attempt(
            EndpointAddress(1, ("127.0.0.1", stand_in.port)),
            IDEMPOTENT_REQUEST,
            30.0,
            lambda outcome, _: outcomes.append(outcome),
        )
        while not outcomes:
            clock.advance(0.001)
            await run_loop_turns(3)
        assert outcomes == [Outcome.NO_CONNECTION]
        assert connect_pacing.MIN_LATE_S == 0.002
        pool.close()
    assert 1 + connection_queue.MAX_SPARE_CONNECTS <= len(considered) <= 12
