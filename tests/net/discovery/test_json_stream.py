"""JSON texts are split off a stream at little cost, wherever its reads split them."""

from __future__ import annotations

import json
import sys
from itertools import chain
from types import FrameType

import pytest

from load_balancer.net.discovery.json_stream import JsonStreamError, JsonTextSplitter
from tests.support.endpoint_lists import endpoint_entry, endpoint_list

READ = 65_536  # bytes that come at once


def whole_list(endpoint_count: int, indent: int | None) -> bytes:
    targets = [
        endpoint_entry(f"s-{number:08x}", 9_000, model="m2", capacity_hint=1.0)
        for number in range(endpoint_count)
    ]
    return json.dumps(endpoint_list(*targets), indent=indent).encode() + b"\n"


def calls_to_cut(text: bytes) -> int:
    """The built-in functions that are called until the list is cut out: the same count at every run."""
    calls = 0

    def count(frame: FrameType, event: str, called: object) -> None:
        nonlocal calls
        calls += event == "c_call"

    splitter, got = JsonTextSplitter(), list[bytes]()
    before = sys.getprofile()
    sys.setprofile(count)
    try:
        for at in range(0, len(text), READ):
            got.extend(splitter.feed(text[at : at + READ]))
    finally:
        sys.setprofile(before)
    assert got[0] == text.strip()
    return calls


@pytest.mark.parametrize("indent", [None, 2])
def test_long_list_is_split_with_few_calls_for_each_endpoint(indent: int | None) -> None:
    """A proxy has part of a core, and a pushed list has a second: one that took longer to cut would be
    given up and fetched anew, for ever."""
    few, many = (calls_to_cut(whole_list(endpoint_count, indent)) for endpoint_count in (100, 1_100))
    assert (many - few) / 1_000 <= 7  # two braces, and what is called for each


ODD = b'{"a":"}\\"{","b":[]}\n{"c":"\\\\"}\n\n{"a":"x\\"}"}\n{"a":"\\u0041]["}'


@pytest.mark.parametrize("cut", range(1, 12))
def test_braces_in_strings_are_ignored_wherever_reads_split_them(cut: int) -> None:
    splitter = JsonTextSplitter()
    got = [said for at in range(0, len(ODD), cut) for said in splitter.feed(ODD[at : at + cut])]
    lists = [json.loads(said) for said in got if said]
    assert lists == [{"a": '}"{', "b": []}, {"c": "\\"}, {"a": 'x"}'}, {"a": "A]["}]


def test_string_received_byte_by_byte_is_scanned_once() -> None:
    """Guards the processor: read anew from its start with each byte, a megabyte would take hours."""
    splitter = JsonTextSplitter()
    list(splitter.feed(b'{"rev":"'))
    for number in range(1_000):
        assert not list(splitter.feed(b"x"))
        assert splitter.is_in_string
        assert splitter.scanned_bytes == splitter.buffered_bytes == 9 + number


def test_endless_string_raises_an_error() -> None:
    splitter = JsonTextSplitter()
    endless = (splitter.feed(b'{"rev":"' + b"x" * READ) for _ in range(100))
    with pytest.raises(JsonStreamError, match="longer than 4194304 bytes"):
        list(chain.from_iterable(endless))


def test_text_nested_too_deep_raises_an_error_at_once() -> None:
    """Each brace is looked at by itself: megabytes of them, again and again, would leave no time."""
    splitter = JsonTextSplitter()
    with pytest.raises(JsonStreamError, match="nested"):
        list(splitter.feed(b"[" * 1_000_000))
    assert splitter.scanned_bytes <= 100
