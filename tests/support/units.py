"""Units of time in microseconds, the unit of the policy and the settings."""

MILLISECOND_US = 1_000
SECOND_US = 1_000_000
HOUR_US = 3_600 * SECOND_US
