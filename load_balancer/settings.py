"""Reads a site's settings from JSON, in the form that the simulator and the real proxy share.

Called by `config.read_config` and by the simulator's wire. The words of that form stay in this module. The
checks of single fields are used by the other readers of JSON too.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Any, TypeVar

from load_balancer import messages
from load_balancer.errors import InvalidFieldError, MissingFieldError

JsonObject = dict[str, Any]

NUMBER_KINDS = (int, float)
# Numbers are below this and above its negative: float() and timers fail on an integer without end.
NUMBER_LIMIT = 2**64
DEFAULT_MAX_POLL_INTERVAL_US = 10_000_000  # where the settings don't say


def required_field(fields: Any, key: str, kind: type | tuple[type, ...], prefix: str = "") -> Any:
    """Return the value of a required key.

    Args:
        fields: The JSON object that should have the key.
        key: The key.
        kind: What the value has to be an instance of.
        prefix: The path to `fields`, for the error, as in "settings.limits.".

    Raises:
        MissingFieldError: The value is absent or null, or `fields` is no object.
        InvalidFieldError: The value is of another kind or out of range.
    """
    value = fields.get(key) if isinstance(fields, dict) else None
    if value is None:
        raise MissingFieldError(prefix + key)
    return checked_value(value, kind, prefix + key)


def optional_field(fields: JsonObject, key: str, default: Any, prefix: str = "") -> Any:
    """Return the value of an optional key, which is of the default's kind, or the default where it is null.

    Args:
        fields: The JSON object that may have the key.
        key: The key.
        default: What is returned where the key is absent or null.
        prefix: The path to `fields`, for the error, as in "settings.limits.".

    Raises:
        InvalidFieldError: The value is of another kind or out of range.
    """
    value = fields.get(key)
    if value is None:
        return default
    return checked_value(value, (int, float) if isinstance(default, float) else type(default), prefix + key)


def checked_value(value: Any, kind: type | tuple[type, ...], field: str) -> Any:
    """Return a value that is of the kind wanted and in range, a float with no fraction as an int.

    Raises:
        InvalidFieldError: The value is of another kind or out of range.
    """
    if kind is int and isinstance(value, float) and value.is_integer():
        value = int(value)  # JSON has one kind of number: 5.0 would keep the proxy from starting
    is_unexpected_bool = isinstance(value, bool) and kind is not bool  # Python's bool is an int
    if is_unexpected_bool or not isinstance(value, kind):
        raise InvalidFieldError(field, f"has a value of the wrong kind: {value!r:.60}")
    # Not a number compares false to everything.
    if isinstance(value, int | float) and not -NUMBER_LIMIT < value < NUMBER_LIMIT:
        raise InvalidFieldError(field, f"is out of range: {value!r:.60}")
    return value


# The messages' fields by the names that they have in JSON; all others are called the same there.
WIRE_NAMES = {
    "latency_objective_us": "onTimeUs",
    "deadline_us": "deadlineUs",
    "deduplication_window_us": "repeatWindowUs",
    "late_weight": "lateValue",
    "quota_per_s": "quotaPerS",
    "start_capacity": "startCapacity",
    "slow_start_us": "coldUs",
    "overload_multiple": "fallMultiple",
    "overload_window_us": "fallUs",
    "max_poll_interval_us": "mustAskInUs",
    "max_attempts": "maxAttempts",
    "retry_after_us": "maxRetryAfterUs",
    "connect_timeout_us": "connectTimeoutUs",
    "classes": "lanes",
    "over_quota_weight": "overShareWorth",
    "worst_class_weight": "resultMix.worstClass",
    "cross_zone_cost": "deductions.crossZone",
    "handshake_cost": "deductions.handshake",
    "tick_us": "tickUs",
    "priority_weight": "worth",
    "health_checks": "probing",
}


@contextmanager
def settings_field_names(prefix: str) -> Iterator[None]:
    """Turn the ValueError of a value that the messages do not take into one with the field as it was read.

    Raises:
        InvalidFieldError: In place of the ValueError, whose text begins with the messages' name for it.
    """
    try:
        yield
    except ValueError as error:
        name, _, problem = str(error).partition(" ")
        raise InvalidFieldError(prefix + WIRE_NAMES.get(name, name), problem) from None


EnumType = TypeVar("EnumType", bound=Enum)


def parse_enum(kind: type[EnumType], value: str, field: str) -> EnumType:
    """Return the member with this value.

    Raises:
        InvalidFieldError: There is none.
    """
    try:
        return kind(value)
    except ValueError:
        raise InvalidFieldError(field, f"has an unknown value: {value!r:.60}") from None


def read_class(lane: Any, prefix: str) -> messages.RequestClass:
    """Read one entry of `lanes`. Raises FieldError."""
    idempotency = parse_enum(
        messages.Idempotency, required_field(lane, "idempotency", str, prefix), prefix + "idempotency"
    )
    key_scope = parse_enum(
        messages.KeyScope, optional_field(lane, "keyScope", "all", prefix), prefix + "keyScope"
    )
    with settings_field_names(prefix):
        return messages.RequestClass(
            name=required_field(lane, "name", str, prefix),
            latency_objective_us=required_field(lane, "onTimeUs", int, prefix),
            deadline_us=required_field(lane, "deadlineUs", int, prefix),
            idempotency=idempotency,
            key_scope=key_scope,
            deduplication_window_us=optional_field(lane, "repeatWindowUs", 0, prefix),
            priority_weight=optional_field(lane, "worth", 1.0, prefix),
            late_weight=optional_field(lane, "lateValue", 0.0, prefix),
        )


def read_tenant(tenant: Any, prefix: str) -> messages.Tenant:
    """Read one entry of `tenants`. Raises FieldError."""
    with settings_field_names(prefix):
        return messages.Tenant(
            required_field(tenant, "name", str, prefix),
            required_field(tenant, "quotaPerS", NUMBER_KINDS, prefix),
        )


def read_rules(contract: JsonObject, prefix: str) -> messages.Rules:
    """Read `contract`, the platform's promises. Raises FieldError."""
    with settings_field_names(prefix):
        return messages.Rules(
            start_capacity=required_field(contract, "startCapacity", NUMBER_KINDS, prefix),
            slow_start_us=required_field(contract, "coldUs", int, prefix),
            overload_multiple=required_field(contract, "fallMultiple", NUMBER_KINDS, prefix),
            overload_window_us=required_field(contract, "fallUs", int, prefix),
            max_poll_interval_us=optional_field(
                contract, "mustAskInUs", DEFAULT_MAX_POLL_INTERVAL_US, prefix
            ),
        )


def read_limits(limits: JsonObject, prefix: str) -> messages.Limits:
    """Read `limits`, what the site allows. Raises FieldError."""
    may_advise_retry = optional_field(limits, "retryAfter", default=False, prefix=prefix)
    with settings_field_names(prefix):
        return messages.Limits(
            max_attempts=required_field(limits, "maxAttempts", int, prefix),
            cancel=optional_field(limits, "cancel", default=False, prefix=prefix),
            health_checks=optional_field(limits, "probing", default=False, prefix=prefix),
            retry_after_us=optional_field(limits, "maxRetryAfterUs", 0, prefix) if may_advise_retry else 0,
            connect_timeout_us=optional_field(limits, "connectTimeoutUs", 0, prefix),
        )


def read_settings(raw: JsonObject) -> messages.Settings:
    """Read the settings of one instance.

    Unknown keys are ignored; optional ones have the messages' defaults. Times are microseconds.

    Raises:
        FieldError: A setting is missing or cannot be used; the message names it in full.
    """
    prefix = "settings."
    lanes = required_field(raw, "lanes", list, prefix)
    contract = required_field(raw, "contract", dict, prefix)
    limits = required_field(raw, "limits", dict, prefix)
    prices = optional_field(raw, "deductions", {}, prefix)
    tenants = optional_field(raw, "tenants", [], prefix)
    with settings_field_names(prefix):
        return messages.Settings(
            classes=tuple(read_class(lane, f"{prefix}lanes[{n}].") for n, lane in enumerate(lanes)),
            rules=read_rules(contract, prefix + "contract."),
            limits=read_limits(limits, prefix + "limits."),
            tenants=tuple(read_tenant(tenant, f"{prefix}tenants[{n}].") for n, tenant in enumerate(tenants)),
            over_quota_weight=optional_field(raw, "overShareWorth", 1.0, prefix),
            worst_class_weight=read_worst_class_weight(raw, prefix),
            instances=optional_field(raw, "instances", 1, prefix),
            index=optional_field(raw, "index", 0, prefix),
            zone=optional_field(raw, "zone", "", prefix),
            cross_zone_cost=optional_field(prices, "crossZone", 0.0, prefix + "deductions."),
            handshake_cost=optional_field(prices, "handshake", 0.0, prefix + "deductions."),
            must_subscribe=optional_field(raw, "registryMode", "automatic", prefix) == "subscribe",
            tick_us=optional_field(raw, "tickUs", 1_000, prefix),
        )


def read_worst_class_weight(raw: JsonObject, prefix: str) -> float:
    """Read the weight of the worst class out of `resultMix`. Raises FieldError."""
    result_mix = optional_field(raw, "resultMix", {}, prefix)
    weight: float = optional_field(result_mix, "worstClass", 0.0, prefix + "resultMix.")
    return weight
