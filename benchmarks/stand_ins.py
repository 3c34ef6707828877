"""Stand-ins for the endpoints and the discovery of a proxy, on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

HEARTBEAT_S = 2.0  # an empty line is sent at this interval
BACKLOG = 64
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
SINCE_PARAMETER = re.compile(r"[?&]since=(\d+)")
HEAD_END = b"\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"


def loopback_hosts() -> Iterator[str]:
    """Yield loopback addresses. Each listener gets its own, so that ports are not exhausted."""
    for third_octet in range(1, 255):
        for fourth_octet in range(1, 255):
            yield f"127.77.{third_octet}.{fourth_octet}"


class EndpointConnection(asyncio.Protocol):
    """Connection of an endpoint that sends a 200 response some time after each request head.

    Requests must not have a body.
    """

    def __init__(self, endpoints: EndpointStandIns) -> None:
        """Initialize a connection.

        Args:
            endpoints: The endpoints, which count connections and requests and define the response time.
        """
        self._endpoints = endpoints
        self._buffer = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and count the accepted connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._endpoints.accepted += 1

    def data_received(self, data: bytes) -> None:
        """Buffer request bytes, and schedule a response for each complete head."""
        self._buffer += data
        while HEAD_END in self._buffer:
            _, _, self._buffer = self._buffer.partition(HEAD_END)
            self._endpoints.requests += 1
            asyncio.get_running_loop().call_later(self._endpoints.service_s, self._send_response)

    def _send_response(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(RESPONSE)


class EndpointStandIns:
    """Many endpoints in one process, each with its own listener."""

    def __init__(self, service_s: float) -> None:
        """Initialize without endpoints.

        Args:
            service_s: The time from a request's head to its response.
        """
        self.service_s = service_s
        self.accepted = 0  # connections to all endpoints
        self.requests = 0
        self._hosts = loopback_hosts()
        self._servers: dict[str, asyncio.Server] = {}
        self._connections: dict[str, list[EndpointConnection]] = {}

    async def start(self) -> str:
        """Start one more endpoint and return its address, `host:port`.

        Raises:
            OSError: The endpoint cannot listen, for example because no file descriptor is available.
        """
        connections: list[EndpointConnection] = []

        def accept_connection() -> EndpointConnection:
            connections.append(connection := EndpointConnection(self))
            return connection

        host = next(self._hosts)
        server = await asyncio.get_running_loop().create_server(accept_connection, host, 0, backlog=BACKLOG)
        address = f"{host}:{server.sockets[0].getsockname()[1]}"
        self._servers[address], self._connections[address] = server, connections
        return address

    def stop(self, address: str) -> None:
        """Stop an endpoint and abort its connections, as when a process is killed.

        Raises:
            KeyError: No endpoint has this address.
        """
        self._servers.pop(address).close()
        for connection in self._connections.pop(address):
            connection.transport.abort()

    def stop_all(self) -> None:
        """Stop all remaining endpoints."""
        for address in list(self._servers):
            self.stop(address)


Entry = dict[str, object]


@dataclass(eq=False)
class Watcher:
    """An open watch. A silent watch gets neither changes nor heartbeats."""

    writer: asyncio.StreamWriter
    is_silent: bool = False

    def write_chunk(self, text: bytes) -> None:
        """Write one line of the stream as one HTTP chunk."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(text), text))


@dataclass
class Discovery:
    """Discovery of one proxy: the endpoint list with its versions, and the open watches.

    Each proxy has its own, like the discovery agent on its machine.
    """

    rev: int = 1
    list_bytes: int = 0  # of all lists sent, without HTTP framing and heartbeats
    complete_lists: int = 0
    complete_list_bytes: int = 0  # part of `list_bytes` for complete lists
    watches: int = 0  # number of watches opened so far
    _entries: dict[str, tuple[int, Entry]] = field(
        default_factory=dict
    )  # by uid, each with the version of its last change
    _watchers: set[Watcher] = field(default_factory=set)
    _servers: list[asyncio.Server] = field(default_factory=list)
    _heartbeat_task: asyncio.Task[None] | None = None

    async def listen(self) -> str:
        """Listen on one more address, which serves the same list, and return the address.

        Raises:
            OSError: Discovery cannot listen, for example because no file descriptor is available.
        """
        server = await asyncio.start_server(self._serve_watch, "127.0.0.1", 0)
        self._servers.append(server)
        if self._heartbeat_task is None:
            self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening and sending heartbeats, and abort all watches."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        for server in self._servers:
            server.close()
        for watcher in self._watchers:
            watcher.writer.transport.abort()

    def add(self, uid: str, address: str, cell: int) -> None:
        """Add an initial endpoint without a new version or a notification of watches."""
        self._entries[uid] = (self.rev, endpoint_entry(uid, address, cell, boot_ms=0))

    def complete_list(self) -> dict[str, object]:
        """Return the current complete list in the format of the protocol."""
        present = [e for _, e in self._entries.values() if e["state"] != "terminated"]
        return {"rev": self.rev, "all": True, "targets": present}

    def change_state(self, uid: str, state: str) -> None:
        """Change the state of an endpoint and notify all watches that are not silent.

        Raises:
            KeyError: No endpoint has this uid.
        """
        self._push({**self._entries[uid][1], "state": state})

    def add_and_notify(self, uid: str, address: str, cell: int) -> None:
        """Add an endpoint that started now, and notify all watches that are not silent."""
        self._push(endpoint_entry(uid, address, cell, boot_ms=time.time_ns() // 1_000_000))

    def silence_watches(self) -> None:
        """Keep the currently open watches open without sending anything more on them."""
        for watcher in self._watchers:
            watcher.is_silent = True

    def _push(self, changed: Entry) -> None:
        self.rev += 1
        self._entries[str(changed["uid"])] = (self.rev, changed)
        update = {"rev": self.rev, "all": False, "targets": [changed]}
        for watcher in self._watchers:
            if not watcher.is_silent:
                self._send_list(watcher, update)

    def _changes_since(self, rev: int) -> dict[str, object]:
        changed = sorted(((v, str(e["uid"])) for v, e in self._entries.values() if v > rev))
        targets = [self._entries[uid][1] for _, uid in changed]
        return {"rev": self.rev, "all": False, "targets": targets}

    def _send_list(self, watcher: Watcher, update: dict[str, object]) -> None:
        text = json.dumps(update, separators=(",", ":")).encode() + b"\n"
        self.list_bytes += len(text)
        if update["all"]:
            self.complete_lists += 1
            self.complete_list_bytes += len(text)
        watcher.write_chunk(text)

    async def _serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        watcher = Watcher(writer)
        try:
            head = (await reader.readuntil(HEAD_END)).decode()
            since = SINCE_PARAMETER.search(head.partition("\r\n")[0])
            self.watches += 1
            writer.write(WATCH_HEAD)
            self._send_list(
                watcher, self.complete_list() if since is None else self._changes_since(int(since[1]))
            )
            self._watchers.add(watcher)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._watchers.discard(watcher)
            writer.transport.abort()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for watcher in self._watchers:
                if not watcher.is_silent:
                    with suppress(ConnectionError):
                        watcher.write_chunk(b"\n")


def endpoint_entry(uid: str, address: str, cell: int, boot_ms: int) -> Entry:
    """Return the list entry of an endpoint that is in service."""
    return {
        "uid": uid,
        "endpoint": address,
        "az": "a",
        "model": "m1",
        "pod_group": cell,
        "state": "in_service",
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }
