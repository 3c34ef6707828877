"""Stand-ins for the clients of a proxy, with real connections."""

from __future__ import annotations

import asyncio

from benchmarks.stand_ins import HEAD_END

INITIAL_CONNECTION_COUNT = 4  # connections opened at the start
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Clients:
    """Clients with persistent connections: one request at a time on each, and a new one if all are busy."""

    def __init__(self, port: int, deadline_s: float) -> None:
        """Initialize without connections.

        Args:
            port: The port on 127.0.0.1 on which the proxy listens.
            deadline_s: The deadline of a request; the request header carries the time remaining.
        """
        self._port, self._deadline_s = port, deadline_s
        self.served = 0
        self._sent = 0
        self._idle: list[Streams] = []

    async def start(self) -> None:
        """Open the first connections.

        Raises:
            OSError: The proxy does not accept a connection.
        """
        for _ in range(INITIAL_CONNECTION_COUNT):
            self._idle.append(await self._connect())

    async def _connect(self) -> Streams:
        return await asyncio.open_connection("127.0.0.1", self._port)

    async def send_request(self) -> None:
        """Send one request and count it as served if a response with status 200 arrives by the deadline."""
        deadline_at_s = asyncio.get_running_loop().time() + self._deadline_s
        try:
            async with asyncio.timeout_at(deadline_at_s):
                status = await self._exchange(deadline_at_s)
        except (
            OSError,
            asyncio.IncompleteReadError,
        ):  # OSError includes TimeoutError, raised at the deadline
            return
        self.served += status == 200  # after the `await`, during which other requests may change the counter

    async def _exchange(self, deadline_at_s: float) -> int:
        """Send one request and return the status of its response; abort the connection if none arrives."""
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
        """Abort the idle connections; requests in flight keep their connections."""
        for _, writer in self._idle:
            writer.transport.abort()


async def read_status(reader: asyncio.StreamReader) -> int:
    """Read one response completely and return its status.

    Raises:
        asyncio.IncompleteReadError: The connection was closed before the end of the response.
        ConnectionError: The connection was reset.
        ValueError: The status or the content length is not a number.
    """
    first, *lines = (await reader.readuntil(HEAD_END)).decode().split("\r\n")
    for line in lines:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            await reader.readexactly(int(value))
    return int(first.split()[1])
