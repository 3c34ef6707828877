"""The event loop's driver: events go to the policy, and its actions to connections and timers."""
