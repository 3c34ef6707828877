"""HTTP messages as bytes, for the stand-ins and clients of tests, and how these read one."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class HttpMessage(NamedTuple):
    """One request or response as it was read."""

    start_line: str
    headers: dict[str, str]  # by their names in lower case
    body: bytes


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers, by their names in lower case."""
    start_line, *lines = head.decode().split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    return start_line, {name.lower(): value.strip() for name, _, value in fields}


async def read_http_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read one message whose length is stated in its headers, or that has no body."""
    start_line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return HttpMessage(start_line, headers, body)


async def read_start_line(reader: asyncio.StreamReader) -> str:
    """Read the head of a message without a body, and return its start line."""
    return (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0]


async def send_request_to(port: int, request: bytes) -> HttpMessage:
    """Return the response to one request on a new connection to this port of loopback."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    try:
        return await read_http_message(reader)
    finally:
        writer.close()


def http_message(start_line: str, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a message.

    Args:
        start_line: Without its line end.
        body: The content.
        headers: By name, with `_` for `-`. The length of the body is added where no other one is given.
    """
    lines = [start_line, *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items())]
    if body or "Content_Length" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def http_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a response with this status."""
    return http_message(f"HTTP/1.1 {status} x", body, **headers)


def http_request(
    class_name: str = "read", request_id: str = "a1", path: str = "/api", body: bytes = b"", **headers: str
) -> bytes:
    """Return the bytes of a client's request of one class, with the headers that the proxy asks for."""
    method = "GET" if class_name == "read" else "POST"
    fields = {"Host": "x", "Req_Id": request_id, "Req_Kind": class_name, "Req_Deadline": "4.0", **headers}
    if class_name in ("write", "mark"):
        fields.setdefault("Idempotency_Key", f"key-{request_id}")
    return http_message(f"{method} {path} HTTP/1.1", body, **fields)


def http_chunk(content: str) -> bytes:
    """Return one chunk of a body in chunked transfer encoding."""
    return b"%x\r\n%s\r\n" % (len(content), content.encode())


def response_status(message: HttpMessage) -> int:
    """Return the status of a response."""
    return int(message.start_line.split()[1])


def closes_connection(message: HttpMessage) -> bool:
    """Return whether the message says that it is the last one on its connection."""
    return message.headers.get("connection") == "close"
