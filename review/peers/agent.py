"""Discovery's agent: answers `GET /v1/endpoints` with the list, and watches with its changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

HEARTBEAT_S = 2.0
CLOSE_OLD_AFTER_S = 1.5


class Agent:
    """Discovery's agent on the proxy's machine.

    Attributes:
        rev: The version of the list.
        entries: The current entries, by uid.
        told: The times at which a message was written to a watch, each with its version.
        on_watch: Called with the number of a call from 1; returns whether to end it instead of telling.
        answer_after_s: The time from a call to its answer.
    """

    def __init__(self, entries: list[dict[str, Any]], rev: int = 41, indent: int | None = None) -> None:
        """Initialize with a first list, whose messages may be indented."""
        self.rev = rev
        self._indent = indent
        self.entries = {entry["uid"]: entry for entry in entries}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.told: list[tuple[float, int]] = []
        self.on_watch: Callable[[int], bool] = lambda _number: False
        self.answer_after_s = 0.0
        self.port = 0
        self.watch_count = 0
        self._server: asyncio.Server | None = None
        self._watchers: set[asyncio.StreamWriter] = set()
        self._sent_rev: dict[asyncio.StreamWriter, int] = {}

    @property
    def address(self) -> str:
        """The address of the agent."""
        return f"127.0.0.1:{self.port}"

    def known(self) -> dict[str, Any]:
        """Return the whole list as it is now."""
        return {"rev": self.rev, "all": True, "targets": [dict(entry) for entry in self.entries.values()]}

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening, and end all watches."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._watchers):
            writer.transport.abort()

    async def retire(self) -> None:
        """Take no new connections, and end the open watches after 1.5 s, as an old address does."""
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(CLOSE_OLD_AFTER_S)
        self.close()

    def change(self, uid: str, /, **changes: Any) -> None:
        """Change an entry, and tell all watches."""
        self.rev += 1
        entry = {**self.entries.get(uid, {"uid": uid}), **changes}
        if entry["state"] == "terminated":
            self.entries.pop(uid, None)
        else:
            self.entries[uid] = entry
        self.changes.append((self.rev, entry))
        for writer in list(self._watchers):
            self._tell(writer)

    def _tell(self, writer: asyncio.StreamWriter, *, is_first: bool = False) -> None:
        since = self._sent_rev[writer]
        news = {entry["uid"]: entry for rev, entry in self.changes if rev > since}
        if news or is_first:
            self._write(writer, {"rev": self.rev, "all": False, "targets": list(news.values())})

    def _write(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        self._sent_rev[writer] = self.rev
        data = json.dumps(message, indent=self._indent).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.told.append((time.monotonic(), self.rev))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            self.watch_count += 1
            if self.on_watch(self.watch_count):
                writer.close()
                return
            await asyncio.sleep(self.answer_after_s)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            since = target.partition("since=")[2].partition("&")[0]
            oldest = self.changes[0][0] - 1 if self.changes else self.rev
            if since and oldest <= int(since) <= self.rev:
                self._sent_rev[writer] = int(since)
                self._tell(writer, is_first=True)
            else:
                self._write(writer, self.known())
            self._watchers.add(writer)
            await self._beat(reader, writer)
        self._watchers.discard(writer)
        writer.transport.abort()

    async def _beat(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ended = asyncio.ensure_future(reader.read())
        while not ended.done():
            await asyncio.wait([ended], timeout=HEARTBEAT_S)
            if not ended.done():
                writer.write(b"1\r\n\n\r\n")
        ended.exception()
