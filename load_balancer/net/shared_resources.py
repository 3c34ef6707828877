"""What all parts of the network side share: the memory budget and the counters of the process."""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer.net.event_counters import EventCounters
from load_balancer.net.memory_budget import MemoryBudget


@dataclass(frozen=True, slots=True)
class SharedResources:
    """The memory budget and the counters of one process.

    Attributes:
        budget: The memory that peers make the process hold.
        counters: Why requests and connections were refused, ended or made to wait.
    """

    budget: MemoryBudget = field(default_factory=MemoryBudget)
    counters: EventCounters = field(default_factory=EventCounters)
