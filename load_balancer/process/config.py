"""Reads and validates the process configuration.

`NODE_CONFIG` holds the path of a JSON file. Environment variables can override three of its keys.
`ConfigSource` reads the file at startup and at each SIGHUP; an invalid `Config` is rejected as a whole,
but an invalid cached list is only ignored. The `settings` object has the format that the simulator uses too,
and is parsed by `settings.read_settings`.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from load_balancer import messages
from load_balancer.errors import (
    ConfigError,
    InvalidFieldError,
    UnreadableConfigError,
    UnsetVariableError,
    WireError,
)
from load_balancer.net.addresses import Address
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_list_json import read_address, read_list
from load_balancer.settings import JsonObject, optional_field, read_settings, required_field

log = logging.getLogger("load_balancer")

CONFIG_VARIABLE = "NODE_CONFIG"
OVERRIDE_VARIABLES = {"name": "NODE_NAME", "listen": "NODE_LISTEN", "discovery": "NODE_DISCOVERY"}
DEFAULT_DESCRIPTORS = 1024  # used if `limits.sockets` is absent
DEFAULT_MEMORY_MB = 192  # used if `limits.memory_mb` is absent


@dataclass(frozen=True)
class Config:
    """The configuration of one proxy process."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # number of file descriptors that the platform allows
    memory_mb: int  # MiB of resident memory above which the platform kills the process
    connect_timeout_s: float
    idle_s: float  # a connection to an endpoint is not reused after it was idle for longer
    cached_list: EndpointListMessage | None  # the last endpoint list known before this start
    settings: messages.Settings


class ConfigSource:
    """The configuration file and the environment variables that override some of its keys.

    A variable overrides its key only if the two differed at startup. A variable that was equal to the file is
    a copy of the file's value, and as an override it would hide later changes of the file.
    """

    def __init__(self, environment: Mapping[str, str]) -> None:
        """Find the configuration file, and the variables that override its keys.

        Args:
            environment: The environment variables of the process.

        Raises:
            UnsetVariableError: `NODE_CONFIG` is not set.
            UnreadableConfigError: The file cannot be read or is not JSON.
        """
        path = environment.get(CONFIG_VARIABLE, "")
        if not path:
            raise UnsetVariableError(CONFIG_VARIABLE)
        self._path = Path(path)
        self._overrides = _find_overrides(environment, self._load_file())

    def read(self) -> Config:
        """Return the current configuration.

        Raises:
            ConfigError: A field is missing or invalid; the message names it.
            UnreadableConfigError: The file cannot be read or is not JSON.
        """
        fields = {**self._load_file(), **self._overrides}
        try:
            return read_config(fields)
        except WireError as error:
            raise ConfigError(str(error)) from None

    def _load_file(self) -> JsonObject:
        """Return the file's JSON object, or an empty one if the file holds JSON of another type.

        Raises:
            UnreadableConfigError: The file cannot be read or is not JSON.
        """
        try:
            raw = json.loads(self._path.read_bytes())
        except (OSError, ValueError, RecursionError) as error:
            raise UnreadableConfigError(CONFIG_VARIABLE, error) from None
        return raw if isinstance(raw, dict) else {}


def _find_overrides(environment: Mapping[str, str], file_fields: JsonObject) -> dict[str, str]:
    """Return the environment's values that differ from the file's, by configuration key."""
    return {
        key: environment[variable]
        for key, variable in OVERRIDE_VARIABLES.items()
        if environment.get(variable) and environment[variable] != file_fields.get(key)
    }


def read_config(fields: JsonObject) -> Config:
    """Parse and validate a configuration.

    Args:
        fields: The JSON object of the file, with overrides applied.

    Raises:
        WireError: A field is missing or invalid; the message names it.
    """
    settings = required_field(fields, "settings", dict)
    limits = required_field(settings, "limits", dict, "settings.")
    connect_timeout_us = required_field(limits, "connectTimeoutUs", int, "settings.limits.")
    idle_us = required_field(limits, "connIdleUs", int, "settings.limits.")
    process_limits = optional_field(fields, "limits", {})
    sockets = optional_field(process_limits, "sockets", DEFAULT_DESCRIPTORS, "limits.")
    memory_mb = optional_field(process_limits, "memory_mb", DEFAULT_MEMORY_MB, "limits.")
    check_minimum("limits.memory_mb", memory_mb, 1)
    check_minimum("settings.limits.connectTimeoutUs", connect_timeout_us, 1)
    check_minimum("settings.limits.connIdleUs", idle_us, 0)
    check_minimum("limits.sockets", sockets, 1)
    return Config(
        name=required_field(fields, "name", str),
        listen=read_address(required_field(fields, "listen", str), "listen", min_port=0),
        discovery=read_address(required_field(fields, "discovery", str), "discovery"),
        seed=read_seed(fields),
        sockets=sockets,
        memory_mb=memory_mb,
        connect_timeout_s=connect_timeout_us / 1e6,
        idle_s=idle_us / 1e6,
        cached_list=read_cached_list(fields.get("known")),
        settings=read_settings(settings),
    )


def check_minimum(field: str, value: int, minimum: int) -> None:
    """Check that an integer is not below its minimum.

    Raises:
        InvalidFieldError: The value is below the minimum.
    """
    if value < minimum:
        raise InvalidFieldError(field, f"is below {minimum}: {value}")


def read_cached_list(raw: object) -> EndpointListMessage | None:
    """Parse the cached endpoint list; return None if it is absent or invalid.

    An invalid list is not an error: otherwise the process could not start until the file was corrected,
    although discovery provides the current list.
    """
    try:
        return read_list(raw, "known.") if raw else None
    except WireError as error:
        log.warning("cached endpoint list in `known` ignored as invalid: %s", error)
        return None


def read_seed(fields: JsonObject) -> int:
    """Parse the seed of the random number generator: an integer of any size, or a hexadecimal string.

    Raises:
        FieldError: The seed is missing or invalid.
    """
    seed = fields.get("seed")
    if type(seed) is int:  # no range check: the seed is never converted to a float or a timer
        return seed
    text = required_field(fields, "seed", str)
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidFieldError("seed", f"is not a hexadecimal number: {text!r:.60}") from None
