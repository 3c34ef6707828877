"""Invalid settings are rejected with an error that starts with the field's name."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from load_balancer import messages
from tests.support.balancer_harness import SAFE_CLASS

INVALID_SETTINGS: dict[str, Callable[[], object]] = {
    "classes is empty": lambda: messages.Settings(()),
    "classes names a class twice": lambda: messages.Settings((SAFE_CLASS, SAFE_CLASS)),
    "tenants names": lambda: messages.Settings(
        (SAFE_CLASS,), tenants=(messages.Tenant("t", 1), messages.Tenant("t", 2))
    ),
    "over_quota_weight": lambda: messages.Settings((SAFE_CLASS,), over_quota_weight=1.5),
    "worst_class_weight": lambda: messages.Settings((SAFE_CLASS,), worst_class_weight=-0.1),
    "instances": lambda: messages.Settings((SAFE_CLASS,), instances=0),
    "index": lambda: messages.Settings((SAFE_CLASS,), instances=3, index=3),
    "tick_us": lambda: messages.Settings((SAFE_CLASS,), tick_us=-1),
    "name": lambda: messages.RequestClass("", 1, 1),
    "latency_objective_us": lambda: messages.RequestClass("c", 0, 1),
    "deadline_us": lambda: messages.RequestClass("c", 1, -1),
    "deduplication_window_us": lambda: messages.RequestClass("c", 1, 1, deduplication_window_us=-1),
    "priority_weight": lambda: messages.RequestClass("c", 1, 1, priority_weight=-1),
    "late_weight": lambda: messages.RequestClass("c", 1, 1, late_weight=2),
    "quota_per_s": lambda: messages.Tenant("t", -1),
    "start_capacity": lambda: messages.Rules(start_capacity=1.1),
    "slow_start_us": lambda: messages.Rules(slow_start_us=-1),
    "overload_multiple": lambda: messages.Rules(overload_multiple=0),
    "overload_window_us": lambda: messages.Rules(overload_window_us=0),
    "max_poll_interval_us": lambda: messages.Rules(max_poll_interval_us=0),
    "max_attempts": lambda: messages.Limits(max_attempts=0),
    "connect_timeout_us": lambda: messages.Limits(connect_timeout_us=-1),
}


@pytest.mark.parametrize(("error_start", "construct"), INVALID_SETTINGS.items())
def test_invalid_settings_are_rejected_by_field_name(
    error_start: str, construct: Callable[[], object]
) -> None:
    with pytest.raises(ValueError, match=f"^{error_start}"):
        construct()
