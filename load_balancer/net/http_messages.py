"""HTTP definitions shared by the client side and the upstream side: headers and the body limit."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # largest body of a request or response that the protocol allows

Headers = list[tuple[bytes, bytes]]  # lower-case names, in the order on the wire
