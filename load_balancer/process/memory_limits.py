"""Divides the memory of this process between connections, requests and responses.

Called at startup: once to limit the connections, and again when the process is ready, with what it holds by
then. What is left of the configured limit, less a reserve, may be held for peers.
"""

from __future__ import annotations

import logging
import os
import resource
from dataclasses import dataclass
from pathlib import Path

from load_balancer.net.client.client_limits import CLIENT_CONNECTION_BYTES
from load_balancer.net.memory_budget import MemoryLimits
from load_balancer.net.upstream.open_connections import ENDPOINT_CONNECTION_BYTES
from load_balancer.process.descriptor_limits import DescriptorLimits

log = logging.getLogger("load_balancer")

MIB = 1024 * 1024
STATM = Path("/proc/self/statm")
# Memory for what is no peer's: changes of the endpoint list, the interpreter's own growth, the parsing of one
# large head, free memory between allocations.
MIN_RESERVE_BYTES = 4 * MIB
RESERVE_SHARE = 0.1
# Shares of the memory for peers. Connections that are never opened leave theirs unused.
CONNECTION_SHARE = 0.45
REQUEST_SHARE = 0.35
# A process that holds more than its configuration allows still serves some peers.
MIN_PEER_BYTES = MIB


@dataclass(frozen=True, slots=True)
class MemoryDivision:
    """Memory for peers, in bytes.

    Attributes:
        connections_bytes: For open connections.
        limits: For requests and responses.
    """

    connections_bytes: int
    limits: MemoryLimits


def resident_bytes() -> int:
    """Return the resident memory of this process; its peak if the system does not tell the current one."""
    try:
        return int(STATM.read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def divide_memory(limit_bytes: int, held_bytes: int) -> MemoryDivision:
    """Divide what is left of a memory limit.

    Args:
        limit_bytes: The limit.
        held_bytes: What the process holds without peers.
    """
    reserve_bytes = max(MIN_RESERVE_BYTES, int(RESERVE_SHARE * limit_bytes))
    peer_bytes = limit_bytes - held_bytes - reserve_bytes
    if peer_bytes < MIN_PEER_BYTES:
        log.warning(
            "memory limit of %d MiB leaves too little for clients: %d MiB are held at startup",
            limit_bytes // MIB,
            held_bytes // MIB,
        )
        peer_bytes = MIN_PEER_BYTES
    connections_bytes = int(CONNECTION_SHARE * peer_bytes)
    requests_bytes = int(REQUEST_SHARE * peer_bytes)
    return MemoryDivision(
        connections_bytes, MemoryLimits(requests_bytes, peer_bytes - connections_bytes - requests_bytes)
    )


def limit_connections(by_descriptors: DescriptorLimits, connections_bytes: int) -> DescriptorLimits:
    """Return the numbers of connections that descriptors and memory allow, in the same proportion.

    Args:
        by_descriptors: The numbers that the descriptors allow.
        connections_bytes: The memory for connections.
    """
    all_bytes = (
        by_descriptors.client_connections * CLIENT_CONNECTION_BYTES
        + by_descriptors.upstream_connections * ENDPOINT_CONNECTION_BYTES
    )
    share = min(1.0, connections_bytes / all_bytes)
    return DescriptorLimits(
        max(1, int(share * by_descriptors.client_connections)),
        max(1, int(share * by_descriptors.upstream_connections)),
    )
