"""Messages of the endpoint list, as parsed from the wire, and the merging of changes.

The module has no state. The watch merges messages that it received together before it passes them on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from load_balancer.messages import Endpoint, EndpointStatus
from load_balancer.net.addresses import Address


@dataclass(frozen=True, slots=True)
class EndpointListMessage:
    """A complete endpoint list, or changes to one.

    Attributes:
        version: The version of the list after this message is applied.
        is_complete: Whether it is a complete list: an endpoint that it does not contain has been removed.
        endpoints: The entries, in the order of the message.
        addresses: The addresses by endpoint id; removed endpoints have none.
        uids: The uids that discovery assigned to the endpoints, by endpoint id.
    """

    version: int
    is_complete: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[int, Address]
    uids: dict[int, str]


def merge_changes(
    messages: Iterable[EndpointListMessage], highest_version: int = -1
) -> list[EndpointListMessage]:
    """Return the same content in as few messages as possible, as a release causes many with one entry each.

    Args:
        messages: The messages in the order of their arrival.
        highest_version: The highest version that was known before. Changes with a lower version are not
            merged, because the policy applies such a message only in part.
    """
    merged: list[EndpointListMessage] = []
    can_merge = False  # whether changes may be merged into the last message
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
    """Return whether a message restores an endpoint that the previous message took out of service.

    Merging the two would hide that the endpoint was out of service. What was kept for it, such as its idle
    connections, would then be used for the restored one.
    """
    up_ids = {endpoint.id for endpoint in later.endpoints if endpoint.status is EndpointStatus.UP}
    return any(
        endpoint.id in up_ids and endpoint.status is not EndpointStatus.UP for endpoint in earlier.endpoints
    )


def _merge(earlier: EndpointListMessage, later: EndpointListMessage) -> EndpointListMessage:
    """Merge two messages with changes. Of two entries for an endpoint, the later one applies."""
    entries = {endpoint.id: endpoint for endpoint in (*earlier.endpoints, *later.endpoints)}
    addresses = {
        endpoint_id: address
        for endpoint_id, address in earlier.addresses.items()
        if endpoint_id not in later.uids
    }
    return EndpointListMessage(
        version=later.version,
        is_complete=False,
        endpoints=tuple(entries.values()),
        addresses=addresses | later.addresses,
        uids=earlier.uids | later.uids,
    )
