"""The memory that peers make the process hold, as one sum over all connections, by owner.

Each owner charges what it holds and releases it where the memory is released, so that the sum returns to zero
with the last peer. `process/memory_limits` computes the limits at startup; `server` creates the one budget of
the process. The budget decides nothing: owners ask whether another charge fits before they make it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MemoryOwner(Enum):
    """Part of the program that holds memory for peers."""

    CLIENT_CONNECTIONS = "client connections"
    """Transport, parser and state of each client connection."""
    REQUESTS = "requests"
    """Received bytes of requests, parsed or not, from the first byte to the final response."""
    UNSENT_RESPONSES = "unsent responses"
    """Responses that clients have not read."""
    ENDPOINT_CONNECTIONS = "endpoint connections"
    """Transport, parser and state of each connection to an endpoint."""
    UNSENT_REQUESTS = "unsent requests"
    """Requests that endpoints have not read."""
    RESPONSES = "responses"
    """Received bytes of incomplete responses."""

    __hash__ = object.__hash__  # that of Enum is a Python function, and each charge looks up its owner


# Above this share of a limit, memory is short: connections of that side are read in small pieces.
SHORT_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits on the charges, in bytes.

    Attributes:
        requests_bytes: Limit on the charges of requests.
        responses_bytes: Limit on the charges of responses.
    """

    requests_bytes: int
    responses_bytes: int


# Limits of a proxy without a configuration, as in tests of a part of it.
DEFAULT_LIMITS = MemoryLimits(requests_bytes=64 * 1024 * 1024, responses_bytes=32 * 1024 * 1024)


class MemoryBudget:
    """Sum of the charges of all owners.

    Attributes:
        charged_bytes: The current charge of each owner.
        peak_bytes: The highest charge of each owner so far.
        free_request_bytes: Bytes that may still be charged for requests; negative above the limit.
        free_response_bytes: Bytes that may still be charged for responses; negative above the limit.
    """

    def __init__(self, limits: MemoryLimits = DEFAULT_LIMITS) -> None:
        """Create a budget without charges.

        Args:
            limits: The limits.
        """
        self._limits = limits
        self.charged_bytes = dict.fromkeys(MemoryOwner, 0)
        self.peak_bytes = dict.fromkeys(MemoryOwner, 0)
        # Kept up to date by each change, as they are read at each read from a connection.
        self.free_request_bytes = limits.requests_bytes
        self.free_response_bytes = limits.responses_bytes
        self._set_thresholds()

    def _set_thresholds(self) -> None:
        self._requests_short_below_bytes = (1.0 - SHORT_SHARE) * self._limits.requests_bytes
        self._responses_short_below_bytes = (1.0 - SHORT_SHARE) * self._limits.responses_bytes

    @property
    def is_short_for_requests(self) -> bool:
        """Whether requests hold so much that connections of clients are read in small pieces."""
        return self.free_request_bytes < self._requests_short_below_bytes

    @property
    def is_short_for_responses(self) -> bool:
        """Whether responses hold so much that connections to endpoints are read in small pieces."""
        return self.free_response_bytes < self._responses_short_below_bytes

    @property
    def limits(self) -> MemoryLimits:
        """The limits. They may be replaced; charges that exceed the new ones stay."""
        return self._limits

    @limits.setter
    def limits(self, limits: MemoryLimits) -> None:
        self.free_request_bytes += limits.requests_bytes - self._limits.requests_bytes
        self.free_response_bytes += limits.responses_bytes - self._limits.responses_bytes
        self._limits = limits
        self._set_thresholds()

    def change(self, owner: MemoryOwner, change_bytes: int) -> None:
        """Add to the charge of an owner; a negative change releases memory."""
        charged = self.charged_bytes[owner] = self.charged_bytes[owner] + change_bytes
        if charged > self.peak_bytes[owner]:
            self.peak_bytes[owner] = charged
        if owner is MemoryOwner.REQUESTS or owner is MemoryOwner.UNSENT_REQUESTS:
            self.free_request_bytes -= change_bytes
        elif owner is MemoryOwner.RESPONSES or owner is MemoryOwner.UNSENT_RESPONSES:
            self.free_response_bytes -= change_bytes

    def describe(self) -> str:
        """Return the current and the highest charge of each owner, in KiB, for the log."""
        return ", ".join(
            f"{owner.value} {charged // 1024} (peak {self.peak_bytes[owner] // 1024})"
            for owner, charged in self.charged_bytes.items()
        )


class MemoryAccount:
    """Charge of one connection to one owner."""

    __slots__ = ("_budget", "_owner", "charged_bytes")

    def __init__(self, budget: MemoryBudget, owner: MemoryOwner) -> None:
        """Create an account without a charge.

        Args:
            budget: The budget.
            owner: The owner that the charge belongs to.
        """
        self._budget = budget
        self._owner = owner
        self.charged_bytes = 0

    def set(self, size_bytes: int) -> None:
        """Replace the charge."""
        if size_bytes != self.charged_bytes:
            self._budget.change(self._owner, size_bytes - self.charged_bytes)
            self.charged_bytes = size_bytes
