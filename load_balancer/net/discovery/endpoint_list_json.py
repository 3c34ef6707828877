"""Parser for the endpoint list in discovery's JSON format.

The field names of the format (`uid`, `boot_ms`, `pod_group` ...) are used only here. The parser performs
no I/O.
"""

from __future__ import annotations

import hashlib
import re

from load_balancer.errors import InvalidFieldError
from load_balancer.messages import Endpoint, EndpointStatus
from load_balancer.net.addresses import Address
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.settings import JsonObject, optional_field, required_field

# Unix time in milliseconds, in the year 5138. A start in a smaller unit exceeds it and would keep its
# endpoint in slow start permanently.
MAX_BOOT_MS = 10**14
MAX_PORT = 65535
STATUS_BY_STATE = {
    "in_service": EndpointStatus.UP,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.REMOVED,
}
ADDRESS = re.compile(r"([0-9A-Za-z._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")


def endpoint_id_from_uid(uid: str) -> int:
    """Return the policy's endpoint id for a uid. It is the same in every proxy and after every restart."""
    # JSON may contain half of a surrogate pair. Without this error handler, one such uid would make a
    # complete list unreadable.
    name = uid.encode(errors="surrogatepass")
    return int.from_bytes(hashlib.blake2b(name, digest_size=7).digest(), "big")


def read_address(text: str, where: str, min_port: int = 1) -> Address:
    """Parse `host:port`, with an IPv6 host in brackets.

    Args:
        text: The address.
        where: The name of the field, for the error.
        min_port: The lowest valid port.

    Raises:
        InvalidFieldError: The text is not a valid address.
    """
    found = ADDRESS.fullmatch(text)
    if found is None or not min_port <= int(found[2]) <= MAX_PORT:
        raise InvalidFieldError(where, f"is not a valid host:port address: {text!r:.60}")
    return found[1].strip("[]"), int(found[2])


def read_list(raw: object, where: str = "") -> EndpointListMessage:
    """Convert a parsed JSON value to an endpoint list.

    Args:
        raw: The output of the JSON parser.
        where: The path of the enclosing object, such as "known.", for the error.

    Raises:
        WireError: A field is missing or invalid; the error names it.
    """
    endpoints: list[Endpoint] = []
    addresses: dict[int, Address] = {}
    uids: dict[int, str] = {}
    for index, entry in enumerate(required_field(raw, "targets", list, where)):
        path = f"{where}targets[{index}]."
        uid = required_field(entry, "uid", str, path)
        endpoint = _read_endpoint(entry, uid, path)
        uids[endpoint.id] = uid
        endpoints.append(endpoint)
        addresses.pop(endpoint.id, None)  # from an earlier entry for the same endpoint
        if endpoint.status is not EndpointStatus.REMOVED:
            address = required_field(entry, "endpoint", str, path)
            addresses[endpoint.id] = read_address(address, path + "endpoint")
    version = required_field(raw, "rev", int, where)
    is_complete = required_field(raw, "all", bool, where)
    if version < 0:
        raise InvalidFieldError(f"{where}rev", f"is negative: {version}")
    return EndpointListMessage(
        version=version, is_complete=is_complete, endpoints=tuple(endpoints), addresses=addresses, uids=uids
    )


def _read_endpoint(entry: JsonObject, uid: str, path: str) -> Endpoint:
    """Convert one entry of a list; `path` is its position, such as "targets[0].", for the error."""
    state = required_field(entry, "state", str, path)
    if state not in STATUS_BY_STATE:
        raise InvalidFieldError(f"{path}state", f"has an unknown value: {state!r:.60}")
    boot_ms = optional_field(entry, "boot_ms", 0.0, path)
    if not 0 <= boot_ms <= MAX_BOOT_MS:
        raise InvalidFieldError(f"{path}boot_ms", f"is not a start time in milliseconds: {boot_ms!r:.60}")
    return Endpoint(
        id=endpoint_id_from_uid(uid),
        status=STATUS_BY_STATE[state],
        zone=optional_field(entry, "az", "", path),
        cell=optional_field(entry, "pod_group", 0, path),
        incarnation_us=round(1_000 * boot_ms),
    )
