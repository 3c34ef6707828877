"""What a configuration may hold, at the start and when it is read again."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from snowvalve.__main__ import ConfigError, Source
from tests.net_helpers import entry, listing
from tests.test_process import config, write

Path_ = tuple[str | int, ...]


def with_(path: Path_, value: object) -> dict[str, Any]:
    """The configuration with another value at a place in it."""
    made: Any = json.loads(json.dumps(config(known=listing(entry("a", 9)))))
    inner = made
    for step in path[:-1]:
        inner = inner[step] if not isinstance(inner, dict) else inner.setdefault(step, {})
    inner[path[-1]] = value
    assert isinstance(made, dict)
    return made


LANE: Path_ = ("settings", "lanes", 0)
NUMBERS: list[Path_] = [
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
    (*LANE, "worth"),
    (*LANE, "deadlineUs"),
]


def name_of(path: Path_) -> str:
    parts = [f"[{step}]" if isinstance(step, int) else f".{step}" for step in path]
    return "".join(parts).removeprefix(".")


@pytest.mark.parametrize(
    "value",
    ["NaN", "Infinity", "-Infinity", "1e999", pytest.param("1" + "0" * 400, id="huge"), '"5"', "true"],
)
@pytest.mark.parametrize("path", NUMBERS, ids=name_of)
def test_a_number_that_cannot_be_is_named(tmp_path: Path, path: Path_, value: str) -> None:
    env = write(tmp_path, config())
    text = json.dumps(with_(path, "HERE")).replace('"HERE"', value)
    (tmp_path / "config.json").write_text(text)
    with pytest.raises(ConfigError) as raised:
        Source(env).read()
    assert f"field {name_of(path)} " in str(raised.value) and "\n" not in str(raised.value)


IMPOSSIBLE: list[tuple[Path_, object]] = [
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
    ((*LANE, "name"), ""),
    ((*LANE, "idempotency"), "odd"),
    ((*LANE, "keyScope"), "odd"),
    ((*LANE, "onTimeUs"), 0),
    ((*LANE, "deadlineUs"), 0),
    ((*LANE, "repeatWindowUs"), -1),
    ((*LANE, "worth"), -1),
    ((*LANE, "lateValue"), 2),
    (("settings", "tenants"), [{"name": "a", "quotaPerS": 1}, {"name": "a", "quotaPerS": 1}]),
    (("settings", "overShareWorth"), -1),
    (("settings", "resultMix", "worstClass"), 2),
    (("settings", "instances"), 0),
    (("settings", "index"), 7),
    (("settings", "deductions", "crossZone"), -1),
    (("settings", "tickUs"), -1),
]


@pytest.mark.parametrize(
    ("path", "value"), IMPOSSIBLE, ids=[f"{name_of(p)}={v!r:.20}" for p, v in IMPOSSIBLE]
)
def test_an_impossible_value_is_named_as_in_the_file(tmp_path: Path, path: Path_, value: object) -> None:
    with pytest.raises(ConfigError) as raised:
        Source(write(tmp_path, with_(path, value))).read()
    assert f"field {name_of(path)} " in str(raised.value)


def test_an_impossible_quota_is_named_as_in_the_file(tmp_path: Path) -> None:
    tenants = [{"name": "a", "quotaPerS": 1}, {"name": "b", "quotaPerS": -1}]
    with pytest.raises(ConfigError, match=r"field settings\.tenants\[1\]\.quotaPerS is negative"):
        Source(write(tmp_path, with_(("settings", "tenants"), tenants))).read()
