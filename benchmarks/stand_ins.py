"""Stand-ins for what a proxy talks to: endpoints and discovery, on loopback, by the protocol."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

HEARTBEAT_S = 2.0  # an empty line comes this often while nothing changes
BACKLOG = 64
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
SINCE_PARAMETER = re.compile(r"[?&]since=(\d+)")
HEAD_END = b"\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"


def loopback_hosts() -> Iterator[str]:
    """Yield addresses of this machine alone: one for each listener, so that ports never run out."""
    for third_octet in range(1, 255):
        for fourth_octet in range(1, 255):
            yield f"127.77.{third_octet}.{fourth_octet}"


class EndpointConnection(asyncio.Protocol):
    """Answers each request with 200, a short while after its head; requests have no body here."""

    def __init__(self, endpoints: EndpointStandIns) -> None:
        """Answer for one of these endpoints, which count what comes and set the time that a call takes."""
        self._endpoints = endpoints
        self._read = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count a connection that the system has accepted."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._endpoints.accepted += 1

    def data_received(self, data: bytes) -> None:
        """Take bytes of requests, and have each head that is complete answered later."""
        self._read += data
        while HEAD_END in self._read:
            _, _, self._read = self._read.partition(HEAD_END)
            self._endpoints.requests += 1
            asyncio.get_running_loop().call_later(self._endpoints.service_s, self._send_response)

    def _send_response(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(RESPONSE)


class EndpointStandIns:
    """Many endpoints in one process, each a listener of its own."""

    def __init__(self, service_s: float) -> None:
        """Set them up with no endpoint yet.

        Args:
            service_s: The time from a request's head to its answer, in seconds.
        """
        self.service_s = service_s
        self.accepted = 0  # connections, over all endpoints
        self.requests = 0
        self._hosts = loopback_hosts()
        self._servers: dict[str, asyncio.Server] = {}
        self._connections: dict[str, list[EndpointConnection]] = {}

    async def start(self) -> str:
        """Start one more endpoint and return its address, `host:port`.

        Raises:
            OSError: It cannot listen, as for want of a descriptor.
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
        """End an endpoint; its connections are reset, as when a process dies.

        Raises:
            KeyError: There is no endpoint at this address.
        """
        self._servers.pop(address).close()
        for connection in self._connections.pop(address):
            connection.transport.abort()

    def stop_all(self) -> None:
        """End all endpoints that are still there."""
        for address in list(self._servers):
            self.stop(address)


Entry = dict[str, object]


@dataclass(eq=False)
class Watcher:
    """An open watch. A silent one gets neither changes nor heartbeats any more."""

    writer: asyncio.StreamWriter
    is_silent: bool = False

    def write_chunk(self, text: bytes) -> None:
        """Write one line of the list's stream as a chunk of its own."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(text), text))


@dataclass
class Discovery:
    """The list, its versions and the open watches. One per proxy, like the agent on its machine."""

    rev: int = 1
    list_bytes: int = 0  # of all lists written, without framing and heartbeats
    complete_lists: int = 0
    complete_list_bytes: int = 0  # the part of `list_bytes` that was of complete lists
    watches: int = 0  # that were opened
    _entries: dict[str, tuple[int, Entry]] = field(default_factory=dict)  # by uid, each with its version
    _watchers: set[Watcher] = field(default_factory=set)
    _servers: list[asyncio.Server] = field(default_factory=list)
    _heartbeat_task: asyncio.Task[None] | None = None

    async def listen(self) -> str:
        """Listen at one more address, and return it: discovery that is moved has the same list.

        Raises:
            OSError: It cannot listen, as for want of a descriptor.
        """
        server = await asyncio.start_server(self._serve_watch, "127.0.0.1", 0)
        self._servers.append(server)
        if self._heartbeat_task is None:
            self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening and beating, and reset all watches."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        for server in self._servers:
            server.close()
        for watcher in self._watchers:
            watcher.writer.transport.abort()

    def add(self, uid: str, address: str, cell: int) -> None:
        """Add one of the endpoints that are there from the start; no watch is notified."""
        self._entries[uid] = (self.rev, endpoint_entry(uid, address, cell, boot_ms=0))

    def complete_list(self) -> dict[str, object]:
        """Return the list as it is now, in the protocol's form."""
        present = [e for _, e in self._entries.values() if e["state"] != "terminated"]
        return {"rev": self.rev, "all": True, "targets": present}

    def change_state(self, uid: str, state: str) -> None:
        """Change an endpoint's state and notify all watches that are not silent.

        Raises:
            KeyError: The list has no endpoint of this uid.
        """
        self._push({**self._entries[uid][1], "state": state})

    def add_and_notify(self, uid: str, address: str, cell: int) -> None:
        """Add an endpoint that has just started, and notify all watches that are not silent."""
        self._push(endpoint_entry(uid, address, cell, boot_ms=time.time_ns() // 1_000_000))

    def silence_watches(self) -> None:
        """Have all watches that are open now stay open and send nothing more."""
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
    """Return one endpoint of discovery's list, in service."""
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
