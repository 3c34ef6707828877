"""Valid configuration values, their sources, and errors that name the invalid field."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from load_balancer import Balancer
from load_balancer.errors import ConfigError
from load_balancer.process.config import ConfigSource
from tests.support.config_fields import (
    FIRST_REQUEST_CLASS,
    NUMBER_FIELDS,
    FieldPath,
    config_with_field,
    field_name,
)
from tests.support.proxy_process import LIMITS, proxy_config, raw_settings, write_config


@pytest.mark.parametrize(
    "value",
    ["NaN", "Infinity", "-Infinity", "1e999", pytest.param("1" + "0" * 400, id="huge"), '"5"', "true"],
)
@pytest.mark.parametrize("path", NUMBER_FIELDS, ids=field_name)
def test_invalid_number_is_named_in_the_error(tmp_path: Path, path: FieldPath, value: str) -> None:
    env = write_config(tmp_path, proxy_config())
    text = json.dumps(config_with_field(path, "HERE")).replace('"HERE"', value)
    (tmp_path / "config.json").write_text(text)
    with pytest.raises(ConfigError) as raised:
        ConfigSource(env).read()
    assert f"field {field_name(path)} " in str(raised.value)
    assert "\n" not in str(raised.value)


INVALID_VALUES: list[tuple[FieldPath, object]] = [
    (("seed",), "8c1f30d27a5be96g"),
    (("limits", "sockets"), 0),
    (("limits", "sockets"), -1),
    (("settings", "limits", "connectTimeoutUs"), -1),
    (("settings", "limits", "connectTimeoutUs"), 0),
    (("settings", "limits", "connIdleUs"), -30),
    (("settings", "limits", "maxAttempts"), 0),
    (("settings", "contract", "startCapacity"), 1.5),
    (("settings", "contract", "coldUs"), -1),
    (("settings", "contract", "fallMultiple"), 0),
    (("settings", "contract", "fallUs"), 0),
    (("settings", "contract", "mustAskInUs"), 0),
    (("settings", "lanes"), []),
    ((*FIRST_REQUEST_CLASS, "name"), ""),
    ((*FIRST_REQUEST_CLASS, "idempotency"), "odd"),
    ((*FIRST_REQUEST_CLASS, "keyScope"), "odd"),
    ((*FIRST_REQUEST_CLASS, "onTimeUs"), 0),
    ((*FIRST_REQUEST_CLASS, "deadlineUs"), 0),
    ((*FIRST_REQUEST_CLASS, "repeatWindowUs"), -1),
    ((*FIRST_REQUEST_CLASS, "worth"), -1),
    ((*FIRST_REQUEST_CLASS, "lateValue"), 2),
    (("settings", "tenants"), [{"name": "a", "quotaPerS": 1}, {"name": "a", "quotaPerS": 1}]),
    (("settings", "overShareWorth"), -1),
    (("settings", "resultMix", "worstClass"), 2),
    (("settings", "instances"), 0),
    (("settings", "index"), 7),
    (("settings", "deductions", "crossZone"), -1),
    (("settings", "tickUs"), -1),
]


@pytest.mark.parametrize(
    ("path", "value"),
    INVALID_VALUES,
    ids=[f"{field_name(path)}={value!r:.20}" for path, value in INVALID_VALUES],
)
def test_invalid_value_is_named_in_the_error(tmp_path: Path, path: FieldPath, value: object) -> None:
    with pytest.raises(ConfigError) as raised:
        ConfigSource(write_config(tmp_path, config_with_field(path, value))).read()
    assert f"field {field_name(path)} " in str(raised.value)


def with_integers_as_floats(value: Any) -> Any:
    """Return the value with each integer as a float."""
    if isinstance(value, dict):
        return {key: with_integers_as_floats(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [with_integers_as_floats(inner) for inner in value]
    return float(value) if type(value) is int else value


def test_integer_may_be_written_with_a_decimal_point(tmp_path: Path) -> None:
    """JSON has one number type, and rejecting `3.0` would keep the proxy from starting."""
    content = config_with_field(("settings", "instances"), 3)
    config = ConfigSource(write_config(tmp_path, content)).read()
    seed = content["seed"]
    float_content = {**with_integers_as_floats(content), "seed": seed}
    assert '"instances": 3.0' in json.dumps(float_content)
    assert ConfigSource(write_config(tmp_path, float_content)).read() == config
    assert config.cached_list is not None


@pytest.mark.parametrize("seed", [0, -5, 2**64, 2**127, "0", "0x1f", "F" * 64])
def test_seed_may_be_of_any_size(tmp_path: Path, seed: int | str) -> None:
    """No float or timer uses the seed, and rejecting it would keep the proxy from starting."""
    config = ConfigSource(write_config(tmp_path, {**proxy_config(), "seed": seed})).read()
    assert config.seed == (seed if isinstance(seed, int) else int(seed, 16))
    Balancer(config.settings, config.seed)


def test_negative_quota_is_named_in_the_error(tmp_path: Path) -> None:
    tenants = [{"name": "a", "quotaPerS": 1}, {"name": "b", "quotaPerS": -1}]
    with pytest.raises(ConfigError, match=r"field settings\.tenants\[1\]\.quotaPerS is negative"):
        ConfigSource(write_config(tmp_path, config_with_field(("settings", "tenants"), tenants))).read()


def test_environment_overrides_the_file(tmp_path: Path) -> None:
    env = write_config(tmp_path, proxy_config())
    config = ConfigSource({**env, "NODE_LISTEN": "127.0.0.1:7", "NODE_DISCOVERY": "127.0.0.1:8"}).read()
    assert (config.listen, config.discovery) == (("127.0.0.1", 7), ("127.0.0.1", 8))
    assert config.seed == 0x8C1F30D27A5BE964
    assert (config.connect_timeout_s, config.idle_s) == (0.25, 30.0)
    assert config.settings.limits.connect_timeout_us == 250_000


def test_changed_file_overrides_an_environment_that_equalled_the_first_file(tmp_path: Path) -> None:
    env = {
        **write_config(tmp_path, proxy_config()),
        "NODE_DISCOVERY": "127.0.0.1:1",
        "NODE_LISTEN": "127.0.0.1:7",
    }
    source = ConfigSource(env)
    write_config(tmp_path, proxy_config(discovery="127.0.0.1:2", listen="127.0.0.1:3"))
    config = source.read()
    assert config.discovery == ("127.0.0.1", 2)  # the environment equalled the first file
    assert config.listen == ("127.0.0.1", 7)  # the environment differed from the first file


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": None}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": raw_settings()}, "settings.limits.connectTimeoutUs"),
        ({"settings": raw_settings(lanes=[{"name": "a"}], limits=LIMITS)}, "settings.lanes[0].idempotency"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
    ],
)
def test_invalid_configuration_names_the_field(tmp_path: Path, changes: dict[str, Any], field: str) -> None:
    with pytest.raises(ConfigError, match=field.replace("[", r"\[")):
        ConfigSource(write_config(tmp_path, proxy_config(**changes))).read()
