"""JSON texts are split off a stream at low cost, wherever the reads split them."""

from __future__ import annotations

import json
import sys
from itertools import chain
from types import FrameType

import pytest

from load_balancer.net.discovery.json_stream import JsonStreamError, JsonTextSplitter
from tests.support.endpoint_lists import endpoint_entry, endpoint_list

READ_SIZE_BYTES = 65_536


def complete_list_json(endpoint_count: int, indent: int | None) -> bytes:
    targets = [
        endpoint_entry(f"s-{number:08x}", 9_000, model="m2", capacity_hint=1.0)
        for number in range(endpoint_count)
    ]
    return json.dumps(endpoint_list(*targets), indent=indent).encode() + b"\n"


def builtin_call_count(text: bytes) -> int:
    """Return the number of built-in calls to split off the list, which is the same in every run."""
    calls = 0

    def count(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event == "c_call"

    splitter, texts = JsonTextSplitter(), list[bytes]()
    previous_profiler = sys.getprofile()
    sys.setprofile(count)
    try:
        for offset in range(0, len(text), READ_SIZE_BYTES):
            texts.extend(splitter.feed(text[offset : offset + READ_SIZE_BYTES]))
    finally:
        sys.setprofile(previous_profiler)
    assert texts[0] == text.strip()
    return calls


@pytest.mark.parametrize("indent", [None, 2])
def test_long_list_is_split_with_few_calls_for_each_endpoint(indent: int | None) -> None:
    """A list that takes too long to split would time out and be requested again, endlessly.

    A proxy has a part of a core, and a pushed list must be complete within a second.
    """
    small_list_calls, large_list_calls = (
        builtin_call_count(complete_list_json(endpoint_count, indent)) for endpoint_count in (100, 1_100)
    )
    assert (large_list_calls - small_list_calls) / 1_000 <= 7  # the calls for the two braces of each endpoint


TEXTS_WITH_BRACES_IN_STRINGS = b'{"a":"}\\"{","b":[]}\n{"c":"\\\\"}\n\n{"a":"x\\"}"}\n{"a":"\\u0041]["}'


@pytest.mark.parametrize("read_size", range(1, 12))
def test_braces_in_strings_are_ignored_wherever_reads_split_them(read_size: int) -> None:
    splitter = JsonTextSplitter()
    texts = [
        text
        for offset in range(0, len(TEXTS_WITH_BRACES_IN_STRINGS), read_size)
        for text in splitter.feed(TEXTS_WITH_BRACES_IN_STRINGS[offset : offset + read_size])
    ]
    lists = [json.loads(text) for text in texts if text]
    assert lists == [{"a": '}"{', "b": []}, {"c": "\\"}, {"a": 'x"}'}, {"a": "A]["}]


def test_string_received_byte_by_byte_is_scanned_once() -> None:
    """Scanning it from its start after each byte would take hours of processor time for a megabyte."""
    splitter = JsonTextSplitter()
    list(splitter.feed(b'{"rev":"'))
    for number in range(1_000):
        assert not list(splitter.feed(b"x"))
        assert splitter.is_in_string
        assert splitter.scanned_bytes == splitter.buffered_bytes == 9 + number


def test_endless_string_raises_an_error() -> None:
    splitter = JsonTextSplitter()
    endless = (splitter.feed(b'{"rev":"' + b"x" * READ_SIZE_BYTES) for _ in range(100))
    with pytest.raises(JsonStreamError, match="longer than 4194304 bytes"):
        list(chain.from_iterable(endless))


def test_text_nested_too_deeply_raises_an_error_at_once() -> None:
    """Each brace is examined by itself, so megabytes of them would block the event loop."""
    splitter = JsonTextSplitter()
    with pytest.raises(JsonStreamError, match="nested"):
        list(splitter.feed(b"[" * 1_000_000))
    assert splitter.scanned_bytes <= 100
