"""Addresses on the network: of discovery, of the listener and of endpoints."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]  # host and port


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """An endpoint and where it is now.

    The number keeps apart two endpoints that had the same address one after the other.

    Attributes:
        number: The endpoint's id in the decision module.
        address: Its host and port.
    """

    number: int
    address: Address
