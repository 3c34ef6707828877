"""Version of the endpoint list that is held, and the discovery that assigned it."""

from __future__ import annotations

from load_balancer.net.addresses import Address
from load_balancer.net.discovery.endpoint_list import EndpointListMessage


class HeldVersion:
    """Version of the endpoint list that is held. The watch owns one.

    Attributes:
        version: The version, or None if no list is held.
    """

    def __init__(self, source: Address) -> None:
        """Create the record without a version.

        Args:
            source: The discovery that assigns versions until a list is received from another one.
        """
        self.version: int | None = None
        self._source = source
        # The highest version since the last complete list; changes with a lower version may follow it.
        self._highest_seen_version = -1

    def resume_from(self, version: int) -> None:
        """Record a cached list of this version as held, assigned by the discovery of the constructor."""
        self.version = version

    @property
    def highest_version(self) -> int:
        """The highest version that is held, including that of a cached list; -1 if there is none."""
        return max(self._highest_seen_version, -1 if self.version is None else self.version)

    def resumable_version(self, address: Address) -> int | None:
        """Return the held version if the discovery at an address assigned it, else None."""
        return self.version if address == self._source else None

    def record(self, message: EndpointListMessage, source: Address) -> None:
        """Record that a message from the discovery at `source` was applied."""
        self.version, self._source = message.version, source
        self._highest_seen_version = message.version if message.is_complete else self.highest_version
