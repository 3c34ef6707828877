"""The process stalls briefly between reading its clock and writing to an endpoint.

Deadlines, deduplication windows and the draining of endpoints are respected nevertheless.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest

from load_balancer import messages
from load_balancer.messages import Outcome, StartAttempt
from load_balancer.net import socket_state
from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.upstream import idle_connections
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.attempts import RecordedAttempts
from tests.support.balancer_harness import BalancerHarness, actions_of_type, balancer_settings
from tests.support.connect_gates import ConnectGates
from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.http_messages import http_request, http_response, response_status
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInEndpoint
from tests.support.stepped_clock import FrozenClock, SteppedClock, run_loop_turns, wait_until
from tests.support.units import MILLISECOND_US, SECOND_US

STALL_S = 0.15  # by the specification
SLACK_S = 0.15  # by the specification, tolerance of the time remaining that is sent to an endpoint
DEADLINE_S = 1.5
MAX_STALLS = 2  # more would use up the time of the request itself

EACH_CONNECTION = pytest.mark.parametrize(
    "reused", [False, True], ids=["new connection", "reused connection"]
)


class Stall:
    """Blocks the event loop for a moment at each call of one function, at most `MAX_STALLS` times."""

    def __init__(self, clock: SteppedClock, duration_s: float = STALL_S) -> None:
        self.clock, self.duration_s, self.count = clock, duration_s, 0

    def _pass_time(self) -> None:
        self.count += 1
        if self.count <= MAX_STALLS:
            self.clock.advance(self.duration_s)

    def before(self, monkeypatch: pytest.MonkeyPatch, owner: object, name: str) -> None:
        """Stall before each call of this function."""
        original = getattr(owner, name)

        def stall_and_call(*args: Any, **kwargs: Any) -> Any:
            self._pass_time()
            return original(*args, **kwargs)

        monkeypatch.setattr(owner, name, stall_and_call)

    def after(self, monkeypatch: pytest.MonkeyPatch, owner: object, name: str) -> None:
        """Stall after each call of this function, before its result is used."""
        original = getattr(owner, name)

        def call_and_stall(*args: Any, **kwargs: Any) -> Any:
            result = original(*args, **kwargs)
            self._pass_time()
            return result

        monkeypatch.setattr(owner, name, call_and_stall)


# No check of the proxy can detect this stall, as it is between the last clock reading and the write.
UNDETECTABLE_STALL = "between the time remaining and the write"
StallInstaller = Callable[[Stall, pytest.MonkeyPatch, LoopbackProxy], None]
STALL_POINTS: dict[str, StallInstaller] = {
    "between the request's time and the driver": (
        lambda stall, patch, proxy: stall.before(patch, proxy.driver, "accept_request")
    ),
    "between the driver and its event": (
        lambda stall, patch, proxy: stall.before(patch, proxy.driver.events, "put")
    ),
    "between the event's time and the policy": (
        lambda stall, patch, proxy: stall.before(patch, proxy.driver.balancer, "handle")
    ),
    "between the policy and its actions": (
        lambda stall, patch, proxy: stall.before(patch, proxy.driver.actions, "perform_all")
    ),
    "between an action and its attempt": (
        lambda stall, patch, proxy: stall.before(patch, proxy.pool, "start_attempt")
    ),
    "between the attempt and its connection": (
        lambda stall, patch, proxy: stall.before(patch, UpstreamAttempt, "begin")
    ),
    "between the connection and the request": (
        lambda stall, patch, proxy: stall.before(patch, UpstreamAttempt, "send_on")
    ),
    "between the check and the request's head": (
        lambda stall, patch, proxy: stall.before(patch, UpstreamConnection, "send")
    ),
    UNDETECTABLE_STALL: (lambda stall, patch, proxy: stall.after(patch, socket_state, "has_unread_bytes")),
}


@dataclass
class DeadlineWrite:
    """A deadline header as it was written to an endpoint."""

    remaining_s: float  # value of the header
    written_at_s: float  # by the event loop's clock

    def is_in_time(self, deadline_at_s: float, slack_s: float) -> bool:
        """Return whether the stated time ends by the client's deadline plus this slack."""
        return 0.0 < self.remaining_s <= deadline_at_s - self.written_at_s + slack_s


async def transport_class(port: int) -> type[asyncio.Transport]:
    """Return the class of the event loop's transports, found by a connection to this local port."""
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.close()
    assert isinstance(writer.transport, asyncio.Transport)
    return type(writer.transport)


def record_deadline_writes(
    monkeypatch: pytest.MonkeyPatch, transport_type: type[asyncio.Transport]
) -> list[DeadlineWrite]:
    """Return a list that receives each deadline header written to an endpoint by such a transport."""
    writes: list[DeadlineWrite] = []
    loop = asyncio.get_running_loop()
    write = transport_type.write

    def record_and_write(transport: asyncio.Transport, data: bytes) -> None:
        # The proxy writes the header in lower case; the test's own requests to the proxy do not.
        before, header, rest = bytes(data).partition(b"req-deadline: ")
        if header and before.startswith((b"GET", b"POST")):
            writes.append(DeadlineWrite(float(rest.split(b"\r\n")[0]), loop.time()))
        write(transport, data)

    monkeypatch.setattr(transport_type, "write", record_and_write)
    return writes


async def leave_idle_connection(proxy: LoopbackProxy, clock: SteppedClock) -> None:
    """Send a request whose connection is idle afterwards, and wait until its timers have fired."""
    await proxy.send_request(http_request(request_id="before"))
    clock.advance(1.0)  # longer than a connection takes to settle
    await run_loop_turns(20)


@pytest.mark.parametrize("stall_point", STALL_POINTS)
@EACH_CONNECTION
async def test_deadline_header_states_the_time_remaining_wherever_the_process_stalls(
    stall_point: str, reused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Both the first attempt and its retry stall at that point."""
    responses = [*[http_response(200)] * reused, http_response(500), http_response(200)]
    async with (
        StandInEndpoint(*responses) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port), connect_timeout_s=5.0) as proxy,
    ):
        clock = FrozenClock()
        proxy.link_policy_clock(clock)
        if reused:
            await leave_idle_connection(proxy, clock)
        writes = record_deadline_writes(monkeypatch, await transport_class(endpoint.port))
        stall = Stall(clock)
        with monkeypatch.context() as patch:
            STALL_POINTS[stall_point](stall, patch, proxy)
            deadline_at_s = asyncio.get_running_loop().time() + DEADLINE_S
            request = http_request(request_id="r1", Req_Deadline=str(DEADLINE_S))
            response = await proxy.send_request(request)
        assert response_status(response) == 200
        assert stall.count >= 1
        slack_s = SLACK_S if stall_point == UNDETECTABLE_STALL else 0.0
        assert len(writes) == 2
        assert all(write.is_in_time(deadline_at_s, slack_s) for write in writes)


async def complete_attempt(attempts: RecordedAttempts, connects: ConnectGates) -> None:
    """Complete an attempt, and advance the clock until its idle connection may be reused."""
    attempts.start_attempt("before")
    await connects.wait_for_started(1)
    connects.open(0)
    await attempts.wait_for_outcomes(before=Outcome.OK)
    await connects.advance(idle_connections.SETTLE_S)


@pytest.mark.parametrize(
    ("owner", "method"), [(UpstreamAttempt, "send_on"), (UpstreamConnection, "send")], ids=["send_on", "send"]
)
@EACH_CONNECTION
async def test_nothing_is_written_when_a_stall_leaves_no_time(
    owner: type, method: str, reused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The stall exceeds the time remaining, and the attempt's timer cannot have fired yet."""
    async with StandInEndpoint(http_response(200)) as endpoint:
        pool = ConnectionPool(60.0, 30.0, 10)
        attempts, connects = RecordedAttempts(pool, endpoint), ConnectGates(pool, [])
        if reused:
            await complete_attempt(attempts, connects)
        with monkeypatch.context() as patch:
            Stall(connects.clock, 0.03).before(patch, owner, method)
            attempts.start_attempt("stalled", timeout_s=0.02)
            if not reused:
                await connects.wait_for_started(1)
                connects.open(0)
            await wait_until(lambda: "stalled" in attempts.outcomes)
        # Does not count against the endpoint.
        assert attempts.outcomes["stalled"] is Outcome.NOT_SENT
        attempts.start_attempt("next")
        await connects.wait_for_started(2)
        connects.open(1)
        await wait_until(lambda: "next" in attempts.outcomes)
        assert endpoint.request_ids == ["before"] * reused + ["next"]
        pool.close()


@pytest.mark.parametrize(
    ("spare_us", "is_retried"), [(1 * MILLISECOND_US, True), (-1 * MILLISECOND_US, False)]
)
def test_keyed_retry_allows_for_a_stall_before_its_window_ends(spare_us: int, is_retried: bool) -> None:
    window_us, connect_timeout_us = 4 * SECOND_US, 250 * MILLISECOND_US
    keyed_class = messages.RequestClass(
        "mark",
        30 * SECOND_US,
        40 * SECOND_US,
        messages.Idempotency.KEYED,
        deduplication_window_us=window_us,
    )
    limits = messages.Limits(max_attempts=3, connect_timeout_us=connect_timeout_us)
    harness = BalancerHarness(balancer_settings(classes=(keyed_class,), limits=limits))
    [attempt] = actions_of_type(harness.send_request("a", "mark", 40 * SECOND_US), StartAttempt)
    reserved_us = connect_timeout_us + harness.balancer.margin_us + round(STALL_S * SECOND_US)
    harness.now_us += window_us - reserved_us - spare_us
    actions = harness.end_attempt(attempt, Outcome.RESET)
    assert bool(actions_of_type(actions, StartAttempt)) == is_retried


def endpoint_of_only_attempt(proxy: LoopbackProxy, *endpoints: StandInEndpoint) -> StandInEndpoint:
    """Return the endpoint of the only attempt in flight."""
    [attempt] = proxy.driver.requests.attempts.in_flight.values()
    [endpoint] = [candidate for candidate in endpoints if candidate.port == attempt.endpoint.address[1]]
    return endpoint


@pytest.mark.parametrize("method", ["send_on", "begin"])
async def test_request_waiting_for_a_draining_endpoint_is_sent_elsewhere_when_the_list_is_read_late(
    method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its connection is established in the loop turn after the list, which a stall had left unread."""
    async with (
        StandInEndpoint(http_response(200)) as first,
        StandInEndpoint(http_response(200)) as second,
        running_proxy(
            endpoint_entry("s-1", first.port), endpoint_entry("s-2", second.port), connect_timeout_s=5.0
        ) as proxy,
    ):
        clock, connects = proxy.use_stepped_clock(), ConnectGates(proxy.pool)
        response = asyncio.ensure_future(proxy.send_request(http_request()))
        await wait_until(lambda: connects.started_count == 1)
        draining = endpoint_of_only_attempt(proxy, first, second)
        draining_uid, other = ("s-1", second) if draining is first else ("s-2", first)
        change = endpoint_list(
            endpoint_entry(draining_uid, draining.port, "terminating"), rev=2, is_complete=False
        )
        clock.advance(STALL_S)
        with monkeypatch.context() as patch:
            Stall(clock).before(patch, UpstreamAttempt, method)
            proxy.driver.endpoint_list.receive(read_list(change))
            connects.open_all()
            assert response_status(await response) == 200
        assert not draining.received
        assert len(other.received) == 1
