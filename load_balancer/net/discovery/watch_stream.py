"""The HTTP call of a watch, without input or output: bytes of discovery become list messages and heartbeats.

`EndpointWatch` has one stream for each connection.
"""

from __future__ import annotations

import json
from collections.abc import Iterator

import h11

from load_balancer.errors import WireError
from load_balancer.net.addresses import Address
from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_list_json import read_list
from load_balancer.net.discovery.json_stream import JsonTextSplitter


class WatchError(WireError):
    """The watch has ended, or never began; the message gives the reason."""


class WatchRejectedError(WatchError):
    """Discovery answered the call with another status than 200."""

    def __init__(self, status_code: int) -> None:
        """Name the status."""
        super().__init__(f"status {status_code}")


class WatchEndedError(WatchError):
    """Discovery ended the call, or the connection."""

    def __init__(self) -> None:
        """State the fault."""
        super().__init__("ended")


class InvalidListTextError(WatchError):
    """A text of the watch is no JSON."""

    def __init__(self, error: Exception) -> None:
        """Quote the JSON parser's error."""
        super().__init__(f"not JSON: {error}")


class WatchStream:
    """One call for the endpoint list and its changes."""

    def __init__(self) -> None:
        """Start before the request."""
        self._http = h11.Connection(h11.CLIENT)
        self._splitter = JsonTextSplitter()

    def request(self, address: Address, since_version: int | None) -> bytes:
        """Return the bytes of the request.

        Args:
            address: Where discovery is.
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
        """Take what has been read, with no bytes standing for the end of the connection.

        Raises:
            h11.RemoteProtocolError: There was an end before.
        """
        self._http.receive_data(data)

    def messages(self) -> Iterator[EndpointListMessage | None]:
        """Yield each list message that is complete with what has been read, and None for each heartbeat.

        Raises:
            WireError: The watch is broken, or a message cannot be understood. Those before it were yielded.
            h11.RemoteProtocolError: Discovery does not speak HTTP/1.1.
        """
        for text in self._texts():
            yield _parse_message(text) if text else None

    def _texts(self) -> Iterator[bytes]:
        """Yield the texts that are complete with what has been read, and an empty one for each heartbeat."""
        while (event := self._http.next_event()) is not h11.NEED_DATA:
            match event:
                case h11.Response(status_code=200) | h11.InformationalResponse():
                    pass
                case h11.Response(status_code=status_code):
                    raise WatchRejectedError(status_code)
                case h11.Data(data=data):
                    yield from self._splitter.feed(data)
                case _:
                    raise WatchEndedError


def _parse_message(text: bytes) -> EndpointListMessage:
    try:
        return read_list(json.loads(text))
    except (ValueError, RecursionError) as error:
        raise InvalidListTextError(error) from None
