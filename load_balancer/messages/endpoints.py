"""The entries of the endpoint list, as discovery publishes them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointStatus(Enum):
    """The status of an endpoint in the endpoint list."""

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
    # The latest start of the endpoint as published, which identifies the incarnation. 0: unknown; the
    # endpoint counts as warm.
    incarnation_us: int = 0
    # The same start on the balancer's clock. None: `incarnation_us` is on that clock already.
    started_us: int | None = None
