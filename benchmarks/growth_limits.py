"""How much more a proxy may need in a large fleet than in one of the usual size.

The limits are those that the operators set for a fleet with up to sixteen times the endpoints, where the
traffic of a proxy, its limits and the capacity of all endpoints, counted for each proxy, stay the same.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, fields

KB = 1_000  # bytes; decimal, the stricter reading
MB = 1_000_000


@dataclass(frozen=True, slots=True)
class Figures:
    """What one proxy needed over a play, or the most (for `share_served`, the least) that it may."""

    cpu_s: float  # user and system time since its start
    peak_memory: float  # bytes, resident
    descriptors: float  # the most that were open at once
    connections: float  # made to endpoints
    list_bytes: float  # that discovery wrote to it, complete lists and changes
    share_served: float  # of the calls, those answered with 200 in time


@dataclass(frozen=True, slots=True)
class LimitViolation:
    """A figure that is beyond its limit."""

    name: str
    measured: float
    limit: float

    def __str__(self) -> str:
        """Name the figure, what was measured and the limit, in the figure's own unit."""
        return f"{self.name}: {self.measured:.6g} is beyond {self.limit:.6g}"


def limits(base: Figures, endpoints: int) -> Figures:
    """Return the limits for a fleet of that many endpoints; `base` was measured on one of the usual size."""
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
    """Return the figures beyond their limits, but for those named."""
    result = []
    for field, value, bound in zip(fields(Figures), astuple(measured), astuple(limit), strict=True):
        within = value >= bound if field.name == "share_served" else value <= bound
        if not within and field.name not in ignored:
            result.append(LimitViolation(field.name, value, bound))
    return result
