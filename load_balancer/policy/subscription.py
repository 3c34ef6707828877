"""Subscription to discovery: when to open the watch again after it broke."""

from __future__ import annotations

import random

from load_balancer import messages
from load_balancer.policy.outbox import Outbox, Resubscribe

PUSH_WATCH_INTERVAL_US = 100_000  # where lists are pushed, the watch is opened this often
FIRST_BACKOFF_US = 500_000  # before asking for the list again elsewhere
BACKOFF_JITTER = 0.3  # share of a backoff that chance may take off
MAX_BACKOFF_SHARE = 0.125  # longest backoff, as a share of the longest time between polls
# Longest backoff, whatever the settings say. A change counts as notified 6 s after discovery had it and could
# be reached, or after a watch fell silent. A backoff runs from the beginning of the failed call, but a first
# one is kept behind its end in any case. These sums stay below, with time for the way and a late event loop:
# - a call has just failed at once: the longest backoff, 2 s in discovery's queue and refused, a first
#   backoff, 2 s in the queue and served; this one binds;
# - a call has just begun: given up without a word after 2.5 s, a first backoff, 2 s in the queue and served;
# - a watch has fallen silent: given up after 3 s, a first backoff, 2 s in the queue and served.
NOTIFICATION_LIMIT_US = 6_000_000
DISCOVERY_QUEUE_US = 2_000_000
NOTIFICATION_MARGIN_US = 250_000
MAX_BACKOFF_US = NOTIFICATION_LIMIT_US - 2 * DISCOVERY_QUEUE_US - FIRST_BACKOFF_US - NOTIFICATION_MARGIN_US


class Subscription:
    """Asks for the endpoint list, and again each time that the watch breaks."""

    def __init__(self, settings: messages.Settings, jitter: random.Random, outbox: Outbox) -> None:
        """Take the settings of discovery, and a random source of its own for jitter."""
        self._must_subscribe = settings.must_subscribe
        self.jitter = jitter
        self._outbox = outbox
        self._subscribed_at_us = 0
        self._timer = 0
        self.backoff_us = FIRST_BACKOFF_US
        configured_max_us = int(MAX_BACKOFF_SHARE * settings.rules.max_poll_interval_us)
        self._max_backoff_us = max(FIRST_BACKOFF_US, min(MAX_BACKOFF_US, configured_max_us))

    def start(self) -> None:
        """Subscribe for the first time, where lists come only to those who ask."""
        if self._must_subscribe:
            self._outbox.add(messages.Subscribe())

    def subscribe(self, now_us: int) -> None:
        """Open the watch."""
        self._subscribed_at_us = now_us
        self._outbox.add(messages.Subscribe())

    def reset_backoff(self) -> None:
        """Note that discovery has answered: the next failure is a first one again."""
        self.backoff_us = FIRST_BACKOFF_US

    def handle_failure(self, now_us: int) -> None:
        """Schedule the next subscription after a call to discovery failed or the watch broke."""
        if not self._must_subscribe:
            # Pushed lists count as notified even without a watch, and opening one costs discovery nothing.
            self._schedule_subscription(max(now_us, self._subscribed_at_us + PUSH_WATCH_INTERVAL_US))
            return
        # Jitter keeps the balancers from asking all at the same moment when discovery is back. A call
        # that lasted long has kept load from discovery, so the backoff counts from its beginning.
        jitter_factor = self.jitter.uniform(1.0 - BACKOFF_JITTER, 1.0)
        at_us = max(
            now_us + int(jitter_factor * FIRST_BACKOFF_US),
            self._subscribed_at_us + int(jitter_factor * self.backoff_us),
        )
        self._schedule_subscription(at_us)
        self.backoff_us = min(2 * self.backoff_us, self._max_backoff_us)

    def _schedule_subscription(self, at_us: int) -> None:
        self._outbox.cancel_timer(self._timer)
        self._timer = self._outbox.set_timer(at_us, Resubscribe())
