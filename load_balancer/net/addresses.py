"""Network addresses of discovery, the listener and the endpoints."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]  # host and port


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """An endpoint's id and its current address.

    The id distinguishes two endpoints that use the same address one after the other.

    Attributes:
        id: The endpoint's id, as in the policy.
        address: The host and port to connect to.
    """

    id: int
    address: Address
