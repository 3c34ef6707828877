"""The endpoint list as discovery sends it, in messages that were read from the wire, and how changes join.

It holds no state. The watch joins what came together before it hands the messages on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from load_balancer.messages import Endpoint, EndpointStatus
from load_balancer.net.addresses import Address


@dataclass(frozen=True, slots=True)
class EndpointListMessage:
    """A complete endpoint list, or changes of one.

    Attributes:
        version: The version of the list that it leads to.
        is_complete: Whether it is a complete list: an endpoint that it does not name is gone.
        endpoints: The entries, in the order of the message.
        addresses: Where the endpoints are, by endpoint number; those that are removed have none.
        uids: Discovery's names of the endpoints, by endpoint number.
    """

    version: int
    is_complete: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[int, Address]
    uids: dict[int, str]


def merge_changes(
    messages: Iterable[EndpointListMessage], highest_version: int = -1
) -> list[EndpointListMessage]:
    """Return the same content in as few messages as possible: a release brings many with one entry each.

    Args:
        messages: The messages in the order in which they came.
        highest_version: The highest version that was known before. Changes with a lower one are not joined,
            as the policy applies such a message only in part.
    """
    merged: list[EndpointListMessage] = []
    can_merge = False  # whether changes may be joined to the last message
    for message in messages:
        is_newer_change = not message.is_complete and message.version >= highest_version
        if can_merge and is_newer_change and not _restores_removed(merged[-1], message):
            merged[-1] = _merge(merged[-1], message)
        else:
            merged.append(message)
        can_merge = is_newer_change
        highest_version = message.version if message.is_complete else max(highest_version, message.version)
    return merged


def _restores_removed(earlier: EndpointListMessage, later: EndpointListMessage) -> bool:
    """Return whether a message brings back an endpoint that the one before it took out of service.

    Joined, the two would hide that the endpoint was away, and what was kept for it before, as its idle
    connections, would be used for the one that is there now.
    """
    up = {endpoint.id for endpoint in later.endpoints if endpoint.status is EndpointStatus.UP}
    return any(
        endpoint.id in up and endpoint.status is not EndpointStatus.UP for endpoint in earlier.endpoints
    )


def _merge(earlier: EndpointListMessage, later: EndpointListMessage) -> EndpointListMessage:
    """Return two messages of changes as one. Of two entries for an endpoint the later counts."""
    entries = {endpoint.id: endpoint for endpoint in (*earlier.endpoints, *later.endpoints)}
    addresses = {number: address for number, address in earlier.addresses.items() if number not in later.uids}
    return EndpointListMessage(
        version=later.version,
        is_complete=False,
        endpoints=tuple(entries.values()),
        addresses=addresses | later.addresses,
        uids=earlier.uids | later.uids,
    )
