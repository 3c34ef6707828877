"""A restarted process is ready soon, whatever discovery does and whatever list it was given."""

from __future__ import annotations

from pathlib import Path

import pytest

from snowvalve.__main__ import Source
from tests.net_helpers import (
    entry,
    listing,
)
from tests.test_process import config, write

READY_S = 10.0  # by the terms, for nine in ten
STEP_S = 0.05
TURNS = 40  # of the event loop between two steps

SPOILT: dict[str, tuple[object, str]] = {
    "a number": (5, "known.targets"),
    "a text": ("list", "known.targets"),
    "no targets": ({"rev": 1, "all": True}, "known.targets"),
    "an entry without a uid": ({"rev": 1, "all": True, "targets": [{}]}, "known.targets[0].uid"),
    "an odd state": (listing(entry("a", 9, "odd")), "known.targets[0].state"),
    "an odd address": (listing(entry("a", 0)), "known.targets[0].endpoint"),
    "a start that cannot be": (listing(entry("a", 9, boot_ms=1e300)), "known.targets[0].boot_ms"),
    "a rev that cannot be": ({**listing(entry("a", 9)), "rev": 10**400}, "known.rev"),
}


@pytest.mark.parametrize(("known", "named"), SPOILT.values(), ids=SPOILT.keys())
def test_a_spoilt_list_in_the_configuration_is_dropped_with_a_line_that_names_the_field(
    tmp_path: Path, known: object, named: str, caplog: pytest.LogCaptureFixture
) -> None:
    told = Source(write(tmp_path, config(known=known))).read()
    assert told.known is None and told.discovery == ("127.0.0.1", 1)
    [line] = caplog.records
    assert f"field {named}" in line.getMessage() and not line.exc_info
