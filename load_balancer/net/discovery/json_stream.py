"""Splits a stream of JSON texts and heartbeats at the end of each, wherever its reads split it.

A text may be indented over many lines, so that its braces tell where it ends; a line end between two texts is
a heartbeat. The splitter does no input or output. `WatchStream` has one for each connection.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from load_balancer.errors import WireError

# Discovery that sends a text without an end would fill the memory of the process.
MAX_TEXT_BYTES = 4 * 1024 * 1024
# Braces and brackets are examined one by one: megabytes of them, sent again and again, would leave the event
# loop no time.
MAX_NESTING_DEPTH = 64


class JsonStreamError(WireError):
    """The stream holds no text that can be used; the message gives the reason."""


class TextTooDeepError(JsonStreamError):
    """A text is nested deeper than MAX_NESTING_DEPTH."""

    def __init__(self) -> None:
        """State the fault."""
        super().__init__("a list nested too deep")


class TextTooLongError(JsonStreamError):
    """A text is longer than MAX_TEXT_BYTES."""

    def __init__(self) -> None:
        """State the fault."""
        super().__init__("a list without an end")


class JsonTextSplitter:
    """Takes bytes and returns complete texts.

    Attributes:
        scanned_bytes: How many of the buffered bytes have been examined.
        is_in_string: Whether the examined bytes end inside a string.
    """

    # Bytes without a brace outside of strings. Complete strings are skipped at once, as a list of thousands
    # of endpoints has ten times as many quotes as braces. A string that has not ended yet is not skipped.
    _NON_STRUCTURAL = re.compile(rb'[^][{}"]*+(?:"[^"\\]*+(?:\\.[^"\\]*+)*+"[^][{}"]*+)*+', re.DOTALL)
    # The same between two texts, where a line end is a heartbeat.
    _NON_STRUCTURAL_BETWEEN_TEXTS = re.compile(rb'[^][{}"\n]*+')
    _QUOTE_OR_ESCAPE = re.compile(rb'["\\]')

    def __init__(self) -> None:
        """Start before the first byte of a stream."""
        self._buffer = bytearray()
        self.scanned_bytes = 0
        self._depth = 0
        self.is_in_string = False

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of the present text have come."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Take the next bytes of the stream.

        Yields:
            Each text that is complete now, and an empty one for each heartbeat.

        Raises:
            JsonStreamError: A text is nested too deeply or too long.
        """
        self._buffer += data
        while structural_byte := self._find_structural_byte():
            match structural_byte:
                case b"\\":
                    self.scanned_bytes += 1  # whatever follows, it ends no string
                case b'"':
                    self.is_in_string = not self.is_in_string
                case b"{" | b"[":
                    self._depth += 1
                    if self._depth > MAX_NESTING_DEPTH:
                        raise TextTooDeepError
                case b"}" | b"]":
                    self._depth -= 1
                    if self._depth <= 0:
                        yield self._pop_text()
                case _:
                    yield self._pop_text()
        self.scanned_bytes = max(self.scanned_bytes, len(self._buffer))
        if len(self._buffer) > MAX_TEXT_BYTES:
            raise TextTooLongError

    def _find_structural_byte(self) -> bytes:
        """Return the next byte that may end a text or a string, or no byte if none has come yet."""
        if self.is_in_string:
            found = self._QUOTE_OR_ESCAPE.search(self._buffer, self.scanned_bytes)
            position = len(self._buffer) if found is None else found.start()
        else:
            pattern = self._NON_STRUCTURAL if self._depth else self._NON_STRUCTURAL_BETWEEN_TEXTS
            skipped = pattern.match(self._buffer, self.scanned_bytes)
            position = self.scanned_bytes if skipped is None else skipped.end()
        if position >= len(self._buffer):
            return b""
        self.scanned_bytes = position + 1
        return bytes(self._buffer[position : position + 1])

    def _pop_text(self) -> bytes:
        """Remove the examined bytes from the buffer and return them without surrounding white space."""
        text = bytes(self._buffer[: self.scanned_bytes]).strip()
        del self._buffer[: self.scanned_bytes]
        self.scanned_bytes = self._depth = 0
        return text
