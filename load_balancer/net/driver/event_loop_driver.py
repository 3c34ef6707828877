"""The one place where events reach the balancer and its actions are carried out, in order.

The driver knows which event and which action belongs to which connection. It owns the open requests, their
attempts and the timers. Clients' connections hand it requests, the upstream side
the outcomes of attempts, and the watch on discovery the endpoint list.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import replace
from typing import NamedTuple

from load_balancer import messages
from load_balancer.net.addresses import Address, EndpointAddress
from load_balancer.net.clock import Clock
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_watch import (
    POLLED_LIST_TIMEOUT_S,
    PUSHED_LIST_TIMEOUT_S,
    EndpointWatch,
)
from load_balancer.net.discovery.start_times import StartTimes
from load_balancer.net.driver.client_messages import ClientRequest, ClientResponse
from load_balancer.net.driver.endpoint_directory import EndpointDirectory
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.load_report import read_requests_in_flight
from load_balancer.net.upstream.upstream_attempt import UpstreamAttempt
from load_balancer.net.upstream.upstream_messages import UpstreamRequest, UpstreamResponse
from load_balancer.policy.balancer import Balancer

log = logging.getLogger(__name__)

LAG_MARGIN_US = 15_000  # kept back from a client's deadline for the way to it and a late event loop
HEALTH_CHECK_TIMEOUT_S = 0.4
HEALTH_CHECK_REQUEST = UpstreamRequest(
    b"GET", b"/status/load", [(b"host", b"localhost")], b"", is_idempotent=True, adds_deadline_header=False
)
BAD_GATEWAY = ClientResponse(502)
OUTCOMES_WITHOUT_RESPONSE = (messages.Outcome.RESET, messages.Outcome.TIMEOUT, messages.Outcome.CANCELLED)
UNHEALTHY_OUTCOMES = (messages.Outcome.TIMEOUT, messages.Outcome.NO_CONNECTION, messages.Outcome.UNREACHABLE)


class AttemptKey(NamedTuple):
    """One attempt of one request."""

    request: str
    number: int  # from 0, in the order of the request's attempts


class EventLoopDriver:
    """Feeds one balancer with events, and carries out what it decides."""

    def __init__(
        self,
        settings: messages.Settings,
        seed: int,
        pool: ConnectionPool,
        discovery: Address,
        clock: Clock | None = None,
    ) -> None:
        """Sends nothing before `start`. To be made in a running event loop.

        Args:
            settings: What the balancer goes by.
            seed: Of the balancer's random draws.
            pool: The connections to endpoints; closed with the driver.
            discovery: Where the endpoint list comes from.
            clock: The policy's clock; another one for tests alone.
        """
        self._loop = asyncio.get_running_loop()
        self._clock = clock or Clock()
        self._start_times = StartTimes(self._clock)
        self._pool = pool
        self._watch = EndpointWatch(
            discovery,
            self._on_list,
            self._on_watch_break,
            POLLED_LIST_TIMEOUT_S if settings.must_subscribe else PUSHED_LIST_TIMEOUT_S,
            on_heartbeat=self._start_times.confirm,
        )
        # Set once a watch has brought a list or ended, or where neither need be waited for.
        self.discovery_reported = asyncio.Event()
        self._balancer = Balancer(settings, seed)
        self._unsafe_classes = {
            c.name for c in settings.classes if c.idempotency is messages.Idempotency.UNSAFE
        }
        self._events: deque[messages.Event] = deque()
        self._is_processing = False
        # Requests get ids of our own: a client's id may come twice, and late outcomes must find theirs.
        self._last_request_number = 0
        self._requests: dict[str, ClientRequest] = {}  # those that have no response yet
        self._attempts: dict[AttemptKey, UpstreamAttempt] = {}
        self._endpoints = EndpointDirectory(pool)
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._shutdown_deadline_s: float | None = None  # by the event loop's clock
        # By the event loop's clock: the actions that are carried out now were decided no sooner.
        self._decided_at_s = self._loop.time()

    def start(self, known: EndpointListMessage | None) -> None:
        """Performs the first actions, as in the simulator: the start, then the list as last known."""
        self._perform_actions(self._balancer.start(self._clock.now_us()))
        if known is not None:
            self._watch.version = known.version
            self._apply_endpoint_list(self._with_start_times(known), messages.EndpointListKind.CACHED)
            if self._balancer.settings.must_subscribe:  # calls are judged by no other list before one came
                self.discovery_reported.set()
        if not self._balancer.settings.must_subscribe:
            self._watch.start()

    @property
    def ready(self) -> bool:
        """Whether there is an endpoint to send to."""
        return bool(self._endpoints.up_numbers)

    @property
    def idle(self) -> bool:
        """Whether no request is open."""
        return not self._requests

    def request(self, request: ClientRequest) -> str:
        """Accepts a request; it gets its response through `respond`, perhaps before this returns.

        Returns:
            The request's id, for `cancel_request`.
        """
        self._last_request_number += 1
        request_id = str(self._last_request_number)
        self._requests[request_id] = request
        request.deadline_at_s = request.measured_at_s + (request.time_left_us - LAG_MARGIN_US) / 1e6
        if self._shutdown_deadline_s is not None:
            request.deadline_at_s = min(request.deadline_at_s, self._shutdown_deadline_s)
        # The policy's own timer runs out a little earlier. This one is for a fault that loses it: the client
        # would wait for ever.
        request.overdue_timer = self._loop.call_at(
            request.deadline_at_s, self._end_overdue_request, request_id
        )
        self._enqueue_event(
            messages.Request(
                request_id, request.class_name, request.time_left_us, request.tenant, request.is_retry
            )
        )
        return request_id

    def cancel_request(self, request_id: str) -> None:
        """Ends a request whose client has left."""
        request = self._remove_request(request_id)
        if request is not None:
            self._enqueue_event(messages.ClientGone(request_id))
            self._withdraw_attempts(request_id, request)

    def move_discovery(self, address: Address) -> None:
        """Follows discovery to another address. All that was learned stays."""
        self._watch.move(address)

    def stop_within(self, seconds: float) -> None:
        """Lets no request that comes from now on take longer than this."""
        self._shutdown_deadline_s = self._loop.time() + seconds

    def give_up(self) -> None:
        """Ends all requests."""
        self._enqueue_event(messages.ShutdownStarted())

    def close(self) -> None:
        """Closes the watch and all connections to endpoints."""
        self._watch.close()
        self._pool.close()

    # Events

    def _enqueue_event(self, event: messages.Event) -> None:
        """Hands an event over. One that comes up while actions are carried out waits for their end."""
        self._events.append(event)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._events:
                self._process_event(self._events.popleft())
        finally:
            self._is_processing = False

    def _process_event(self, event: messages.Event) -> None:
        # The process may be held up between any two of these lines, and deadlines and windows must hold
        # then too: the limits of attempts count from before the policy's time, and the time left to a client
        # from after it.
        self._decided_at_s = self._loop.time()
        now_us = self._clock.now_us()
        if isinstance(event, messages.Request):
            event = replace(event, time_left_us=self._time_left_us(event.id))
        try:
            actions = self._balancer.handle(now_us, event)
        except Exception:
            # A fault over one request would otherwise end the whole proxy. Its client still gets a response,
            # at once where the event says whose it is, by `_end_overdue_request` otherwise.
            log.exception("handling %.200r failed", event)
            match event:
                case messages.Request(id=request_id) | messages.AttemptEnded(request=request_id):
                    self._respond(request_id, BAD_GATEWAY)
                    self._events.append(messages.ClientGone(request_id))
            return
        self._perform_actions(actions)

    def _time_left_us(self, request_id: str) -> int:
        """The time left at this moment to a request that has no response yet, microseconds; 1 at least."""
        request = self._requests.get(request_id)
        if request is None:
            return 1
        return max(1, round((request.deadline_at_s - self._loop.time()) * 1e6))

    def _end_overdue_request(self, request_id: str) -> None:
        if request_id in self._requests:
            log.error("the module has not ended a request in time")
            self._respond(request_id, BAD_GATEWAY)
            self._enqueue_event(messages.ClientGone(request_id))

    def _timer_fired(self, timer: int) -> None:
        self._timers.pop(timer, None)
        self._enqueue_event(messages.TimerFired(timer))

    def _on_watch_break(self) -> None:
        self.discovery_reported.set()
        self._enqueue_event(messages.EndpointListUpdate(messages.EndpointListKind.FAILED))

    # The endpoint list

    def _on_list(self, message: EndpointListMessage) -> None:
        self.discovery_reported.set()
        kind = (
            messages.EndpointListKind.COMPLETE if message.is_complete else messages.EndpointListKind.CHANGES
        )
        self._apply_endpoint_list(self._with_start_times(message), kind)
        self._start_times.confirm()

    def _with_start_times(self, message: EndpointListMessage) -> EndpointListMessage:
        return replace(message, endpoints=self._start_times.assign(message.endpoints))

    def _apply_endpoint_list(self, message: EndpointListMessage, kind: messages.EndpointListKind) -> None:
        out_of_service = self._endpoints.update(self._loop.time(), message)
        self._enqueue_event(messages.EndpointListUpdate(kind, message.version, message.endpoints))
        # Only now: attempts that this gives back are decided anew, when the policy knows the new list.
        for endpoint in out_of_service:
            self._pool.disable_endpoint(endpoint)

    # Actions

    def _perform_actions(self, actions: list[messages.Action]) -> None:
        for action in actions:
            try:
                self._perform_action(action)
            except Exception:  # the other actions are timers and responses of other requests
                log.exception("performing %.200r failed", action)

    def _perform_action(self, action: messages.Action) -> None:
        match action:
            case messages.StartAttempt():
                self._start_attempt(action)
            case messages.CancelAttempt():
                self._cancel_attempt(action)
            case messages.CheckHealth() | messages.CloseIdle():
                self._act_on_endpoint(action)
            case messages.SetTimer() | messages.CancelTimer():
                self._change_timer(action)
            case messages.Reject():
                after_us = action.retry_after_us
                advice = ((b"retry-after", b"%.3f" % (after_us / 1e6)),) if after_us > 0 else ()
                self._respond(action.request, ClientResponse(503, headers=advice))
            case messages.Fail():
                self._respond(action.request, BAD_GATEWAY)
            case messages.Subscribe():
                self._watch.start()
            case messages.Log():
                log.info("%s", action.text)

    def _change_timer(self, action: messages.SetTimer | messages.CancelTimer) -> None:
        if isinstance(action, messages.SetTimer):
            delay_s = max(0.0, (action.at_us - self._clock.now_us()) / 1e6)
            self._timers[action.timer] = self._loop.call_later(delay_s, self._timer_fired, action.timer)
            return
        handle = self._timers.pop(action.timer, None)
        if handle is not None:
            handle.cancel()

    def _act_on_endpoint(self, action: messages.CheckHealth | messages.CloseIdle) -> None:
        endpoint = self._endpoints.by_number.get(action.endpoint_id)
        if isinstance(action, messages.CheckHealth):
            self._check_health(action.endpoint_id, endpoint)
        elif endpoint is not None:
            self._pool.close_idle(endpoint)

    def _check_health(self, number: int, endpoint: EndpointAddress | None) -> None:
        if endpoint is None:  # no longer on the list
            self._enqueue_event(messages.HealthCheckEnded(number, False))
            return

        def done(outcome: messages.Outcome, reply: UpstreamResponse | None) -> None:
            in_flight = None if reply is None else read_requests_in_flight(reply.body)
            self._enqueue_event(
                messages.HealthCheckEnded(number, outcome not in UNHEALTHY_OUTCOMES, in_flight)
            )

        self._pool.start_attempt(endpoint, HEALTH_CHECK_REQUEST, HEALTH_CHECK_TIMEOUT_S, done)

    # Attempts

    def _start_attempt(self, send: messages.StartAttempt) -> None:
        request = self._requests.get(send.request)
        endpoint = self._endpoints.by_number.get(send.endpoint_id)
        sent_at_us = self._clock.now_us()
        if request is None or endpoint is None:
            log.error(
                "cannot send %s to %d: the request is over or the backend unknown",
                send.request,
                send.endpoint_id,
            )
        if request is None:
            return
        key = AttemptKey(send.request, request.attempt_count)
        request.attempt_count += 1

        def done(outcome: messages.Outcome, reply: UpstreamResponse | None) -> None:
            self._finish_attempt(key, send.endpoint_id, sent_at_us, outcome, reply)

        if endpoint is None:
            done(messages.Outcome.NOT_SENT, None)
            return
        if not request.is_client_connected():  # its end may not have been read yet, and nobody would wait
            self.cancel_request(send.request)
            done(messages.Outcome.NOT_SENT, None)
            return
        attempt = self._pool.start_attempt(
            endpoint,
            self._outgoing(send.request, request),
            send.timeout_us / 1e6,
            done,
            send.relocate_within_us / 1e6,
            self._decided_at_s,
        )
        if not attempt.is_over:
            self._attempts[key] = attempt

    def _outgoing(self, request_id: str, request: ClientRequest) -> UpstreamRequest:
        def is_wanted() -> bool:
            if not request.is_client_connected():
                self.cancel_request(request_id)
            return request_id in self._requests

        return UpstreamRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            # After one kept connection was stale, others that were idle over the same time may be too: they
            # would use up the last attempts.
            is_idempotent=request.class_name not in self._unsafe_classes
            and not request.stale_connection_failed,
            is_awaited=is_wanted,
        )

    def _cancel_attempt(self, action: messages.CancelAttempt) -> None:
        attempt = self._attempts.get(AttemptKey(action.request, action.attempt))
        if attempt is None:
            return
        if action.request in self._requests:
            attempt.cancel_unanswered()
        else:  # nobody waits for it, which says nothing of its endpoint
            attempt.cancel()

    def _finish_attempt(
        self,
        key: AttemptKey,
        endpoint_id: int,
        sent_at_us: int,
        outcome: messages.Outcome,
        reply: UpstreamResponse | None,
    ) -> None:
        attempt, request = self._attempts.pop(key, None), self._requests.get(key.request)
        if attempt is not None and request is not None:
            had_no_response = outcome in OUTCOMES_WITHOUT_RESPONSE
            request.stale_connection_failed |= attempt.is_on_long_idle_connection and had_no_response
        took_us = self._clock.now_us() - sent_at_us
        if outcome is messages.Outcome.OK and reply is not None:
            content_type = tuple((name, value) for name, value in reply.headers if name == b"content-type")
            self._respond(key.request, ClientResponse(200, reply.body, content_type))
        is_over = key.request not in self._requests
        self._enqueue_event(
            messages.AttemptEnded(key.request, key.number, endpoint_id, outcome, took_us, is_over)
        )

    # Responses

    def _respond(self, request_id: str, response: ClientResponse) -> None:
        request = self._remove_request(request_id)
        if request is not None:
            request.respond(response)
            self._withdraw_attempts(request_id, request)

    def _withdraw_attempts(self, request_id: str, request: ClientRequest) -> None:
        """Drops attempts that nobody waits for, unless they are completely written.

        An endpoint would work on them for nothing. One that is written can only be cancelled, which is for
        the policy to decide where the settings allow it.
        """
        for number in range(request.attempt_count):
            attempt = self._attempts.get(AttemptKey(request_id, number))
            if attempt is not None:
                attempt.cancel_if_unsent()

    def _remove_request(self, request_id: str) -> ClientRequest | None:
        request = self._requests.pop(request_id, None)
        if request is not None and request.overdue_timer is not None:
            request.overdue_timer.cancel()
        return request
