"""Reads an endpoint list in discovery's form, and joins changes that came together.

The words of the wire (`uid`, `boot_ms`, `pod_group` ...) stay in this module. It does no input or output.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable
from dataclasses import dataclass

from load_balancer import messages
from load_balancer.errors import WireError
from load_balancer.net.addresses import Address
from load_balancer.settings import JsonObject, optional_field, required_field

# Unix time, milliseconds, of the year 5138. A start stated in another unit would leave its endpoint in slow
# start for good.
MAX_BOOT_MS = 10**14
MAX_PORT = 65535
STATUS_BY_STATE = {
    "in_service": messages.EndpointStatus.UP,
    "terminating": messages.EndpointStatus.DRAINING,
    "terminated": messages.EndpointStatus.REMOVED,
}
ADDRESS = re.compile(r"([0-9A-Za-z._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")


@dataclass(frozen=True, slots=True)
class EndpointListMessage:
    """A complete endpoint list, or the changes of one, and where its endpoints are."""

    version: int
    is_complete: bool
    endpoints: tuple[messages.Endpoint, ...]
    addresses: dict[int, Address]  # by endpoint number; of those that still exist
    uids: dict[int, str]  # by endpoint number


def endpoint_number(uid: str) -> int:
    """The policy's number for a uid: the same at every proxy and after every restart."""
    # JSON may hold half of a surrogate pair. Without this handler one such uid would make a complete list
    # unreadable.
    name = uid.encode(errors="surrogatepass")
    return int.from_bytes(hashlib.blake2b(name, digest_size=7).digest(), "big")


def read_address(text: str, where: str, least_port: int = 1) -> Address:
    """Reads `host:port`, with an IPv6 host in brackets.

    Args:
        text: The address.
        where: The field that it is from, for the error.
        least_port: The lowest port that is valid.

    Raises:
        WireError: It is not an address.
    """
    found = ADDRESS.fullmatch(text)
    if found is None or not least_port <= int(found[2]) <= MAX_PORT:
        raise WireError(f"field {where} is not an address: {text!r:.60}")
    return found[1].strip("[]"), int(found[2])


def read_list(raw: object, where: str = "") -> EndpointListMessage:
    """Reads a list in discovery's form.

    Args:
        raw: The list as the JSON parser gave it.
        where: The path of the field that it is from, for the error.

    Raises:
        WireError: It cannot be understood; the error names the field.
    """
    backends: list[messages.Endpoint] = []
    addresses: dict[int, Address] = {}
    uids: dict[int, str] = {}
    for index, entry in enumerate(required_field(raw, "targets", list, where)):
        path = f"{where}targets[{index}]."
        uid = required_field(entry, "uid", str, path)
        backend = _read_endpoint(entry, uid, path)
        uids[backend.id] = uid
        backends.append(backend)
        addresses.pop(backend.id, None)  # of an earlier entry for it
        if backend.status is not messages.EndpointStatus.REMOVED:
            addresses[backend.id] = read_address(
                required_field(entry, "endpoint", str, path), path + "endpoint"
            )
    version, is_complete = required_field(raw, "rev", int, where), required_field(raw, "all", bool, where)
    if version < 0:
        raise WireError(f"field {where}rev is negative: {version}")
    return EndpointListMessage(version, is_complete, tuple(backends), addresses, uids)


def _read_endpoint(entry: JsonObject, uid: str, path: str) -> messages.Endpoint:
    state = required_field(entry, "state", str, path)
    if state not in STATUS_BY_STATE:
        raise WireError(f"field {path}state has an unknown value: {state!r:.60}")
    boot_ms = optional_field(entry, "boot_ms", 0.0, path)
    if not 0 <= boot_ms <= MAX_BOOT_MS:
        raise WireError(f"field {path}boot_ms is not a start: {boot_ms!r:.60}")
    return messages.Endpoint(
        id=endpoint_number(uid),
        status=STATUS_BY_STATE[state],
        zone=optional_field(entry, "az", "", path),
        cell=optional_field(entry, "pod_group", 0, path),
        incarnation_us=round(1_000 * boot_ms),
    )


def join_changes(
    messages: Iterable[EndpointListMessage], highest_version: int = -1
) -> list[EndpointListMessage]:
    """The same content in as few messages as possible: a release brings many with one entry each.

    Args:
        messages: In the order in which they came.
        highest_version: The highest version that was known before. Changes with a lower one are not joined,
            as the policy applies such a message only in part.
    """
    joined: list[EndpointListMessage] = []
    may_join = False  # whether changes may be joined to the last message
    for message in messages:
        is_newer_change = not message.is_complete and message.version >= highest_version
        if may_join and is_newer_change and not _restores_removed(joined[-1], message):
            joined[-1] = _join(joined[-1], message)
        else:
            joined.append(message)
        may_join = is_newer_change
        highest_version = message.version if message.is_complete else max(highest_version, message.version)
    return joined


def _restores_removed(first: EndpointListMessage, then: EndpointListMessage) -> bool:
    """Whether a message brings back what one before it took out of service.

    Joined, the two would hide that the endpoint was away, and what was kept for it before, as connections,
    would be used for the one that is there now.
    """
    up = {backend.id for backend in then.endpoints if backend.status is messages.EndpointStatus.UP}
    return any(
        backend.id in up and backend.status is not messages.EndpointStatus.UP for backend in first.endpoints
    )


def _join(first: EndpointListMessage, then: EndpointListMessage) -> EndpointListMessage:
    """Two messages of changes as one. Of two entries for an endpoint the later counts."""
    entries = {backend.id: backend for backend in (*first.endpoints, *then.endpoints)}
    addresses = {number: address for number, address in first.addresses.items() if number not in then.uids}
    return EndpointListMessage(
        version=then.version,
        is_complete=False,
        endpoints=tuple(entries.values()),
        addresses=addresses | then.addresses,
        uids=first.uids | then.uids,
    )
