"""Stand-ins for the clients of a proxy, over real connections."""

from __future__ import annotations

import asyncio

from benchmarks.stand_ins import HEAD_END

CLIENTS = 4  # connections of clients at the start
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Clients:
    """Clients that keep their connections, have one call at a time on each and open more if all are busy."""

    def __init__(self, port: int, deadline_s: float) -> None:
        """Set them up without a connection.

        Args:
            port: Where the proxy listens, on 127.0.0.1.
            deadline_s: How long a call may take, in seconds; the proxy is told what is left of it.
        """
        self._port, self._deadline_s = port, deadline_s
        self.served = 0
        self._sent = 0
        self._idle: list[Streams] = []

    async def start(self) -> None:
        """Open the first connections.

        Raises:
            OSError: The proxy does not accept one.
        """
        for _ in range(CLIENTS):
            self._idle.append(await self._connect())

    async def _connect(self) -> Streams:
        return await asyncio.open_connection("127.0.0.1", self._port)

    async def send_request(self) -> None:
        """Make one call and count it as served where the answer is 200 and comes before its deadline."""
        deadline_at_s = asyncio.get_running_loop().time() + self._deadline_s
        try:
            async with asyncio.timeout_at(deadline_at_s):
                status = await self._exchange(deadline_at_s)
        except (OSError, asyncio.IncompleteReadError):  # among the first: it took too long
            return
        self.served += status == 200  # not over an `await`: other calls may end meanwhile

    async def _exchange(self, deadline_at_s: float) -> int:
        """Return the status of the answer to one call. A connection on which none came is closed."""
        reader, writer = self._idle.pop(0) if self._idle else await self._connect()
        try:
            writer.write(self._request_head(deadline_at_s))
            status = await read_status(reader)
        except BaseException:
            writer.transport.abort()
            raise
        self._idle.append((reader, writer))
        return status

    def _request_head(self, deadline_at_s: float) -> bytes:
        self._sent += 1
        time_remaining_s = max(0.001, deadline_at_s - asyncio.get_running_loop().time())
        lines = [
            "GET /api HTTP/1.1",
            "Host: origin.svc",
            f"Req-Id: {self._sent:016x}",
            "Req-Kind: read",
            f"Req-Deadline: {time_remaining_s:.3f}",
        ]
        return "\r\n".join(lines).encode() + HEAD_END

    def close(self) -> None:
        """Reset the idle connections; calls that are still in flight keep theirs."""
        for _, writer in self._idle:
            writer.transport.abort()


async def read_status(reader: asyncio.StreamReader) -> int:
    """Read one answer to its end and return its status.

    Raises:
        asyncio.IncompleteReadError: The connection ended first.
        ConnectionError: The connection was reset.
        ValueError: The status or the length is no number.
    """
    first, *lines = (await reader.readuntil(HEAD_END)).decode().split("\r\n")
    for line in lines:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            await reader.readexactly(int(value))
    return int(first.split()[1])
