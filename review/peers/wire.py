"""HTTP/1.1 messages as the stand-ins read and write them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True)
class Message:
    """A request or an answer, with its first line, headers by lower-case name, and body."""

    line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length.

    Raises:
        OSError: The connection broke.
        asyncio.IncompleteReadError: The connection ended before the message did.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return an answer with a length; underscores in the names of headers stand for hyphens."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
