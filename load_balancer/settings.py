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

NUMBER_LIMIT = (
    2**64
)  # numbers lie below it on both sides: an integer without end makes float() and timers fail
DEFAULT_POLL_LIMIT_US = 10_000_000  # the longest time between polls where the settings don't say


def required_field(fields: Any, key: str, kind: type | tuple[type, ...], where: str = "") -> Any:
    """Return a required value of a kind. `where` is the path to `fields`, as in "settings.limits.".

    Raises:
        MissingFieldError: It is absent or null, or `fields` is no object.
        InvalidFieldError: It is of another kind or out of range.
    """
    value = fields.get(key) if isinstance(fields, dict) else None
    if value is None:
        raise MissingFieldError(where + key)
    return checked_value(value, kind, where + key)


def optional_field(fields: JsonObject, key: str, default: Any, where: str = "") -> Any:
    """Return a value of the default's kind, or the default where it is absent or null.

    Raises:
        InvalidFieldError: It is of another kind or out of range.
    """
    value = fields.get(key)
    if value is None:
        return default
    return checked_value(value, (int, float) if isinstance(default, float) else type(default), where + key)


def checked_value(value: Any, kind: type | tuple[type, ...], field: str) -> Any:
    """Return the value where it is of this kind and in range, a whole float as an int where one is wanted.

    Raises:
        InvalidFieldError: It is of another kind or out of range.
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


NUMBER = (int, float)

WIRE_NAMES = {  # of the messages' fields in the form that is read; the others have the same name there
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
    "cross_zone_price": "deductions.crossZone",
    "handshake_price": "deductions.handshake",
    "tick_us": "tickUs",
    "priority_weight": "worth",
    "health_checks": "probing",
}


@contextmanager
def settings_field_names(where: str) -> Iterator[None]:
    """Turn the ValueError of a value that the messages do not take into one with the field as it was read.

    Raises:
        InvalidFieldError: In place of the ValueError, whose text begins with the messages' name for it.
    """
    try:
        yield
    except ValueError as error:
        name, _, problem = str(error).partition(" ")
        raise InvalidFieldError(where + WIRE_NAMES.get(name, name), problem) from None


EnumType = TypeVar("EnumType", bound=Enum)


def parse_enum(kind: type[EnumType], value: str, field: str) -> EnumType:
    """Return the member with this value. Raises InvalidFieldError where there is none."""
    try:
        return kind(value)
    except ValueError:
        raise InvalidFieldError(field, f"has an unknown value: {value!r:.60}") from None


def read_class(lane: Any, where: str) -> messages.RequestClass:
    """Read one entry of `lanes`. Raises FieldError."""
    idempotency = parse_enum(
        messages.Idempotency, required_field(lane, "idempotency", str, where), where + "idempotency"
    )
    key_scope = parse_enum(
        messages.KeyScope, optional_field(lane, "keyScope", "all", where), where + "keyScope"
    )
    with settings_field_names(where):
        return messages.RequestClass(
            name=required_field(lane, "name", str, where),
            latency_objective_us=required_field(lane, "onTimeUs", int, where),
            deadline_us=required_field(lane, "deadlineUs", int, where),
            idempotency=idempotency,
            key_scope=key_scope,
            deduplication_window_us=optional_field(lane, "repeatWindowUs", 0, where),
            priority_weight=optional_field(lane, "worth", 1.0, where),
            late_weight=optional_field(lane, "lateValue", 0.0, where),
        )


def read_tenant(tenant: Any, where: str) -> messages.Tenant:
    """Read one entry of `tenants`. Raises FieldError."""
    with settings_field_names(where):
        return messages.Tenant(
            required_field(tenant, "name", str, where), required_field(tenant, "quotaPerS", NUMBER, where)
        )


def read_rules(contract: JsonObject, where: str) -> messages.Rules:
    """Read `contract`, the platform's promises. Raises FieldError."""
    with settings_field_names(where):
        return messages.Rules(
            start_capacity=required_field(contract, "startCapacity", NUMBER, where),
            slow_start_us=required_field(contract, "coldUs", int, where),
            overload_multiple=required_field(contract, "fallMultiple", NUMBER, where),
            overload_window_us=required_field(contract, "fallUs", int, where),
            max_poll_interval_us=optional_field(contract, "mustAskInUs", DEFAULT_POLL_LIMIT_US, where),
        )


def read_limits(limits: JsonObject, where: str) -> messages.Limits:
    """Read `limits`, what the site allows. Raises FieldError."""
    advice = optional_field(limits, "retryAfter", False, where)
    with settings_field_names(where):
        return messages.Limits(
            max_attempts=required_field(limits, "maxAttempts", int, where),
            cancel=optional_field(limits, "cancel", False, where),
            health_checks=optional_field(limits, "probing", False, where),
            retry_after_us=optional_field(limits, "maxRetryAfterUs", 0, where) if advice else 0,
            connect_timeout_us=optional_field(limits, "connectTimeoutUs", 0, where),
        )


def read_settings(raw: JsonObject) -> messages.Settings:
    """Read the settings of one instance.

    Unknown keys are ignored; optional ones have the messages' defaults. Times are microseconds.

    Raises:
        FieldError: A setting is missing or cannot be used; the message names it in full.
    """
    top = "settings."
    lanes = required_field(raw, "lanes", list, top)
    contract = required_field(raw, "contract", dict, top)
    limits = required_field(raw, "limits", dict, top)
    prices = optional_field(raw, "deductions", {}, top)
    tenants = optional_field(raw, "tenants", [], top)
    with settings_field_names(top):
        return messages.Settings(
            classes=tuple(read_class(lane, f"{top}lanes[{n}].") for n, lane in enumerate(lanes)),
            rules=read_rules(contract, top + "contract."),
            limits=read_limits(limits, top + "limits."),
            tenants=tuple(read_tenant(t, f"{top}tenants[{n}].") for n, t in enumerate(tenants)),
            over_quota_weight=optional_field(raw, "overShareWorth", 1.0, top),
            worst_class_weight=optional_field(
                optional_field(raw, "resultMix", {}, top), "worstClass", 0.0, top + "resultMix."
            ),
            instances=optional_field(raw, "instances", 1, top),
            index=optional_field(raw, "index", 0, top),
            zone=optional_field(raw, "zone", "", top),
            cross_zone_price=optional_field(prices, "crossZone", 0.0, top + "deductions."),
            handshake_price=optional_field(prices, "handshake", 0.0, top + "deductions."),
            must_subscribe=optional_field(raw, "registryMode", "automatic", top) == "subscribe",
            tick_us=optional_field(raw, "tickUs", 1_000, top),
        )
