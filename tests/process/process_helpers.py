"""Helpers of the tests that run the proxy as a separate process."""

from __future__ import annotations

import asyncio
import os

from tests.support.http_messages import http_response, read_http_message
from tests.support.stand_in_server import StandInServer


class SlowEndpoint(StandInServer):
    """Endpoint that responds to each request at once, except to the request "slow".

    Attributes:
        slow_received: Set once the slow request has been received.
        may_respond: Set by the test to release the response to the slow request.
    """

    def __init__(self, body: bytes | None = None) -> None:
        """Prepare an endpoint whose responses have this body, by default the id of the request."""
        super().__init__(self.serve)
        self.slow_received = asyncio.Event()
        self.may_respond = asyncio.Event()
        self._body = body

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            self.received.append(await read_http_message(reader))
            request_id = self.received[-1].headers["req-id"]
            if request_id == "slow":
                self.slow_received.set()
                await self.may_respond.wait()
            writer.write(http_response(200, request_id.encode() if self._body is None else self._body))


async def wait_for_log_line(process: asyncio.subprocess.Process, text: str) -> None:
    """Wait until the process logs a line that contains this text."""
    assert process.stderr is not None
    while text not in (line := (await process.stderr.readline()).decode()):
        assert line, "the process ended before it logged the expected line"


def descriptor_count(process: asyncio.subprocess.Process) -> int:
    """Return the number of open descriptors of the process."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))
