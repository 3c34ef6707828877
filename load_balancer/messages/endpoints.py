"""The entries of the endpoint list, as discovery states them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointStatus(Enum):
    """What the endpoint list says of an endpoint."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: int
    status: EndpointStatus = EndpointStatus.UP
    zone: str = ""
    cell: int = 0
    incarnation_us: int = 0  # its latest start as stated, which tells it from earlier ones; 0: long ago
    # The moment of that start on the balancer's clock; none: it was stated on that clock.
    started_us: int | None = None
