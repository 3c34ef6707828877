"""The process configuration: where it comes from, how it is read and checked.

The file that `NODE_CONFIG` names holds JSON; three of its keys can be overridden by the environment.
`ConfigSource` is read once at the start and again at each SIGHUP; a `Config` is taken up as a whole or not
at all. The settings inside are read by `settings.read_settings`, in the form that the simulator has too.
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
DEFAULT_DESCRIPTORS = 1024  # where `limits.sockets` is not given


@dataclass(frozen=True)
class Config:
    """The configuration of one proxy process."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # file descriptors that the platform allows
    connect_timeout_s: float
    idle_s: float  # a connection to an endpoint that was idle for longer is not used again
    cached_list: EndpointListMessage | None  # the endpoint list as last known before this start
    settings: messages.Settings


class ConfigSource:
    """The file that holds the configuration, and the environment variables that override some of its keys.

    A variable overrides its key only where it differed from the file at the start. Elsewhere it is a copy of
    that file, and would hide a later change of it.
    """

    def __init__(self, environment: Mapping[str, str]) -> None:
        """Find the file and the overrides.

        Raises:
            UnsetVariableError: `NODE_CONFIG` is not set.
            UnreadableConfigError: Its file cannot be read or holds no JSON.
        """
        path = environment.get(CONFIG_VARIABLE, "")
        if not path:
            raise UnsetVariableError(CONFIG_VARIABLE)
        self._path = Path(path)
        self._overrides = _find_overrides(environment, self._load())

    def read(self) -> Config:
        """Return the configuration as the file has it now.

        Raises:
            ConfigError: A field is missing or cannot be used; the message names it.
            UnreadableConfigError: The file cannot be read or holds no JSON.
        """
        fields = {**self._load(), **self._overrides}
        try:
            return read_config(fields)
        except WireError as error:
            raise ConfigError(str(error)) from None

    def _load(self) -> JsonObject:
        """Return the keys of the file, none where its JSON is no object.

        Raises:
            UnreadableConfigError: The file cannot be read or holds no JSON.
        """
        try:
            raw = json.loads(self._path.read_bytes())
        except (OSError, ValueError, RecursionError) as error:
            raise UnreadableConfigError(CONFIG_VARIABLE, error) from None
        return raw if isinstance(raw, dict) else {}


def _find_overrides(environment: Mapping[str, str], from_file: JsonObject) -> dict[str, str]:
    """Return what the environment says otherwise than the file, by the file's keys."""
    return {
        key: environment[variable]
        for key, variable in OVERRIDE_VARIABLES.items()
        if environment.get(variable) and environment[variable] != from_file.get(key)
    }


def read_config(fields: JsonObject) -> Config:
    """Read a configuration from the keys of its file.

    Raises:
        WireError: A field is missing or cannot be used; the message names it.
    """
    settings = required_field(fields, "settings", dict)
    limits = required_field(settings, "limits", dict, "settings.")
    connect_timeout_us = required_field(limits, "connectTimeoutUs", int, "settings.limits.")
    idle_us = required_field(limits, "connIdleUs", int, "settings.limits.")
    process_limits = optional_field(fields, "limits", {})
    sockets = optional_field(process_limits, "sockets", DEFAULT_DESCRIPTORS, "limits.")
    check_minimum("settings.limits.connectTimeoutUs", connect_timeout_us, 1)
    check_minimum("settings.limits.connIdleUs", idle_us, 0)
    check_minimum("limits.sockets", sockets, 1)
    return Config(
        name=required_field(fields, "name", str),
        listen=read_address(required_field(fields, "listen", str), "listen", min_port=0),
        discovery=read_address(required_field(fields, "discovery", str), "discovery"),
        seed=read_seed(fields),
        sockets=sockets,
        connect_timeout_s=connect_timeout_us / 1e6,
        idle_s=idle_us / 1e6,
        cached_list=read_cached_list(fields.get("known")),
        settings=read_settings(settings),
    )


def check_minimum(field: str, value: int, minimum: int) -> None:
    """Check a whole number against the least that is allowed.

    Raises:
        InvalidFieldError: The value is below its minimum.
    """
    if value < minimum:
        raise InvalidFieldError(field, f"is below {minimum}: {value}")


def read_cached_list(raw: object) -> EndpointListMessage | None:
    """Read the endpoint list as last known; return none where it is absent or cannot be used.

    A process that ended over a malformed list could not start until somebody mended the file, though
    discovery tells which endpoints there are.
    """
    try:
        return read_list(raw, "known.") if raw else None
    except WireError as error:
        log.warning("the list as last known cannot be used: %s", error)
        return None


def read_seed(fields: JsonObject) -> int:
    """Read the seed of the random numbers: a whole number of any size, or a hexadecimal text.

    Raises:
        FieldError: The seed is missing or neither of these.
    """
    seed = fields.get("seed")
    if type(seed) is int:  # not checked against a range: no float or timer takes it
        return seed
    text = required_field(fields, "seed", str)
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidFieldError("seed", f"is not a hexadecimal number: {text!r:.60}") from None
