"""Reading endpoint lists in JSON, and the errors that name an invalid field."""

from __future__ import annotations

import json

import pytest

from load_balancer.errors import WireError
from load_balancer.net.discovery.endpoint_list_json import endpoint_id_from_uid, read_list
from tests.support.endpoint_lists import endpoint_entry, endpoint_list


def test_endpoint_id_of_a_uid_is_stable() -> None:
    assert (
        endpoint_id_from_uid("s-5be2a07c")
        == endpoint_id_from_uid("s-5be2a07c")
        != endpoint_id_from_uid("s-5be2a07d")
    )
    assert endpoint_id_from_uid("s-5be2a07c") == 45325253487234402


def test_boot_time_is_read_as_unix_microseconds() -> None:
    [warm, cold] = read_list(
        endpoint_list(endpoint_entry("a", 1), endpoint_entry("b", 1, boot_ms=1_700_000_000_123))
    ).endpoints
    assert (warm.incarnation_us, cold.incarnation_us) == (0, 1_700_000_000_123_000)


def test_invalid_entry_is_named_in_the_error() -> None:
    with pytest.raises(WireError, match=r"targets\[1\]\.endpoint"):
        read_list(endpoint_list(endpoint_entry("a", 1), {**endpoint_entry("b", 1), "endpoint": "nowhere"}))


def test_uid_with_a_lone_surrogate_is_accepted() -> None:
    """JSON escapes can encode a lone surrogate."""
    text = json.dumps(endpoint_list(endpoint_entry("\ud800", 9)))
    assert list(read_list(json.loads(text)).uids) == [endpoint_id_from_uid("\ud800")]
