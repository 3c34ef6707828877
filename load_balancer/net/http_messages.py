"""What HTTP messages share on both sides of the proxy: the form of headers and the limit on a body."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # of a request or a response, by the protocol

Headers = list[tuple[bytes, bytes]]  # names in lower case, in their order on the wire
