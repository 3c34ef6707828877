"""Addresses on the network: of discovery, of the listener and of endpoints."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]  # host and port


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """An endpoint and where it is now.

    The id keeps apart two endpoints that had the same address one after the other.

    Attributes:
        id: The endpoint's id, as in the policy.
        address: The host and port that its connections go to.
    """

    id: int
    address: Address
