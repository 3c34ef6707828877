"""Requests without a final response, from their arrival until they get one or their client disconnects.

`OpenRequests` assigns each request an id and a deadline, and ensures that each gets one final response.
Client connections add and cancel requests through the driver; the actions of the policy and the outcomes of
attempts end them.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from load_balancer import messages
from load_balancer.net.driver.attempt_table import AttemptTable
from load_balancer.net.driver.client_messages import BAD_GATEWAY, ClientRequest, ClientResponse
from load_balancer.net.driver.event_queue import EventQueue
from load_balancer.net.driver.request_ids import RequestIds

log = logging.getLogger(__name__)

DEADLINE_MARGIN_US = 15_000  # before the client's deadline, for network delay and a late event loop


@dataclass(slots=True)
class OpenRequest:
    """A request that has no final response yet.

    Attributes:
        id: Its id in the driver and the policy.
        client_request: The request as received from the client.
        deadline_at_s: The event loop's time by which it must have its final response.
        deadline_timer: Ends the request at its deadline if the policy has not.
        attempt_count: The number of its attempts so far.
        has_used_stale_connection: Whether an attempt failed without a response on a connection that had been
            idle for a long time.
    """

    id: str
    client_request: ClientRequest
    deadline_at_s: float
    deadline_timer: asyncio.TimerHandle
    attempt_count: int = 0
    has_used_stale_connection: bool = False


class OpenRequests:
    """Table of the open requests.

    Attributes:
        attempts: The attempts in flight, including those of ended requests.
        ids: The clients' ids that must not be forwarded again now.
    """

    def __init__(self, events: EventQueue, ids: RequestIds) -> None:
        """Create an empty table. Requires a running event loop.

        Args:
            ids: The clients' ids that must not be forwarded again now.
            events: Receives a `Request` for each request, and a `ClientGone` if one is cancelled or fails.
        """
        self.attempts = AttemptTable()
        self.ids = ids
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._requests: dict[str, OpenRequest] = {}
        # The driver assigns its own request ids: a client may use an id twice, and a late outcome must be
        # matched to its own request.
        self._last_id = 0
        self._shutdown_deadline_at_s: float | None = None

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._requests)

    def __contains__(self, request_id: object) -> bool:
        """Return whether a request is open."""
        return request_id in self._requests

    def get(self, request_id: str) -> OpenRequest | None:
        """Return an open request, or None if it has ended."""
        return self._requests.get(request_id)

    def accept(self, client_request: ClientRequest) -> str:
        """Open a request and pass it to the policy, which may respond before this method returns.

        Returns:
            The request's id, for `cancel`.
        """
        self._last_id += 1
        request_id = str(self._last_id)
        deadline_at_s = self._deadline_at_s(client_request)
        # The policy's own timer fires slightly earlier. This one guards against an error that loses that
        # timer, after which the client would wait forever.
        deadline_timer = self._loop.call_at(deadline_at_s, self._end_overdue, request_id)
        self._requests[request_id] = OpenRequest(request_id, client_request, deadline_at_s, deadline_timer)
        self._events.put(
            messages.Request(
                request_id,
                client_request.class_name,
                client_request.time_remaining_us,
                client_request.tenant,
                client_request.is_retry,
            )
        )
        return request_id

    def _deadline_at_s(self, client_request: ClientRequest) -> float:
        usable_us = client_request.time_remaining_us - DEADLINE_MARGIN_US
        deadline_at_s = client_request.measured_at_s + usable_us / 1e6
        if self._shutdown_deadline_at_s is None:
            return deadline_at_s
        return min(deadline_at_s, self._shutdown_deadline_at_s)

    def respond(self, request_id: str, response: ClientResponse) -> None:
        """Send the final response of a request and cancel its unsent attempts, unless it has ended."""
        request = self._remove(request_id)
        if request is not None:
            request.client_request.respond(response)
            self.attempts.cancel_unsent(request_id, request.attempt_count)

    def fail(self, request_id: str) -> None:
        """Respond with 502 to a request that the policy cannot end, and remove it from the policy."""
        self.respond(request_id, BAD_GATEWAY)
        self._events.put(messages.ClientGone(request_id))

    def cancel(self, request_id: str) -> None:
        """End a request whose client has disconnected; do nothing if it has ended."""
        request = self._remove(request_id)
        if request is not None:
            self._events.put(messages.ClientGone(request_id))
            self.attempts.cancel_unsent(request_id, request.attempt_count)

    def limit_deadlines(self, within_s: float) -> None:
        """Limit the deadlines of requests accepted from now on to `within_s` seconds from now."""
        self._shutdown_deadline_at_s = self._loop.time() + within_s

    def time_remaining_us(self, request_id: str) -> int:
        """Return the time remaining of a request, microseconds: at least 1, and 1 if it has ended."""
        request = self._requests.get(request_id)
        if request is None:
            return 1
        return max(1, round((request.deadline_at_s - self._loop.time()) * 1e6))

    def _end_overdue(self, request_id: str) -> None:
        if request_id in self._requests:
            log.error("request %s reached its deadline without a policy decision; sending 502", request_id)
            self.fail(request_id)

    def _remove(self, request_id: str) -> OpenRequest | None:
        request = self._requests.pop(request_id, None)
        if request is not None:
            request.deadline_timer.cancel()
        return request
