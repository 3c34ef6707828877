"""Reload on SIGHUP: an invalid configuration changes nothing, and the error names the invalid field.

An invalid cached list is the exception: it is logged and ignored.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tests.support.config_fields import (
    FIRST_REQUEST_CLASS,
    NUMBER_FIELDS,
    FieldPath,
    config_with_field,
    field_name,
)
from tests.support.loopback_proxy import running_proxy
from tests.support.proxy_process import proxy_config
from tests.support.reload_harness import ReloadHarness

STRING_FIELDS: list[FieldPath] = [
    ("name",),
    ("listen",),
    ("discovery",),
    ("settings", "registryMode"),
    ("settings", "zone"),
    (*FIRST_REQUEST_CLASS, "name"),
    (*FIRST_REQUEST_CLASS, "idempotency"),
    (*FIRST_REQUEST_CLASS, "keyScope"),
    ("settings", "tenants", 0, "name"),
]


OBJECT_FIELDS: list[FieldPath] = [
    ("limits",),
    ("settings",),
    ("settings", "limits"),
    ("settings", "contract"),
    ("settings", "resultMix"),
    ("settings", "deductions"),
]


ARRAY_FIELDS: list[FieldPath] = [("settings", "lanes"), ("settings", "tenants")]


BOOLEAN_FIELDS: list[FieldPath] = [
    ("settings", "limits", name) for name in ("cancel", "probing", "retryAfter")
]


INTEGER_FIELDS: list[FieldPath] = [
    ("settings", "limits", "maxRetryAfterUs"),
    ("settings", "contract", "fallUs"),
    ("settings", "instances"),
    ("settings", "index"),
    (*FIRST_REQUEST_CLASS, "onTimeUs"),
    (*FIRST_REQUEST_CLASS, "repeatWindowUs"),
]


FLOAT_FIELDS: list[FieldPath] = [
    ("settings", "resultMix", "worstClass"),
    (*FIRST_REQUEST_CLASS, "lateValue"),
    ("settings", "tenants", 0, "quotaPerS"),
]


WRONG_TYPE_VALUES: list[tuple[FieldPath, tuple[object, ...]]] = [
    (("seed",), (1.5, True, [], {}, None, "xyz", "")),
    (("listen",), ("", "nowhere", "127.0.0.1", ":80", "127.0.0.1:65536", "127.0.0.1:-1", "a b:80")),
    (("discovery",), ("", "nowhere", "127.0.0.1", ":80", "127.0.0.1:0", "127.0.0.1:65536", "\ud800:80")),
    *((path, (5, True, [], {})) for path in STRING_FIELDS),
    *((path, (5, True, "x", [])) for path in OBJECT_FIELDS),
    *((path, (5, True, "x", {})) for path in ARRAY_FIELDS),
    *((path, (5, 0, "true", [], {})) for path in BOOLEAN_FIELDS),
    *((path, (True, "x", "5", 1.5, [], {})) for path in INTEGER_FIELDS),
    *((path, (True, "x", "5", [], {})) for path in FLOAT_FIELDS),
    *((path, (True, "x", "5", [], {})) for path in NUMBER_FIELDS),
    *(((name,), (None,)) for name in ("name", "listen", "discovery", "settings")),
    *((("settings", *rest), (None,)) for rest in (("lanes",), ("contract",), ("limits",))),
]


@pytest.mark.parametrize(
    ("path", "values"), WRONG_TYPE_VALUES, ids=[field_name(path) for path, _ in WRONG_TYPE_VALUES]
)
async def test_reload_names_a_field_of_the_wrong_type_and_keeps_the_old_configuration(
    tmp_path: Path, path: FieldPath, values: tuple[object, ...], caplog: pytest.LogCaptureFixture
) -> None:
    async with running_proxy() as proxy:
        harness = ReloadHarness(tmp_path, proxy, caplog)
        for value in values:
            changed_config = config_with_field(path, value)
            if path != ("discovery",):
                changed_config["discovery"] = "127.0.0.1:2"
            harness.path.write_text(json.dumps(changed_config))
            harness.assert_rejected(f"field {field_name(path)}")
        harness.assert_valid_file_is_applied()


INVALID_FILES: dict[str, tuple[bytes, str]] = {
    "empty": (b"", "NODE_CONFIG"),
    "truncated": (json.dumps(proxy_config(discovery="127.0.0.1:2")).encode()[:-20], "NODE_CONFIG"),
    "not UTF-8": (b'{"name":"\xff\xfe"}', "NODE_CONFIG"),
    "deeply nested": (b"[" * 100_000 + b"]" * 100_000, "NODE_CONFIG"),
    "an array": (b"[1]", "field settings"),
    "a number": (b"1", "field settings"),
    "null": (b"null", "field settings"),
    "a number of 5000 digits": (b'{"seed":' + b"1" * 5_000 + b"}", "NODE_CONFIG"),
}


@pytest.mark.parametrize(("content", "expected_text"), INVALID_FILES.values(), ids=INVALID_FILES.keys())
async def test_reload_of_an_invalid_file_changes_nothing(
    tmp_path: Path, content: bytes, expected_text: str, caplog: pytest.LogCaptureFixture
) -> None:
    async with running_proxy() as proxy:
        harness = ReloadHarness(tmp_path, proxy, caplog)
        harness.path.write_bytes(content)
        harness.assert_rejected(expected_text)
        harness.assert_valid_file_is_applied()


@pytest.mark.parametrize("fault", ["missing", "a folder", "a link to itself"])
async def test_reload_of_an_unreadable_file_changes_nothing(
    tmp_path: Path, fault: str, caplog: pytest.LogCaptureFixture
) -> None:
    async with running_proxy() as proxy:
        harness = ReloadHarness(tmp_path, proxy, caplog)
        harness.path.unlink()
        if fault == "a folder":
            harness.path.mkdir()
        elif fault == "a link to itself":
            harness.path.symlink_to(harness.path)
        harness.assert_rejected("NODE_CONFIG")
        if fault == "a folder":
            harness.path.rmdir()
        else:
            harness.path.unlink(missing_ok=True)
        harness.assert_valid_file_is_applied()


async def test_reload_with_an_invalid_cached_list_still_moves_discovery(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async with running_proxy() as proxy:
        harness = ReloadHarness(tmp_path, proxy, caplog)
        harness.path.write_text(json.dumps(proxy_config(discovery="127.0.0.1:2", known={"rev": 1})))
        harness.reloader.reload()
        assert harness.discovery_addresses == [("127.0.0.1", 2)]
        assert "field known.targets" in caplog.text
