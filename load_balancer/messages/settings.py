"""The settings of one balancer: request classes, tenants, rules of the platform and limits of the site.

An invalid value raises `ImpossibleValueError`, which names the field.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class ImpossibleValueError(ValueError):
    """Raised for a field of the settings with an invalid value. The message begins with the field's name."""

    def __init__(self, field_name: str, problem: str) -> None:
        """Format the message.

        Args:
            field_name: The name of the field.
            problem: The predicate that follows the name, as in "is negative".
        """
        super().__init__(f"{field_name} {problem}")


def _require(field_name: str, problem: str, *, holds: bool) -> None:
    """Raise ImpossibleValueError unless the condition holds."""
    if not holds:
        raise ImpossibleValueError(field_name, problem)


class Idempotency(Enum):
    """Whether a request of the class may run more than once."""

    SAFE = "safe"  # running it again has no further effect
    KEYED = "keyed"  # a group of endpoints drops duplicates by an idempotency key, for a limited time
    UNSAFE = "unsafe"  # it must not run twice


class KeyScope(Enum):
    """Which endpoints share idempotency keys, and so drop duplicates of what one of them has run."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. Invalid values raise ImpossibleValueError."""

    name: str
    latency_objective_us: int  # a response within this time earns the full weight
    deadline_us: int  # the longest time that a client of the class waits for a response
    idempotency: Idempotency = Idempotency.UNSAFE
    key_scope: KeyScope = KeyScope.ALL  # for keyed classes
    deduplication_window_us: int = 0  # for keyed classes: how long duplicates are dropped
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the weight that a response between objective and deadline earns

    def __post_init__(self) -> None:
        """Raise ImpossibleValueError for an invalid value."""
        _require("name", "is empty", holds=self.name != "")
        _require("latency_objective_us", "is not above zero", holds=self.latency_objective_us > 0)
        _require("deadline_us", "is not above zero", holds=self.deadline_us > 0)
        _require("deduplication_window_us", "is negative", holds=self.deduplication_window_us >= 0)
        _require("priority_weight", "is negative", holds=self.priority_weight >= 0)
        _require("late_weight", "is outside 0 to 1", holds=0 <= self.late_weight <= 1)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer with a request quota."""

    name: str
    quota_per_s: float  # requests per second, over all balancers, that have their full weight

    def __post_init__(self) -> None:
        """Raise ImpossibleValueError for an invalid value."""
        _require("quota_per_s", "is negative", holds=self.quota_per_s >= 0)


@dataclass(frozen=True, slots=True)
class Rules:
    """The platform's parameters for slow start, overload and discovery."""

    # Lower bound of an endpoint's capacity at its start, as a share of its full capacity.
    start_capacity: float = 1.0
    slow_start_us: int = 0  # time from the start of an endpoint to its full capacity
    # An endpoint that is sent more than this multiple of its current capacity within `overload_window_us` is
    # overloaded, and is ejected.
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000
    max_poll_interval_us: int = 10_000_000  # the longest time between polls without a subscription

    def __post_init__(self) -> None:
        """Raise ImpossibleValueError for an invalid value."""
        _require("start_capacity", "is outside 0 to 1", holds=0 <= self.start_capacity <= 1)
        _require("slow_start_us", "is negative", holds=self.slow_start_us >= 0)
        _require("overload_multiple", "is not above zero", holds=self.overload_multiple > 0)
        _require("overload_window_us", "is not above zero", holds=self.overload_window_us > 0)
        _require("max_poll_interval_us", "is not above zero", holds=self.max_poll_interval_us > 0)


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of the site."""

    max_attempts: int = 1
    cancel: bool = False  # attempts may be cancelled
    health_checks: bool = False  # endpoints support health checks
    retry_after_us: int = 0  # the longest Retry-After that clients respect; 0: the header is not sent
    connect_timeout_us: int = 0  # an attempt is written within this time of its start, or not at all

    def __post_init__(self) -> None:
        """Raise ImpossibleValueError for an invalid value."""
        _require("max_attempts", "is below one", holds=self.max_attempts >= 1)
        _require("retry_after_us", "is negative", holds=self.retry_after_us >= 0)
        _require("connect_timeout_us", "is negative", holds=self.connect_timeout_us >= 0)


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one balancer. Invalid values raise ImpossibleValueError."""

    classes: tuple[RequestClass, ...]
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0  # weight of a request beyond its tenant's quota
    worst_class_weight: float = 0.0  # share of the worst-served class in the objective of the balancer
    instances: int = 1  # number of balancers that send to the same endpoints
    index: int = 0  # index of this balancer among them
    zone: str = ""  # zone of this balancer
    # Costs, as shares of a request's weight.
    cross_zone_cost: float = 0.0  # of an attempt in another zone
    handshake_cost: float = 0.0  # of a new connection
    must_subscribe: bool = False  # discovery sends the endpoint list to subscribers only
    tick_us: int = 1_000  # interval at which events are passed to the balancer

    def __post_init__(self) -> None:
        """Raise ImpossibleValueError for an invalid value."""
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

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of all request classes, in seconds."""
        return max(request_class.deadline_us for request_class in self.classes) / 1e6
