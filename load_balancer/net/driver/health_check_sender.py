"""Sends the health checks that the policy requests, and reports the result of each."""

from __future__ import annotations

from functools import partial

from load_balancer import messages
from load_balancer.net.driver.endpoint_directory import EndpointDirectory
from load_balancer.net.driver.event_queue import EventQueue
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.load_report import read_requests_in_flight
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse

HEALTH_CHECK_TIMEOUT_S = 0.4
HEALTH_CHECK_REQUEST = UpstreamRequest(
    b"GET", b"/status/load", [(b"host", b"localhost")], b"", is_idempotent=True, adds_deadline_header=False
)
# Only these outcomes count as failures: an endpoint that responds, with any data or by closing the
# connection, is alive, and a health check that was not sent is no evidence.
UNHEALTHY_OUTCOMES = (messages.Outcome.TIMEOUT, messages.Outcome.NO_CONNECTION, messages.Outcome.UNREACHABLE)


class HealthCheckSender:
    """Sends one health check for each action of the policy; has no state of its own."""

    def __init__(self, events: EventQueue, endpoints: EndpointDirectory, pool: ConnectionPool) -> None:
        """Create a sender of health checks.

        Args:
            events: Receives one `HealthCheckEnded` for each health check.
            endpoints: The addresses of the endpoints.
            pool: The connections to endpoints.
        """
        self._events = events
        self._endpoints = endpoints
        self._pool = pool

    def send(self, action: messages.CheckHealth) -> None:
        """Send a health check. It fails at once if the endpoint has left the list."""
        endpoint = self._endpoints.find(action.endpoint_id)
        if endpoint is None:
            self._events.put(messages.HealthCheckEnded(action.endpoint_id, is_alive=False))
            return
        on_outcome = partial(self._finish, action.endpoint_id)
        self._pool.start_attempt(endpoint, HEALTH_CHECK_REQUEST, HEALTH_CHECK_TIMEOUT_S, on_outcome)

    def _finish(self, endpoint_id: int, outcome: messages.Outcome, response: UpstreamResponse | None) -> None:
        is_alive = outcome not in UNHEALTHY_OUTCOMES
        requests_in_flight = None if response is None else read_requests_in_flight(response.body)
        self._events.put(messages.HealthCheckEnded(endpoint_id, is_alive, requests_in_flight))
