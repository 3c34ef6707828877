"""The start, cancellation and end of attempts."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.attempt import Attempt, LastAttemptResult
from load_balancer.policy.endpoint_state import EndpointAttempt
from load_balancer.policy.outbox import Outbox
from load_balancer.policy.request_state import RequestState
from load_balancer.policy.router import EndpointChoice, Router
from load_balancer.policy.scan_timer import ScanTimer
from load_balancer.policy.slow_start import SlowStart


class AttemptDispatcher:
    """Starts and cancels attempts, and owns the attempts in flight."""

    def __init__(
        self,
        limits: messages.Limits,
        outbox: Outbox,
        router: Router,
        slow_start: SlowStart,
        scan_timer: ScanTimer,
    ) -> None:
        """Start without attempts.

        Args:
            limits: The limits of the site.
            outbox: Collects the actions.
            router: Chooses the endpoint of an attempt.
            slow_start: Is notified of attempts, which use its tokens.
            scan_timer: Is set while attempts are in flight.
        """
        self._limits = limits
        self._outbox = outbox
        self._router = router
        self._slow_start = slow_start
        self._scan_timer = scan_timer
        self.in_flight: dict[tuple[str, int], EndpointAttempt] = {}  # by request id and attempt number

    def send(self, now_us: int, request: RequestState) -> bool:
        """Send the request to an endpoint, or return False if none is available."""
        choice = self._router.choose(now_us, request)
        if choice is None:
            return False
        timeout_us = request.useful_until_us - now_us
        number = len(request.attempts)
        attempt = Attempt(request.id, number, choice.endpoint, request.request_class, now_us, timeout_us)
        self.in_flight[request.id, number] = attempt
        request.attempts.append(attempt)
        self._record_at_endpoint(now_us, attempt)
        self._outbox.add(
            messages.StartAttempt(
                request.id,
                choice.endpoint.endpoint.id,
                timeout_us,
                choice.draws,
                self._failover_within_us(request, choice, timeout_us),
            )
        )
        self._scan_timer.schedule(now_us)
        return True

    def _record_at_endpoint(self, now_us: int, attempt: EndpointAttempt) -> None:
        state = attempt.endpoint
        state.in_flight.append(attempt)
        self._slow_start.attempt_sent(now_us, state, is_first=attempt.number == 0)
        # Many balancers with one attempt each could overload an endpoint. A concurrency limit below one is
        # enforced by a pause from the start of each attempt, so that by Little's law the mean number of
        # attempts in flight stays within the limit.
        usual_us = attempt.request_class.usual_latency_us
        limit = state.concurrency_limit
        state.paused_until_us = now_us + int(usual_us / limit) if limit < 1.0 else 0

    def _failover_within_us(self, request: RequestState, choice: EndpointChoice, timeout_us: int) -> int:
        """Return the time within which late connects may end the attempt early; 0 without an alternative."""
        if not (choice.has_untried_alternative and request.has_attempts_left(self._limits.max_attempts)):
            return 0
        return max(0, timeout_us - int(request.request_class.usual_latency_us))

    def finish(self, event: messages.AttemptEnded) -> EndpointAttempt | None:
        """Record the outcome of an attempt and return the attempt, or None if it is not in flight."""
        attempt = self.in_flight.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return None
        attempt.outcome = event.outcome
        attempt.endpoint.in_flight.remove(attempt)
        return attempt

    def abandon(self, now_us: int, attempt: EndpointAttempt) -> None:
        """Cancel an attempt and count it as failed. It stays in flight until its end is reported."""
        state = attempt.endpoint
        usual_us = attempt.request_class.usual_latency_us
        state.last_attempt = LastAttemptResult.FAILED
        state.add_latency(attempt.timeout_us / usual_us)
        state.start_cool_down(now_us, attempt.request_class.settings.name)
        state.failure_penalty_ends_us.append(now_us + int(usual_us))
        attempt.is_abandoned = True
        self._outbox.add(messages.CancelAttempt(attempt.request_id, attempt.number))
