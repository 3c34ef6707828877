"""The codec of an exchange without I/O: how much of the received bytes one step handles."""

from __future__ import annotations

import pytest

from load_balancer.net.upstream.http_exchange import MAX_EVENTS_PER_STEP, HttpExchange
from load_balancer.net.upstream.upstream_messages import UpstreamResponse
from tests.support.attempts import KEYED_REQUEST
from tests.support.http_messages import http_response

INTERIM = b"HTTP/1.1 103 x\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def exchange() -> HttpExchange:
    """An exchange whose request has been written."""
    written = HttpExchange()
    written.begin()
    written.encode_request(KEYED_REQUEST, KEYED_REQUEST.headers)
    written.request_written()
    return written


def steps_to_response(exchange: HttpExchange) -> tuple[int, UpstreamResponse]:
    """Return the number of steps to the response, and the response."""
    step_count = 1
    while (response := exchange.process()) is None:
        assert exchange.has_unprocessed_bytes
        step_count += 1
    assert not exchange.has_unprocessed_bytes
    return step_count, response


def test_usual_response_is_processed_in_one_step(exchange: HttpExchange) -> None:
    exchange.receive(http_response(200, b"ok"))
    step_count, response = steps_to_response(exchange)
    assert (step_count, response.body) == (1, b"ok")


@pytest.mark.parametrize("count", [1, 2, 15])
def test_each_interim_response_takes_a_step(exchange: HttpExchange, count: int) -> None:
    """A head is parsed in one go, and may have thousands of lines."""
    exchange.receive(INTERIM * count + http_response(200, b"ok"))
    step_count, response = steps_to_response(exchange)
    assert (step_count, response.body) == (count + 1, b"ok")


def test_chunks_are_processed_in_steps_of_a_limited_number(exchange: HttpExchange) -> None:
    exchange.receive(CHUNKED_HEAD + b"1\r\na\r\n" * 1_000 + b"0\r\n\r\n")
    step_count, response = steps_to_response(exchange)
    assert step_count >= 1_000 / MAX_EVENTS_PER_STEP
    assert response.body == b"a" * 1_000
