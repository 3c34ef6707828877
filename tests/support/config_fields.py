"""Configurations with one field changed, and the names of such fields in error messages."""

from __future__ import annotations

import json
from typing import Any

from tests.support.endpoint_lists import endpoint_entry, endpoint_list
from tests.support.proxy_process import proxy_config

FieldPath = tuple[str | int, ...]


def config_with_field(path: FieldPath, value: object) -> dict[str, Any]:
    """Return a configuration with the field at this path set to this value."""
    config: Any = json.loads(json.dumps(proxy_config(known=endpoint_list(endpoint_entry("a", 9)))))
    config["settings"]["limits"]["retryAfter"] = True
    config["settings"]["tenants"] = [{"name": "t", "quotaPerS": 5}]
    parent = config
    for key in path[:-1]:
        parent = parent[key] if not isinstance(parent, dict) else parent.setdefault(key, {})
    parent[path[-1]] = value
    assert isinstance(config, dict)
    return config


FIRST_REQUEST_CLASS: FieldPath = ("settings", "lanes", 0)

NUMBER_FIELDS: list[FieldPath] = [
    ("limits", "sockets"),
    ("settings", "limits", "connectTimeoutUs"),
    ("settings", "limits", "connIdleUs"),
    ("settings", "limits", "maxAttempts"),
    ("settings", "contract", "startCapacity"),
    ("settings", "contract", "coldUs"),
    ("settings", "contract", "fallMultiple"),
    ("settings", "contract", "mustAskInUs"),
    ("settings", "overShareWorth"),
    ("settings", "deductions", "crossZone"),
    ("settings", "tickUs"),
    (*FIRST_REQUEST_CLASS, "worth"),
    (*FIRST_REQUEST_CLASS, "deadlineUs"),
]


def field_name(path: FieldPath) -> str:
    """Return the name by which an error message must refer to the field at this path."""
    parts = [f"[{key}]" if isinstance(key, int) else f".{key}" for key in path]
    return "".join(parts).removeprefix(".")
