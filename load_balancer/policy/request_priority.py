"""The priority of requests, which is the order in which queued requests are sent."""

from __future__ import annotations

from collections.abc import Collection

from load_balancer.policy.class_state import ClassState

MIN_MEAN_WEIGHT = 1e-9  # avoids a division by zero if no class has any weight


def request_priority(
    request_class: ClassState, classes: Collection[ClassState], worst_class_weight: float
) -> float:
    """Return the value of a response for the objective, per microsecond of work."""
    total_requests = sum(other.requests for other in classes)
    mean_weight = sum(other.requests * other.settings.priority_weight for other in classes) / total_requests
    value = (1.0 - worst_class_weight) * request_class.settings.priority_weight
    value /= max(mean_weight, MIN_MEAN_WEIGHT)
    # The objective also contains the worst-served class by itself. Without this term that class could starve.
    if request_class.served_share <= min(other.served_share for other in classes):
        value += worst_class_weight * total_requests / request_class.requests
    return value / request_class.usual_latency_us
