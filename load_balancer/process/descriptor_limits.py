"""Divides the file descriptors of this process between clients and endpoints.

Called once at startup, before the proxy listens. The only state is the soft limit of the process
(RLIMIT_NOFILE), which this module may raise.
"""

from __future__ import annotations

import logging
import resource
from dataclasses import dataclass

log = logging.getLogger("load_balancer")

RESERVED_DESCRIPTORS = 32  # for everything except connections of clients and to endpoints
CLIENT_SHARE = 0.6  # fraction of the remaining descriptors that client connections may use


@dataclass(frozen=True, slots=True)
class DescriptorLimits:
    """The maximum numbers of open connections."""

    client_connections: int
    upstream_connections: int


def raise_descriptor_limit(configured: int) -> int:
    """Raise the soft limit towards the configured number, and return the number of descriptors to use.

    The result is the configured number, or the system's limit if that is lower. If the system's limit were
    ignored, the clients' share could exceed the descriptors that exist. Clients could then use all of them,
    and no connection to an endpoint or to discovery could be opened.

    Args:
        configured: The number of descriptors in the configuration.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    available = hard if hard != resource.RLIM_INFINITY else configured
    if soft != resource.RLIM_INFINITY and soft < min(configured, available):
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(configured, available), hard))
        except (OSError, ValueError) as error:
            log.warning("cannot raise the file descriptor limit, it stays at %d: %s", soft, error)
            available = soft
    if available < configured:
        log.warning(
            "file descriptor limit is %d, below the configured %d; using the lower one", available, configured
        )
    return min(configured, available)


def divide_descriptors(configured: int) -> DescriptorLimits:
    """Divide the available descriptors between clients and endpoints; each side gets at least one connection.

    Args:
        configured: The number of descriptors in the configuration.
    """
    connections = max(2, raise_descriptor_limit(configured) - RESERVED_DESCRIPTORS)
    client_connections = max(1, int(CLIENT_SHARE * connections))
    return DescriptorLimits(client_connections, connections - client_connections)
