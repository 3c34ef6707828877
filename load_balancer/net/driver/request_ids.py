"""The ids, as clients send them, of requests that must not be forwarded again now.

An id is in use while one of its attempts is in flight, which may outlive the request. The id of a request
that is unsafe to repeat stays in use for some time after an attempt that may have run: its client may have
left without the response and send the same id again. `attempt_dispatcher` reports the attempts; the client
side asks before it forwards a request.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from load_balancer.messages import Outcome

MIN_RETENTION_S = 10.0
RETAINED_DEADLINES = 2.0  # ids are kept for this multiple of the longest deadline
MAX_RETAINED_IDS = 4096


@dataclass(slots=True)
class IdUse:
    """Use of one id.

    Attributes:
        attempt_count: Number of its attempts in flight.
        is_retained: Whether the id stays in use without one.
    """

    attempt_count: int = 0
    is_retained: bool = False

    @property
    def is_over(self) -> bool:
        """Whether the id is no longer in use."""
        return not (self.attempt_count or self.is_retained)


@dataclass(frozen=True, slots=True)
class RetainedId:
    """An id that stays in use, and the time until which it does, in seconds of the event loop's clock."""

    id: bytes
    until_s: float


class RequestIds:
    """Table of the ids in use. Times are seconds of the event loop's clock and must not decrease."""

    def __init__(self, longest_deadline_s: float) -> None:
        """Create an empty table.

        Args:
            longest_deadline_s: The longest deadline of all request classes.
        """
        self._retention_s = max(MIN_RETENTION_S, RETAINED_DEADLINES * longest_deadline_s)
        self._uses: dict[bytes, IdUse] = {}
        self._retained: deque[RetainedId] = deque()  # the first to expire first

    def __len__(self) -> int:
        """Return the number of ids in use, including those that have expired and are not removed yet."""
        return len(self._uses)

    @property
    def retained_count(self) -> int:
        """Number of ids that stay in use after their requests."""
        return len(self._retained)

    def is_in_use(self, now_s: float, request_id: bytes) -> bool:
        """Return whether a request with this id must not be forwarded now."""
        self._forget_expired(now_s)
        return request_id in self._uses

    def has_capacity(self, now_s: float) -> bool:
        """Return whether another id can be retained. If not, no unsafe request may be forwarded."""
        self._forget_expired(now_s)
        return len(self._retained) < MAX_RETAINED_IDS

    def attempt_started(self, request_id: bytes) -> None:
        """Record that an attempt has started."""
        self._uses.setdefault(request_id, IdUse()).attempt_count += 1

    def attempt_ended(self, now_s: float, request_id: bytes, outcome: Outcome, *, is_unsafe: bool) -> None:
        """Record that an attempt that was started has ended.

        Args:
            now_s: The time.
            request_id: The id of its request.
            outcome: Its outcome.
            is_unsafe: Whether its request must not run twice.
        """
        use = self._uses[request_id]
        use.attempt_count -= 1
        if is_unsafe and not use.is_retained and not outcome.proves_never_run:
            use.is_retained = True
            self._retained.append(RetainedId(request_id, now_s + self._retention_s))
        self._remove_if_over(request_id)

    def _forget_expired(self, now_s: float) -> None:
        while self._retained and self._retained[0].until_s <= now_s:
            request_id = self._retained.popleft().id
            self._uses[request_id].is_retained = False
            self._remove_if_over(request_id)

    def _remove_if_over(self, request_id: bytes) -> None:
        if self._uses[request_id].is_over:
            del self._uses[request_id]
