"""The life of requests: their attempts and retries, the time that they wait, and their one final answer."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.admission import AdmissionQueue, ConcurrencyLimit, request_priority
from load_balancer.policy.attempt import Attempt, HangLimit, LastAttempt
from load_balancer.policy.class_state import ClassState
from load_balancer.policy.endpoint_list import EndpointList
from load_balancer.policy.endpoint_state import EndpointAttempt, EndpointState
from load_balancer.policy.outbox import Outbox, QueueScan, RequestDeadline
from load_balancer.policy.request_state import RequestState
from load_balancer.policy.retry import RetryBudget, is_rejection_harmless
from load_balancer.policy.router import Choice, Router
from load_balancer.policy.scan_timer import ScanTimer
from load_balancer.policy.slow_start import SlowStart
from load_balancer.policy.tenant_quota import TenantQuota

# A request waits here for a free endpoint for this share of its useful time. With less, what could still be
# served would be rejected; past half of its time a rejection costs more than the answer may yet earn.
QUEUE_SHARE = 0.5
QUEUE_SCAN_US = 20_000  # queued requests are looked at this often

# Where no endpoint may be asked, an attempt in flight for this long is made again elsewhere if its endpoint
# has answered nothing at all since it was sent.
SILENT_LIMIT = HangLimit(3.0, 0)

# The fault is ours or the client's: nothing is said of the endpoint.
UNINFORMATIVE = (messages.Outcome.CANCELLED, messages.Outcome.NOT_SENT, messages.Outcome.UNUSABLE)
ANSWERS = (messages.Outcome.OK, messages.Outcome.ERROR, messages.Outcome.REJECTED)
CLASS_FAULTS = (messages.Outcome.ERROR, messages.Outcome.TIMEOUT)
# These tell nothing of how crowded endpoints are: a connection that does not come up tells of that endpoint
# alone, and says so at once.
NO_SIGN_OF_LOAD = (
    messages.Outcome.ERROR,
    messages.Outcome.RESET,
    messages.Outcome.NO_CONNECTION,
    messages.Outcome.UNKNOWN,
)


class RequestHandler:
    """All requests that are owed a final answer, and all attempts in flight. Times are microseconds."""

    def __init__(
        self,
        settings: messages.Settings,
        outbox: Outbox,
        endpoints: EndpointList,
        slow_start: SlowStart,
        router: Router,
        scan_timer: ScanTimer,
        margin_us: int,
    ) -> None:
        """Take the parts that it asks; `margin_us` is kept back from deadlines."""
        self._settings = settings
        self._outbox = outbox
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._router = router
        self._scan_timer = scan_timer
        self._margin_us = margin_us
        self.classes = {settings.name: ClassState(settings) for settings in settings.classes}
        self._tenants = {
            tenant.name: TenantQuota(tenant.quota_per_s, settings.instances) for tenant in settings.tenants
        }
        self.queue = AdmissionQueue()
        self._scan_pending = False
        self.limit = ConcurrencyLimit()
        self.retry_budget = RetryBudget()
        self.requests: dict[str, RequestState] = {}
        self.in_flight: dict[tuple[str, int], EndpointAttempt] = {}

    # Requests

    def request_arrived(self, now_us: int, event: messages.Request) -> None:
        """Take a request, and send, queue or end it."""
        if event.id in self.requests:
            return
        request_class = self._class_of(event)
        request_class.requests += 1
        request = self._new_request(now_us, event, request_class)
        self.requests[request.id] = request
        self.retry_budget.earn()
        at_us = max(now_us, request.deadline_us - self._margin_us)
        request.deadline_timer = self._outbox.set_timer(at_us, RequestDeadline(request.id))
        self._dispatch(now_us, request)

    def _class_of(self, event: messages.Request) -> ClassState:
        request_class = self.classes.get(event.class_name)
        if request_class is None:  # not in the settings: handled with all caution, as unsafe to repeat
            time_left_us = max(1, event.time_left_us)
            request_class = ClassState(messages.RequestClass(event.class_name, time_left_us, time_left_us))
            self.classes[event.class_name] = request_class
        return request_class

    def _new_request(self, now_us: int, event: messages.Request, request_class: ClassState) -> RequestState:
        worst_class_weight = self._settings.worst_class_weight
        priority = request_priority(request_class, self.classes.values(), worst_class_weight)
        tenant = self._tenants.get(event.tenant or "")
        if tenant is not None and not tenant.take(now_us):
            priority *= self._settings.over_quota_weight
        deadline_us = now_us + event.time_left_us
        age_us = request_class.age_us(event, self._margin_us)
        useful_until_us = min(deadline_us, now_us + request_class.useful_us - age_us)
        max_wait_us = int(QUEUE_SHARE * (useful_until_us - now_us))
        return RequestState(
            id=event.id,
            request_class=request_class,
            priority=priority,
            deadline_us=deadline_us,
            # Past its useful time an answer earns nothing, and a late failure costs: end just before.
            useful_until_us=useful_until_us - self._margin_us,
            max_wait_us=max_wait_us,
            free_rejection_until_us=now_us + max_wait_us,
        )

    def client_gone(self, request_id: str) -> None:
        """Forget a request whose client has left: nothing is owed any more."""
        request = self.requests.get(request_id)
        if request is not None:
            self._forget(request)
            self._cancel_attempts(request)

    def stream_started(self, request_id: str) -> None:
        """Note that the answer has begun; it belongs to the client from now on."""
        if request_id in self.requests:
            self.requests[request_id].streaming = True

    def deadline_due(self, request_id: str) -> None:
        """End a request whose time is up."""
        request = self.requests.get(request_id)
        if request is not None and not request.streaming:
            self._finish(request)

    def finish_all(self) -> None:
        """Give all requests their final answer: the proxy shuts down."""
        for request in list(self.requests.values()):
            self._finish(request)

    # Queue

    def queue_scan_due(self) -> None:
        """Note that the timer has fired."""
        self._scan_pending = False

    def work_off_queue(self, now_us: int) -> None:
        """Send queued requests where endpoints are free, and look again before long."""
        if not self.queue:
            return
        self.queue.work_off(
            now_us, self.requests, send=lambda request: self._send(now_us, request), finish=self._finish
        )
        if self.queue and not self._scan_pending:
            self._scan_pending = True
            first_due = min(
                self.requests[request_id].queued_until_us for request_id in self.queue.request_ids
            )
            self._outbox.set_timer(min(now_us + QUEUE_SCAN_US, first_due), QueueScan())

    def _enqueue(self, now_us: int, request: RequestState) -> None:
        self.limit.note_no_place()
        usual_us = int(request.request_class.usual_latency_us)
        wait_us = min(request.max_wait_us, request.useful_until_us - usual_us - now_us)
        if not request.may_be_written and now_us < request.free_rejection_until_us:
            wait_us = min(wait_us, request.free_rejection_until_us - now_us)
        request.queued_until_us = now_us + wait_us
        self.queue.add(now_us, request)

    # Attempts

    def _dispatch(self, now_us: int, request: RequestState) -> None:
        """Send the request, queue it for a while, or end it where it can't be useful any more."""
        if now_us + request.request_class.usual_latency_us > request.useful_until_us:
            self._finish(request)
        elif not self._send(now_us, request):
            self._enqueue(now_us, request)

    def _send(self, now_us: int, request: RequestState) -> bool:
        """Send the request to an endpoint it may go to; false where none is open."""
        choice = self._router.choose(now_us, request)
        if choice is None:
            return False
        timeout_us = request.useful_until_us - now_us
        number = len(request.attempts)
        attempt = Attempt(request.id, number, choice.endpoint, request.request_class, now_us, timeout_us)
        self.in_flight[request.id, number] = attempt
        request.attempts.append(attempt)
        self._count_at_endpoint(now_us, attempt)
        relocate_within_us = self._relocation_time_us(request, choice, timeout_us)
        self._outbox.add(
            messages.StartAttempt(
                request.id, choice.endpoint.endpoint.id, timeout_us, choice.draws, relocate_within_us
            )
        )
        self._scan_timer.schedule(now_us)
        return True

    def _count_at_endpoint(self, now_us: int, attempt: EndpointAttempt) -> None:
        state = attempt.endpoint
        state.in_flight.append(attempt)
        self._slow_start.attempt_sent(now_us, state, is_first=attempt.number == 0)
        # Many balancers could overload an endpoint with one attempt each: a limit below one is kept by a
        # pause after each attempt, so that by Little's law the mean in flight stays within it.
        usual_us = attempt.request_class.usual_latency_us
        limit = state.concurrency_limit
        state.paused_until_us = now_us + int(usual_us / limit) if limit < 1.0 else 0

    def _relocation_time_us(self, request: RequestState, choice: Choice, timeout_us: int) -> int:
        """Return within which time the attempt may still be moved to another endpoint; 0 where it can't."""
        may_retry = len(request.attempts) < self._settings.limits.max_attempts
        if not (choice.has_alternative and may_retry):
            return 0
        return max(0, timeout_us - int(request.request_class.usual_latency_us))

    def attempt_ended(self, now_us: int, event: messages.AttemptEnded) -> None:
        """Learn from an attempt's end, and retry or end its request."""
        attempt = self.in_flight.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        attempt.outcome = event.outcome
        attempt.endpoint.in_flight.remove(attempt)
        self._learn(now_us, attempt, event)
        request = self.requests.get(event.request)
        if request is None:
            return
        if event.last or event.outcome is messages.Outcome.OK:
            objective_us = request.request_class.settings.latency_objective_us
            in_time = event.outcome is messages.Outcome.OK and event.took_us <= objective_us
            request.request_class.add_result(in_time)
            self._forget(request)
        elif event.outcome is messages.Outcome.UNUSABLE:
            self._finish(request, is_unusable=True)
        else:  # attempts never overlap, so none is in flight
            self._retry(now_us, request, was_sent=event.outcome is not messages.Outcome.NOT_SENT)

    def _learn(self, now_us: int, attempt: EndpointAttempt, event: messages.AttemptEnded) -> None:
        """Take what an outcome says of its endpoint."""
        if event.outcome in UNINFORMATIVE:
            return
        state = attempt.endpoint
        request_class = attempt.request_class
        if event.outcome is messages.Outcome.UNREACHABLE:
            state.unreachable(now_us)
            return
        if event.outcome in ANSWERS:
            state.responded(now_us)
        succeeded = event.outcome is messages.Outcome.OK
        latency_us = event.took_us if succeeded else attempt.timeout_us
        self._add_latency(state, latency_us / request_class.usual_latency_us)
        if succeeded:
            state.last_attempt = LastAttempt.SUCCEEDED
            self._slow_start.answered(now_us, state)
            request_class.add_latency(event.took_us)
        else:
            state.last_attempt = LastAttempt.FAILED
            state.failure_penalty_ends_us.append(attempt.sent_at_us + int(request_class.usual_latency_us))
        if event.outcome in CLASS_FAULTS:
            state.cool_down(now_us, request_class.settings.name)
        if event.outcome not in NO_SIGN_OF_LOAD:
            relative = request_class.relative_latency(latency_us)
            self.limit.add_answer(now_us, attempt, relative, self._endpoints.subset, len(self.in_flight))

    def _add_latency(self, state: EndpointState, relative_latency: float) -> None:
        if not state.add_latency(relative_latency):
            return
        epoch, mean = state.detector.epoch, state.detector.epoch_mean
        text = f"epoch {epoch} of {state.endpoint.id}: mean {mean:.2f}, share {state.share:.2f}"
        self._outbox.add(messages.Log(text))

    def _retry(self, now_us: int, request: RequestState, was_sent: bool) -> None:
        """All attempts so far have failed: make a further one where that is legal and can be useful.

        The one after an attempt that was not sent costs nothing: there is no work that it would double.
        """
        is_legal = any(state.is_up for state in self._router.legal_endpoints(now_us, request))
        has_attempts = len(request.attempts) < self._settings.limits.max_attempts
        if is_legal and has_attempts and self.retry_budget.spend(1.0 if was_sent else 0.0):
            self._dispatch(now_us, request)
        else:
            self._finish(request)

    def abandon(self, now_us: int, attempt: EndpointAttempt) -> None:
        """Give up waiting for an answer; what follows waits for the attempt's end."""
        state = attempt.endpoint
        usual_us = attempt.request_class.usual_latency_us
        state.last_attempt = LastAttempt.FAILED
        state.add_latency(attempt.timeout_us / usual_us)
        state.cool_down(now_us, attempt.request_class.settings.name)
        state.failure_penalty_ends_us.append(now_us + int(usual_us))
        attempt.abandoned = True
        self._outbox.add(messages.CancelAttempt(attempt.request_id, attempt.number))

    def abandon_silent(self, now_us: int) -> None:
        """Give up attempts at silent endpoints in time for another attempt, where one may be made.

        An endpoint may take requests and answer none: each would hang until it is lost. One that is only
        slow or crowded goes on answering, and a further copy would crowd it more.
        """
        balance = self.retry_budget.balance
        for attempt in list(self.in_flight.values()):
            request = self.requests.get(attempt.request_id)
            if request is None or request.streaming or attempt.abandoned:
                continue
            if not attempt.hangs(now_us, SILENT_LIMIT) or balance < 1.0:
                continue
            if (
                not self._could_retry(now_us, request)
                or attempt.endpoint.responded_at_us >= attempt.sent_at_us
            ):
                continue
            if self._router.has_open_alternative(now_us, request, attempt.endpoint):
                balance -= 1.0
                self.abandon(now_us, attempt)
        if self.in_flight:
            self._scan_timer.schedule(now_us)

    def _could_retry(self, now_us: int, request: RequestState) -> bool:
        in_time = now_us + request.request_class.usual_latency_us <= request.useful_until_us
        return in_time and len(request.attempts) < self._settings.limits.max_attempts

    # Ends

    def _forget(self, request: RequestState) -> None:
        del self.requests[request.id]
        self._outbox.drop_timer(request.deadline_timer)

    def _finish(self, request: RequestState, is_unusable: bool = False) -> None:
        """Give the final answer: a rejection where trying again is harmless, a failure otherwise."""
        self._forget(request)
        request.request_class.add_result(False)
        self._cancel_attempts(request)
        if is_unusable or not is_rejection_harmless(request):
            self._outbox.add(messages.Fail(request.id))
            return
        # By the time that an answer of its class takes, places have come free once.
        usual_us = int(request.request_class.usual_latency_us)
        retry_after_us = min(usual_us, self._settings.limits.retry_after_us)
        self._outbox.add(messages.Reject(request.id, retry_after_us))

    def _cancel_attempts(self, request: RequestState) -> None:
        if not self._settings.limits.cancel:
            return
        for attempt in request.attempts:
            if attempt.outcome is None and not attempt.abandoned:
                self._outbox.add(messages.CancelAttempt(request.id, attempt.number))
