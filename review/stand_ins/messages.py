"""HTTP/1.1 messages with a Content-Length or no body, and what a client sends and gets."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class Message:
    """One request or response."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split()[1])


async def read_message(reader: asyncio.StreamReader, first: bytes = b"") -> Message:
    """Read one message; `first` holds bytes of it that were read before."""
    head = first + await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").strip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body)


def response(status: int, body: bytes, *more: str) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *more]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def body_for(request_id: str) -> bytes:
    """Return the body of the one right answer to a request."""
    return f"answer to {request_id}".encode()


@dataclass
class Sent:
    """One request of a client, with what came back."""

    request_id: str
    kind: str
    deadline_s: float
    sent_s: float = 0.0
    answered_s: float = 0.0
    status: int = 0  # 0: no answer
    body: bytes = b""

    @property
    def took_s(self) -> float:
        """The time from the request to its answer; 0 without an answer."""
        return max(0.0, self.answered_s - self.sent_s)

    @property
    def is_answered_in_time(self) -> bool:
        """Whether a final answer came within the request's time and 0.5 s, with 0.1 s for the stand-ins."""
        return self.status != 0 and self.took_s <= self.deadline_s + 0.5 + 0.1

    @property
    def is_foreign(self) -> bool:
        """Whether a 200 answer has another body than the backends' answer to this request."""
        return self.status == 200 and self.body != body_for(self.request_id)
