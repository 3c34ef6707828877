"""Truncated and invalid responses: how the attempt ends, and what the client gets."""

from __future__ import annotations

import pytest

from load_balancer.messages import Outcome
from load_balancer.net.upstream import idle_connections
from tests.net.upstream.conftest import PoolFactory
from tests.support.attempts import INVALID_RESPONSES, REQUEST_CLASS_NAMES, RecordedAttempt
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import HttpMessage, http_request, http_response
from tests.support.loopback_proxy import running_proxy
from tests.support.raw_endpoint import EndpointConnection, RawEndpoint, respond_with

CHUNKED = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n3\r\nall\r\n0\r\n\r\n"


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("ending", ["end", "reset"])
@pytest.mark.parametrize(
    "complete_response",
    [http_response(200, b"ok"), CHUNKED, b"HTTP/1.1 103 x\r\n\r\n" + http_response(200, b"ok")],
)
async def test_truncated_response_ends_the_attempt_as_reset(
    new_pool: PoolFactory,
    complete_response: bytes,
    ending: str,
    is_reused: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_S", -1.0)

    responses: list[tuple[bytes | str, ...]] = []

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        await respond_with(*responses.pop(0))(connection, request)

    async with RawEndpoint(handle) as endpoint:
        for length in range(len(complete_response) + 1):
            responses[:] = [
                *[(http_response(200, b"first"),)] * is_reused,
                (complete_response[:length], ending),
            ]
            pool, connections_before = new_pool(), len(endpoint.connections)
            for _ in range(is_reused):
                assert (await RecordedAttempt(pool, endpoint.endpoint).result())[0] is Outcome.OK
            result = await RecordedAttempt(pool, endpoint.endpoint).result()
            if length < len(complete_response):
                assert result == (Outcome.RESET, None), length
            else:
                assert result[0] is Outcome.OK
            assert len(endpoint.connections) == connections_before + 1
            pool.close()


async def status_and_request_ids(kind: str, *first_steps: bytes | str) -> tuple[int, list[str]]:
    """Return the status of the client's response, and the ids of the requests that reached the endpoints.

    The first of these requests is handled by `first_steps`, as `respond_with` defines them; the others get a
    valid response.
    """
    remaining_steps = [first_steps]

    async def handle(connection: EndpointConnection, request: HttpMessage) -> None:
        await respond_with(*(remaining_steps.pop() if remaining_steps else (http_response(200, b"served"),)))(
            connection, request
        )

    async with (
        RawEndpoint(handle) as first_endpoint,
        RawEndpoint(handle) as second_endpoint,
        running_proxy(
            endpoint_entry("s-1", first_endpoint.port), endpoint_entry("s-2", second_endpoint.port)
        ) as proxy,
    ):
        line, _, body = await proxy.send_request(http_request(kind, request_id="r1"))
        status = int(line.split()[1])
        assert (status == 200) is (body == b"served")
        return status, first_endpoint.request_ids + second_endpoint.request_ids


def expected_if_it_may_have_run(kind: str) -> tuple[int, list[str]]:
    """Return the expected status and request ids if the first attempt may have run."""
    return (502, ["r1"]) if kind == "pay" else (200, ["r1", "r1"])


@pytest.mark.parametrize("kind", REQUEST_CLASS_NAMES)
@pytest.mark.parametrize("ending", ["end", "reset"])
async def test_request_is_retried_after_a_truncated_response_only_if_idempotent(
    kind: str, ending: str
) -> None:
    complete_response = http_response(200, b"served")
    for length in range(len(complete_response)):
        assert await status_and_request_ids(
            kind, complete_response[:length], ending
        ) == expected_if_it_may_have_run(kind), length


@pytest.mark.parametrize("kind", REQUEST_CLASS_NAMES)
async def test_request_is_retried_after_an_invalid_response_only_if_idempotent(kind: str) -> None:
    for response in INVALID_RESPONSES:
        assert await status_and_request_ids(kind, response) == expected_if_it_may_have_run(kind), response


@pytest.mark.parametrize("kind", REQUEST_CLASS_NAMES)
@pytest.mark.parametrize("status", [500, 503, 504])
@pytest.mark.parametrize("declined", ["1", "0", ""])
async def test_request_is_retried_after_an_error_if_declined_or_idempotent(
    kind: str, status: int, declined: str
) -> None:
    is_declined = declined == "1" and status != 500
    expected = (200, ["r1", "r1"]) if is_declined else expected_if_it_may_have_run(kind)
    response = http_response(status, Srv_Declined=declined) if declined else http_response(status)
    assert await status_and_request_ids(kind, response) == expected
