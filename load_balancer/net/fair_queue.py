"""Weighted fair queue: divides processing time equally between the flows that wait for it.

The queue approximates a processor that serves all waiting flows at the same time, each at the same rate. It
returns the flow that it would finish first (A. Demers, S. Keshav, S. Shenker: "Analysis and Simulation of a
Fair Queueing Algorithm", 1989). Therefore a flow with little work does not wait for flows with much work,
however many of those there are, and no flow waits forever. The module has no I/O and no clock.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

ItemT = TypeVar("ItemT")


@dataclass(slots=True)
class Flow:
    """Account of one flow, such as a connection, in its queue.

    Attributes:
        finish_s: Virtual time at which all work charged to the flow so far is finished, in seconds.
    """

    finish_s: float = 0.0


class _Entry(NamedTuple, Generic[ItemT]):
    finish_s: float
    number: int  # unique, so that items are never compared
    item: ItemT


class FairQueue(Generic[ItemT]):
    """Queue of the flows that have work, each at most once."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._entries: list[_Entry[ItemT]] = []
        self._numbers = itertools.count()
        # Virtual time advances by one second while each of the waiting flows is served for one second.
        self._virtual_s = 0.0

    def __len__(self) -> int:
        """Return the number of flows in the queue."""
        return len(self._entries)

    def push(self, item: ItemT, flow: Flow, expected_cost_s: float) -> None:
        """Add a flow that has work.

        Args:
            item: The item that `pop` returns.
            flow: The account of the flow.
            expected_cost_s: Expected duration of its next piece of work, in seconds.
        """
        start_s = max(self._virtual_s, flow.finish_s)
        heapq.heappush(self._entries, _Entry(start_s + expected_cost_s, next(self._numbers), item))

    def pop(self) -> ItemT:
        """Remove and return the item that would finish first. Raise IndexError if the queue is empty."""
        return heapq.heappop(self._entries).item

    def charge(self, flow: Flow, cost_s: float, flow_count: int) -> None:
        """Charge a flow for a piece of work that has been done.

        Args:
            flow: The account of the flow.
            cost_s: Duration of the work, in seconds.
            flow_count: Number of flows that had work at that time, with this one.
        """
        flow.finish_s = max(self._virtual_s, flow.finish_s) + cost_s
        self._virtual_s += cost_s / flow_count
