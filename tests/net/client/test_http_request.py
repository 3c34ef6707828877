"""Parsing of a request head: the values read from it, and the status of a rejection."""

from __future__ import annotations

import h11
import pytest

from load_balancer.net.client.http_request import BadRequestError, RequestHead, read_head
from load_balancer.net.http_messages import MAX_BODY_BYTES
from tests.support.balancer_harness import REQUEST_CLASSES

CLASSES_BY_NAME = {request_class.name: request_class for request_class in REQUEST_CLASSES}
READ_FIELDS = {
    "Host": "x",
    "Req-Id": "a1",
    "Req-Kind": "read",
    "Req-Deadline": "4.0",
}
WRITE_FIELDS = {**READ_FIELDS, "Req-Kind": "write", "Idempotency-Key": "k"}


def parse_head(
    fields: dict[str, str], method: str = "GET", target: str = "/api", version: str = "1.1"
) -> RequestHead:
    request = h11.Request(
        method=method, target=target, headers=list(fields.items()), http_version=version.encode()
    )
    return read_head(request, CLASSES_BY_NAME)


def without(fields: dict[str, str], name: str) -> dict[str, str]:
    return {key: value for key, value in fields.items() if key != name}


def test_valid_head_is_parsed() -> None:
    fields = {**READ_FIELDS, "Req-Owner": "t1", "Req-Retry": "1", "Content-Type": "a/b", "Cookie": "c"}
    assert parse_head(fields, target="/api?x=1") == RequestHead(
        request_id=b"a1",
        class_name="read",
        is_unsafe=False,
        time_remaining_s=4.0,
        tenant="t1",
        is_retry=True,
        method=b"GET",
        target=b"/api?x=1",
        headers=[(b"host", b"x"), (b"req-id", b"a1"), (b"content-type", b"a/b")],
        max_body_bytes=0,
    )


def test_missing_host_header_is_added() -> None:
    assert (b"host", b"localhost") in parse_head(without(READ_FIELDS, "Host"), version="1.0").headers


@pytest.mark.parametrize(
    ("deadline", "time_remaining_s"), [(None, 5.0), ("0", 0.0), ("1.5", 1.5), ("5", 5.0), ("3600", 5.0)]
)
def test_time_remaining_is_capped_by_the_deadline_of_the_class(
    deadline: str | None, time_remaining_s: float
) -> None:
    fields = without(READ_FIELDS, "Req-Deadline")
    if deadline is not None:
        fields["Req-Deadline"] = deadline
    assert parse_head(fields).time_remaining_s == time_remaining_s


@pytest.mark.parametrize("deadline", ["-1", "inf", "nan", "1_0", "1e3", "", "1.", ".5", "1234567"])
def test_deadline_that_is_not_a_plain_decimal_gets_400(deadline: str) -> None:
    with pytest.raises(BadRequestError) as raised:
        parse_head({**READ_FIELDS, "Req-Deadline": deadline})
    assert raised.value.status == 400


@pytest.mark.parametrize(
    ("fields", "method", "status"),
    [
        (without(READ_FIELDS, "Req-Id"), "GET", 400),
        ({**READ_FIELDS, "Req-Id": "a b"}, "GET", 400),
        ({**READ_FIELDS, "Req-Id": "a" * 129}, "GET", 400),
        (without(READ_FIELDS, "Req-Kind"), "GET", 400),
        ({**READ_FIELDS, "Req-Kind": "made-up"}, "GET", 400),
        (READ_FIELDS, "POST", 405),
        (READ_FIELDS, "PUT", 405),
        (WRITE_FIELDS, "GET", 405),
        (without(WRITE_FIELDS, "Idempotency-Key"), "POST", 400),
        ({**WRITE_FIELDS, "Idempotency-Key": ""}, "POST", 400),
        ({**READ_FIELDS, "Content-Length": "1"}, "GET", 400),
        ({**READ_FIELDS, "Transfer-Encoding": "chunked"}, "GET", 400),
        ({**WRITE_FIELDS, "Content-Length": str(MAX_BODY_BYTES + 1)}, "POST", 413),
        ({**WRITE_FIELDS, "Content-Length": "9" * 19}, "POST", 413),
        ({**WRITE_FIELDS, "Content-Length": "1", "Transfer-Encoding": "chunked"}, "POST", 400),
        ({**READ_FIELDS, "req-id": "a2"}, "GET", 400),
        ({**READ_FIELDS, "Req-Owner": "t1", "req-owner": "t1"}, "GET", 400),
    ],
)
def test_invalid_head_is_rejected_with_its_status(fields: dict[str, str], method: str, status: int) -> None:
    with pytest.raises(BadRequestError) as raised:
        parse_head(fields, method)
    assert raised.value.status == status


@pytest.mark.parametrize(("target", "version", "status"), [("*", "1.1", 400), ("/api", "2.0", 505)])
def test_unsupported_target_or_version_is_rejected(target: str, version: str, status: int) -> None:
    with pytest.raises(BadRequestError) as raised:
        parse_head(READ_FIELDS, target=target, version=version)
    assert raised.value.status == status


def test_body_of_exactly_the_maximum_size_is_accepted() -> None:
    assert parse_head({**WRITE_FIELDS, "Content-Length": str(MAX_BODY_BYTES)}, "POST").method == b"POST"


def test_chunked_body_is_rejected_in_http_1_0() -> None:
    fields = {**WRITE_FIELDS, "Transfer-Encoding": "chunked"}
    assert parse_head(fields, "POST").method == b"POST"
    with pytest.raises(BadRequestError) as raised:
        parse_head(fields, "POST", version="1.0")
    assert raised.value.status == 400
