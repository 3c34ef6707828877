"""The ids, as clients send them, of requests that must not be forwarded again now.

An id is in use while one of its attempts is in flight, which may outlive the request. The id of a request
that is unsafe to repeat stays in use for some time after an attempt that may have run: its client may have
left without the response and send the same id again. `attempt_dispatcher` reports the attempts; the client
side asks before it forwards a request.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from load_balancer.messages import Outcome

MIN_RETENTION_S = 5.0
RETAINED_DEADLINES = 1.5  # ids are kept for this multiple of the longest deadline
# More than a proxy can run in the retention time. One id takes about 200 bytes.
MAX_RETAINED_IDS = 8192


class Expiry(NamedTuple):
    """Time from which a retained id is free again, in seconds of the event loop's clock."""

    at_s: float
    request_id: bytes


class RequestIds:
    """Table of the ids in use. Times are seconds of the event loop's clock and must not decrease."""

    def __init__(self, longest_deadline_s: float) -> None:
        """Create an empty table.

        Args:
            longest_deadline_s: The longest deadline of all request classes.
        """
        self._retention_s = max(MIN_RETENTION_S, RETAINED_DEADLINES * longest_deadline_s)
        self._attempt_counts: dict[bytes, int] = {}  # attempts in flight, by id
        self._retained_ids: set[bytes] = set()
        self._expiries: deque[Expiry] = deque()  # of the retained ids, the first to expire first

    def __len__(self) -> int:
        """Return the number of ids in use, including those that have expired and are not removed yet."""
        return len(self._attempt_counts.keys() | self._retained_ids)

    def is_in_use(self, now_s: float, request_id: bytes) -> bool:
        """Return whether a request with this id must not be forwarded now."""
        self._forget_expired(now_s)
        return request_id in self._attempt_counts or request_id in self._retained_ids

    def has_capacity(self, now_s: float) -> bool:
        """Return whether another id can be retained. If not, no unsafe request may be forwarded."""
        self._forget_expired(now_s)
        return len(self._retained_ids) < MAX_RETAINED_IDS

    def attempt_started(self, request_id: bytes) -> None:
        """Record that an attempt has started."""
        self._attempt_counts[request_id] = self._attempt_counts.get(request_id, 0) + 1

    def attempt_ended(self, now_s: float, request_id: bytes, outcome: Outcome, *, is_unsafe: bool) -> None:
        """Record that an attempt that was started has ended.

        Args:
            now_s: The time.
            request_id: The id of its request.
            outcome: Its outcome.
            is_unsafe: Whether its request must not run twice.
        """
        self._attempt_counts[request_id] -= 1
        if self._attempt_counts[request_id] == 0:
            del self._attempt_counts[request_id]
        if is_unsafe and request_id not in self._retained_ids and not outcome.proves_never_run:
            self._retained_ids.add(request_id)
            self._expiries.append(Expiry(now_s + self._retention_s, request_id))

    def _forget_expired(self, now_s: float) -> None:
        while self._expiries and self._expiries[0].at_s <= now_s:
            self._retained_ids.remove(self._expiries.popleft().request_id)
