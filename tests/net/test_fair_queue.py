"""The fair queue divides time equally between flows, and lets flows with little work go first."""

from __future__ import annotations

from load_balancer.net.fair_queue import FairQueue, Flow

LARGE_S = 0.018
SMALL_S = 0.0002


class FlowsWithWork:
    """Flows that always have work of the same cost, served by one queue."""

    def __init__(self, costs_s: dict[str, float]) -> None:
        self.costs_s = costs_s
        self.flows = {name: Flow() for name in costs_s}
        self.queue: FairQueue[str] = FairQueue()
        self.served_s = dict.fromkeys(costs_s, 0.0)
        for name in costs_s:
            self.push(name)

    def add(self, name: str, cost_s: float) -> None:
        """Add a flow that has work from now on."""
        self.costs_s[name], self.served_s[name] = cost_s, 0.0
        self.push(name)

    def push(self, name: str) -> None:
        self.queue.push(name, self.flows.setdefault(name, Flow()), self.costs_s[name])

    def serve(self) -> str:
        """Serve the next flow, and return its name."""
        name = self.queue.pop()
        self.queue.charge(self.flows[name], self.costs_s[name], len(self.queue) + 1)
        self.served_s[name] += self.costs_s[name]
        return name


def test_flows_get_equal_time_whatever_their_work_costs() -> None:
    world = FlowsWithWork({"large": LARGE_S, "medium": LARGE_S / 3, "small": SMALL_S})
    while sum(world.served_s.values()) < 10.0:
        world.push(world.serve())
    for served_s in world.served_s.values():
        assert abs(served_s - 10.0 / 3) <= 2 * LARGE_S


def test_flow_with_little_work_goes_before_flows_that_came_first_with_much() -> None:
    world = FlowsWithWork({f"large-{number}": LARGE_S for number in range(60)})
    world.add("small", SMALL_S)
    for _ in range(20):  # again and again, while each of the others is served at most once
        assert world.serve() == "small"
        world.push(world.serve())
        world.push("small")


def test_flow_with_much_work_is_served_beside_an_endless_stream_of_small_ones() -> None:
    world = FlowsWithWork({"large": LARGE_S, "small": SMALL_S})
    steps = 0
    while world.served_s["large"] == 0.0:
        world.push(world.serve())
        steps += 1
    assert steps <= 1 + 2 * LARGE_S / SMALL_S


def test_flow_with_much_work_is_served_beside_new_small_flows() -> None:
    world = FlowsWithWork({"large": LARGE_S})
    for number in range(1 + round(2 * LARGE_S / SMALL_S)):
        world.add(f"small-{number}", SMALL_S)
        world.serve()
    assert world.served_s["large"] == LARGE_S


def test_flow_that_was_served_alone_owes_nothing_later() -> None:
    world = FlowsWithWork({"early": LARGE_S})
    for _ in range(100):
        world.push(world.serve())
    world.serve()
    world.push("early")
    world.add("late", LARGE_S)
    assert [world.serve(), world.serve()] == ["early", "late"]


def test_equal_flows_are_served_in_order() -> None:
    world = FlowsWithWork(dict.fromkeys("abc", SMALL_S))
    order = ""
    for _ in range(6):
        name = world.serve()
        order += name
        world.push(name)
    assert order == "abcabc"
    assert len(world.queue) == 3
