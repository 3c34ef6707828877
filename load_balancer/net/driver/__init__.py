"""Event loop driver: passes events to the policy, and its actions to connections and timers."""
