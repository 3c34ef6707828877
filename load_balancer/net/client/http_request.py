"""Parsing and validation of the head of a client request, before the request is forwarded.

The module holds no state. `incoming_request` calls it with each head that h11 has parsed. The header names
and formats are those of the protocol documentation.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

import h11

from load_balancer import messages
from load_balancer.errors import LoadBalancerError
from load_balancer.net.http_messages import MAX_BODY_BYTES, Headers

# float() alone would also accept inf, 1_0 and -1.
DEADLINE_PATTERN = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")
ID_PATTERN = re.compile(rb"[!-~]{1,128}")
# A length with more digits exceeds the body limit in any case, and int() of a very long number would block
# the event loop.
MAX_CONTENT_LENGTH_DIGITS = 18
METHOD_BY_IDEMPOTENCY = {
    messages.Idempotency.SAFE: b"GET",
    messages.Idempotency.KEYED: b"POST",
    messages.Idempotency.UNSAFE: b"POST",
}
FORWARDED_HEADERS = (b"host", b"req-id", b"idempotency-key", b"content-type")
# A request that repeats one of these headers, or any `Req-*` header, is malformed.
UNREPEATABLE_HEADERS = (*FORWARDED_HEADERS, b"transfer-encoding", b"content-length")


class BadRequestError(LoadBalancerError):
    """A client request is rejected before it is forwarded; the message is the reason.

    Attributes:
        status: The status code of the response, 4xx or 5xx.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Initialize with the status code of the response and the reason for the rejection."""
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The request line and headers of a valid request.

    Attributes:
        request_id: The value of `Req-Id`.
        class_name: The request class, one of those in the settings.
        is_unsafe: Whether the request must not run twice.
        time_remaining_s: Seconds from the receipt of the request's last byte to its deadline.
        tenant: The value of `Req-Owner`, if present.
        is_retry: Whether the client marked the request as a retry.
        method: GET or POST, as the request class requires.
        target: The path with its query.
        headers: The headers that are forwarded to the endpoint.
        max_body_bytes: The largest size that the body may have.
    """

    request_id: bytes
    class_name: str
    is_unsafe: bool
    time_remaining_s: float
    tenant: str | None
    is_retry: bool
    method: bytes
    target: bytes
    headers: Headers
    max_body_bytes: int

    @property
    def size_bytes(self) -> int:
        """Size of the parts of the head that are kept until the response, in bytes."""
        kept = (self.request_id, self.target, self.tenant or "")
        return sum(map(len, kept)) + sum(len(name) + len(value) for name, value in self.headers)


def check_framing(request: h11.Request) -> dict[bytes, bytes]:
    """Check the request line and that the length of the body is unambiguous and within the limit.

    Args:
        request: The request line and headers as parsed by h11.

    Returns:
        The header values by name.

    Raises:
        BadRequestError: The request is malformed, its body is too long, or its method or version is not
            supported.
    """
    fields = _unique_headers(request)
    if not request.http_version.startswith(b"1."):
        raise BadRequestError(505, "unsupported version: expected HTTP/1.x")
    if request.method not in METHOD_BY_IDEMPOTENCY.values():
        raise BadRequestError(405, "unsupported method: expected GET or POST")
    if not request.target.startswith(b"/"):
        raise BadRequestError(400, "unsupported request target: expected a path")
    # With two lengths, an endpoint and the proxy could disagree on where the body ends, and the endpoint
    # could take the rest of it for a second request (request smuggling).
    if b"transfer-encoding" in fields and (b"content-length" in fields or request.http_version < b"1.1"):
        raise BadRequestError(
            400, "ambiguous body length: Transfer-Encoding with Content-Length or before HTTP/1.1"
        )
    length = fields.get(b"content-length", b"0")
    if len(length) > MAX_CONTENT_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
        raise BadRequestError(413, "Content-Length exceeds the body limit")
    if request.method == b"GET" and (b"transfer-encoding" in fields or int(length) > 0):
        raise BadRequestError(400, "unexpected body in a GET request")
    return fields


def max_body_bytes(fields: Mapping[bytes, bytes]) -> int:
    """Return the largest size that the body of a request with this valid framing may have."""
    if b"transfer-encoding" in fields:
        return MAX_BODY_BYTES
    return int(fields.get(b"content-length", b"0"))


def _unique_headers(request: h11.Request) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in fields and (name in UNREPEATABLE_HEADERS or name.startswith(b"req-")):
            raise BadRequestError(400, f"repeated header: {name.decode()}")
        fields[name] = value
    return fields


def read_head(request: h11.Request, classes: Mapping[str, messages.RequestClass]) -> RequestHead:
    """Parse and validate the head of a request as the protocol documentation defines it.

    Args:
        request: The request line and headers as parsed by h11.
        classes: The request classes of the settings, by name.

    Returns:
        The validated head.

    Raises:
        BadRequestError: The head is malformed or does not fit its request class.
    """
    fields = check_framing(request)
    request_id = fields.get(b"req-id", b"")
    if not ID_PATTERN.fullmatch(request_id):
        raise BadRequestError(400, "missing or invalid Req-Id")
    request_class = _read_class(request, fields, classes)
    tenant = fields.get(b"req-owner")
    return RequestHead(
        request_id=request_id,
        class_name=request_class.name,
        is_unsafe=request_class.idempotency is messages.Idempotency.UNSAFE,
        time_remaining_s=_read_time_remaining_s(fields, request_class),
        tenant=None if tenant is None else tenant.decode("latin-1"),
        is_retry=fields.get(b"req-retry") == b"1",
        method=request.method,
        target=request.target,
        headers=_forwarded_headers(request, fields),
        max_body_bytes=max_body_bytes(fields),
    )


def _read_class(
    request: h11.Request, fields: Mapping[bytes, bytes], classes: Mapping[str, messages.RequestClass]
) -> messages.RequestClass:
    # The balancer keeps state for each request class that it receives. Accepting unknown ones would let that
    # state grow without limit.
    request_class = classes.get(fields.get(b"req-kind", b"").decode("latin-1"))
    if request_class is None:
        raise BadRequestError(400, "unknown Req-Kind")
    if request.method != METHOD_BY_IDEMPOTENCY[request_class.idempotency]:
        raise BadRequestError(405, "method does not match the request class")
    has_key = ID_PATTERN.fullmatch(fields.get(b"idempotency-key", b""))
    if request_class.idempotency is messages.Idempotency.KEYED and not has_key:
        # Without a key, endpoints would run the request again on each retry.
        raise BadRequestError(400, "missing or invalid Idempotency-Key")
    return request_class


def _read_time_remaining_s(fields: Mapping[bytes, bytes], request_class: messages.RequestClass) -> float:
    deadline = fields.get(b"req-deadline")
    if deadline is not None and not DEADLINE_PATTERN.fullmatch(deadline):
        raise BadRequestError(400, "invalid Req-Deadline: expected seconds as a decimal number")
    class_deadline_s = request_class.deadline_us / 1e6  # caps the time that the client asks for
    return class_deadline_s if deadline is None else min(float(deadline), class_deadline_s)


def _forwarded_headers(request: h11.Request, fields: Mapping[bytes, bytes]) -> Headers:
    headers = [(name, value) for name, value in request.headers if name in FORWARDED_HEADERS]
    if b"host" not in fields:  # optional in HTTP/1.0, but required in the HTTP/1.1 request to the endpoint
        headers.append((b"host", b"localhost"))
    return headers
