"""Parsing and checks of the head of a client's request, before anything of the request is forwarded.

The module holds no state. `client_connection` calls it with each head that h11 has read; the names of the
headers and their forms are those of the protocol page.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

import h11

from load_balancer import messages
from load_balancer.errors import LoadBalancerError
from load_balancer.net.http_messages import MAX_BODY_BYTES, Headers

# float() would also take inf, 1_0 and -1.
DEADLINE_PATTERN = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")
ID_PATTERN = re.compile(rb"[!-~]{1,128}")
# A length with more digits is too long in any case, and int() of a very long one would hold up the event
# loop.
MAX_CONTENT_LENGTH_DIGITS = 18
METHOD_BY_IDEMPOTENCY = {
    messages.Idempotency.SAFE: b"GET",
    messages.Idempotency.KEYED: b"POST",
    messages.Idempotency.UNSAFE: b"POST",
}
FORWARDED_HEADERS = (b"host", b"req-id", b"idempotency-key", b"content-type")
# A request that repeats one of these headers is malformed, and so is one that repeats any `Req-*` header.
UNREPEATABLE_HEADERS = (*FORWARDED_HEADERS, b"transfer-encoding", b"content-length")


class BadRequestError(LoadBalancerError):
    """A request that is rejected before it is forwarded; the text says why.

    Attributes:
        status: The status code of the response, 4xx or 5xx.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Keep the status code of the response and the reason for it."""
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The request line and headers of a valid request.

    Attributes:
        request_id: The value of `Req-Id`.
        class_name: The request class, one of those in the settings.
        time_remaining_s: The time that the client waits, in seconds from the last byte of the request.
        tenant: The value of `Req-Owner`, if there is one.
        is_retry: Whether the client says that this is a retry.
        method: GET or POST, as the class wants it.
        target: The path with its query.
        headers: Those that are forwarded to the endpoint.
    """

    request_id: bytes
    class_name: str
    time_remaining_s: float
    tenant: str | None
    is_retry: bool
    method: bytes
    target: bytes
    headers: Headers


def check_framing(request: h11.Request) -> dict[bytes, bytes]:
    """Check that the body of a request has exactly one beginning and one end.

    Args:
        request: The request line and headers as h11 has read them.

    Returns:
        The value of each header by its name.

    Raises:
        BadRequestError: The request is malformed, or its method or version is not supported.
    """
    fields = _unique_headers(request)
    if not request.http_version.startswith(b"1."):
        raise BadRequestError(505, "not HTTP/1")
    if request.method not in METHOD_BY_IDEMPOTENCY.values():
        raise BadRequestError(405, "neither GET nor POST")
    if not request.target.startswith(b"/"):
        raise BadRequestError(400, "not a path")
    # With two lengths, an endpoint could end the body elsewhere than the proxy does, and take the rest of it
    # for a second request.
    if b"transfer-encoding" in fields and (b"content-length" in fields or request.http_version < b"1.1"):
        raise BadRequestError(400, "ambiguous length of the body")
    length = fields.get(b"content-length", b"0")
    if len(length) > MAX_CONTENT_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
        raise BadRequestError(413, "the body is too long")
    if request.method == b"GET" and (b"transfer-encoding" in fields or int(length) > 0):
        raise BadRequestError(400, "a body with GET")
    return fields


def _unique_headers(request: h11.Request) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in fields and (name in UNREPEATABLE_HEADERS or name.startswith(b"req-")):
            raise BadRequestError(400, f"{name.decode()} is repeated")
        fields[name] = value
    return fields


def read_head(request: h11.Request, classes: Mapping[str, messages.RequestClass]) -> RequestHead:
    """Read the head of a request as the protocol page defines it.

    Args:
        request: The request line and headers as h11 has read them.
        classes: The request classes of the settings, by name.

    Returns:
        The checked head.

    Raises:
        BadRequestError: The head is malformed or does not fit its request class.
    """
    fields = check_framing(request)
    request_id = fields.get(b"req-id", b"")
    if not ID_PATTERN.fullmatch(request_id):
        raise BadRequestError(400, "no Req-Id")
    request_class = _read_class(request, fields, classes)
    tenant = fields.get(b"req-owner")
    return RequestHead(
        request_id=request_id,
        class_name=request_class.name,
        time_remaining_s=_read_time_remaining_s(fields, request_class),
        tenant=None if tenant is None else tenant.decode("latin-1"),
        is_retry=fields.get(b"req-retry") == b"1",
        method=request.method,
        target=request.target,
        headers=_forwarded_headers(request, fields),
    )


def _read_class(
    request: h11.Request, fields: Mapping[bytes, bytes], classes: Mapping[str, messages.RequestClass]
) -> messages.RequestClass:
    # The balancer keeps state for each class that it meets: made-up ones would let it grow without a limit.
    request_class = classes.get(fields.get(b"req-kind", b"").decode("latin-1"))
    if request_class is None:
        raise BadRequestError(400, "unknown Req-Kind")
    if request.method != METHOD_BY_IDEMPOTENCY[request_class.idempotency]:
        raise BadRequestError(405, "not the method of the request class")
    has_key = ID_PATTERN.fullmatch(fields.get(b"idempotency-key", b""))
    if request_class.idempotency is messages.Idempotency.KEYED and not has_key:
        raise BadRequestError(400, "no Idempotency-Key")  # endpoints would run each retry of it again
    return request_class


def _read_time_remaining_s(fields: Mapping[bytes, bytes], request_class: messages.RequestClass) -> float:
    deadline = fields.get(b"req-deadline")
    if deadline is not None and not DEADLINE_PATTERN.fullmatch(deadline):
        raise BadRequestError(400, "Req-Deadline is not a number")
    class_deadline_s = (
        request_class.deadline_us / 1e6
    )  # no client of the class waits longer, whatever it says
    return class_deadline_s if deadline is None else min(float(deadline), class_deadline_s)


def _forwarded_headers(request: h11.Request, fields: Mapping[bytes, bytes]) -> Headers:
    headers = [(name, value) for name, value in request.headers if name in FORWARDED_HEADERS]
    if b"host" not in fields:  # HTTP/1.0 has none, but the HTTP/1.1 request to the endpoint needs one
        headers.append((b"host", b"localhost"))
    return headers
