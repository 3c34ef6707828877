"""Last defence of the memory limit: watches the resident memory, and sheds requests near the limit.

The memory budget keeps the process well below its limit if its charges are right. The guard does not depend
on them. `server` starts it when the process is ready.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from load_balancer.net.client.client_listener import ClientListener
from load_balancer.net.event_counters import EventKind
from load_balancer.net.repeated_log_lines import LogLine, periodic_line
from load_balancer.net.shared_resources import SharedResources

log = logging.getLogger("load_balancer")

CHECK_INTERVAL_S = 0.05
# Requests are shed while the process holds more than this share of its limit.
SHED_SHARE = 0.94
SHED_AT_ONCE = 50  # requests ended in one check
TRIM_INTERVAL_S = 0.5  # between two attempts to return free memory, each of which takes up to some ms
LOG_INTERVAL_S = 5.0


class MemoryGuard:
    """Checks the resident memory at intervals."""

    def __init__(
        self,
        limit_bytes: int,
        listener: ClientListener,
        shared: SharedResources,
        resident_bytes: Callable[[], int],
        return_free_memory: Callable[[], bool],
    ) -> None:
        """Start checking. Requires a running event loop.

        Args:
            limit_bytes: The memory limit of the process.
            listener: Ends incomplete requests.
            shared: The memory budget and the counters of the process.
            resident_bytes: Returns the resident memory.
            return_free_memory: Returns free memory to the system.
        """
        self._shed_above_bytes = int(SHED_SHARE * limit_bytes)
        self._listener = listener
        self._shared = shared
        self._resident_bytes = resident_bytes
        self._return_free_memory = return_free_memory
        self._loop = asyncio.get_running_loop()
        self._trimmed_at_s = -TRIM_INTERVAL_S
        self._log = periodic_line(
            log,
            LogLine(logging.ERROR, "%d KiB held, near the memory limit; ended %d requests; KiB held: %s"),
            "process was near its memory limit %d more times",
            LOG_INTERVAL_S,
        )
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self.check)

    def close(self) -> None:
        """Stop checking."""
        self._timer.cancel()

    def check(self) -> None:
        """Return free memory near the limit, and shed requests if that does not suffice."""
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self.check)
        held_bytes = self._resident_bytes()
        if held_bytes <= self._shed_above_bytes:
            return
        now_s = self._loop.time()
        if now_s - self._trimmed_at_s >= TRIM_INTERVAL_S:
            self._trimmed_at_s = now_s
            self._return_free_memory()
            held_bytes = self._resident_bytes()
        if held_bytes <= self._shed_above_bytes:
            return
        self._shared.counters.count(EventKind.MEMORY_SHED)
        ended_count = self._listener.clients.memory.shed_incomplete(SHED_AT_ONCE)
        self._log.record(now_s, held_bytes // 1024, ended_count, self._shared.budget.describe())
