"""The pattern for header lines matches what h11's own pattern matches, in linear time."""

from __future__ import annotations

import random
import re
import time

import h11
import pytest
from h11 import _abnf

from load_balancer.net.http_parser import HEADER_LINE, new_parser

HEAD = b"GET /ready HTTP/1.1\r\nHost: x\r\n"
H11_HEADER_LINE = re.compile(_abnf.header_field.encode("ascii"))
# Where one of these follows a long run of spaces, h11's own pattern takes quadratic time.
INVALID_BYTES = [b"\x00", b"\x0b", b"\x0c", b"\r"]


def test_pattern_matches_the_same_lines_with_the_same_groups() -> None:
    rng = random.Random(1)
    for _ in range(50_000):
        line = bytes(
            rng.choices(b"a:b \t\x00\x0b\r\xff,", weights=[4, 3, 2, 4, 2, 1, 1, 1, 1, 1], k=rng.randrange(12))
        )
        expected, actual = H11_HEADER_LINE.fullmatch(line), HEADER_LINE.fullmatch(line)
        assert (expected and expected.groupdict()) == (actual and actual.groupdict()), line


@pytest.mark.parametrize("invalid_byte", INVALID_BYTES)
@pytest.mark.parametrize("role", [h11.SERVER, h11.CLIENT])
def test_invalid_byte_after_many_spaces_is_rejected_quickly(
    role: type[h11.SERVER] | type[h11.CLIENT], invalid_byte: bytes
) -> None:
    """Guards against a head of 16 KiB that took 0.8 s to reject, during which the event loop stood still."""
    parser = new_parser(role)
    if role is h11.CLIENT:
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        parser.send(h11.EndOfMessage())
    head = HEAD if role is h11.SERVER else b"HTTP/1.1 200 x\r\n"
    parser.receive_data(head + b"a:" + b" " * 250_000 + invalid_byte + b"\r\n\r\n")
    started_s = time.process_time()
    with pytest.raises(h11.RemoteProtocolError):
        parser.next_event()
    # Quadratic time is minutes for this line, linear time about a millisecond.
    assert time.process_time() - started_s < 1.0


def test_trailers_use_the_same_pattern() -> None:
    parser = new_parser(h11.SERVER)
    parser.receive_data(
        b"POST /ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na:"
        + b" " * 250_000
        + b"\x00\r\n\r\n"
    )
    assert isinstance(parser.next_event(), h11.Request)
    started_s = time.process_time()
    with pytest.raises(h11.RemoteProtocolError):
        parser.next_event()
    assert time.process_time() - started_s < 1.0
