"""Reads a site's settings from the JSON format that the simulator and the real proxy share.

Called by `process.config` and by `simulator`. The key names of that format are used in this module only,
except for those of the limits on connections, which `process.config` reads. The functions that check a single
field are shared with the other readers of JSON.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Any, TypeVar

from load_balancer import messages
from load_balancer.errors import InvalidFieldError, MissingFieldError

JsonObject = dict[str, Any]

NUMBER_TYPES = (int, float)
# Exclusive bound of the absolute value of a number. JSON integers are unbounded, and float() and timers fail
# on very large ones.
NUMBER_LIMIT = 2**64
DEFAULT_MAX_POLL_INTERVAL_US = 10_000_000  # used if `mustAskInUs` is absent


def required_field(fields: Any, key: str, expected_type: type | tuple[type, ...], prefix: str = "") -> Any:
    """Return the value of a required key.

    Args:
        fields: The JSON object to read from.
        key: The key.
        expected_type: The type or types that the value must be an instance of.
        prefix: The path of `fields` for error messages, such as "settings.limits.".

    Raises:
        MissingFieldError: The value is absent or null, or `fields` is not an object.
        InvalidFieldError: The value has another type or is out of range.
    """
    value = fields.get(key) if isinstance(fields, dict) else None
    if value is None:
        raise MissingFieldError(prefix + key)
    return checked_value(value, expected_type, prefix + key)


def optional_field(fields: JsonObject, key: str, default: Any, prefix: str = "") -> Any:
    """Return the value of an optional key, or the default if the key is absent or null.

    Args:
        fields: The JSON object to read from.
        key: The key.
        default: The default value. Its type is the required type of the value; a float allows integers too.
        prefix: The path of `fields` for error messages, such as "settings.limits.".

    Raises:
        InvalidFieldError: The value has another type or is out of range.
    """
    value = fields.get(key)
    if value is None:
        return default
    return checked_value(value, (int, float) if isinstance(default, float) else type(default), prefix + key)


def checked_value(value: Any, expected_type: type | tuple[type, ...], field: str) -> Any:
    """Return the value after checking its type and range; convert an integral float if an int is expected.

    Raises:
        InvalidFieldError: The value has another type or is out of range.
    """
    if expected_type is int and isinstance(value, float) and value.is_integer():
        # JSON has one number type: without this conversion, 5.0 would prevent the proxy from starting.
        value = int(value)
    is_unexpected_bool = isinstance(value, bool) and expected_type is not bool  # bool is a subclass of int
    if is_unexpected_bool or not isinstance(value, expected_type):
        raise InvalidFieldError(field, f"has a value of the wrong type: {value!r:.60}")
    # NaN fails the range check, as every comparison with it is false.
    if isinstance(value, int | float) and not -NUMBER_LIMIT < value < NUMBER_LIMIT:
        raise InvalidFieldError(field, f"is out of range: {value!r:.60}")
    return value


# JSON names of the fields of `messages`. Fields that are not listed have the same name in JSON.
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
def translate_value_errors(prefix: str) -> Iterator[None]:
    """Convert a ValueError of a `messages` constructor into an error that names the JSON field.

    The text of the ValueError has to begin with the name of the field in `messages`.

    Args:
        prefix: The path of the JSON object, such as "settings.limits.".

    Raises:
        InvalidFieldError: The body raised a ValueError.
    """
    try:
        yield
    except ValueError as error:
        name, _, problem = str(error).partition(" ")
        raise InvalidFieldError(prefix + WIRE_NAMES.get(name, name), problem) from None


EnumType = TypeVar("EnumType", bound=Enum)


def parse_enum(enum_type: type[EnumType], value: str, field: str) -> EnumType:
    """Return the enum member that has this value.

    Raises:
        InvalidFieldError: No member has this value.
    """
    try:
        return enum_type(value)
    except ValueError:
        raise InvalidFieldError(field, f"has an unknown value: {value!r:.60}") from None


def read_request_class(raw_class: Any, prefix: str) -> messages.RequestClass:
    """Parse one entry of `lanes`. Raises FieldError."""
    idempotency = parse_enum(
        messages.Idempotency, required_field(raw_class, "idempotency", str, prefix), prefix + "idempotency"
    )
    key_scope = parse_enum(
        messages.KeyScope, optional_field(raw_class, "keyScope", "all", prefix), prefix + "keyScope"
    )
    with translate_value_errors(prefix):
        return messages.RequestClass(
            name=required_field(raw_class, "name", str, prefix),
            latency_objective_us=required_field(raw_class, "onTimeUs", int, prefix),
            deadline_us=required_field(raw_class, "deadlineUs", int, prefix),
            idempotency=idempotency,
            key_scope=key_scope,
            deduplication_window_us=optional_field(raw_class, "repeatWindowUs", 0, prefix),
            priority_weight=optional_field(raw_class, "worth", 1.0, prefix),
            late_weight=optional_field(raw_class, "lateValue", 0.0, prefix),
        )


def read_tenant(raw_tenant: Any, prefix: str) -> messages.Tenant:
    """Parse one entry of `tenants`. Raises FieldError."""
    with translate_value_errors(prefix):
        return messages.Tenant(
            required_field(raw_tenant, "name", str, prefix),
            required_field(raw_tenant, "quotaPerS", NUMBER_TYPES, prefix),
        )


def read_rules(contract: JsonObject, prefix: str) -> messages.Rules:
    """Parse `contract`, which describes what the platform guarantees. Raises FieldError."""
    with translate_value_errors(prefix):
        return messages.Rules(
            start_capacity=required_field(contract, "startCapacity", NUMBER_TYPES, prefix),
            slow_start_us=required_field(contract, "coldUs", int, prefix),
            overload_multiple=required_field(contract, "fallMultiple", NUMBER_TYPES, prefix),
            overload_window_us=required_field(contract, "fallUs", int, prefix),
            max_poll_interval_us=optional_field(
                contract, "mustAskInUs", DEFAULT_MAX_POLL_INTERVAL_US, prefix
            ),
        )


def read_limits(limits: JsonObject, prefix: str) -> messages.Limits:
    """Parse `limits`, which restricts what the balancer may do on this site. Raises FieldError."""
    may_advise_retry = optional_field(limits, "retryAfter", default=False, prefix=prefix)
    with translate_value_errors(prefix):
        return messages.Limits(
            max_attempts=required_field(limits, "maxAttempts", int, prefix),
            cancel=optional_field(limits, "cancel", default=False, prefix=prefix),
            health_checks=optional_field(limits, "probing", default=False, prefix=prefix),
            retry_after_us=optional_field(limits, "maxRetryAfterUs", 0, prefix) if may_advise_retry else 0,
            connect_timeout_us=optional_field(limits, "connectTimeoutUs", 0, prefix),
        )


def read_settings(raw: JsonObject) -> messages.Settings:
    """Parse the settings of one balancer.

    Unknown keys are ignored. Optional keys default to the values in `messages`. Times are in microseconds.

    Raises:
        FieldError: A setting is missing or invalid; the message contains its full path.
    """
    prefix = "settings."
    raw_classes = required_field(raw, "lanes", list, prefix)
    contract = required_field(raw, "contract", dict, prefix)
    limits = required_field(raw, "limits", dict, prefix)
    costs = optional_field(raw, "deductions", {}, prefix)
    tenants = optional_field(raw, "tenants", [], prefix)
    with translate_value_errors(prefix):
        return messages.Settings(
            classes=tuple(
                read_request_class(raw_class, f"{prefix}lanes[{index}].")
                for index, raw_class in enumerate(raw_classes)
            ),
            rules=read_rules(contract, prefix + "contract."),
            limits=read_limits(limits, prefix + "limits."),
            tenants=tuple(
                read_tenant(raw_tenant, f"{prefix}tenants[{index}].")
                for index, raw_tenant in enumerate(tenants)
            ),
            over_quota_weight=optional_field(raw, "overShareWorth", 1.0, prefix),
            worst_class_weight=read_worst_class_weight(raw, prefix),
            instances=optional_field(raw, "instances", 1, prefix),
            index=optional_field(raw, "index", 0, prefix),
            zone=optional_field(raw, "zone", "", prefix),
            cross_zone_cost=optional_field(costs, "crossZone", 0.0, prefix + "deductions."),
            handshake_cost=optional_field(costs, "handshake", 0.0, prefix + "deductions."),
            must_subscribe=optional_field(raw, "registryMode", "automatic", prefix) == "subscribe",
            tick_us=optional_field(raw, "tickUs", 1_000, prefix),
        )


def read_worst_class_weight(raw: JsonObject, prefix: str) -> float:
    """Parse the weight of the worst class in `resultMix`. Raises FieldError."""
    result_mix = optional_field(raw, "resultMix", {}, prefix)
    weight: float = optional_field(result_mix, "worstClass", 0.0, prefix + "resultMix.")
    return weight
