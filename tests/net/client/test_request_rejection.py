"""Rejected requests: the status of each response, and no request is forwarded by mistake."""

from __future__ import annotations

import pytest

from load_balancer import messages
from tests.net.client.delayed_endpoint import DelayedEndpoint
from tests.support.balancer_harness import balancer_settings
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, read_http_message, response_status
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInEndpoint, StandInServer
from tests.support.stepped_clock import wait_until


@pytest.mark.parametrize(
    "sent",
    [
        b"nonsense\r\n\r\n",
        b"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        b"POST /api HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        http_request(request_id=""),
        http_request(class_name=""),
        http_request(Req_Deadline="soon"),
        http_request(Req_Deadline="nan"),
        http_request(Req_Deadline="inf"),
        http_request(Req_Deadline="1_0"),
        http_request(Req_Deadline="-1"),
        http_request(Req_Deadline=""),
        http_request("unheard-of"),
        http_request("mark", Idempotency_Key=""),
        http_request(req_id="other"),
        http_request(req_kind="pay"),
        http_request("mark", Content_Length="-5"),
        http_request(body=b"with GET"),
        http_request("mark", Content_Length="0", Transfer_Encoding="chunked") + b"0\r\n\r\n",
    ],
)
async def test_invalid_request_gets_400_and_is_not_forwarded(sent: bytes) -> None:
    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        assert response_status(await proxy.send_request(sent)) == 400
        assert endpoint.received == []
        assert response_status(await proxy.send_request(http_request())) == 200


@pytest.mark.parametrize("method", [b"HEAD", b"POST", b"CONNECT", b"DELETE"])
async def test_method_that_does_not_match_the_request_class_gets_405(method: bytes) -> None:
    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        assert response_status(await proxy.send_request(http_request().replace(b"GET", method, 1))) == 405
        assert endpoint.received == []


async def test_body_over_the_limit_gets_413() -> None:
    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        assert response_status(await proxy.send_request(http_request("mark", body=b"x" * 65536))) == 200
        assert response_status(await proxy.send_request(http_request("mark", body=b"x" * 300_000))) == 413
        assert len(endpoint.received) == 1


async def test_request_with_the_id_of_an_open_request_gets_409() -> None:
    delayed = DelayedEndpoint()
    async with (
        StandInServer(delayed.handle) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        reader, writer = await proxy.connect()
        writer.write(http_request(request_id="same"))
        await wait_until(lambda: bool(delayed.request_ids))
        assert response_status(await proxy.send_request(http_request(request_id="same"))) == 409
        delayed.may_respond.set()
        assert response_status(await read_http_message(reader)) == 200
        # The id is free once its request has ended.
        assert response_status(await proxy.send_request(http_request(request_id="same"))) == 200
        writer.close()
        assert len(delayed.request_ids) == 2
        assert not proxy.clients.open_request_ids


async def test_request_smuggled_in_a_body_is_not_forwarded(
    endpoint: StandInEndpoint, proxy: LoopbackProxy
) -> None:
    hidden = http_request(request_id="hidden")
    outer = http_request("mark", Content_Length=str(5 + len(hidden)), Transfer_Encoding="chunked")
    reader, writer = await proxy.connect()
    writer.write(outer + b"0\r\n\r\n" + hidden)
    start_line, headers, _ = await read_http_message(reader)
    assert (start_line.split()[1], headers["connection"]) == ("400", "close")
    assert await reader.read() == b""
    writer.close()
    assert endpoint.received == []


async def test_content_length_over_the_limit_is_rejected_before_the_body() -> None:
    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        for length in ("60000000", "9" * 18, "9" * 5000):
            assert response_status(await proxy.send_request(http_request("mark", Content_Length=length))) in (
                400,
                413,
                431,
            )
        assert endpoint.received == []


async def test_rejection_carries_retry_after_only_if_configured() -> None:
    limits = messages.Limits(max_attempts=1, cancel=True, retry_after_us=2_000_000)
    async with (
        StandInEndpoint(http_response(503, Srv_Declined="1")) as endpoint,
        running_proxy(
            endpoint_entry("s-1", endpoint.port), settings=balancer_settings(limits=limits)
        ) as proxy,
    ):
        response = await proxy.send_request(http_request("pay"))
        # The request never ran, so even an unsafe one gets a 503.
        assert response_status(response) == 503
        assert 0.0 < float(response[1]["retry-after"]) <= 2.0
    async with (
        StandInEndpoint(http_response(503, Srv_Declined="1")) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        assert "retry-after" not in (await proxy.send_request(http_request(Req_Deadline="0.2")))[1]


async def test_request_that_may_have_run_gets_502() -> None:
    for endpoint_response in (None, http_response(500), http_response(503)):
        async with (
            StandInEndpoint(endpoint_response) as endpoint,
            running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
        ):
            assert response_status(await proxy.send_request(http_request("pay"))) == 502
            assert len(endpoint.received) == 1


async def test_endpoint_400_is_not_retried_nor_counted_as_a_failure() -> None:
    """The request is invalid at every endpoint: retries would count against all of them."""

    async with (
        StandInEndpoint(http_response(400)) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        # Not 503, as sending the request again would not help.
        assert response_status(await proxy.send_request(http_request())) == 502
        assert len(endpoint.received) == 1
        [endpoint_state] = proxy.driver.balancer.endpoints.states.values()
        assert endpoint_state.failure_penalty_ends_us == []
        assert endpoint_state.detector.mean == 1.0
