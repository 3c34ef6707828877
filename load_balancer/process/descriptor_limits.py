"""How many file descriptors this process may have, and how clients and endpoints share them.

Called once at the start, before anything listens. Its only state is the process's own soft limit, which it
may raise.
"""

from __future__ import annotations

import logging
import resource
from dataclasses import dataclass

log = logging.getLogger("load_balancer")

RESERVED_DESCRIPTORS = 32  # for all that is neither a client's connection nor one to an endpoint
CLIENT_SHARE = 0.6  # of the other descriptors, for clients' connections


@dataclass(frozen=True, slots=True)
class DescriptorLimits:
    """The most connections of each kind that may be open at once."""

    client_connections: int
    upstream_connections: int


def raise_descriptor_limit(configured: int) -> int:
    """Raise the process's own soft limit towards what is configured, and return what it may have then.

    That is as many as were configured, or fewer where the system's limit is lower. With the configured number
    alone, clients would be given a share of descriptors that do not exist, and could take all that do: no
    connection to an endpoint or to discovery could be opened then.

    Args:
        configured: The number of descriptors in the configuration.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    available = hard if hard != resource.RLIM_INFINITY else configured
    if soft != resource.RLIM_INFINITY and soft < min(configured, available):
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(configured, available), hard))
        except (OSError, ValueError) as error:
            log.warning("the limit of descriptors stays at %d: %s", soft, error)
            available = soft
    if available < configured:
        log.warning("the system gives %d descriptors of the %d in the settings", available, configured)
    return min(configured, available)


def divide_descriptors(configured: int) -> DescriptorLimits:
    """Divide what this process may have between clients and endpoints, one connection each at least.

    Args:
        configured: The number of descriptors in the configuration.
    """
    connections = max(2, raise_descriptor_limit(configured) - RESERVED_DESCRIPTORS)
    client_connections = max(1, int(CLIENT_SHARE * connections))
    return DescriptorLimits(client_connections, connections - client_connections)
