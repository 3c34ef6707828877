"""Server side of the HTTP/1.1 protocol without I/O. The tests pass in the received bytes."""

from __future__ import annotations

import h11
import pytest

from load_balancer.net.client.http_server_protocol import HttpServerProtocol
from load_balancer.net.client.receive_buffer import BufferedTotal
from load_balancer.net.driver.client_messages import ClientResponse
from tests.support.http_messages import http_request


@pytest.fixture
def protocol() -> HttpServerProtocol:
    return HttpServerProtocol(BufferedTotal(), 0.0)


def read_request(protocol: HttpServerProtocol) -> tuple[bytes, bytes] | None:
    """Return the target and the body of the next request, or None if it is incomplete."""
    target, body = b"", b""
    while True:
        match protocol.next_event():
            case h11.Request() as head:
                target = head.target
            case h11.Data() as data:
                body += data.data
            case h11.EndOfMessage():
                return target, body
            case h11.NEED_DATA if protocol.feed():
                pass
            case _:
                return None


@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_request_is_parsed_however_its_bytes_are_split(protocol: HttpServerProtocol, size: int) -> None:
    sent = http_request("mark", path="/a", body=b"hello")
    assert protocol.is_between_requests
    for start in range(0, len(sent), size):
        protocol.receive(1.0, sent[start : start + size])
        assert not protocol.is_between_requests
    assert read_request(protocol) == (b"/a", b"hello")
    assert not protocol.has_unparsed_bytes


def test_received_time_of_each_request_is_that_of_its_last_bytes(protocol: HttpServerProtocol) -> None:
    for at_s, path in ((1.0, "/a"), (2.0, "/b")):
        protocol.receive(at_s, http_request(path=path))
    assert read_request(protocol) == (b"/a", b"")
    assert protocol.last_parsed_received_at_s == 1.0
    protocol.final_response(ClientResponse(200), is_last=False)
    assert protocol.start_next_request()
    assert read_request(protocol) == (b"/b", b"")
    assert protocol.last_parsed_received_at_s == 2.0


@pytest.mark.parametrize("lines", [b"\r\n", b"\n", b"\r\n\r\n\n"])
def test_empty_lines_between_requests_are_ignored(protocol: HttpServerProtocol, lines: bytes) -> None:
    assert not protocol.receive(1.0, lines)
    assert protocol.is_between_requests
    protocol.receive(1.0, lines + http_request(path="/a") + lines + http_request(path="/b") + lines)
    for path in (b"/a", b"/b"):
        assert read_request(protocol) == (path, b"")
        protocol.final_response(ClientResponse(200), is_last=False)
        assert protocol.start_next_request()
    assert read_request(protocol) is None
    assert protocol.is_between_requests


def test_bytes_that_are_not_http_raise_a_protocol_error(protocol: HttpServerProtocol) -> None:
    protocol.receive(1.0, b"\x16\x03\x01\x02\r\n\r\n")
    with pytest.raises(h11.RemoteProtocolError):
        read_request(protocol)
    assert protocol.can_respond


def test_expect_100_continue_gets_one_interim_response(protocol: HttpServerProtocol) -> None:
    head = http_request("mark", Expect="100-continue", Content_Length="2")
    protocol.receive(1.0, head)
    assert read_request(protocol) is None
    assert protocol.interim_response().startswith(b"HTTP/1.1 100 ")
    assert protocol.interim_response() == b""


@pytest.mark.parametrize("is_last", [True, False])
def test_final_response_has_its_length_and_close_if_it_is_the_last(
    protocol: HttpServerProtocol, is_last: bool
) -> None:
    protocol.receive(1.0, http_request())
    read_request(protocol)
    sent = protocol.final_response(ClientResponse(503, b"no", ((b"retry-after", b"1"),)), is_last=is_last)
    head, _, body = sent.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 1" in head.lower()
    assert b"content-length: 2" in head.lower()
    assert (b"connection: close" in head.lower()) is is_last
    assert body == b"no"
    assert protocol.can_respond is False
    assert protocol.start_next_request() is not is_last
