"""Stand-in discovery whose lists a test delays and changes."""

from __future__ import annotations

import asyncio

from tests.support.endpoint_lists import WATCH_RESPONSE_HEAD, endpoint_list_chunk
from tests.support.stand_in_server import StandInServer


class HeldListServer(StandInServer):
    """Sends each watch the current list once `may_respond` is set, and keeps the watch open.

    Attributes:
        current_list: The list sent to the next watch.
        request_lines: The request line of each watch.
        requested: Set once a watch has been requested.
        may_respond: Watches wait for their list until it is set.
        list_sent: Set once the list has been sent to a watch.
    """

    def __init__(self, current_list: dict[str, object] | None = None, *, is_held: bool = False) -> None:
        super().__init__(self._send_list)
        self.current_list = current_list or {}
        self.request_lines: list[str] = []
        self.requested = asyncio.Event()
        self.may_respond = asyncio.Event()
        self.list_sent = asyncio.Event()
        if not is_held:
            self.may_respond.set()

    async def _send_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        self.request_lines.append(head.split("\r\n")[0])
        self.requested.set()
        await self.may_respond.wait()
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(self.current_list))
        self.list_sent.set()
        await reader.read()

    def send_changes(self, changes: dict[str, object]) -> None:
        """Send changes to all open watches."""
        for writer in self.writers:
            writer.write(endpoint_list_chunk(changes))
