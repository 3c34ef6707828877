"""Each request gets one final response although the policy raises an exception or returns no action."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer import messages
from tests.support.endpoint_lists import endpoint_entry
from tests.support.http_messages import http_request, http_response, response_status
from tests.support.loopback_proxy import LoopbackProxy, running_proxy
from tests.support.stand_in_server import StandInEndpoint, StandInServer


async def test_policy_exception_is_logged_and_its_request_gets_502(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async with (
        StandInEndpoint(http_response(200)) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):

        def raise_fault(now: int, event: messages.Event) -> list[messages.Action]:
            raise ZeroDivisionError("fault in the policy")

        with monkeypatch.context() as patch:
            patch.setattr(proxy.driver.balancer, "handle", raise_fault)
            assert response_status(await proxy.send_request(http_request())) == 502
        assert "ZeroDivisionError: fault in the policy" in caplog.text
        assert response_status(await proxy.send_request(http_request())) == 200


async def test_request_gets_502_when_the_policy_raises_on_outcomes_and_timers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with (
        StandInServer(silent) as endpoint,
        running_proxy(endpoint_entry("s-1", endpoint.port)) as proxy,
    ):
        handle = proxy.driver.balancer.handle

        def handle_with_fault(now: int, event: messages.Event) -> list[messages.Action]:
            if isinstance(event, messages.TimerFired | messages.AttemptEnded):
                raise RuntimeError("fault in the policy")
            return handle(now, event)

        monkeypatch.setattr(proxy.driver.balancer, "handle", handle_with_fault)
        assert response_status(await proxy.send_request(http_request(Req_Deadline="0.6"))) == 502
        assert proxy.driver.is_idle
        assert not proxy.driver.balancer.open_requests.by_id


async def test_failed_action_does_not_prevent_the_next_actions(
    proxy: LoopbackProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        proxy.driver.balancer,
        "handle",
        lambda now, event: [messages.StartAttempt("x", 1, 1), messages.Reject(event.id)],
    )
    monkeypatch.setattr(proxy.driver.attempts, "start", None)  # calling it raises an exception
    assert response_status(await proxy.send_request(http_request())) == 503


async def test_request_gets_502_when_the_policy_never_decides(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_proxy(endpoint_entry("s-1", 9)) as proxy:
        monkeypatch.setattr(proxy.driver.balancer, "handle", lambda now, event: [])
        assert response_status(await proxy.send_request(http_request(Req_Deadline="0.1"))) == 502
        assert proxy.driver.is_idle
