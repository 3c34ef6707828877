"""The endpoint list, maintained from the updates of discovery, and the subset that the balancer uses."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from load_balancer import messages
from load_balancer.policy.endpoint_state import EndpointState
from load_balancer.policy.outbox import Outbox
from load_balancer.policy.slow_start import SlowStart
from load_balancer.policy.subset import Ring

NO_VERSION = -1
# Endpoints that have left the subset and may keep idle connections. Some return soon, as they are at the edge
# of the subset. Without a limit, the others would hold a descriptor each until their connections expire.
MAX_FORMER_MEMBERS = 8


class EndpointList:
    """The endpoints known to a balancer, and the subset of them that it sends requests to."""

    def __init__(
        self,
        settings: messages.Settings,
        outbox: Outbox,
        is_remote: Callable[[messages.Endpoint], bool],
        slow_start: SlowStart,
    ) -> None:
        """Start with an empty list.

        Args:
            settings: The settings of the balancer.
            outbox: Collects the actions that close idle connections.
            is_remote: Returns whether an endpoint is in another zone and crossing zones has a cost.
            slow_start: Creates the warming state of each new incarnation.
        """
        self._instances = settings.instances
        self._outbox = outbox
        self._slow_start = slow_start
        self.ring: Ring[EndpointState] = Ring(
            settings.index, settings.instances, lambda state: is_remote(state.endpoint)
        )
        self.states: dict[int, EndpointState] = {}
        # Ids of the endpoints that have left the subset, in the order in which they left.
        self.former_members: dict[int, None] = {}
        self.subset: list[EndpointState] = []
        self.version = NO_VERSION

    def __iter__(self) -> Iterator[EndpointState]:
        """Iterate over all endpoints, including draining ones."""
        return iter(self.states.values())

    def get(self, endpoint_id: int) -> EndpointState | None:
        """Return the state of an endpoint, or None if it is not in the list."""
        return self.states.get(endpoint_id)

    @property
    def balancers_per_endpoint(self) -> float:
        """The mean number of balancers per endpoint that have it in their subset; at least one."""
        return max(1.0, self._instances * len(self.subset) / max(1, len(self.ring)))

    def apply(self, now_us: int, update: messages.EndpointListUpdate) -> None:
        """Apply an update of any kind but `FAILED`."""
        is_complete = update.kind is not messages.EndpointListKind.CHANGES
        is_stale = not is_complete and update.version < self.version
        if is_complete:
            self.ring.clear()
        for endpoint in update.endpoints:
            self._apply_entry(now_us, endpoint, is_stale=is_stale)
        if is_complete:
            self._remove_unlisted({endpoint.id for endpoint in update.endpoints})
        # A complete list may lower the version. Otherwise, after a switch to a discovery with lower versions,
        # all of its changes would count as stale.
        self.version = max(self.version, update.version) if is_stale else update.version
        self._update_subset()

    def _apply_entry(self, now_us: int, endpoint: messages.Endpoint, *, is_stale: bool) -> None:
        # A stale change may remove or drain an endpoint, but never add one or make it available again.
        is_known_draining = endpoint.status is messages.EndpointStatus.DRAINING and endpoint.id in self.states
        if endpoint.status is messages.EndpointStatus.REMOVED:
            self._remove(endpoint.id)
        elif not is_stale or is_known_draining:
            self._add_or_update(now_us, endpoint)

    def _remove_unlisted(self, listed: set[int]) -> None:
        self.states = {
            endpoint_id: state for endpoint_id, state in self.states.items() if endpoint_id in listed
        }

    def _add_or_update(self, now_us: int, endpoint: messages.Endpoint) -> None:
        """Add or update an endpoint. An endpoint that has restarted under the same id gets a new state."""
        state = self.states.get(endpoint.id)
        if state is not None:
            self.ring.remove(state)  # before its zone changes, as the ring groups its members by zone
        if state is not None and state.endpoint.incarnation_us == endpoint.incarnation_us:
            state.endpoint = endpoint
        else:
            state = EndpointState(endpoint, self._slow_start.new_warming_state(now_us, endpoint.id))
            self.states[endpoint.id] = state
        if state.is_up:
            self.ring.add(state)

    def _remove(self, endpoint_id: int) -> None:
        state = self.states.pop(endpoint_id, None)
        if state is not None:
            self.ring.remove(state)

    def _update_subset(self) -> None:
        """Recompute the subset. The cost grows with the size of the subset, not of the fleet."""
        previous_subset, self.subset = self.subset, self.ring.subset()
        if self.subset != previous_subset:
            self._close_former_members(previous_subset)

    def _close_former_members(self, previous_subset: list[EndpointState]) -> None:
        """Close idle connections to endpoints that have left the subset, except to the most recent ones."""
        current = {state.endpoint.id for state in self.subset}
        for state in previous_subset:
            if state.endpoint.id not in current:
                self.former_members[state.endpoint.id] = None
        # The driver closes the connections to removed and draining endpoints on its own.
        self.former_members = {
            endpoint_id: None
            for endpoint_id in self.former_members
            if endpoint_id not in current and self._is_up(endpoint_id)
        }
        for endpoint_id in list(self.former_members)[:-MAX_FORMER_MEMBERS]:
            del self.former_members[endpoint_id]
            self._outbox.add(messages.CloseIdle(endpoint_id))

    def _is_up(self, endpoint_id: int) -> bool:
        state = self.states.get(endpoint_id)
        return state is not None and state.is_up
