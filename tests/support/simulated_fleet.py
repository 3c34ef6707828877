"""Many real balancers before simulated endpoints and clients, on one clock that their events move.

There is no socket, thread or real time: events lie in a heap, and all chance comes from the seed. Times are
in microseconds.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import accumulate, count, pairwise

from load_balancer import Balancer, messages
from tests.support.units import MILLISECOND_US, SECOND_US

NET_US = 1 * MILLISECOND_US  # an attempt's way to its endpoint
FAIL_US = 5 * MILLISECOND_US  # how long a failing endpoint takes to respond
START_US = 10 * SECOND_US  # the clock's first moment


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
        self.starts: list[int] = []  # times of its restarts, in order
        self.service_us = slots * rules.overload_window_us / per_window  # of a call of mean work, while warm
        self.per_window = per_window  # calls of mean work that it does in `fall_us` while warm
        self.free_at = [0] * slots
        self.mode = "sound"  # or "failing", "refusing", "silent"
        self.slower = 1.0
        self.work: list[
            tuple[int, bool]
        ] = []  # time of each call or probe that came, and whether the sender knew

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
        took = work * self.service_us * self.slower / self.capacity(now)
        slot = min(range(len(self.free_at)), key=self.free_at.__getitem__)
        begins = max(now, self.free_at[slot])
        if begins - now > self.queue * self.service_us / len(self.free_at):
            return now + NET_US, messages.Outcome.REJECTED
        self.free_at[slot] = begins + int(took)
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
    """A client's request and its result."""

    cls: str
    tenant: str | None
    balancer: int
    at: int
    work: float
    sends: int = 0
    answered_at: int = 0  # 0: refused or failed
    over: bool = False


@dataclass
class SimulatedClient:
    """Where requests come from: a class, a tenant and their share of all requests."""

    cls: str
    part: float = 1.0
    tenant: str | None = None


@dataclass
class SimulatedFleet:
    """Balancers before endpoints, each of which does `per_window` requests in the overload window.

    `load` is the share of what all endpoints do while warm; `surge` multiplies it at a time.
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
    spread_us: int = 200 * MILLISECOND_US  # a change of the list reaches all balancers within this time
    uneven: float = 0.5  # spread of the traffic of balancers, as the sigma of a lognormal
    now: int = START_US
    calls: list[SimulatedRequest] = field(default_factory=list)
    attempts: list[tuple[int, int]] = field(default_factory=list)  # time and balancer of each send

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.order = count()
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.machines = [self._new_endpoint(number) for number in range(self.endpoint_count)]
        self.modules = [self._new_balancer(index) for index in range(self.balancers)]
        # By balancer: the start of each endpoint as its list states it.
        self.listed_starts_us: list[dict[int, int]] = [{} for _ in self.modules]
        self.running: dict[tuple[int, str, int], tuple[int, int, int]] = {}
        self.ended: set[tuple[int, int]] = set()  # timers that were taken back
        self.live: dict[str, SimulatedRequest] = {}
        self.version = 0
        weights = [self.rng.lognormvariate(0.0, self.uneven) for _ in self.modules]
        self.weights = list(accumulate(weights))
        self.parts = list(accumulate(c.part for c in self.clients))
        for index, module in enumerate(self.modules):
            self._carry_out(index, module.start(self.now))
        self.tell([m.entry for m in self.machines], kind=messages.EndpointListKind.COMPLETE, within=0)
        self.at(self.now, self._next_arrival)

    def _zone(self, number: int) -> str:
        return "abcdefgh"[number % self.zones]

    def _new_endpoint(self, number: int) -> SimulatedEndpoint:
        entry = messages.Endpoint(number, zone=self._zone(number), cell=number % 2)
        return SimulatedEndpoint(entry, self.per_window, self.settings.rules, self.slots, self.queue)

    def _new_balancer(self, index: int) -> Balancer:
        settings = replace(self.settings, instances=self.balancers, index=index)
        if settings.zone:
            settings = replace(settings, zone=self._zone(index))
        return Balancer(settings, self.seed * 10_007 + index)

    # The clock

    def at(self, when: int, what: Callable[[], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self.heap, (when, next(self.order), what))

    def run(self, until: int) -> None:
        """Let all events up to this time happen."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        self.now = until

    # The list

    def tell(
        self,
        entries: Iterable[messages.Endpoint],
        kind: messages.EndpointListKind = messages.EndpointListKind.CHANGES,
        within: int | None = None,
    ) -> None:
        """Send a list to all balancers, each at its own moment of the time in which changes spread."""
        self.version += 1
        news = messages.EndpointListUpdate(kind, self.version, tuple(entries))
        spread = self.spread_us if within is None else within
        for index in range(self.balancers):
            self.at(self.now + int(self.rng.random() * spread), lambda index=index: self._hear(index, news))  # type: ignore[misc]

    def _hear(self, index: int, news: messages.EndpointListUpdate) -> None:
        self.listed_starts_us[index].update({entry.id: entry.incarnation_us for entry in news.endpoints})
        self._feed(index, news)

    def restart(self, chosen: Iterable[SimulatedEndpoint]) -> None:
        """Restart these endpoints now, and send the list that says so."""
        entries = []
        for machine in chosen:
            machine.restart(self.now)
            entries.append(machine.entry)
        self.tell(entries)

    # Clients

    def _next_arrival(self) -> None:
        rate = (
            self.load * self.per_window * self.endpoint_count / self.settings.rules.overload_window_us
        )  # per microsecond
        if self.rng.random() * self.most_surge < self.surge(self.now):
            self.arrive(
                bisect_left(self.weights, self.rng.random() * self.weights[-1]),
                self.clients[bisect_left(self.parts, self.rng.random() * self.parts[-1])],
            )
        self.at(self.now + max(1, int(self.rng.expovariate(rate * self.most_surge))), self._next_arrival)

    def arrive(self, index: int, client: SimulatedClient) -> None:
        """Let a request of this client come to a balancer."""
        cls = next(c for c in self.settings.classes if c.name == client.cls)
        call = SimulatedRequest(
            client.cls, client.tenant, index, self.now, self.rng.lognormvariate(-0.08, 0.4)
        )
        request_id = f"r{len(self.calls)}"
        self.calls.append(call)
        self.live[request_id] = call
        self._feed(index, messages.Request(request_id, client.cls, cls.deadline_us, client.tenant))

    # Balancers

    def _feed(self, index: int, event: messages.Event) -> None:
        self._carry_out(index, self.modules[index].handle(self.now, event))

    def _carry_out(self, index: int, actions: list[messages.Action]) -> None:
        for action in actions:
            match action:
                case messages.StartAttempt():
                    self._send(index, action)
                case messages.SetTimer():
                    self.at(max(self.now, action.at_us), lambda t=action.timer: self._fire(index, t))  # type: ignore[misc]
                case messages.CancelTimer():
                    self.ended.add((index, action.timer))
                case messages.CancelAttempt():
                    key = (index, action.request, action.attempt)
                    self.at(self.now, lambda key=key: self._end(key, messages.Outcome.CANCELLED))  # type: ignore[misc]
                case messages.Reject() | messages.Fail():
                    self.live[action.request].over = True
                case messages.CheckHealth():
                    self._check_health(index, action.endpoint_id)
                case _:
                    pass

    def _fire(self, index: int, timer: int) -> None:
        if (index, timer) in self.ended:
            self.ended.remove((index, timer))
        else:
            self._feed(index, messages.TimerFired(timer))

    def _come(self, index: int, machine: SimulatedEndpoint) -> None:
        machine.work.append(
            (self.now, self.listed_starts_us[index].get(machine.entry.id) == machine.entry.incarnation_us)
        )

    def _send(self, index: int, send: messages.StartAttempt) -> None:
        call = self.live[send.request]
        machine = self.machines[send.endpoint_id]
        self.attempts.append((self.now, index))
        self._come(index, machine)
        key = (index, send.request, call.sends)
        call.sends += 1
        self.running[key] = (self.now, send.endpoint_id, send.timeout_us)
        work = call.work * self.rng.uniform(0.8, 1.2)
        end = machine.take(self.now + NET_US, work)
        if end is None or end[0] > self.now + send.timeout_us:
            self.at(self.now + send.timeout_us, lambda: self._end(key, messages.Outcome.TIMEOUT))
        else:
            self.at(end[0], lambda: self._end(key, end[1]))

    def _end(self, key: tuple[int, str, int], outcome: messages.Outcome) -> None:
        if key not in self.running:
            return
        sent_at, endpoint_id, _ = self.running.pop(key)
        index, request, attempt = key
        call = self.live[request]
        if outcome is messages.Outcome.OK and not call.over:
            call.over, call.answered_at = True, self.now
        took = self.now - sent_at
        self._feed(index, messages.AttemptEnded(request, attempt, endpoint_id, outcome, took, call.over))

    def _check_health(self, index: int, endpoint_id: int) -> None:
        machine = self.machines[endpoint_id]
        self._come(index, machine)
        alive = machine.mode != "silent"
        holds = float(sum(free > self.now for free in machine.free_at)) if alive else None
        wait = 2 * NET_US if alive else 250 * MILLISECOND_US
        self.at(
            self.now + wait, lambda: self._feed(index, messages.HealthCheckEnded(endpoint_id, alive, holds))
        )

    # Results

    def worst_cold(self, page: bool = False) -> tuple[float, int, float]:
        """Return the fullest window of an endpoint in slow start: share of the limit, attempts, the limit.

        Allowed are N + 2 x root of N + 2 attempts, by the `page` N + 3 x root of N + 3 where N is under 30.
        Each start of an endpoint counts by itself.
        """
        rules, worst = self.settings.rules, (0.0, 0, 0.0)
        for machine in self.machines:
            for since, ends in pairwise([*machine.starts, math.inf]):
                last = min(ends, since + rules.slow_start_us + rules.overload_window_us)
                times = [at for at, _ in machine.work if since <= at < last]
                for first, begins in enumerate(times):
                    if begins >= since + rules.slow_start_us:
                        break
                    n = rules.overload_multiple * machine.capacity(begins, since) * machine.per_window
                    slack = 3.0 if page and n < 30.0 else 2.0
                    allowed = n + slack * math.sqrt(n) + slack
                    held = bisect_left(times, begins + rules.overload_window_us) - first
                    worst = max(worst, (held / allowed, held, allowed))
        return worst

    def served(self, calls: Iterable[SimulatedRequest]) -> float:
        """Return the share of these requests that were answered within their latency objective."""
        objectives_us = {c.name: c.latency_objective_us for c in self.settings.classes}
        all_calls = list(calls)
        good = sum(0 < c.answered_at <= c.at + objectives_us[c.cls] for c in all_calls)
        return good / len(all_calls) if all_calls else 1.0
