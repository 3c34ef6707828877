"""Random runs of the whole proxy with faulty endpoints and disconnecting clients, checked at its sockets.

The behavior of an endpoint depends on the seed and the request alone. Times are long, and the test advances a
stepped clock whenever nothing else happens, so the real time that passes does not matter.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import pytest

from load_balancer import messages
from load_balancer.net.upstream import idle_connections
from tests.support.attempts import HEAD_WITHOUT_LENGTH, INVALID_RESPONSES
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import (
    HttpMessage,
    StreamPair,
    closes_connection,
    http_request,
    http_response,
    read_http_message,
    response_status,
)
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.raw_endpoint import ConnectionHandler, EndpointConnection, RawEndpoint
from tests.support.stepped_clock import SteppedClock, run_loop_turns
from tests.support.units import SECOND_US

STEP_S = 5.0
RETRY_WINDOW_S = 60.0
CONNECT_TIMEOUT_S = 5.0
IDLE_TURNS = 40  # turns of the event loop without an event, after which everything waits for the clock
MAX_ATTEMPTS = 3
CLASSES = (
    messages.RequestClass("read", 200 * SECOND_US, 500 * SECOND_US, messages.Idempotency.SAFE),
    messages.RequestClass(
        "write",
        200 * SECOND_US,
        500 * SECOND_US,
        messages.Idempotency.KEYED,
        messages.KeyScope.CELL,
        round(RETRY_WINDOW_S * SECOND_US),
    ),
    messages.RequestClass(
        "mark",
        200 * SECOND_US,
        500 * SECOND_US,
        messages.Idempotency.KEYED,
        messages.KeyScope.ALL,
        round(RETRY_WINDOW_S * SECOND_US),
    ),
    messages.RequestClass("pay", 200 * SECOND_US, 500 * SECOND_US),
)
BEHAVIOR_WEIGHTS = {
    "response": 12,
    "response twice": 2,
    "response, late duplicate": 2,
    "response, then end": 2,
    "response, delayed": 3,
    "no length, end": 3,
    "no length, reset": 2,
    "500": 2,
    "503": 1,
    "declined": 3,
    "cut, end": 2,
    "cut, reset": 2,
    "invalid": 2,
    "reset": 2,
    "end": 2,
    "silent": 2,
    "silent, then reset": 2,
}


@dataclass
class ReceivedAttempt:
    """An attempt as received by its endpoint."""

    received_at_s: float
    step: int
    cell: int
    behavior: str
    connection: EndpointConnection
    is_finished: bool = False  # the endpoint has begun to respond or to close the connection

    @property
    def is_open(self) -> bool:
        """Whether the endpoint still has to respond and the connection is still open."""
        if self.is_finished or self.connection.is_closed:
            return False
        try:
            return self.connection.socket.recv(1, socket.MSG_PEEK) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False


@dataclass
class SentRequest:
    """A request sent by a client, with its attempts and its result."""

    class_name: str
    attempts: list[ReceivedAttempt] = field(default_factory=list)
    status: int = 0  # of its response
    ended_step: int | None = None  # the step in which it got its response or its client disconnected


class FaultyProxyRun:
    def __init__(self, seed: int, proxy: LoopbackProxy) -> None:
        self.seed, self.proxy = seed, proxy
        self.clock: SteppedClock = proxy.use_stepped_clock()
        self.step = 0
        self.event_count = 0  # incremented on each event at a client or an endpoint
        self.pending_late_responses = 0  # duplicate responses that are not sent yet
        self.requests: dict[str, SentRequest] = {}
        self.faults: list[str] = []

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    # Endpoints

    def endpoint_handler(self, cell: int) -> ConnectionHandler:
        async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
            self.event_count += 1
            request_id = request[1].get("req-id", "none")
            sent = self.requests.get(request_id)
            if sent is None:
                self.faults.append(f"{request_id}: no client sent this request")
                return
            rng = random.Random(f"{self.seed} {request_id} {len(sent.attempts)}")
            [behavior] = rng.choices([*BEHAVIOR_WEIGHTS], [*BEHAVIOR_WEIGHTS.values()])
            attempt = ReceivedAttempt(self.now(), self.step, cell, behavior, connection)
            self.check_attempt(request_id, sent, attempt)
            sent.attempts.append(attempt)
            with contextlib.suppress(OSError):  # the proxy may have closed the connection
                await self.respond(rng, attempt, http_response(200, request_id.encode()), request_id)
            self.event_count += 1

        return handle

    async def respond(
        self, rng: random.Random, attempt: ReceivedAttempt, response: bytes, request_id: str
    ) -> None:
        behavior = attempt.behavior
        if behavior in ("response, delayed", "silent, then reset"):
            until_step = self.step + rng.randrange(1, 12)
            while self.step < until_step and attempt.is_open:
                await asyncio.sleep(0)
            if not attempt.is_open:
                return
        attempt.is_finished = behavior != "silent"
        if behavior.startswith("response"):
            await self.send_valid_response(rng, attempt, response)
        else:
            self.send_faulty_response(rng, attempt, response, HEAD_WITHOUT_LENGTH + request_id.encode())

    async def send_valid_response(
        self, rng: random.Random, attempt: ReceivedAttempt, response: bytes
    ) -> None:
        connection = attempt.connection
        match attempt.behavior:
            case "response" | "response, delayed":
                connection.send(response)
            case "response twice":
                connection.send(response + response)
            case "response, late duplicate":
                connection.send(response)
                self.pending_late_responses += 1
                for _ in range(rng.randrange(IDLE_TURNS)):
                    await asyncio.sleep(0)
                self.pending_late_responses -= 1
                connection.send(response)
            case "response, then end":
                connection.send(response)
                connection.end_sending()

    def send_faulty_response(
        self, rng: random.Random, attempt: ReceivedAttempt, response: bytes, response_without_length: bytes
    ) -> None:
        connection, behavior = attempt.connection, attempt.behavior
        match behavior:
            case "no length, end":
                connection.send(response_without_length)
                connection.end_sending()
            case "no length, reset":
                connection.send(response_without_length)
                connection.reset()
            case "500" | "503":
                connection.send(http_response(int(behavior), b"x"))
            case "declined":
                connection.send(http_response(rng.choice((503, 504)), Srv_Declined="1"))
            case "cut, end" | "cut, reset":
                connection.send(response[: rng.randrange(1, len(response))])
                connection.end_sending() if behavior == "cut, end" else connection.reset()
            case "invalid":
                connection.send(rng.choice(INVALID_RESPONSES))
            case "reset" | "silent, then reset":
                connection.reset()
            case "end":
                connection.end_sending()

    def check_attempt(self, request_id: str, sent: SentRequest, attempt: ReceivedAttempt) -> None:
        """Record each rule that the new attempt violates."""
        earlier_attempts = sent.attempts
        if sent.ended_step is not None and attempt.step > sent.ended_step:
            self.faults.append(f"{request_id}: attempt after the request had ended")
        if any(attempt.is_open for attempt in earlier_attempts):
            self.faults.append(
                f"{request_id}: attempt while another one is open, earlier behaviors: "
                f"{[attempt.behavior for attempt in earlier_attempts]}"
            )
        if len(earlier_attempts) >= MAX_ATTEMPTS:
            self.faults.append(f"{request_id}: too many attempts")
        ran = [attempt for attempt in earlier_attempts if attempt.behavior != "declined"]
        if ran and sent.class_name == "pay":
            self.faults.append(f"{request_id}: unsafe request retried after {ran[0].behavior}")
        if (
            ran
            and sent.class_name in ("write", "mark")
            and attempt.received_at_s - ran[0].received_at_s > RETRY_WINDOW_S
        ):
            self.faults.append(f"{request_id}: retried after its retry window")
        if ran and sent.class_name == "write" and attempt.cell != ran[0].cell:
            self.faults.append(f"{request_id}: retried in another cell")

    # Clients

    async def run_client(self, number: int, request_count: int) -> None:
        """Send requests one after another, on a new connection whenever the previous one was closed."""
        rng = random.Random(f"{self.seed} client {number}")
        streams = None
        for index in range(request_count):
            streams = streams or await self.proxy.connect()
            class_name = rng.choice([request_class.name for request_class in CLASSES])
            if not await self.send_request(rng, f"r{number}-{index}", class_name, streams):
                streams = None
        if streams is not None:
            streams[1].close()

    async def send_request(
        self, rng: random.Random, request_id: str, class_name: str, streams: StreamPair
    ) -> bool:
        """Send one request and check its response, or disconnect. Return whether the connection is kept."""
        reader, writer = streams
        body = b"" if class_name == "read" else b"b" * rng.randrange(2000)
        disconnect_after_turns = rng.randrange(30) if rng.random() < 0.2 else None
        sent = self.requests[request_id] = SentRequest(class_name)
        writer.write(http_request(class_name, request_id=request_id, body=body, Req_Deadline="500"))
        pending_response = asyncio.ensure_future(read_http_message(reader))
        if disconnect_after_turns is not None:
            await run_loop_turns(disconnect_after_turns)
            if not pending_response.done():
                pending_response.cancel()
                writer.transport.abort()
                sent.ended_step = self.step
                self.event_count += 1
                return False
        try:
            response = await pending_response
        except (asyncio.IncompleteReadError, ConnectionError):
            self.faults.append(f"{request_id}: connection lost before the response")
            return False
        self.event_count += 1
        sent.ended_step, sent.status = self.step, response_status(response)
        self.check_response(request_id, sent, response.body)
        return not closes_connection(response)

    def check_response(self, request_id: str, sent: SentRequest, body: bytes) -> None:
        """Record a final response that violates a rule. A duplicate would be read as the next response."""
        valid_behaviors = {
            "response",
            "response twice",
            "response, late duplicate",
            "response, then end",
            "response, delayed",
        }
        ran = [attempt for attempt in sent.attempts if attempt.behavior != "declined"]
        match sent.status:
            case 200:
                if body != request_id.encode() or not any(
                    attempt.behavior in {*valid_behaviors, "no length, end"} for attempt in sent.attempts
                ):
                    self.faults.append(
                        f"{request_id}: response 200 with body {body!r}, which no endpoint sent for it"
                    )
            case 503:
                if ran and sent.class_name in ("write", "pay"):
                    self.faults.append(
                        f"{request_id}: response 503, though it may have run: {ran[0].behavior}"
                    )
            case 502:
                pass
            case other:
                self.faults.append(f"{request_id}: unexpected status {other}")

    async def run_clients(self, client_count: int, request_count: int) -> None:
        tasks = [
            asyncio.ensure_future(self.run_client(index, request_count)) for index in range(client_count)
        ]
        while not all(task.done() for task in tasks):
            last_event_count, idle_turns = self.event_count, 0
            while idle_turns < IDLE_TURNS:
                await asyncio.sleep(0)
                idle_turns = (
                    idle_turns + 1
                    if self.event_count == last_event_count and not self.pending_late_responses
                    else 0
                )
                last_event_count = self.event_count
            self.step += 1
            self.clock.advance(STEP_S)
        for task in tasks:
            task.result()


def run_settings(seed: int) -> messages.Settings:
    limits = messages.Limits(
        max_attempts=MAX_ATTEMPTS,
        cancel=seed % 2 == 0,
        connect_timeout_us=round(CONNECT_TIMEOUT_S * SECOND_US),
    )
    return balancer_settings(classes=CLASSES, limits=limits)


@asynccontextmanager
async def running_proxy_with_faults(seed: int) -> AsyncIterator[FaultyProxyRun]:
    """Run a proxy with six endpoints whose faults depend on the seed, and one that refuses connects."""
    runs: list[FaultyProxyRun] = []

    def handler(cell: int) -> ConnectionHandler:
        async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
            await runs[0].endpoint_handler(cell)(connection, request)

        return handle

    async with AsyncExitStack() as stack:
        closed_socket = stack.enter_context(socket.socket())
        closed_socket.bind(("127.0.0.1", 0))
        entries = [endpoint_entry("s-closed", closed_socket.getsockname()[1])]
        for number in range(6):
            endpoint = await stack.enter_async_context(RawEndpoint(handler(number % 2)))
            entries.insert(number, endpoint_entry(f"s-{number}", endpoint.port, pod_group=number % 2))
        proxy = await stack.enter_async_context(
            running_proxy(
                *entries,
                settings=run_settings(seed),
                connect_timeout_s=CONNECT_TIMEOUT_S,
                idle_timeout_s=9000.0,
            )
        )
        runs.append(FaultyProxyRun(seed, proxy))
        yield runs[0]


@pytest.mark.parametrize("seed", range(12))
async def test_each_request_gets_one_response_and_no_forbidden_retry(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", 4 * STEP_S)
    async with running_proxy_with_faults(seed) as run:
        await run.run_clients(client_count=8, request_count=25)
        assert run.faults == []
        # The run reaches the cases that it checks.
        sent_requests = run.requests.values()
        assert len(sent_requests) == 200
        assert sum(request.status == 200 for request in sent_requests) > 40
        assert sum(len(request.attempts) > 1 for request in sent_requests) > 5
        assert sum(request.ended_step is not None and not request.status for request in sent_requests) > 5
        assert (
            len(Counter(attempt.behavior for request in sent_requests for attempt in request.attempts)) > 12
        )
