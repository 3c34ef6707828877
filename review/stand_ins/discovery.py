"""Discovery's agent: the list of backends over HTTP, as a whole and as a watch."""

from __future__ import annotations

import asyncio
import contextlib
import json

from stand_ins.record import Record

HEARTBEAT_S = 2.0


class Agent:
    """One address of discovery.

    Attributes:
        first_message_takes_s: Seconds from a call to the end of the first message of its answer. The answer
            begins at once, and the message comes in pieces; 0 sends it in one piece.
    """

    def __init__(self, name: str, record: Record) -> None:
        """Create an agent with an empty list that does not listen yet."""
        self.name = name
        self.port = 0
        self.rev = 0
        self.targets: dict[str, dict[str, object]] = {}
        self.first_message_takes_s = 0.0
        self.record = record
        self._server: asyncio.Server | None = None
        self._is_up = asyncio.Event()
        self._is_up.set()
        self._watches: set[asyncio.Queue[str]] = set()
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Take no new connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    def close_open(self) -> None:
        """Close all open connections."""
        for writer in list(self._open):
            writer.close()

    def whole_list(self) -> dict[str, object]:
        """Return the whole list."""
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def change(self, *entries: dict[str, object], rev: int | None = None) -> None:
        """Apply a change, and write it to all open watches."""
        self.rev = self.rev + 1 if rev is None else rev
        for entry in entries:
            if entry["state"] == "terminated":
                self.targets.pop(str(entry["uid"]), None)
            else:
                self.targets[str(entry["uid"])] = entry
        text = json.dumps({"rev": self.rev, "all": False, "targets": list(entries)})
        self.record.line(f"discovery {self.name} has {text}")
        for watch in self._watches:
            watch.put_nowait(text)

    def go_down(self, duration_s: float) -> None:
        """Stay silent for a while: take connections, and answer and tell nothing until the end."""
        self._is_up.clear()
        self.record.say(f"discovery {self.name} goes down for {duration_s} s")
        asyncio.get_running_loop().call_later(duration_s, self._come_back)

    async def wait_until_up(self) -> None:
        """Wait until the agent is up."""
        await self._is_up.wait()

    def _come_back(self) -> None:
        self._is_up.set()
        self.record.say(f"discovery {self.name} is back")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0]
            self.record.line(f"discovery {self.name} is asked: {request}")
            await self._is_up.wait()
            if "follow=1" in request:
                await self._answer_watch(reader, writer)
            else:
                body = json.dumps(self.whole_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # a cancellation comes at the end of the case alone
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        watch: asyncio.Queue[str] = asyncio.Queue()
        self._watches.add(watch)
        closed = asyncio.create_task(reader.read())
        closed.add_done_callback(lambda _: watch.put_nowait("closed"))
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self._write_first(writer, closed)
            while not closed.done():
                try:
                    text = await asyncio.wait_for(watch.get(), HEARTBEAT_S)
                except TimeoutError:
                    text = ""
                if text == "closed":
                    break
                await self._is_up.wait()
                _write_chunk(writer, text + "\n")
                if text:
                    self.record.line(f"discovery {self.name} tells {text}")
        finally:
            self._watches.discard(watch)
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await closed
            self.record.line(f"discovery {self.name}: a watch has ended")

    async def _write_first(self, writer: asyncio.StreamWriter, closed: asyncio.Task[bytes]) -> None:
        rev, text = self.rev, json.dumps(self.whole_list()) + "\n"
        count = 6 if self.first_message_takes_s else 1
        size = -(-len(text) // count)
        for index, start in enumerate(range(0, len(text), size)):
            if index:
                await asyncio.sleep(self.first_message_takes_s / (count - 1))
            if closed.done():
                self.record.line(f"discovery {self.name}: the proxy closed after {index} of {count} pieces")
                return
            _write_chunk(writer, text[start : start + size])
        self.record.line(f"discovery {self.name} has told the whole list of rev {rev}")


def _write_chunk(writer: asyncio.StreamWriter, text: str) -> None:
    data = text.encode()
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
