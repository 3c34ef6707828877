"""Attempts on a connection pool with their outcomes, and sample requests and responses."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from load_balancer.messages import Outcome
from load_balancer.net.addresses import Address, EndpointAddress
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse
from tests.support.http_messages import http_response
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import wait_until

KEYED_REQUEST = UpstreamRequest(
    b"POST",
    b"/api",
    [(b"host", b"x"), (b"idempotency-key", b"k"), (b"content-length", b"2")],
    b"hi",
    is_idempotent=True,
)
UNSAFE_REQUEST = replace(KEYED_REQUEST, is_idempotent=False)
SAFE_REQUEST = UpstreamRequest(b"GET", b"/api", [(b"host", b"x")], b"", is_idempotent=True)
HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 x\r\n\r\n"
OK_RESPONSE = UpstreamResponse(200, [(b"content-length", b"2")], b"ok")
REQUEST_CLASS_NAMES = ["read", "write", "mark", "pay"]

# Durations of earlier connects, in seconds. They are far longer than any test takes in real time, even on a
# busy machine, so that only steps of the clock reach them.
MOSTLY_FAST_CONNECTS_S = [5.0] * 10 + [1_000.0] * 5
SLOW_CONNECTS_S = [1_000.0, 1_010.0, 1_020.0] * 5
LONG_CONNECT_TIMEOUT_S = 60_000.0
LONG_IDLE_TIMEOUT_S = 1e6

INVALID_RESPONSES = [
    b"\x8f noise without the end of a line",
    b"not http\r\n\r\n",
    b"HTTP/1.1 200 x\r\nno colon here\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    b"HTTP/1.1 200 x\r\nContent-Length: 65537\r\n\r\nok",
    b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 100 x\r\n\r\n" * 100 + http_response(200, b"ok"),
    b"HTTP/1.1 101 x\r\nUpgrade: y\r\n\r\n",
]

AttemptResult = tuple[Outcome, UpstreamResponse | None]


async def run_attempt(
    pool: ConnectionPool,
    address: Address,
    request: UpstreamRequest = KEYED_REQUEST,
    timeout_s: float = 5.0,
    endpoint_id: int = 1,
) -> AttemptResult:
    """Run one attempt on the endpoint at this address, and return its outcome and response."""
    result_future: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    endpoint = EndpointAddress(endpoint_id, address)
    pool.enable_endpoint(endpoint)
    pool.start_attempt(endpoint, request, timeout_s, lambda *result: result_future.set_result(result))
    return await result_future


class RecordedAttempt:
    """One attempt, with every result that the pool reports for it."""

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint: EndpointAddress,
        request: UpstreamRequest = KEYED_REQUEST,
        timeout_s: float = 60.0,
    ) -> None:
        self.results: list[AttemptResult] = []
        pool.enable_endpoint(endpoint)
        self.attempt = pool.start_attempt(
            endpoint, request, timeout_s, lambda *result: self.results.append(result)
        )

    async def result(self) -> AttemptResult:
        """Return the only result, after enough turns of the event loop for a second result to be reported."""
        await wait_until(lambda: bool(self.results))
        for _ in range(5):
            await asyncio.sleep(0)
        [only_result] = self.results
        return only_result


class RecordedAttempts:
    """Attempts on one endpoint, with their outcomes by request id."""

    def __init__(self, pool: ConnectionPool, server: StandInServer) -> None:
        self.pool, self.endpoint = pool, EndpointAddress(1, ("127.0.0.1", server.port))
        self.outcomes: dict[str, Outcome] = {}
        pool.enable_endpoint(self.endpoint)

    def start_attempt(
        self,
        request_id: str,
        request: UpstreamRequest = SAFE_REQUEST,
        timeout_s: float = LONG_CONNECT_TIMEOUT_S / 2,
        failover_within_s: float = 0.0,
    ) -> UpstreamAttempt:
        """Start an attempt for a request with this id."""
        request = replace(request, headers=[*request.headers, (b"req-id", request_id.encode())])
        return self.pool.start_attempt(
            self.endpoint,
            request,
            timeout_s,
            lambda outcome, _: self.outcomes.update({request_id: outcome}),
            failover_within_s,
        )

    async def wait_for_outcomes(self, **outcomes: Outcome) -> None:
        """Wait until exactly these requests have ended with these outcomes."""
        await wait_until(lambda: self.outcomes == outcomes)
