"""Running statistics of each request class, over all endpoints."""

from __future__ import annotations

from load_balancer import messages

LATENCY_ALPHA = 0.02  # weight of a response in the usual latency of its class
INITIAL_LATENCY_SHARE = 0.2  # usual latency before any response, as a share of the latency objective
SERVED_ALPHA = 0.02  # weight of a request in the served share of its class
GOOD_LATENCY_SHARE = 0.38  # longest good latency, as a share of the latency objective


class ClassState:
    """Settings and running statistics of a request class."""

    def __init__(self, settings: messages.RequestClass) -> None:
        """Create statistics without samples."""
        self.settings = settings
        self.useful_period_us = (
            settings.latency_objective_us if settings.late_weight <= 0 else settings.deadline_us
        )
        self.usual_latency_us = INITIAL_LATENCY_SHARE * settings.latency_objective_us
        self.latency_samples = 0
        self.requests = 0
        self.served_share = 1.0  # running share of its requests that got a response in time
        self.longest_first_time_remaining_us = 0  # of requests that aren't client retries

    def add_latency(self, latency_us: int) -> None:
        """Update the usual latency with the latency of a successful attempt."""
        self.latency_samples += 1
        weight = max(LATENCY_ALPHA, 1.0 / self.latency_samples)
        self.usual_latency_us += weight * (latency_us - self.usual_latency_us)
        self.usual_latency_us = max(self.usual_latency_us, 1.0)

    def age_us(self, request: messages.Request, tolerance_us: int) -> int:
        """Return the part of the deadline that the client's earlier attempts used; 0 for a first attempt.

        A client may give each attempt except its last only a part of the deadline. A retry whose time
        remaining equals that of first attempts, within the tolerance, therefore has age 0. The age of any
        other retry is the deadline in the settings less its time remaining; it never depends on the time
        remaining of other clients' requests.
        """
        if not request.retry:
            self.longest_first_time_remaining_us = max(
                self.longest_first_time_remaining_us, request.time_remaining_us
            )
            return 0
        if abs(request.time_remaining_us - self.longest_first_time_remaining_us) <= tolerance_us:
            return 0
        return max(0, self.settings.deadline_us - request.time_remaining_us)

    def add_result(self, *, served_in_time: bool) -> None:
        """Update the served share with a finished request."""
        self.served_share += SERVED_ALPHA * (served_in_time - self.served_share)

    def relative_latency(self, latency_us: int) -> float:
        """Return a latency relative to the longest good latency."""
        return latency_us / (GOOD_LATENCY_SHARE * self.settings.latency_objective_us)
