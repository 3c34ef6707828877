"""Splitter for a stream of JSON texts and heartbeats.

The reads may split the stream at any byte. A text may be indented over many lines, so its end is found by its
braces; a line end between two texts is a heartbeat. The splitter performs no I/O. `WatchStream` has one for
each connection.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from load_balancer.errors import WireError

# A text without an end would otherwise fill the memory of the process.
MAX_TEXT_BYTES = 4 * 1024 * 1024
# Braces and brackets are examined one by one: megabytes of them, sent repeatedly, would block the event loop.
MAX_NESTING_DEPTH = 64


class JsonStreamError(WireError):
    """The stream contains an unusable text; the message gives the reason."""


class TextTooDeepError(JsonStreamError):
    """A text is nested deeper than MAX_NESTING_DEPTH."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(f"endpoint list is nested more than {MAX_NESTING_DEPTH} levels deep")


class TextTooLongError(JsonStreamError):
    """A text is longer than MAX_TEXT_BYTES."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(f"endpoint list is longer than {MAX_TEXT_BYTES} bytes")


class JsonTextSplitter:
    """Splits received bytes into complete texts.

    Attributes:
        scanned_bytes: The number of buffered bytes that have been examined.
        is_in_string: Whether the examined bytes end inside a string.
    """

    # Bytes without a brace or bracket outside of strings. Complete strings are skipped in one step, as a list
    # of thousands of endpoints has ten times as many quotes as braces. An unfinished string is not skipped.
    _NON_STRUCTURAL = re.compile(rb'[^][{}"]*+(?:"[^"\\]*+(?:\\.[^"\\]*+)*+"[^][{}"]*+)*+', re.DOTALL)
    # The same between two texts, where a line end is a heartbeat.
    _NON_STRUCTURAL_BETWEEN_TEXTS = re.compile(rb'[^][{}"\n]*+')
    _QUOTE_OR_ESCAPE = re.compile(rb'["\\]')

    def __init__(self) -> None:
        """Create a splitter for a new stream."""
        self._buffer = bytearray()
        self.scanned_bytes = 0
        self._depth = 0
        self.is_in_string = False

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes received of the current text."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Process the next bytes of the stream.

        Yields:
            Each text that is now complete, and an empty one for each heartbeat.

        Raises:
            JsonStreamError: A text is nested too deeply or too long.
        """
        self._buffer += data
        while structural_byte := self._find_structural_byte():
            match structural_byte:
                case b"\\":
                    self.scanned_bytes += 1  # the escaped byte does not end the string
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
        """Return the next byte that may end a text or a string, or no byte if none is buffered."""
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
        """Remove the examined bytes from the buffer and return them without surrounding whitespace."""
        text = bytes(self._buffer[: self.scanned_bytes]).strip()
        del self._buffer[: self.scanned_bytes]
        self.scanned_bytes = self._depth = 0
        return text
