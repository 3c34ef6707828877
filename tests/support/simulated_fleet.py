"""Many real balancers before simulated endpoints and clients, on one clock that their events move.

There is no socket, thread or real time: events lie in a heap, and all chance comes from the seed. Times are
in microseconds.
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

NET_US = 1 * MILLISECOND_US  # an attempt's way to its endpoint
FAIL_US = 5 * MILLISECOND_US  # how long a failing endpoint takes to respond
START_US = 10 * SECOND_US  # the clock's first moment
SILENT_HEALTH_CHECK_US = 250 * MILLISECOND_US  # after which a health check without a response has failed
ZONES = "abcdefgh"


class SimulatedEndpoint:
    """An endpoint with slots, a queue, and less capacity for a while after each start.

    Attributes:
        entry: How the endpoint list states it.
        starts: The times of its restarts, in order.
        service_us: How long a request of mean work takes while warm.
        per_window: Requests of mean work that it does in the overload window while warm.
        mode: "sound", "failing", "refusing" or "silent".
        slower: What the time of each request is multiplied with.
        work: The time of each attempt or health check, and whether its sender knew the latest start.
    """

    def __init__(
        self, entry: messages.Endpoint, per_window: float, rules: messages.Rules, slots: int, queue: int
    ) -> None:
        self.entry, self.rules, self.queue = entry, rules, queue
        self.starts: list[int] = []
        self.service_us = slots * rules.overload_window_us / per_window
        self.per_window = per_window
        self.free_at = [0] * slots  # when each slot is free
        self.mode = "sound"
        self.slower = 1.0
        self.work: list[tuple[int, bool]] = []

    def capacity(self, now: int, since: float | None = None) -> float:
        """Return the share of its full capacity that it has, by its latest start or by this one."""
        rules = self.rules
        since = self.entry.incarnation_us if since is None else since
        if since <= 0 or now >= since + rules.slow_start_us:
            return 1.0
        return rules.start_capacity + (1.0 - rules.start_capacity) * max(0, now - since) / rules.slow_start_us

    def take(self, now: int, work: float) -> tuple[int, messages.Outcome] | None:
        """Return when an attempt that comes now ends, and how; None where it never does."""
        if self.mode == "silent":
            return None
        if self.mode == "failing":
            return now + FAIL_US, messages.Outcome.ERROR
        if self.mode == "refusing":
            return now + NET_US, messages.Outcome.REJECTED
        duration_us = work * self.service_us * self.slower / self.capacity(now)
        slot = min(range(len(self.free_at)), key=self.free_at.__getitem__)
        begin = max(now, self.free_at[slot])
        if begin - now > self.queue * self.service_us / len(self.free_at):
            return now + NET_US, messages.Outcome.REJECTED
        self.free_at[slot] = begin + int(duration_us)
        return self.free_at[slot], messages.Outcome.OK

    def restart(self, since: int) -> None:
        """Start anew at this time, with less capacity."""
        self.free_at = [0] * len(self.free_at)
        self.starts.append(since)
        self.entry = messages.Endpoint(
            self.entry.id, messages.EndpointStatus.UP, self.entry.zone, self.entry.cell, since
        )


@dataclass
class SimulatedRequest:
    """A client's request and its result.

    Attributes:
        cls: The name of its class.
        tenant: Its tenant, if it has one.
        balancer: The index of the balancer that it came to.
        at: When it came.
        work: Its work as a multiple of the mean.
        attempt_count: How many attempts it has had.
        answered_at: When it was answered; 0 where it was rejected or failed.
        is_over: Whether it has its final response.
    """

    cls: str
    tenant: str | None
    balancer: int
    at: int
    work: float
    attempt_count: int = 0
    answered_at: int = 0
    is_over: bool = False


class AttemptKey(NamedTuple):
    """Identifies an attempt: its balancer's index, its request's id and its number."""

    balancer: int
    request_id: str
    number: int


class AttemptInFlight(NamedTuple):
    """When an attempt was started, and on which endpoint."""

    started_at: int
    endpoint_id: int


class WarmingWindow(NamedTuple):
    """An overload window of an endpoint in slow start.

    Attributes:
        share: The attempts as a share of those allowed.
        attempt_count: The attempts and health checks that came.
        allowed: How many may come.
    """

    share: float
    attempt_count: int
    allowed: float


@dataclass
class SimulatedClient:
    """Where requests come from: a class, a tenant and their share of all requests."""

    cls: str
    part: float = 1.0
    tenant: str | None = None


@dataclass
class SimulatedFleet:
    """Balancers before endpoints, each of which does `per_window` requests in the overload window.

    Attributes:
        load: The share of what all endpoints do while warm that clients ask for.
        surge: What the load is multiplied with at a time, at most `most_surge`.
        spread_us: Within this time a change of the list reaches all balancers.
        uneven: The spread of the traffic of balancers, as the sigma of a lognormal distribution.
        requests: All requests so far.
        attempts: The time and the balancer's index of each attempt so far.
        endpoints: The endpoints, by their ids.
        policies: The balancers, by their indices.
    """

    settings: messages.Settings
    balancers: int
    endpoint_count: int
    per_window: float
    load: float
    seed: int
    clients: tuple[SimulatedClient, ...] = (SimulatedClient("read"),)
    surge: Callable[[int], float] = lambda now: 1.0
    most_surge: float = 1.0
    zones: int = 3
    slots: int = 1
    queue: int = 20
    spread_us: int = 200 * MILLISECOND_US
    uneven: float = 0.5
    now: int = START_US
    requests: list[SimulatedRequest] = field(default_factory=list)
    attempts: list[tuple[int, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.order = count()
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.endpoints = [self._new_endpoint(number) for number in range(self.endpoint_count)]
        self.policies = [self._new_policy(index) for index in range(self.balancers)]
        # What each balancer's list states: incarnations by endpoint.
        self.listed_incarnations_us: list[dict[int, int]] = [{} for _ in self.policies]
        self.in_flight: dict[AttemptKey, AttemptInFlight] = {}
        self.cancelled_timers: set[tuple[int, int]] = set()
        self.requests_by_id: dict[str, SimulatedRequest] = {}
        self.version = 0
        self.weights = list(accumulate(self.rng.lognormvariate(0.0, self.uneven) for _ in self.policies))
        self.client_shares = list(accumulate(client.part for client in self.clients))
        for index, policy in enumerate(self.policies):
            self._carry_out(index, policy.start(self.now))
        entries = [endpoint.entry for endpoint in self.endpoints]
        self.send_list(entries, kind=messages.EndpointListKind.COMPLETE, within=0)
        self.at(self.now, self._next_arrival)

    def _new_endpoint(self, number: int) -> SimulatedEndpoint:
        entry = messages.Endpoint(number, zone=ZONES[number % self.zones], cell=number % 2)
        return SimulatedEndpoint(entry, self.per_window, self.settings.rules, self.slots, self.queue)

    def _new_policy(self, index: int) -> Balancer:
        settings = replace(self.settings, instances=self.balancers, index=index)
        if settings.zone:
            settings = replace(settings, zone=ZONES[index % self.zones])
        return Balancer(settings, self.seed * 10_007 + index)

    # The clock

    def at(self, when: int, event: Callable[[], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self.heap, (when, next(self.order), event))

    def run(self, until: int) -> None:
        """Let all events up to this time happen."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, event = heapq.heappop(self.heap)
            event()
        self.now = until

    # The list

    def send_list(
        self,
        entries: Iterable[messages.Endpoint],
        kind: messages.EndpointListKind = messages.EndpointListKind.CHANGES,
        within: int | None = None,
    ) -> None:
        """Send a list to all balancers, each at its own moment of the time in which changes spread."""
        self.version += 1
        update = messages.EndpointListUpdate(kind, self.version, tuple(entries))
        spread_us = self.spread_us if within is None else within
        for index in range(self.balancers):
            received_at = self.now + int(self.rng.random() * spread_us)
            self.at(received_at, partial(self.receive_list, index, update))

    def receive_list(self, index: int, update: messages.EndpointListUpdate) -> None:
        """Hand a balancer a list, as discovery does."""
        starts = {entry.id: entry.incarnation_us for entry in update.endpoints}
        self.listed_incarnations_us[index].update(starts)
        self._handle(index, update)

    def restart(self, chosen: Iterable[SimulatedEndpoint]) -> None:
        """Restart these endpoints now, and send the list that says so."""
        entries = []
        for endpoint in chosen:
            endpoint.restart(self.now)
            entries.append(endpoint.entry)
        self.send_list(entries)

    # Clients

    def _next_arrival(self) -> None:
        requests_per_window = self.load * self.per_window * self.endpoint_count
        rate = requests_per_window / self.settings.rules.overload_window_us  # per microsecond
        if self.rng.random() * self.most_surge < self.surge(self.now):
            self.arrive(
                bisect_left(self.weights, self.rng.random() * self.weights[-1]),
                self.clients[bisect_left(self.client_shares, self.rng.random() * self.client_shares[-1])],
            )
        self.at(self.now + max(1, int(self.rng.expovariate(rate * self.most_surge))), self._next_arrival)

    def arrive(self, index: int, client: SimulatedClient) -> None:
        """Let a request of this client come to a balancer."""
        cls = next(known for known in self.settings.classes if known.name == client.cls)
        work = self.rng.lognormvariate(-0.08, 0.4)
        request = SimulatedRequest(client.cls, client.tenant, index, self.now, work)
        request_id = f"r{len(self.requests)}"
        self.requests.append(request)
        self.requests_by_id[request_id] = request
        self._handle(index, messages.Request(request_id, client.cls, cls.deadline_us, client.tenant))

    # Balancers

    def _handle(self, index: int, event: messages.Event) -> None:
        self._carry_out(index, self.policies[index].handle(self.now, event))

    def _carry_out(self, index: int, actions: list[messages.Action]) -> None:
        for action in actions:
            match action:
                case messages.StartAttempt():
                    self._start_attempt(index, action)
                case messages.SetTimer():
                    self.at(max(self.now, action.at_us), partial(self._fire, index, action.timer_id))
                case messages.CancelTimer():
                    self.cancelled_timers.add((index, action.timer_id))
                case messages.CancelAttempt():
                    key = AttemptKey(index, action.request_id, action.attempt_number)
                    self.at(self.now, partial(self._end_attempt, key, messages.Outcome.CANCELLED))
                case messages.Reject() | messages.Fail():
                    self.requests_by_id[action.request_id].is_over = True
                case messages.CheckHealth():
                    self._check_health(index, action.endpoint_id)
                case _:
                    pass

    def _fire(self, index: int, timer: int) -> None:
        if (index, timer) in self.cancelled_timers:
            self.cancelled_timers.remove((index, timer))
        else:
            self._handle(index, messages.TimerFired(timer))

    def _record_work(self, index: int, endpoint: SimulatedEndpoint) -> None:
        listed_us = self.listed_incarnations_us[index].get(endpoint.entry.id)
        endpoint.work.append((self.now, listed_us == endpoint.entry.incarnation_us))

    def _start_attempt(self, index: int, action: messages.StartAttempt) -> None:
        request = self.requests_by_id[action.request_id]
        endpoint = self.endpoints[action.endpoint_id]
        self.attempts.append((self.now, index))
        self._record_work(index, endpoint)
        key = AttemptKey(index, action.request_id, request.attempt_count)
        request.attempt_count += 1
        self.in_flight[key] = AttemptInFlight(self.now, action.endpoint_id)
        work = request.work * self.rng.uniform(0.8, 1.2)
        times_out_at = self.now + action.timeout_us
        end = endpoint.take(self.now + NET_US, work)
        if end is None or end[0] > times_out_at:
            end = times_out_at, messages.Outcome.TIMEOUT
        ends_at, outcome = end
        self.at(ends_at, partial(self._end_attempt, key, outcome))

    def _end_attempt(self, key: AttemptKey, outcome: messages.Outcome) -> None:
        if key not in self.in_flight:
            return
        attempt = self.in_flight.pop(key)
        request = self.requests_by_id[key.request_id]
        if outcome is messages.Outcome.OK and not request.is_over:
            request.is_over, request.answered_at = True, self.now
        self._handle(
            key.balancer,
            messages.AttemptEnded(
                key.request_id,
                key.number,
                attempt.endpoint_id,
                outcome,
                self.now - attempt.started_at,
                request.is_over,
            ),
        )

    def _check_health(self, index: int, endpoint_id: int) -> None:
        endpoint = self.endpoints[endpoint_id]
        self._record_work(index, endpoint)
        is_alive = endpoint.mode != "silent"
        load = float(sum(free_at > self.now for free_at in endpoint.free_at)) if is_alive else None
        ends_at = self.now + (2 * NET_US if is_alive else SILENT_HEALTH_CHECK_US)
        result = messages.HealthCheckEnded(endpoint_id, is_alive, load)
        self.at(ends_at, partial(self._handle, index, result))

    # Results

    def worst_cold(self, page: bool = False) -> WarmingWindow:
        """Return the fullest window of an endpoint in slow start.

        Allowed are N + 2 x root of N + 2 attempts, by the `page` N + 3 x root of N + 3 where N is under 30.
        Each start of an endpoint counts by itself.
        """
        worst = WarmingWindow(0.0, 0, 0.0)
        for endpoint in self.endpoints:
            for started_at, ends_at in pairwise([*endpoint.starts, math.inf]):
                for window in self._warming_windows(endpoint, started_at, ends_at, page):
                    worst = max(worst, window)
        return worst

    def _warming_windows(
        self, endpoint: SimulatedEndpoint, started_at: float, ends_at: float, page: bool
    ) -> Iterator[WarmingWindow]:
        """Yield the window that begins with each attempt while the endpoint warms up after this start."""
        rules = self.settings.rules
        warm_at = started_at + rules.slow_start_us
        last = min(ends_at, warm_at + rules.overload_window_us)
        times = [at for at, _ in endpoint.work if started_at <= at < last]
        for first, begin in enumerate(times):
            if begin >= warm_at:
                return
            mean = rules.overload_multiple * endpoint.capacity(begin, started_at) * endpoint.per_window
            slack = 3.0 if page and mean < 30.0 else 2.0
            allowed = mean + slack * math.sqrt(mean) + slack
            attempt_count = bisect_left(times, begin + rules.overload_window_us) - first
            yield WarmingWindow(attempt_count / allowed, attempt_count, allowed)

    def served(self, requests: Iterable[SimulatedRequest]) -> float:
        """Return the share of these requests that were answered within their latency objective."""
        objectives_us = {cls.name: cls.latency_objective_us for cls in self.settings.classes}
        counted = list(requests)
        good = sum(0 < request.answered_at <= request.at + objectives_us[request.cls] for request in counted)
        return good / len(counted) if counted else 1.0
