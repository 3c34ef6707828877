"""What tests ask of a proxy that runs as a process of its own."""

from __future__ import annotations

import asyncio

from tests.support.http_messages import http_request, read_http_message


async def response_body(port: int, request_id: str = "a1") -> bytes:
    """Return the body of the response to one request on a new connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(http_request(request_id=request_id))
    try:
        return (await read_http_message(reader)).body
    finally:
        writer.close()


async def wait_for_log_line(process: asyncio.subprocess.Process, text: str) -> None:
    """Wait until the process logs a line with this text."""
    assert process.stderr is not None
    while text not in (line := (await process.stderr.readline()).decode()):
        assert line, "it ended"
