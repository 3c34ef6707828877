"""Units of time, in the microseconds that the policy and the settings count in."""

MILLISECOND_US = 1_000
SECOND_US = 1_000_000
HOUR_US = 3_600 * SECOND_US
