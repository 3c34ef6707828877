"""Selection of an endpoint: of two share-weighted random draws, the one with the lower load."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from load_balancer import messages
from load_balancer.policy.endpoint_state import EndpointState

REMOTE_WEIGHT = 0.3  # factor on the weight of an endpoint in another zone, if crossing zones has a cost
REMOTE_PENALTY_ATTEMPTS = 2  # added to the load of such an endpoint when loads are compared


@dataclass(frozen=True, slots=True)
class Selection:
    """The selected endpoint, and the draws that it was selected from, the selected one first."""

    endpoint: EndpointState
    draws: tuple[messages.Draw, ...]


class Selector:
    """Selects endpoints at random, with a random number generator of its own."""

    def __init__(self, settings: messages.Settings, seed: int) -> None:
        """Create a selector.

        Args:
            settings: The settings, with the balancer's zone and the cost of an attempt in another zone.
            seed: The seed of the draws.
        """
        self._settings = settings
        self.random = random.Random(seed)

    def is_remote(self, endpoint: messages.Endpoint) -> bool:
        """Return whether the endpoint is in another zone and crossing zones has a cost."""
        return self._settings.cross_zone_cost > 0.0 and endpoint.zone != self._settings.zone

    def pick(self, now_us: int, candidates: Sequence[EndpointState]) -> Selection:
        """Select the endpoint with the lower load of two draws by share.

        The load of an endpoint of another zone is raised by a penalty: crossing zones costs as much as a
        short queue in the local zone.
        """
        first = self.draw(candidates)
        drawn = [first]
        if len(candidates) > 1:
            drawn.append(self.draw([state for state in candidates if state is not first]))
            drawn.sort(key=lambda state: self._comparable_load(now_us, state))
        draws = tuple(messages.Draw(state.endpoint.id, state.share, state.load(now_us)) for state in drawn)
        return Selection(drawn[0], draws)

    def _comparable_load(self, now_us: int, state: EndpointState) -> int:
        return state.load(now_us) + REMOTE_PENALTY_ATTEMPTS * self.is_remote(state.endpoint)

    def _weight(self, state: EndpointState) -> float:
        return state.share * (REMOTE_WEIGHT if self.is_remote(state.endpoint) else 1.0)

    def draw(self, candidates: Sequence[EndpointState]) -> EndpointState:
        """Return a random endpoint, weighted by share and with a lower weight for other zones."""
        remaining_weight = self.random.random() * sum(self._weight(state) for state in candidates)
        for state in candidates:
            remaining_weight -= self._weight(state)
            if remaining_weight < 0.0:
                return state
        return candidates[-1]
