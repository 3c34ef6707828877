"""Routing: the endpoints that an attempt of a request may be sent to, and the choice among them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from load_balancer import messages
from load_balancer.policy.endpoint_list import EndpointList
from load_balancer.policy.endpoint_state import EndpointState
from load_balancer.policy.request_state import RequestState
from load_balancer.policy.selection import Selector
from load_balancer.policy.slow_start import SlowStart

# The longest stall of the process on a busy machine, by the rules of the platform. An attempt may be written
# this long after the last check that it still may be sent. A keyed retry that is written after the
# deduplication window may run twice.
MAX_PROCESS_STALL_US = 150_000
MAX_RETRY_CANDIDATES = 64  # considered for a retry that may go outside of the subset


@dataclass(frozen=True, slots=True)
class EndpointChoice:
    """The endpoint that was chosen for an attempt, with the candidates it was compared with."""

    endpoint: EndpointState
    draws: tuple[messages.Draw, ...]
    has_untried_alternative: bool  # another endpoint is available that the request was not sent to


class Router:
    """Chooses endpoints for attempts, subject to idempotency, concurrency limits, health and slow start."""

    def __init__(
        self,
        settings: messages.Settings,
        endpoints: EndpointList,
        slow_start: SlowStart,
        selector: Selector,
        margin_us: int,
    ) -> None:
        """Store the components.

        Args:
            settings: The settings of the balancer.
            endpoints: The endpoint list with the subset.
            slow_start: Limits attempts to endpoints that are warming up.
            selector: Selects one of several endpoints.
            margin_us: The time by which the end of the deduplication window is brought forward.
        """
        self._settings = settings
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._selector = selector
        self._margin_us = margin_us

    def eligible_endpoints(self, now_us: int, request: RequestState) -> Iterable[EndpointState]:
        """Return the endpoints where the request cannot take effect twice, by rule 2 of the wire protocol."""
        settings = request.request_class.settings
        possibly_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        if not possibly_run or settings.idempotency is messages.Idempotency.SAFE:
            return self._endpoints.subset
        if settings.idempotency is messages.Idempotency.UNSAFE:
            return ()
        # The retry is written once a connection is established, and the deduplication window must not have
        # ended by then.
        latest_write_at_us = (
            now_us + self._margin_us + self._settings.limits.connect_timeout_us + MAX_PROCESS_STALL_US
        )
        if latest_write_at_us >= possibly_run[0].sent_at_us + settings.deduplication_window_us:
            return ()
        if settings.key_scope is messages.KeyScope.ALL:
            return self._endpoints.subset
        return self._endpoints_sharing_keys(possibly_run[0].endpoint.endpoint, settings.key_scope)

    def _endpoints_sharing_keys(
        self, first: messages.Endpoint, key_scope: messages.KeyScope
    ) -> Iterable[EndpointState]:
        """Return the endpoints that drop duplicates of what `first` has run, or a sample of them."""
        if key_scope is messages.KeyScope.ZONE:
            return self._sample_candidates(
                [state for state in self._endpoints if state.endpoint.zone == first.zone]
            )
        cell = (first.zone, first.cell)
        return self._sample_candidates(
            [state for state in self._endpoints if (state.endpoint.zone, state.endpoint.cell) == cell]
        )

    def _sample_candidates(self, candidates: list[EndpointState]) -> list[EndpointState]:
        """Return all candidates if they are few, else those of the subset and a random sample of the others.

        Checking each endpoint is expensive in a large fleet. The sample is random, as otherwise all balancers
        would send their retries to the same endpoints.
        """
        if len(candidates) <= MAX_RETRY_CANDIDATES:
            return candidates
        # The status is compared directly: for thousands of endpoints, calls of `is_up` would be most of the
        # cost.
        up = [state for state in candidates if state.endpoint.status is messages.EndpointStatus.UP]
        subset = set(self._endpoints.subset)
        in_subset = [state for state in up if state in subset]
        others = [state for state in up if state not in subset]
        count = min(len(others), max(0, MAX_RETRY_CANDIDATES - len(in_subset)))
        return in_subset + self._selector.random.sample(others, count)

    def is_available(self, now_us: int, state: EndpointState, *, is_retry: bool) -> bool:
        """Return whether the endpoint may be sent an attempt now."""
        if not state.is_up or state.health.is_silent:
            return False
        if state.load(now_us) >= state.concurrency_limit or now_us < state.paused_until_us:
            return False
        return self._slow_start.admits(now_us, state, is_retry=is_retry)

    def has_available_alternative(self, now_us: int, request: RequestState, current: EndpointState) -> bool:
        """Return whether a retry of the request could be sent to an endpoint other than `current` now."""
        return any(
            state is not current and self.is_available(now_us, state, is_retry=True)
            for state in self.eligible_endpoints(now_us, request)
        )

    def choose(self, now_us: int, request: RequestState) -> EndpointChoice | None:
        """Return the endpoint for the next attempt of the request, or None if no endpoint is available."""
        candidates = [
            state
            for state in self.eligible_endpoints(now_us, request)
            if self.is_available(now_us, state, is_retry=request.was_sent)
        ]
        if not candidates:
            return None
        untried = [
            state
            for state in candidates
            if all(attempt.endpoint is not state for attempt in request.attempts)
        ]
        # An endpoint may fail for one class only, while its responses to other classes keep its share high.
        name = request.request_class.settings.name
        healthy = [state for state in untried if not state.is_avoided(now_us, name)]
        selection = self._selector.pick(now_us, healthy or untried or candidates)
        has_alternative = any(state is not selection.endpoint for state in untried)
        return EndpointChoice(selection.endpoint, selection.draws, has_untried_alternative=has_alternative)
