"""Random plays on the connection pool: each attempt ends once, and the pool is empty afterwards.

Attempts begin and end, and endpoints are disabled, within the outcome of another attempt. Each play has a
seed; its assertions hold in any order of concurrent events.
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

SAFE = UpstreamRequest(b"GET", b"/api", [(b"host", b"x")], b"", is_idempotent=True)
ONCE = replace(SAFE, is_idempotent=False)
PLAYS, STEPS, TURNS, MOST_OUT, DEEPEST = 24, 120, 8, 25, 4
STEPS_S = [0.001, 0.003, 0.01, 0.05, 0.2]
ANSWERS = [
    http_response(200, b"x"),
    http_response(200, b"x") + b"junk",
    http_response(500),
    http_response(503, Srv_Declined="1"),
    None,
]


@asynccontextmanager
async def fickle(chance: random.Random) -> AsyncIterator[StandInServer]:
    """Run an endpoint that responds at random, or not at all, and may end the connection."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_http_message(reader)
            said = chance.choice(ANSWERS)
            if chance.random() < 0.15:
                await reader.read()
            if said is None:
                return
            writer.write(said)
            if chance.random() < 0.1:
                return

    async with StandInServer(handle) as endpoint:
        yield endpoint


class Play:
    """Attempts on two endpoints, and random events that happen to them."""

    def __init__(self, chance: random.Random, ports: list[int]) -> None:
        self.chance, self.clock = chance, FrozenClock()
        self.pool = ConnectionPool(0.25, 3.0, chance.choice([3, 8, 30]))
        for _ in range(chance.choice([0, 32])):
            self.pool.pacing.latency.add(0.001 if chance.random() < 0.6 else chance.random())
        self.endpoints = [EndpointAddress(index, ("127.0.0.1", port)) for index, port in enumerate(ports)]
        self.up = set(self.endpoints)
        for endpoint in self.endpoints:
            self.pool.enable_endpoint(endpoint)
        self.gates: list[asyncio.Event] = []
        self.out: dict[int, UpstreamAttempt] = {}
        self.begun, self.depth = 0, 0
        self.ended: Counter[int] = Counter()
        self.wrong: list[str] = []
        self._connect, self.pool.connector.open = self.pool.connector.open, self.connect  # type: ignore[method-assign]

    async def connect(self, endpoint: EndpointAddress) -> UpstreamConnection:
        """It is refused, lacks a descriptor, comes up at once or at the play's word, or never."""
        async with asyncio.timeout(self.pool.pacing.connect_timeout_s):
            fate = self.chance.random()
            if fate < 0.13:
                raise OSError(errno.ECONNREFUSED if fate < 0.1 else errno.EMFILE, "")
            if fate < 0.7:
                gate = asyncio.Event()
                if fate < 0.6:
                    self.gates.append(gate)
                await gate.wait()
        return await self._connect(endpoint)

    def act(self) -> None:
        fate, endpoint = self.chance.random(), self.chance.choice(self.endpoints)
        if fate < 0.45:
            self.begin()
        elif fate < 0.65 and self.out:
            out = self.chance.choice(list(self.out.values()))
            out.cancel() if fate < 0.55 else out.cancel_if_unsent()
        elif fate < 0.72:
            self.up.discard(endpoint)
            self.pool.disable_endpoint(endpoint)
        elif fate < 0.85:
            self.up.add(endpoint)
            self.pool.enable_endpoint(endpoint)
        elif fate < 0.9:
            self.pool.idle.suspend(endpoint)

    def begin(self) -> None:
        if not self.up:
            return
        number = self.begun
        self.begun += 1

        def done(outcome: Outcome, reply: UpstreamResponse | None) -> None:
            self.ended[number] += 1
            self.out.pop(number, None)
            self.depth += 1
            if self.depth < DEEPEST:  # as the policy does, at once
                for _ in range(self.chance.choice([0, 0, 1, 1, 2])):
                    self.act()
            self.depth -= 1

        attempt = self.pool.start_attempt(
            self.chance.choice(sorted(self.up, key=lambda address: address.id)),
            self.chance.choice([SAFE, SAFE, ONCE]),
            self.chance.choice([0.05, 0.4, 2.0]),
            done,
            self.chance.choice([0.0, 0.1, 1.0]),
        )
        if not attempt.is_over:
            self.out[number] = attempt

    def check_send(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, request: UpstreamRequest
    ) -> None:
        faults = {
            "sent to an endpoint that is disabled": attempt.endpoint not in self.up,
            "sent on a connection to another": connection.endpoint != attempt.endpoint,
            "sent though it is over": attempt.is_over,
            "sent behind another": connection.attempt is not None,
            "sent on an idle connection what must not run twice": connection.was_idle
            and not request.is_idempotent,
        }
        self.wrong += [text for text, is_so in faults.items() if is_so]

    def check(self) -> None:
        for endpoint in self.endpoints:
            waiting = self.pool.waiting.by_endpoint.get(endpoint, {})
            coming = self.pool.pending.by_endpoint.get(endpoint, [])
            assert len(coming) >= len(waiting)
            if endpoint not in self.up:
                assert not waiting
                assert not coming
                assert not self.pool.idle.by_endpoint.get(endpoint)
        assert not any(out.is_over for out in self.out.values())
        assert not self.wrong

    async def run(self, step_count: int) -> None:
        """Act at random for so many steps, and let all that was begun come to its end."""
        for _ in range(step_count):
            for _ in range(self.chance.choice([0, 1, 1, 3])):
                if len(self.out) < MOST_OUT:
                    self.act()
            if self.gates and self.chance.random() < 0.7:
                self.gates.pop(self.chance.randrange(len(self.gates))).set()
            await self.go_on(self.chance.choice(STEPS_S) if self.chance.random() < 0.5 else 0.0)
        self.depth = DEEPEST
        for _ in range(70):
            await self.go_on(0.1)

    async def go_on(self, seconds: float) -> None:
        self.clock.advance(seconds)
        for _ in range(TURNS):
            await asyncio.sleep(0)
            self.check()


def pending_timers(*owners: type) -> list[asyncio.TimerHandle]:
    """Return the event loop's timers that call a method of these classes."""
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
    """Disable the endpoints, after which nothing of them may be left."""
    for endpoint in endpoints:
        pool.disable_endpoint(endpoint)
    assert not pool.idle.reuse_from_s
    assert not pool.connections.last_activity_at_s
    assert not pool.pacing.no_extra_connect_until_s


@pytest.fixture
def watch_play(monkeypatch: pytest.MonkeyPatch) -> Callable[[Play], None]:
    """Return what has each request that is sent, and each exception of the event loop, noted by a play."""
    send = UpstreamConnection.send

    def install(play: Play) -> None:
        def checked(
            connection: UpstreamConnection, attempt: UpstreamAttempt, request: UpstreamRequest
        ) -> Outcome | None:
            play.check_send(connection, attempt, request)
            return send(connection, attempt, request)

        monkeypatch.setattr(UpstreamConnection, "send", checked)
        play.pool.loop.set_exception_handler(lambda _, context: play.wrong.append(str(context)))

    return install


@pytest.mark.parametrize("seed", range(PLAYS))
async def test_each_attempt_ends_once_and_the_pool_is_empty(
    seed: int, watch_play: Callable[[Play], None]
) -> None:
    chance = random.Random(seed)
    async with fickle(chance) as first_endpoint, fickle(chance) as second_endpoint:
        play = Play(chance, [first_endpoint.port, second_endpoint.port])
        watch_play(play)
        await play.run(STEPS)
        assert not play.out
        assert play.ended == dict.fromkeys(range(play.begun), 1)
        assert_pool_is_empty(play.pool)
        assert_pool_has_forgotten(play.pool, play.endpoints)
        assert not play.wrong
        play.pool.loop.set_exception_handler(None)


def hold_all_connects(pool: ConnectionPool) -> None:
    async def never(endpoint: EndpointAddress) -> UpstreamConnection:
        await asyncio.Event().wait()
        raise AssertionError

    pool.connector.open = never  # type: ignore[method-assign]


def record_considered(pool: ConnectionPool) -> list[WaitingAttempt]:
    """Collect the attempt each time that the pool considers one more connection for it."""
    considered: list[WaitingAttempt] = []
    is_extra_connect_worthwhile = pool.queue.is_extra_connect_worthwhile

    def record(attempt: WaitingAttempt) -> bool:
        considered.append(attempt)
        return is_extra_connect_worthwhile(attempt)

    pool.queue.is_extra_connect_worthwhile = record  # type: ignore[method-assign]
    return considered


async def test_waiting_attempt_considers_an_extra_connection_a_few_times_only() -> None:
    """It may wait hundreds of times longer than usual, and each decision takes the event loop's time."""
    async with fickle(random.Random(0)) as stand_in:
        pool, clock = ConnectionPool(1.0, 30.0, 10), FrozenClock()
        for _ in range(32):
            pool.pacing.latency.add(0.0001)
        hold_all_connects(pool)
        considered, ended = record_considered(pool), list[Outcome]()
        pool.start_attempt(
            EndpointAddress(1, ("127.0.0.1", stand_in.port)), SAFE, 30.0, lambda how, _: ended.append(how)
        )
        while not ended:
            clock.advance(0.001)
            await run_loop_turns(3)
        assert ended == [Outcome.NO_CONNECTION]
        assert connect_pacing.MIN_LATE_S == 0.002
        pool.close()
    assert 1 + connection_queue.MAX_SPARE_CONNECTS <= len(considered) <= 12
