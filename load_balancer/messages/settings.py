"""The settings of one balancer: request classes, tenants, the platform's rules and the site's limits.

An impossible value raises `ImpossibleValueError`, which names the field.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class ImpossibleValueError(ValueError):
    """A field of the settings has a value that it can never have. The text begins with the field's name."""

    def __init__(self, field_name: str, problem: str) -> None:
        """Name the field and what is wrong with its value."""
        super().__init__(f"{field_name} {problem}")


def _require(field_name: str, problem: str, *, holds: bool) -> None:
    """Raise ImpossibleValueError unless the condition holds."""
    if not holds:
        raise ImpossibleValueError(field_name, problem)


class Idempotency(Enum):
    """What may happen when a request runs more than once."""

    SAFE = "safe"  # harmless
    KEYED = "keyed"  # a group of endpoints drops repeats for a while
    UNSAFE = "unsafe"  # must never happen


class KeyScope(Enum):
    """Which endpoints drop repeats of what one of them has run."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. Impossible values raise ImpossibleValueError."""

    name: str
    latency_objective_us: int  # an answer within this time earns the full weight
    deadline_us: int  # the longest that any client of the class waits
    idempotency: Idempotency = Idempotency.UNSAFE
    key_scope: KeyScope = KeyScope.ALL  # of a keyed class
    deduplication_window_us: int = 0  # how long repeats of a keyed class are dropped
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the weight earned between objective and deadline

    def __post_init__(self) -> None:
        """Raise ImpossibleValueError for an impossible value."""
        _require("name", "is empty", holds=self.name != "")
        _require("latency_objective_us", "is not above zero", holds=self.latency_objective_us > 0)
        _require("deadline_us", "is not above zero", holds=self.deadline_us > 0)
        _require("deduplication_window_us", "is negative", holds=self.deduplication_window_us >= 0)
        _require("priority_weight", "is negative", holds=self.priority_weight >= 0)
        _require("late_weight", "is outside 0 to 1", holds=0 <= self.late_weight <= 1)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer with a quota of requests."""

    name: str
    quota_per_s: float  # requests a second that count with their full weight, over all balancers

    def __post_init__(self) -> None:
        """Raise ImpossibleValueError for an impossible value."""
        _require("quota_per_s", "is negative", holds=self.quota_per_s >= 0)


@dataclass(frozen=True, slots=True)
class Rules:
    """The platform's figures for slow start, overload and discovery."""

    start_capacity: float = 1.0  # share of its capacity that an endpoint has at its start, at least
    slow_start_us: int = 0  # time from its start until an endpoint has its full capacity
    # An endpoint that is sent more than this multiple of its present capacity within a window is overloaded,
    # and ejected.
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000
    max_poll_interval_us: int = 10_000_000  # the longest time between polls when not subscribed

    def __post_init__(self) -> None:
        """Raise ImpossibleValueError for an impossible value."""
        _require("start_capacity", "is outside 0 to 1", holds=0 <= self.start_capacity <= 1)
        _require("slow_start_us", "is negative", holds=self.slow_start_us >= 0)
        _require("overload_multiple", "is not above zero", holds=self.overload_multiple > 0)
        _require("overload_window_us", "is not above zero", holds=self.overload_window_us > 0)
        _require("max_poll_interval_us", "is not above zero", holds=self.max_poll_interval_us > 0)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site allows."""

    max_attempts: int = 1
    cancel: bool = False
    health_checks: bool = False  # endpoints answer health checks
    retry_after_us: int = 0  # the longest Retry-After that clients heed; 0: none is sent
    connect_timeout_us: int = 0  # an attempt is written within this time of its start or not at all

    def __post_init__(self) -> None:
        """Raise ImpossibleValueError for an impossible value."""
        _require("max_attempts", "is below one", holds=self.max_attempts >= 1)
        _require("retry_after_us", "is negative", holds=self.retry_after_us >= 0)
        _require("connect_timeout_us", "is negative", holds=self.connect_timeout_us >= 0)


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one balancer. Impossible values raise ImpossibleValueError."""

    classes: tuple[RequestClass, ...]
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0  # weight of a request beyond its tenant's quota
    worst_class_weight: float = 0.0  # part of the goal that the worst-served class makes up
    instances: int = 1  # balancers that send to the same endpoints
    index: int = 0  # this balancer's number among them, from 0
    zone: str = ""  # where this balancer is
    # Prices, as shares of a request's weight.
    cross_zone_cost: float = 0.0  # of an attempt that leaves the zone
    handshake_cost: float = 0.0  # of a new connection
    must_subscribe: bool = False  # discovery sends the endpoint list only on request
    tick_us: int = 1_000  # events are handed over at this interval

    def __post_init__(self) -> None:
        """Raise ImpossibleValueError for an impossible value."""
        names = [request_class.name for request_class in self.classes]
        _require("classes", "is empty", holds=bool(names))
        _require("classes", "names a class twice", holds=len(set(names)) == len(names))
        _require(
            "tenants",
            "names a tenant twice",
            holds=len({tenant.name for tenant in self.tenants}) == len(self.tenants),
        )
        _require("over_quota_weight", "is outside 0 to 1", holds=0 <= self.over_quota_weight <= 1)
        _require("worst_class_weight", "is outside 0 to 1", holds=0 <= self.worst_class_weight <= 1)
        _require("instances", "is below one", holds=self.instances >= 1)
        _require("index", "is not below instances", holds=0 <= self.index < self.instances)
        _require("cross_zone_cost", "is negative", holds=self.cross_zone_cost >= 0)
        _require("handshake_cost", "is negative", holds=self.handshake_cost >= 0)
        _require("tick_us", "is negative", holds=self.tick_us >= 0)
