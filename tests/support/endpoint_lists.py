"""Builders of endpoint lists in the wire format of discovery."""

from __future__ import annotations

import json

from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_list_json import read_list
from tests.support.http_messages import http_chunk

WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def endpoint_entry(
    uid: str, port: int, state: str = "in_service", **other_fields: object
) -> dict[str, object]:
    """Return the list entry of one endpoint on loopback."""
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "a",
        "pod_group": 1,
        "state": state,
        "boot_ms": 0,
        **other_fields,
    }


def endpoint_list(*entries: dict[str, object], rev: int = 1, is_complete: bool = True) -> dict[str, object]:
    """Return a complete list with these entries, or a list of changes if `is_complete` is false."""
    return {"rev": rev, "all": is_complete, "targets": list(entries)}


def parsed_endpoint_list(*entries: dict[str, object], rev: int = 1) -> EndpointListMessage:
    """Return the complete list with these entries as parsed by the product."""
    return read_list(endpoint_list(*entries, rev=rev))


def endpoint_list_chunk(message: dict[str, object]) -> bytes:
    """Return one chunk of a watch response that contains this list."""
    return http_chunk(json.dumps(message) + "\n")
