"""An endpoint whose responses a test holds back."""

from __future__ import annotations

import asyncio

from tests.support.http_messages import http_response, read_http_message


class DelayedEndpoint:
    """Takes one request at a time on each connection, and answers once `may_respond` is set.

    Attributes:
        may_respond: Until it is set, requests wait for their responses; later ones are answered at once.
        request_ids: The ids of the requests taken so far.
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
