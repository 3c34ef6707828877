"""Starts the attempts that the policy decides on, and reports the outcome of each to the policy.

The dispatcher turns an action into an attempt of the connection pool. Before that, it checks again whether
the client still waits for the response. It passes the first successful response to the client. The policy
alone chooses the endpoint and decides whether a retry follows.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

from load_balancer import messages
from load_balancer.net.clock import Clock
from load_balancer.net.driver.attempt_table import AttemptKey
from load_balancer.net.driver.client_messages import ClientResponse
from load_balancer.net.driver.endpoint_directory import EndpointDirectory
from load_balancer.net.driver.event_queue import EventQueue
from load_balancer.net.driver.open_requests import OpenRequest, OpenRequests
from load_balancer.net.event_counters import EventKind
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse

log = logging.getLogger(__name__)

OUTCOMES_WITHOUT_RESPONSE = (messages.Outcome.RESET, messages.Outcome.TIMEOUT, messages.Outcome.CANCELLED)


@dataclass(frozen=True, slots=True)
class StartedAttempt:
    """Data of an attempt that the report of its outcome needs.

    Attributes:
        key: The key of the attempt.
        endpoint_id: The endpoint that the attempt was started on.
        started_at_us: The start of the attempt, by the policy's clock.
        client_request_id: The id that the client gave the request.
        is_unsafe: Whether the request must not run twice.
    """

    key: AttemptKey
    endpoint_id: int
    started_at_us: int
    client_request_id: bytes
    is_unsafe: bool


class AttemptDispatcher:
    """Carries out the policy's actions on attempts."""

    def __init__(
        self,
        requests: OpenRequests,
        endpoints: EndpointDirectory,
        events: EventQueue,
        pool: ConnectionPool,
        clock: Clock,
        classes: Iterable[messages.RequestClass],
    ) -> None:
        """Create a dispatcher without attempts in flight.

        Args:
            requests: The open requests and the attempts in flight.
            endpoints: The addresses of the endpoints.
            events: Receives an `AttemptEnded` for each attempt.
            pool: The connections to endpoints.
            clock: The policy's clock.
            classes: The request classes of the settings.
        """
        self._requests = requests
        self._attempts = requests.attempts
        self._endpoints = endpoints
        self._events = events
        self._pool = pool
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._unsafe_class_names = {
            request_class.name
            for request_class in classes
            if request_class.idempotency is messages.Idempotency.UNSAFE
        }

    def start(self, action: messages.StartAttempt, decided_at_s: float) -> None:
        """Start an attempt. It ends with one `AttemptEnded`, immediately if it cannot be sent.

        If the request is not open, nothing is started and the error is logged.

        Args:
            action: The policy's decision.
            decided_at_s: The event loop's time of the decision, from which the attempt's time limits count.
        """
        request = self._requests.get(action.request_id)
        endpoint = self._endpoints.find(action.endpoint_id)
        started_at_us = self._clock.now_us()
        if request is None:
            _log_unknown("request", action)
            return
        if endpoint is None:
            _log_unknown("endpoint", action)
        key = AttemptKey(request.id, request.attempt_count)
        if request.attempt_count > 0:
            self._pool.memory.shared.counters.count(EventKind.RETRY)
        request.attempt_count += 1
        client_request_id = request.client_request.request_id
        is_unsafe = request.client_request.class_name in self._unsafe_class_names
        started = StartedAttempt(key, action.endpoint_id, started_at_us, client_request_id, is_unsafe)
        self._requests.ids.attempt_started(client_request_id)
        on_outcome = partial(self._finish, started)
        # The client may have disconnected although the end of its stream has not been read yet.
        if endpoint is None or not self._is_client_waiting(request):
            on_outcome(messages.Outcome.NOT_SENT, None)
            return
        attempt = self._pool.start_attempt(
            endpoint,
            self._to_upstream_request(request),
            action.timeout_us / 1e6,
            on_outcome,
            action.failover_within_us / 1e6,
            decided_at_s,
        )
        if not attempt.is_over:
            self._attempts.in_flight[key] = attempt

    def cancel(self, action: messages.CancelAttempt) -> None:
        """Cancel an attempt; do nothing if it has ended."""
        attempt = self._attempts.in_flight.get(AttemptKey(action.request_id, action.attempt_number))
        if attempt is None:
            return
        if action.request_id in self._requests:
            attempt.cancel_without_response()
        else:  # its request has ended, which is no evidence about the endpoint
            attempt.cancel()

    def _is_client_waiting(self, request: OpenRequest) -> bool:
        """Return whether the client still waits; cancel the request if the client has disconnected."""
        if not request.client_request.is_client_connected():
            self._requests.cancel(request.id)
        return request.id in self._requests

    def _to_upstream_request(self, request: OpenRequest) -> UpstreamRequest:
        client_request = request.client_request
        is_idempotent = client_request.class_name not in self._unsafe_class_names
        return UpstreamRequest(
            client_request.method,
            client_request.target,
            client_request.headers,
            client_request.body,
            # A request that is not idempotent gets a new connection. If one idle connection was stale, others
            # that were idle over the same time may be stale too and would use up the remaining attempts.
            is_idempotent=is_idempotent and not request.has_used_stale_connection,
            is_client_waiting=partial(self._is_client_waiting, request),
        )

    def _finish(
        self, started: StartedAttempt, outcome: messages.Outcome, response: UpstreamResponse | None
    ) -> None:
        """Pass a successful response to the client, and report the outcome to the policy."""
        key = started.key
        self._remove_in_flight(key, outcome)
        self._requests.ids.attempt_ended(
            self._loop.time(), started.client_request_id, outcome, is_unsafe=started.is_unsafe
        )
        duration_us = self._clock.now_us() - started.started_at_us
        if outcome is messages.Outcome.OK and response is not None:
            self._requests.respond(key.request_id, _to_client_response(response))
        is_over = key.request_id not in self._requests
        self._events.put(
            messages.AttemptEnded(
                key.request_id, key.number, started.endpoint_id, outcome, duration_us, is_over
            )
        )

    def _remove_in_flight(self, key: AttemptKey, outcome: messages.Outcome) -> None:
        """Remove an ended attempt, and record on its request whether an idle connection was stale."""
        attempt = self._attempts.in_flight.pop(key, None)
        request = self._requests.get(key.request_id)
        if attempt is not None and request is not None:
            had_no_response = outcome in OUTCOMES_WITHOUT_RESPONSE
            request.has_used_stale_connection |= attempt.is_on_long_idle_connection and had_no_response


def _log_unknown(missing: str, action: messages.StartAttempt) -> None:
    log.error(
        "cannot start attempt of request %s on endpoint %d: unknown %s",
        action.request_id,
        action.endpoint_id,
        missing,
    )


def _to_client_response(response: UpstreamResponse) -> ClientResponse:
    content_type = tuple((name, value) for name, value in response.headers if name == b"content-type")
    return ClientResponse(200, response.body, content_type)
