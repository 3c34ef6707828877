"""Routing: to which endpoints an attempt of a request may go, and which of them gets it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from load_balancer import messages
from load_balancer.policy.endpoint_list import EndpointList
from load_balancer.policy.endpoint_state import EndpointState
from load_balancer.policy.request_state import RequestState
from load_balancer.policy.selection import Selector
from load_balancer.policy.slow_start import SlowStart

# A busy machine stalls a proxy's process for so long, by the platform's terms: an attempt may be written this
# long after the last check that it still may be. A keyed retry past what endpoints remember may run twice.
MAX_PROCESS_STALL_US = 150_000
MAX_RETRY_CANDIDATES = 64  # endpoints that a retry looks at, where it may go to more than the subset


@dataclass(frozen=True, slots=True)
class EndpointChoice:
    """An endpoint for an attempt, and why."""

    endpoint: EndpointState
    draws: tuple[messages.Draw, ...]
    has_untried_alternative: bool  # another endpoint is open that the request has not been sent to


class Router:
    """Chooses among the endpoints that the class of a request, its attempts and their limits allow."""

    def __init__(
        self,
        settings: messages.Settings,
        endpoints: EndpointList,
        slow_start: SlowStart,
        selector: Selector,
        margin_us: int,
    ) -> None:
        """Take the parts that decide; `margin_us` is kept back from the deduplication window."""
        self._settings = settings
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._selector = selector
        self._margin_us = margin_us

    def eligible_endpoints(self, now_us: int, request: RequestState) -> Iterable[EndpointState]:
        """Return the endpoints where the request can't have an effect twice, by rule 2 of the wire."""
        settings = request.request_class.settings
        possibly_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        if not possibly_run or settings.idempotency is messages.Idempotency.SAFE:
            return self._endpoints.subset
        if settings.idempotency is messages.Idempotency.UNSAFE:
            return ()
        # The retry is written once a connection stands, and must still fall into the deduplication window.
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
        """Return the endpoints that drop repeats of what this one has run."""
        if key_scope is messages.KeyScope.ZONE:
            return self._sample_candidates(
                [state for state in self._endpoints if state.endpoint.zone == first.zone]
            )
        cell = (first.zone, first.cell)
        return self._sample_candidates(
            [state for state in self._endpoints if (state.endpoint.zone, state.endpoint.cell) == cell]
        )

    def _sample_candidates(self, candidates: list[EndpointState]) -> list[EndpointState]:
        """Return all of a few endpoints; of many those of the subset and a random sample of the others.

        Looking at each endpoint has a cost. Without chance all balancers would retry at the same ones.
        """
        if len(candidates) <= MAX_RETRY_CANDIDATES:
            return candidates
        # Over thousands of endpoints a call of `is_up` for each would be most of the cost.
        up = [state for state in candidates if state.endpoint.status is messages.EndpointStatus.UP]
        subset = set(self._endpoints.subset)
        in_subset = [state for state in up if state in subset]
        others = [state for state in up if state not in subset]
        count = min(len(others), max(0, MAX_RETRY_CANDIDATES - len(in_subset)))
        return in_subset + self._selector.random.sample(others, count)

    def is_available(self, now_us: int, state: EndpointState, *, is_retry: bool) -> bool:
        """Tell whether this endpoint may be sent an attempt now."""
        if not state.is_up or state.health.is_silent:
            return False
        if state.load(now_us) >= state.concurrency_limit or now_us < state.paused_until_us:
            return False
        return self._slow_start.admits(now_us, state, is_retry=is_retry)

    def has_available_alternative(self, now_us: int, request: RequestState, current: EndpointState) -> bool:
        """Tell whether a retry of the request could go to another endpoint now."""
        return any(
            state is not current and self.is_available(now_us, state, is_retry=True)
            for state in self.eligible_endpoints(now_us, request)
        )

    def choose(self, now_us: int, request: RequestState) -> EndpointChoice | None:
        """Return the endpoint for the request's next attempt; none where no endpoint is open."""
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
        # An endpoint may fail one class alone, while its answers to others keep its share up.
        name = request.request_class.settings.name
        healthy = [state for state in untried if not state.is_avoided(now_us, name)]
        selection = self._selector.pick(now_us, healthy or untried or candidates)
        has_alternative = any(state is not selection.endpoint for state in untried)
        return EndpointChoice(selection.endpoint, selection.draws, has_untried_alternative=has_alternative)
