"""Creates the HTTP/1.1 parsers of all connections, with a pattern for header lines that takes linear time.

h11 0.16 matches a header line with a pattern that can divide a run of spaces and tabs after the colon in as
many ways as it has characters, and tries all of them if an invalid byte follows. One line of 16 KiB then
takes 0.8 s. When it is imported, the module replaces that pattern by one that matches the same lines, finds
the same name and value in them, and never tries a second way.
"""

from __future__ import annotations

import re

import h11
from h11 import _readers

HEADER_LINE = re.compile(
    rb"(?P<field_name>[-!#$%&'*+.^_`|~0-9a-zA-Z]++):[ \t]*+"
    rb"(?P<field_value>(?:[^\x00\s]++(?:[ \t]++[^\x00\s]++)*+)?+)[ \t]*+"
)
_readers.header_field_re = HEADER_LINE

DEFAULT_MAX_HEAD_BYTES = 16 * 1024  # limit of the connections to discovery


def forget_frames(error: BaseException) -> None:
    """Drop the traceback of a handled error.

    h11 raises its errors from a frame that refers to the error. Error, frames, connection and all received
    bytes would stay in memory until the garbage collector finds that cycle.
    """
    error.__traceback__ = None


def new_parser(
    role: type[h11.CLIENT] | type[h11.SERVER], max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
) -> h11.Connection:
    """Return the parser and serializer of a new connection.

    Args:
        role: The role of this proxy on the connection.
        max_head_bytes: Limit on the bytes of a head, a chunk header or trailers that are not complete yet.
    """
    return h11.Connection(role, max_incomplete_event_size=max_head_bytes)
