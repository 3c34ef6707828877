"""Builders and readers of HTTP messages for the stand-ins and clients of tests."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class HttpMessage(NamedTuple):
    """One request or response that was read."""

    start_line: str
    headers: dict[str, str]  # by lower-case name
    body: bytes


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the start line, and the headers by lower-case name."""
    start_line, *lines = head.decode().split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    return start_line, {name.lower(): value.strip() for name, _, value in fields}


async def read_http_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read one message that has a Content-Length header or no body."""
    start_line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return HttpMessage(start_line, headers, body)


async def read_start_line(reader: asyncio.StreamReader) -> str:
    """Read the head of a message without a body, and return its start line."""
    return (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0]


async def send_request_to(port: int, request: bytes) -> HttpMessage:
    """Send one request on a new connection to this loopback port, and return the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    try:
        return await read_http_message(reader)
    finally:
        writer.close()


def http_message(start_line: str, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a message.

    Args:
        start_line: The start line without its line end.
        body: The body.
        headers: The headers by name, with `_` for `-`. The Content-Length of the body is added,
            unless the body is empty and `Content_Length` is given.
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
    """Return the bytes of a client's request of one class, with the headers that the proxy requires."""
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
    """Return whether the message has the header `Connection: close`."""
    return message.headers.get("connection") == "close"
