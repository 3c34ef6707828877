"""HTTP exchange of a watch, without I/O: converts received bytes to list messages and heartbeats.

`EndpointWatch` has one stream for each connection.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from enum import Enum, auto

import h11

from load_balancer.errors import WireError
from load_balancer.net.addresses import Address
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.discovery.json_stream import JsonTextSplitter
from load_balancer.net.http_parser import new_parser


class WatchError(WireError):
    """The watch has ended or could not be opened; the message gives the reason."""


class WatchRejectedError(WatchError):
    """Discovery responded with a status other than 200."""

    def __init__(self, status_code: int) -> None:
        """Create the error for a status code."""
        super().__init__(f"discovery responded with status {status_code}")


class WatchEndedError(WatchError):
    """Discovery ended the response or closed the connection."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("discovery ended the response")


class InvalidListTextError(WatchError):
    """A text of the watch is not JSON."""

    def __init__(self, error: Exception) -> None:
        """Create the error with the JSON parser's message."""
        super().__init__(f"not JSON: {error}")


class WatchProgress(Enum):
    """Progress of a watch that is no list message."""

    HEARTBEAT = auto()
    """Discovery has nothing to report."""
    PARTIAL = auto()
    """A part of the response was parsed."""


class WatchStream:
    """One HTTP request for the endpoint list and its changes, with its response."""

    def __init__(self) -> None:
        """Create a stream before its request."""
        self._http = new_parser(h11.CLIENT)
        self._splitter = JsonTextSplitter()

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes received of an incomplete list."""
        return self._splitter.buffered_bytes

    def request(self, address: Address, since_version: int | None) -> bytes:
        """Return the bytes of the request.

        Args:
            address: The address of discovery.
            since_version: The version after which changes are requested; None requests the complete list.
        """
        since = "" if since_version is None else f"&since={since_version}"
        head = h11.Request(
            method="GET",
            target=f"/v1/endpoints?follow=1{since}",
            headers=[("Host", f"{address[0]}:{address[1]}")],
        )
        return self._http.send(head) + self._http.send(h11.EndOfMessage())

    def receive_data(self, data: bytes) -> None:
        """Process received bytes; empty bytes mean the end of the connection.

        Raises:
            h11.RemoteProtocolError: The connection had already ended.
        """
        self._http.receive_data(data)

    def messages(self) -> Iterator[EndpointListMessage | WatchProgress]:
        """Yield each list message and heartbeat that is now complete, and each part that was parsed for them.

        The bytes decide how many parts there are, and the work between two of them is bounded, apart from
        the text of a single list. The caller may do other work in between.

        Raises:
            WireError: The watch has failed, or a message is invalid. The messages before it were yielded.
            h11.RemoteProtocolError: The response is not valid HTTP/1.1.
        """
        while (event := self._http.next_event()) is not h11.NEED_DATA:
            yield WatchProgress.PARTIAL
            match event:
                case h11.Response(status_code=200) | h11.InformationalResponse():
                    pass
                case h11.Response(status_code=status_code):
                    raise WatchRejectedError(status_code)
                case h11.Data(data=data):
                    for text in self._splitter.feed(data):
                        yield _parse_message(text) if text else WatchProgress.HEARTBEAT
                case _:
                    raise WatchEndedError


def _parse_message(text: bytes) -> EndpointListMessage:
    try:
        return read_list(json.loads(text))
    except (ValueError, RecursionError) as error:
        raise InvalidListTextError(error) from None
