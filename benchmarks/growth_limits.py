"""Limits of the resources that a proxy may use in a large fleet, relative to a fleet of the usual size.

The operators set these limits for fleets with up to sixteen times the endpoints. They assume that the traffic
and the limits of a proxy stay the same, and that the total capacity of the endpoints per proxy does too.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, fields

KB = 1_000  # bytes; the decimal unit is the stricter interpretation
MB = 1_000_000


@dataclass(frozen=True, slots=True)
class Figures:
    """Resources that one proxy used in a run, or their limits (minimum for `share_served`, else maximum)."""

    cpu_s: float  # user and system time since the start of the process
    peak_memory: float  # resident memory, bytes
    descriptors: float  # maximum open at once
    connections: float  # total of connections to endpoints
    list_bytes: float  # total bytes of complete lists and changes that discovery sent
    share_served: float  # fraction of the requests with a 200 response before the deadline


@dataclass(frozen=True, slots=True)
class LimitViolation:
    """A figure that violates its limit."""

    name: str
    measured: float
    limit: float

    def __str__(self) -> str:
        """Return the name of the figure, the measured value and the limit, in the unit of the figure."""
        return f"{self.name}: {self.measured:.6g} is beyond {self.limit:.6g}"


def limits(base: Figures, endpoints: int) -> Figures:
    """Return the limits for a fleet.

    Args:
        base: The figures measured in a fleet of the usual size.
        endpoints: The number of endpoints of the fleet.
    """
    thousands = endpoints / 1_000
    return Figures(
        cpu_s=1.4 * base.cpu_s + 0.02 + 0.12 * thousands,
        peak_memory=1.5 * base.peak_memory + 8 * MB + 4 * MB * thousands,
        descriptors=2 * base.descriptors + 40,
        connections=2.5 * base.connections + 40,
        list_bytes=2 * base.list_bytes + 64 * KB + 500 * KB * thousands,
        share_served=0.85 * base.share_served,
    )


def limit_violations(
    measured: Figures, limit: Figures, ignored: frozenset[str] = frozenset()
) -> list[LimitViolation]:
    """Return the figures that violate their limits.

    Args:
        measured: The measured figures.
        limit: The limits.
        ignored: Names of figures that are not checked.
    """
    result = []
    for field, value, bound in zip(fields(Figures), astuple(measured), astuple(limit), strict=True):
        within = value >= bound if field.name == "share_served" else value <= bound
        if not within and field.name not in ignored:
            result.append(LimitViolation(field.name, value, bound))
    return result
