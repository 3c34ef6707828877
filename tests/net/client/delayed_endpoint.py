"""An endpoint that delays its responses until a test permits them."""

from __future__ import annotations

import asyncio

from tests.support.http_messages import http_response, read_http_message


class DelayedEndpoint:
    """Endpoint that reads one request at a time on each connection and responds once `may_respond` is set.

    Attributes:
        may_respond: Event that permits responses. Once it is set, each request is answered at once.
        request_ids: Ids of the requests received so far.
    """

    def __init__(self) -> None:
        self.may_respond = asyncio.Event()
        self.request_ids: list[str] = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            _, headers, _ = await read_http_message(reader)
            self.request_ids.append(headers["req-id"])
            await self.may_respond.wait()
            writer.write(http_response(200, b"x"))
