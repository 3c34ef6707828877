"""Discrete-event simulation of a fleet: real balancers with simulated endpoints and clients.

No sockets, threads or real time are used: events are processed from a heap in order of time, and the seed
determines all random values.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import accumulate, count, pairwise
from typing import NamedTuple

from load_balancer import Balancer, messages
from tests.support.units import MILLISECOND_US, SECOND_US

NETWORK_DELAY_US = 1 * MILLISECOND_US  # one-way delay from a balancer to an endpoint
ERROR_RESPONSE_US = 5 * MILLISECOND_US  # response time of a failing endpoint
START_US = 10 * SECOND_US  # initial time of the clock
HEALTH_CHECK_TIMEOUT_US = 250 * MILLISECOND_US
ZONES = "abcdefgh"


class SimulatedEndpoint:
    """An endpoint with a limited concurrency, a queue, and reduced capacity during slow start.

    Attributes:
        entry: Its entry in the endpoint list.
        start_times_us: The times of its restarts, in order.
        service_time_us: The duration of a request of mean work while warm.
        endpoint_requests_per_window: The requests of mean work that it completes per overload window while
            warm.
        mode: "healthy", "failing" (responds with errors), "refusing" (rejects requests) or "silent" (does not
            respond).
        slowdown_factor: Factor on the duration of each request.
        arrivals: The arrival time of each attempt or health check, and whether the list of its balancer
            had the latest incarnation of the endpoint.
    """

    def __init__(
        self,
        entry: messages.Endpoint,
        endpoint_requests_per_window: float,
        rules: messages.Rules,
        slot_count: int,
        queue_capacity: int,
    ) -> None:
        self.entry, self.rules, self.queue_capacity = entry, rules, queue_capacity
        self.start_times_us: list[int] = []
        self.service_time_us = slot_count * rules.overload_window_us / endpoint_requests_per_window
        self.endpoint_requests_per_window = endpoint_requests_per_window
        self.slot_free_at_us = [0] * slot_count  # when each slot becomes free
        self.mode = "healthy"
        self.slowdown_factor = 1.0
        self.arrivals: list[tuple[int, bool]] = []

    def capacity(self, now_us: int, started_at_us: float | None = None) -> float:
        """Return its share of full capacity at this time, after this start or by default the latest one."""
        rules = self.rules
        started_at_us = self.entry.incarnation_us if started_at_us is None else started_at_us
        if started_at_us <= 0 or now_us >= started_at_us + rules.slow_start_us:
            return 1.0
        return (
            rules.start_capacity
            + (1.0 - rules.start_capacity) * max(0, now_us - started_at_us) / rules.slow_start_us
        )

    def serve(self, now_us: int, work_factor: float) -> tuple[int, messages.Outcome] | None:
        """Return the end time and outcome of an attempt that arrives now; None if it gets no response."""
        if self.mode == "silent":
            return None
        if self.mode == "failing":
            return now_us + ERROR_RESPONSE_US, messages.Outcome.ERROR
        if self.mode == "refusing":
            return now_us + NETWORK_DELAY_US, messages.Outcome.REJECTED
        duration_us = work_factor * self.service_time_us * self.slowdown_factor / self.capacity(now_us)
        slot = min(range(len(self.slot_free_at_us)), key=self.slot_free_at_us.__getitem__)
        begin_us = max(now_us, self.slot_free_at_us[slot])
        if begin_us - now_us > self.queue_capacity * self.service_time_us / len(self.slot_free_at_us):
            return now_us + NETWORK_DELAY_US, messages.Outcome.REJECTED
        self.slot_free_at_us[slot] = begin_us + int(duration_us)
        return self.slot_free_at_us[slot], messages.Outcome.OK

    def restart(self, started_at_us: int) -> None:
        """Restart at this time, with an empty queue and reduced capacity."""
        self.slot_free_at_us = [0] * len(self.slot_free_at_us)
        self.start_times_us.append(started_at_us)
        self.entry = messages.Endpoint(
            self.entry.id, messages.EndpointStatus.UP, self.entry.zone, self.entry.cell, started_at_us
        )


@dataclass
class SimulatedRequest:
    """A client's request and its state.

    Attributes:
        class_name: The name of its request class.
        tenant: Its tenant, if any.
        balancer_index: The index of the balancer that received it.
        arrived_at_us: When it arrived.
        work_factor: Its work as a multiple of the mean.
        attempt_count: The number of its attempts so far.
        responded_at_us: When its successful response arrived; 0 if it has none.
        is_over: Whether it has its final response.
    """

    class_name: str
    tenant: str | None
    balancer_index: int
    arrived_at_us: int
    work_factor: float
    attempt_count: int = 0
    responded_at_us: int = 0
    is_over: bool = False


class AttemptKey(NamedTuple):
    """Key of an attempt: index of the balancer, id of the request and number of the attempt."""

    balancer_index: int
    request_id: str
    number: int


class AttemptInFlight(NamedTuple):
    """Start time and endpoint of an attempt in flight."""

    started_at_us: int
    endpoint_id: int


class WarmingWindow(NamedTuple):
    """An overload window of an endpoint in slow start.

    Attributes:
        used_share: `attempt_count` divided by `allowed_count`.
        attempt_count: The attempts and health checks that arrived in the window.
        allowed_count: The maximum number of attempts and health checks.
    """

    used_share: float
    attempt_count: int
    allowed_count: float


@dataclass
class SimulatedClient:
    """A source of requests of one class and tenant, with its share of all requests."""

    class_name: str
    traffic_share: float = 1.0
    tenant: str | None = None


@dataclass
class SimulatedFleet:
    """Balancers, endpoints and clients on one simulated clock.

    Attributes:
        endpoint_requests_per_window: The requests of mean work that a warm endpoint completes per overload
            window.
        load: The clients' load as a share of the capacity of all endpoints while warm.
        load_factor_at: Returns the factor on the load at a time, at most `max_load_factor`.
        max_list_delay_us: The maximum delay of a change of the endpoint list to a balancer.
        traffic_sigma: The sigma of the lognormal distribution of traffic over balancers.
        requests: All requests so far.
        attempts: The start time and the balancer's index of each attempt so far.
        endpoints: The endpoints, indexed by id.
        balancers: The balancers, by index.
    """

    settings: messages.Settings
    balancer_count: int
    endpoint_count: int
    endpoint_requests_per_window: float
    load: float
    seed: int
    clients: tuple[SimulatedClient, ...] = (SimulatedClient("read"),)
    load_factor_at: Callable[[int], float] = lambda now_us: 1.0
    max_load_factor: float = 1.0
    zone_count: int = 3
    slot_count: int = 1
    queue_capacity: int = 20
    max_list_delay_us: int = 200 * MILLISECOND_US
    traffic_sigma: float = 0.5
    now_us: int = START_US
    requests: list[SimulatedRequest] = field(default_factory=list)
    attempts: list[tuple[int, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.sequence_numbers = count()
        self.event_heap: list[tuple[int, int, Callable[[], None]]] = []
        self.endpoints = [self._new_endpoint(number) for number in range(self.endpoint_count)]
        self.balancers = [self._new_balancer(index) for index in range(self.balancer_count)]
        # For each balancer, the incarnations in its endpoint list by endpoint id.
        self.listed_incarnations_us: list[dict[int, int]] = [{} for _ in self.balancers]
        self.in_flight: dict[AttemptKey, AttemptInFlight] = {}
        self.cancelled_timers: set[tuple[int, int]] = set()
        self.requests_by_id: dict[str, SimulatedRequest] = {}
        self.version = 0
        self.cumulative_traffic_weights = list(
            accumulate(self.rng.lognormvariate(0.0, self.traffic_sigma) for _ in self.balancers)
        )
        self.cumulative_client_shares = list(accumulate(client.traffic_share for client in self.clients))
        for index, balancer in enumerate(self.balancers):
            self._execute(index, balancer.start(self.now_us))
        entries = [endpoint.entry for endpoint in self.endpoints]
        self.send_list(entries, kind=messages.EndpointListKind.COMPLETE, max_delay_us=0)
        self.schedule(self.now_us, self._next_arrival)

    def _new_endpoint(self, number: int) -> SimulatedEndpoint:
        entry = messages.Endpoint(number, zone=ZONES[number % self.zone_count], cell=number % 2)
        return SimulatedEndpoint(
            entry,
            self.endpoint_requests_per_window,
            self.settings.rules,
            self.slot_count,
            self.queue_capacity,
        )

    def _new_balancer(self, index: int) -> Balancer:
        settings = replace(self.settings, instances=self.balancer_count, index=index)
        if settings.zone:
            settings = replace(settings, zone=ZONES[index % self.zone_count])
        return Balancer(settings, self.seed * 10_007 + index)

    # Event loop

    def schedule(self, at_us: int, event: Callable[[], None]) -> None:
        """Schedule an event; events with the same time are processed in the order of scheduling."""
        heapq.heappush(self.event_heap, (at_us, next(self.sequence_numbers), event))

    def run_until(self, end_us: int) -> None:
        """Process all events up to this time."""
        while self.event_heap and self.event_heap[0][0] <= end_us:
            self.now_us, _, event = heapq.heappop(self.event_heap)
            event()
        self.now_us = end_us

    # Endpoint list

    def send_list(
        self,
        entries: Iterable[messages.Endpoint],
        kind: messages.EndpointListKind = messages.EndpointListKind.CHANGES,
        max_delay_us: int | None = None,
    ) -> None:
        """Send a list to all balancers, to each after a random delay."""
        self.version += 1
        update = messages.EndpointListUpdate(kind, self.version, tuple(entries))
        delay_limit_us = self.max_list_delay_us if max_delay_us is None else max_delay_us
        for index in range(self.balancer_count):
            received_at_us = self.now_us + int(self.rng.random() * delay_limit_us)
            self.schedule(received_at_us, partial(self.receive_list, index, update))

    def receive_list(self, index: int, update: messages.EndpointListUpdate) -> None:
        """Deliver a list to a balancer."""
        incarnations_us = {entry.id: entry.incarnation_us for entry in update.endpoints}
        self.listed_incarnations_us[index].update(incarnations_us)
        self._handle(index, update)

    def restart(self, chosen: Iterable[SimulatedEndpoint]) -> None:
        """Restart these endpoints now, and send their new list entries."""
        entries = []
        for endpoint in chosen:
            endpoint.restart(self.now_us)
            entries.append(endpoint.entry)
        self.send_list(entries)

    # Clients

    def _next_arrival(self) -> None:
        arrivals_per_window = self.load * self.endpoint_requests_per_window * self.endpoint_count
        arrival_rate = arrivals_per_window / self.settings.rules.overload_window_us  # per microsecond
        if self.rng.random() * self.max_load_factor < self.load_factor_at(self.now_us):
            self.add_request(
                bisect_left(
                    self.cumulative_traffic_weights, self.rng.random() * self.cumulative_traffic_weights[-1]
                ),
                self.clients[
                    bisect_left(
                        self.cumulative_client_shares, self.rng.random() * self.cumulative_client_shares[-1]
                    )
                ],
            )
        self.schedule(
            self.now_us + max(1, int(self.rng.expovariate(arrival_rate * self.max_load_factor))),
            self._next_arrival,
        )

    def add_request(self, index: int, client: SimulatedClient) -> None:
        """Send a request of this client to a balancer."""
        request_class = next(known for known in self.settings.classes if known.name == client.class_name)
        work_factor = self.rng.lognormvariate(-0.08, 0.4)
        request = SimulatedRequest(client.class_name, client.tenant, index, self.now_us, work_factor)
        request_id = f"r{len(self.requests)}"
        self.requests.append(request)
        self.requests_by_id[request_id] = request
        self._handle(
            index, messages.Request(request_id, client.class_name, request_class.deadline_us, client.tenant)
        )

    # Balancers

    def _handle(self, index: int, event: messages.Event) -> None:
        self._execute(index, self.balancers[index].handle(self.now_us, event))

    def _execute(self, index: int, actions: list[messages.Action]) -> None:
        for action in actions:
            match action:
                case messages.StartAttempt():
                    self._start_attempt(index, action)
                case messages.SetTimer():
                    self.schedule(
                        max(self.now_us, action.at_us), partial(self._fire_timer, index, action.timer_id)
                    )
                case messages.CancelTimer():
                    self.cancelled_timers.add((index, action.timer_id))
                case messages.CancelAttempt():
                    key = AttemptKey(index, action.request_id, action.attempt_number)
                    self.schedule(self.now_us, partial(self._end_attempt, key, messages.Outcome.CANCELLED))
                case messages.Reject() | messages.Fail():
                    self.requests_by_id[action.request_id].is_over = True
                case messages.CheckHealth():
                    self._check_health(index, action.endpoint_id)
                case _:
                    pass

    def _fire_timer(self, index: int, timer_id: int) -> None:
        if (index, timer_id) in self.cancelled_timers:
            self.cancelled_timers.remove((index, timer_id))
        else:
            self._handle(index, messages.TimerFired(timer_id))

    def _record_arrival(self, index: int, endpoint: SimulatedEndpoint) -> None:
        listed_us = self.listed_incarnations_us[index].get(endpoint.entry.id)
        endpoint.arrivals.append((self.now_us, listed_us == endpoint.entry.incarnation_us))

    def _start_attempt(self, index: int, action: messages.StartAttempt) -> None:
        request = self.requests_by_id[action.request_id]
        endpoint = self.endpoints[action.endpoint_id]
        self.attempts.append((self.now_us, index))
        self._record_arrival(index, endpoint)
        key = AttemptKey(index, action.request_id, request.attempt_count)
        request.attempt_count += 1
        self.in_flight[key] = AttemptInFlight(self.now_us, action.endpoint_id)
        work_factor = request.work_factor * self.rng.uniform(0.8, 1.2)
        timeout_at_us = self.now_us + action.timeout_us
        end = endpoint.serve(self.now_us + NETWORK_DELAY_US, work_factor)
        if end is None or end[0] > timeout_at_us:
            end = timeout_at_us, messages.Outcome.TIMEOUT
        ends_at_us, outcome = end
        self.schedule(ends_at_us, partial(self._end_attempt, key, outcome))

    def _end_attempt(self, key: AttemptKey, outcome: messages.Outcome) -> None:
        if key not in self.in_flight:
            return
        attempt = self.in_flight.pop(key)
        request = self.requests_by_id[key.request_id]
        if outcome is messages.Outcome.OK and not request.is_over:
            request.is_over, request.responded_at_us = True, self.now_us
        self._handle(
            key.balancer_index,
            messages.AttemptEnded(
                key.request_id,
                key.number,
                attempt.endpoint_id,
                outcome,
                self.now_us - attempt.started_at_us,
                request.is_over,
            ),
        )

    def _check_health(self, index: int, endpoint_id: int) -> None:
        endpoint = self.endpoints[endpoint_id]
        self._record_arrival(index, endpoint)
        is_alive = endpoint.mode != "silent"
        load = (
            float(sum(free_at_us > self.now_us for free_at_us in endpoint.slot_free_at_us))
            if is_alive
            else None
        )
        ends_at_us = self.now_us + (2 * NETWORK_DELAY_US if is_alive else HEALTH_CHECK_TIMEOUT_US)
        result = messages.HealthCheckEnded(endpoint_id, is_alive, load)
        self.schedule(ends_at_us, partial(self._handle, index, result))

    # Results

    def fullest_warming_window(self, use_small_count_margin: bool = False) -> WarmingWindow:
        """Return the fullest window of an endpoint in slow start.

        N is the overload multiple times the requests per window at the endpoint's capacity. The limit on
        attempts and health checks is N + 2 * sqrt(N) + 2. With `use_small_count_margin` it is the limit of
        the requirements, which is N + 3 * sqrt(N) + 3 if N < 30. Each start is evaluated separately.
        """
        fullest = WarmingWindow(0.0, 0, 0.0)
        for endpoint in self.endpoints:
            for started_at_us, ends_at_us in pairwise([*endpoint.start_times_us, math.inf]):
                for window in self._warming_windows(
                    endpoint, started_at_us, ends_at_us, use_small_count_margin
                ):
                    fullest = max(fullest, window)
        return fullest

    def _warming_windows(
        self,
        endpoint: SimulatedEndpoint,
        started_at_us: float,
        ends_at_us: float,
        use_small_count_margin: bool,
    ) -> Iterator[WarmingWindow]:
        """Yield the window that begins at each arrival while the endpoint is warming up after this start."""
        rules = self.settings.rules
        warm_at_us = started_at_us + rules.slow_start_us
        cutoff_us = min(ends_at_us, warm_at_us + rules.overload_window_us)
        arrivals_us = [at_us for at_us, _ in endpoint.arrivals if started_at_us <= at_us < cutoff_us]
        for first_index, begin_us in enumerate(arrivals_us):
            if begin_us >= warm_at_us:
                return
            expected_count = (
                rules.overload_multiple
                * endpoint.capacity(begin_us, started_at_us)
                * endpoint.endpoint_requests_per_window
            )
            margin = 3.0 if use_small_count_margin and expected_count < 30.0 else 2.0
            allowed_count = expected_count + margin * math.sqrt(expected_count) + margin
            attempt_count = bisect_left(arrivals_us, begin_us + rules.overload_window_us) - first_index
            yield WarmingWindow(attempt_count / allowed_count, attempt_count, allowed_count)

    def on_time_share(self, requests: Iterable[SimulatedRequest]) -> float:
        """Return the share of these requests that met their latency objective; 1.0 if there are none."""
        objectives_us = {
            request_class.name: request_class.latency_objective_us for request_class in self.settings.classes
        }
        counted = list(requests)
        on_time_count = sum(
            0 < request.responded_at_us <= request.arrived_at_us + objectives_us[request.class_name]
            for request in counted
        )
        return on_time_count / len(counted) if counted else 1.0
