"""Clients and endpoints whose bytes take long to parse, at the same time, do not delay other requests."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.net.client import client_limits
from tests.net.client.test_expensive_requests import (
    EXPENSIVE_REQUESTS,
    clock_of,
    send_from_many_peers,
    serve_requests_in_time,
)
from tests.net.upstream.test_expensive_responses import EXPENSIVE_RESPONSES
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.loopback_proxy import running_proxy
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import wait_until

# All of them are one server. There are so many that the concurrency limit, which grows with their number and
# shrinks with the late responses, rejects none of the requests.
ENDPOINT_UIDS = [f"s-{number}" for number in range(16)]
REQUEST_COUNT = 10  # with expensive responses, at the same time


class ExpensiveEndpoint(StandInServer):
    """Sends an expensive response to each request whose id begins with `expensive`."""

    def __init__(self, expensive_response: bytes) -> None:
        super().__init__(self._respond)
        self._expensive_response = expensive_response

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            self.received.append(await read_http_message(reader))
            is_expensive = self.request_ids[-1].startswith("expensive")
            writer.write(self._expensive_response if is_expensive else http_response(200, b"x"))


@pytest.mark.time_limit_s(60.0)  # parses several MB, which takes seconds beside busy processes
@pytest.mark.parametrize("response_kind", ["tiny chunks", "interim responses"])
async def test_both_sides_together_do_not_delay_other_requests(
    response_kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against review cases 1 and 3 at the same time: both sides share one budget."""
    monkeypatch.setattr(client_limits, "REQUEST_TIMEOUT_S", 600.0)
    async with (
        ExpensiveEndpoint(EXPENSIVE_RESPONSES[response_kind]) as endpoint,
        running_proxy(*(endpoint_entry(uid, endpoint.port) for uid in ENDPOINT_UIDS)) as proxy,
        clock_of(proxy, monkeypatch) as clock,
    ):
        streams = [await proxy.connect() for _ in range(REQUEST_COUNT)]
        for number, (_, writer) in enumerate(streams):
            writer.write(http_request(request_id=f"expensive-{number}", Req_Deadline="600"))
        await wait_until(lambda: len(endpoint.received) == REQUEST_COUNT)
        peers = await send_from_many_peers(proxy, EXPENSIVE_REQUESTS["heads of thousands of lines"])
        await serve_requests_in_time(proxy, clock)
        for peer in peers:
            peer.disconnect("RST")
        for _, writer in streams:
            writer.close()
