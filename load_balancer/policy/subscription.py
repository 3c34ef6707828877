"""The subscription to discovery, with the backoff before a failed watch is opened again."""

from __future__ import annotations

import random

from load_balancer import messages
from load_balancer.policy.outbox import Outbox, Resubscribe

PUSH_WATCH_INTERVAL_US = 100_000  # between watches, if discovery pushes lists without a subscription
FIRST_BACKOFF_US = 500_000  # before the first retry of a subscription, if lists are not pushed
BACKOFF_JITTER = 0.3  # a backoff is shortened by a random share of up to this
MAX_BACKOFF_SHARE = 0.125  # the longest backoff, as a share of `max_poll_interval_us`
# Upper bound on the longest backoff, for all settings. By the protocol, the balancer must have a change 6 s
# after discovery has it and is reachable, or after a watch becomes silent. A backoff counts from the start of
# the failed call, but the next call starts at least a first backoff after its end. The margin covers network
# latency and event loop delays. The worst case of each failure stays within the limit:
# - A call has failed immediately: the longest backoff, 2 s in discovery's queue until the next call is
#   refused, a first backoff, and 2 s in the queue until the list is sent. This case determines the bound.
# - A call has just started: late without a response after 2.5 s, a first backoff, 2 s in the queue.
# - A watch has become silent: late after 3 s, a first backoff, 2 s in the queue.
NOTIFICATION_LIMIT_US = 6_000_000
DISCOVERY_QUEUE_US = 2_000_000
NOTIFICATION_MARGIN_US = 250_000
MAX_BACKOFF_US = NOTIFICATION_LIMIT_US - 2 * DISCOVERY_QUEUE_US - FIRST_BACKOFF_US - NOTIFICATION_MARGIN_US


class Subscription:
    """Subscribes to the endpoint list: at the start if required, and after a delay once a watch fails."""

    def __init__(self, settings: messages.Settings, jitter: random.Random, outbox: Outbox) -> None:
        """Start without a subscription.

        Args:
            settings: The settings of the balancer.
            jitter: The random number generator for the jitter of backoffs.
            outbox: Collects the subscriptions and timers.
        """
        self._must_subscribe = settings.must_subscribe
        self.jitter = jitter
        self._outbox = outbox
        self._subscribed_at_us = 0
        self._timer_id = 0
        self.backoff_us = FIRST_BACKOFF_US
        configured_max_us = int(MAX_BACKOFF_SHARE * settings.rules.max_poll_interval_us)
        self._max_backoff_us = max(FIRST_BACKOFF_US, min(MAX_BACKOFF_US, configured_max_us))

    def start(self) -> None:
        """Subscribe if discovery sends lists to subscribers only."""
        if self._must_subscribe:
            self._outbox.add(messages.Subscribe())

    def subscribe(self, now_us: int) -> None:
        """Subscribe to the endpoint list, which opens a watch."""
        self._subscribed_at_us = now_us
        self._outbox.add(messages.Subscribe())

    def reset_backoff(self) -> None:
        """Reset the backoff, as discovery has sent a list."""
        self.backoff_us = FIRST_BACKOFF_US

    def handle_failure(self, now_us: int) -> None:
        """Schedule the next subscription after a call to discovery or the watch has failed or is late."""
        if not self._must_subscribe:
            # With pushed lists, the balancer is expected to have each change even while no watch is open. A
            # new watch puts no load on discovery, so it needs no backoff.
            self._schedule_subscription(max(now_us, self._subscribed_at_us + PUSH_WATCH_INTERVAL_US))
            return
        # Jitter keeps the balancers from subscribing all at once when discovery recovers. No other call is
        # opened until a call is late, so the backoff counts from the start of the call.
        jitter_factor = self.jitter.uniform(1.0 - BACKOFF_JITTER, 1.0)
        at_us = max(
            now_us + int(jitter_factor * FIRST_BACKOFF_US),
            self._subscribed_at_us + int(jitter_factor * self.backoff_us),
        )
        self._schedule_subscription(at_us)
        self.backoff_us = min(2 * self.backoff_us, self._max_backoff_us)

    def _schedule_subscription(self, at_us: int) -> None:
        self._outbox.cancel_timer(self._timer_id)
        self._timer_id = self._outbox.set_timer(at_us, Resubscribe())
