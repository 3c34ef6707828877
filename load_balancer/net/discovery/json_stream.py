"""Splits a stream of JSON texts and heartbeats at the end of each, whichever way its reads cut it.

A text may be indented over many lines, so its braces tell where it ends; a line's end between two texts is a
heartbeat. The splitter does no input or output. `EndpointWatch` has one for each connection.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from load_balancer.errors import LoadBalancerError

# A peer that sends a text without an end would fill the memory of the process.
MAX_TEXT_BYTES = 4 * 1024 * 1024
# Braces and brackets are looked at one by one: megabytes of them, sent again and again, would leave the event
# loop no time.
MAX_NESTING_DEPTH = 64


class JsonStreamError(LoadBalancerError):
    """The stream holds no text that could be used; the message says why."""


class JsonTextSplitter:
    """Takes in bytes and gives back complete texts."""

    # What holds no brace outside of strings. Complete strings are skipped at once, as a list of thousands of
    # endpoints has ten times as many quotes as braces. A string that has not ended yet is left standing.
    _NO_BRACES = re.compile(rb'[^][{}"]*+(?:"[^"\\]*+(?:\\.[^"\\]*+)*+"[^][{}"]*+)*+', re.DOTALL)
    # The same between two texts, where a line's end is a heartbeat.
    _NO_BRACES_IN_LINE = re.compile(rb'[^][{}"\n]*+')
    _QUOTE_OR_ESCAPE = re.compile(rb'["\\]')

    def __init__(self) -> None:
        """Starts before the first byte of a stream."""
        self._buffer = bytearray()
        self._scanned_bytes = 0  # of the buffer
        self._depth = 0
        self._in_string = False

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Takes in the next bytes of the stream.

        Yields:
            Each text that is complete now, and an empty one for each heartbeat.

        Raises:
            JsonStreamError: A text is nested too deep or too long.
        """
        self._buffer += data
        while mark := self._find_mark():
            match mark:
                case b"\\":
                    self._scanned_bytes += 1  # whatever follows, it ends no string
                case b'"':
                    self._in_string = not self._in_string
                case b"{" | b"[":
                    self._depth += 1
                    if self._depth > MAX_NESTING_DEPTH:
                        raise JsonStreamError("a list nested too deep")
                case b"}" | b"]":
                    self._depth -= 1
                    if self._depth <= 0:
                        yield self._take_text()
                case _:
                    yield self._take_text()
        self._scanned_bytes = max(self._scanned_bytes, len(self._buffer))
        if len(self._buffer) > MAX_TEXT_BYTES:
            raise JsonStreamError("a list without an end")

    def _find_mark(self) -> bytes:
        """The next byte that may end a text or a string; empty where none has come yet."""
        if self._in_string:
            found = self._QUOTE_OR_ESCAPE.search(self._buffer, self._scanned_bytes)
            at = len(self._buffer) if found is None else found.start()
        else:
            pattern = self._NO_BRACES if self._depth else self._NO_BRACES_IN_LINE
            skipped = pattern.match(self._buffer, self._scanned_bytes)
            at = self._scanned_bytes if skipped is None else skipped.end()
        if at >= len(self._buffer):
            return b""
        self._scanned_bytes = at + 1
        return bytes(self._buffer[at : at + 1])

    def _take_text(self) -> bytes:
        text = bytes(self._buffer[: self._scanned_bytes]).strip()
        del self._buffer[: self._scanned_bytes]
        self._scanned_bytes = self._depth = 0
        return text
