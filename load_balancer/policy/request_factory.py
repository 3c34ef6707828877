"""The creation of request states: the class, the priority and the time limits of a new request."""

from __future__ import annotations

from load_balancer import messages
from load_balancer.policy.class_state import ClassState
from load_balancer.policy.request_priority import request_priority
from load_balancer.policy.request_state import RequestState
from load_balancer.policy.tenant_quota import TenantQuota

# A request waits in the admission queue for at most this share of its useful time. A smaller share would
# reject requests that could still be served. After half of the useful time, a rejection costs more than the
# response could still earn.
MAX_QUEUE_WAIT_SHARE = 0.5


class RequestFactory:
    """Creates request states. Owns the states of the classes and the quotas of the tenants."""

    def __init__(self, settings: messages.Settings, margin_us: int) -> None:
        """Create the states of the classes and the quotas.

        Args:
            settings: The settings of the balancer.
            margin_us: The time by which deadlines are brought forward.
        """
        self._settings = settings
        self._margin_us = margin_us
        self.classes = {settings.name: ClassState(settings) for settings in settings.classes}
        self._quotas = {
            tenant.name: TenantQuota(tenant.quota_per_s, settings.instances) for tenant in settings.tenants
        }

    def create(self, now_us: int, event: messages.Request) -> RequestState:
        """Return the state of a new request, and count the request in its class and its tenant's quota."""
        request_class = self._class_state(event)
        request_class.requests += 1
        priority = self._priority(now_us, event, request_class)
        deadline_us = now_us + event.time_remaining_us
        age_us = request_class.age_us(event, self._margin_us)
        useful_until_us = min(deadline_us, now_us + request_class.useful_period_us - age_us)
        max_queue_wait_us = int(MAX_QUEUE_WAIT_SHARE * (useful_until_us - now_us))
        return RequestState(
            id=event.id,
            request_class=request_class,
            priority=priority,
            deadline_us=deadline_us,
            # A response after the useful time earns nothing, and a late failure has a cost: attempts time out
            # just before.
            useful_until_us=useful_until_us - self._margin_us,
            max_queue_wait_us=max_queue_wait_us,
            free_rejection_until_us=now_us + max_queue_wait_us,
        )

    def _class_state(self, event: messages.Request) -> ClassState:
        request_class = self.classes.get(event.class_name)
        if request_class is None:  # a class that is not in the settings counts as unsafe to repeat
            time_remaining_us = max(1, event.time_remaining_us)
            request_class = ClassState(
                messages.RequestClass(event.class_name, time_remaining_us, time_remaining_us)
            )
            self.classes[event.class_name] = request_class
        return request_class

    def _priority(self, now_us: int, event: messages.Request, request_class: ClassState) -> float:
        priority = request_priority(request_class, self.classes.values(), self._settings.worst_class_weight)
        quota = self._quotas.get(event.tenant or "")
        if quota is not None and not quota.try_spend(now_us):
            priority *= self._settings.over_quota_weight
        return priority
