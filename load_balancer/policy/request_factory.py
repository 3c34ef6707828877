"""Builds the state of a request as it arrives: its class, its priority and the times that it must keep."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.class_state import ClassState
from load_balancer.policy.request_priority import request_priority
from load_balancer.policy.request_state import RequestState
from load_balancer.policy.tenant_quota import TenantQuota

# A request waits in the queue for this share of its useful time. With less, what could still be served would
# be rejected; past half of its time a rejection costs more than the answer may yet earn.
QUEUE_SHARE = 0.5


class RequestFactory:
    """Owns what is known of classes and tenants, and builds requests from it."""

    def __init__(self, settings: messages.Settings, margin_us: int) -> None:
        """Start from the settings; `margin_us` is kept back from deadlines."""
        self._settings = settings
        self._margin_us = margin_us
        self.classes = {settings.name: ClassState(settings) for settings in settings.classes}
        self._quotas = {
            tenant.name: TenantQuota(tenant.quota_per_s, settings.instances) for tenant in settings.tenants
        }

    def create(self, now_us: int, event: messages.Request) -> RequestState:
        """Count a request that has arrived, and return its state."""
        request_class = self._class_of(event)
        request_class.requests += 1
        priority = self._priority(now_us, event, request_class)
        deadline_us = now_us + event.time_left_us
        age_us = request_class.age_us(event, self._margin_us)
        useful_until_us = min(deadline_us, now_us + request_class.useful_period_us - age_us)
        max_wait_us = int(QUEUE_SHARE * (useful_until_us - now_us))
        return RequestState(
            id=event.id,
            request_class=request_class,
            priority=priority,
            deadline_us=deadline_us,
            # Past its useful time an answer earns nothing, and a late failure costs: end just before.
            useful_until_us=useful_until_us - self._margin_us,
            max_wait_us=max_wait_us,
            free_rejection_until_us=now_us + max_wait_us,
        )

    def _class_of(self, event: messages.Request) -> ClassState:
        request_class = self.classes.get(event.class_name)
        if request_class is None:  # not in the settings: handled with all caution, as unsafe to repeat
            time_left_us = max(1, event.time_left_us)
            request_class = ClassState(messages.RequestClass(event.class_name, time_left_us, time_left_us))
            self.classes[event.class_name] = request_class
        return request_class

    def _priority(self, now_us: int, event: messages.Request, request_class: ClassState) -> float:
        priority = request_priority(request_class, self.classes.values(), self._settings.worst_class_weight)
        quota = self._quotas.get(event.tenant or "")
        if quota is not None and not quota.try_spend(now_us):
            priority *= self._settings.over_quota_weight
        return priority
