"""What a balancer has learned of each class of requests, over all endpoints."""

from __future__ import annotations

from load_balancer import messages

LATENCY_ALPHA = 0.02  # weight of an answer in the usual latency of its class
INITIAL_LATENCY_SHARE = 0.2  # the usual latency before any answer, as a share of the latency objective
SERVED_ALPHA = 0.02  # weight of a request in the share of its class that is served
GOOD_LATENCY_SHARE = 0.38  # an answer is in good time within this share of its latency objective


class ClassState:
    """A class of requests and what it usually takes, over all endpoints."""

    def __init__(self, settings: messages.RequestClass) -> None:
        """Start from the settings alone."""
        self.settings = settings
        self.useful_period_us = (
            settings.latency_objective_us if settings.late_weight <= 0 else settings.deadline_us
        )
        self.usual_latency_us = INITIAL_LATENCY_SHARE * settings.latency_objective_us
        self.latency_samples = 0
        self.requests = 0
        self.served_share = 1.0  # running share of its requests that got an answer in time
        self.longest_first_time_remaining_us = 0  # of requests that are no client retries

    def add_latency(self, latency_us: int) -> None:
        """Learn from the latency of a successful attempt, microseconds."""
        self.latency_samples += 1
        weight = max(LATENCY_ALPHA, 1.0 / self.latency_samples)
        self.usual_latency_us += weight * (latency_us - self.usual_latency_us)
        self.usual_latency_us = max(self.usual_latency_us, 1.0)

    def age_us(self, request: messages.Request, tolerance_us: int) -> int:
        """Return the time that the client's earlier attempts have used up: what is missing of the deadline.

        Clients may wait for only part of the deadline in all attempts but the last, so a time left like
        that of first attempts tells no age. No age is derived from the time left of other clients.
        """
        if not request.retry:
            self.longest_first_time_remaining_us = max(
                self.longest_first_time_remaining_us, request.time_left_us
            )
            return 0
        if abs(request.time_left_us - self.longest_first_time_remaining_us) <= tolerance_us:
            return 0
        return max(0, self.settings.deadline_us - request.time_left_us)

    def add_result(self, *, served_in_time: bool) -> None:
        """Count a finished request into the share that is served."""
        self.served_share += SERVED_ALPHA * (served_in_time - self.served_share)

    def relative_latency(self, latency_us: int) -> float:
        """Return a latency in units of the longest one that is in good time."""
        return latency_us / (GOOD_LATENCY_SHARE * self.settings.latency_objective_us)
