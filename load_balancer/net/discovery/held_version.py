"""Which version of the endpoint list is held, and which discovery numbered it. The watch owns one."""

from __future__ import annotations

from load_balancer.net.addresses import Address
from load_balancer.net.discovery.endpoint_list import EndpointListMessage


class HeldVersion:
    """The version of the list that is held.

    Attributes:
        version: The version, or None while no list is held.
    """

    def __init__(self, source: Address) -> None:
        """Start without a list.

        Args:
            source: The discovery that numbers the versions, until a list comes from another one.
        """
        self.version: int | None = None
        self._source = source
        # The highest version since the last complete list: changes with a lower one may follow it.
        self._highest_seen_version = -1

    def resume_from(self, version: int) -> None:
        """Count a cached list of this version as held, from the discovery that was given at the start."""
        self.version = version

    @property
    def highest_version(self) -> int:
        """The highest version that is held, also of a list as last known before the start; -1 for none."""
        return max(self._highest_seen_version, -1 if self.version is None else self.version)

    def resumable_version(self, address: Address) -> int | None:
        """Return the held version if the discovery at an address is the one that numbered it, else None."""
        return self.version if address == self._source else None

    def record(self, message: EndpointListMessage, source: Address) -> None:
        """Record that a message of the discovery at `source` was applied."""
        self.version, self._source = message.version, source
        self._highest_seen_version = message.version if message.is_complete else self.highest_version
