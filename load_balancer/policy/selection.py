"""Selection of an endpoint: the fewer in flight of two share-weighted draws."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from load_balancer import messages
from load_balancer.policy.endpoint_state import EndpointState

REMOTE_WEIGHT = 0.3  # a draw's weight for an endpoint in another zone, where crossing has a price
REMOTE_PENALTY_ATTEMPTS = 2  # attempts in flight that such an endpoint counts as having besides its own


@dataclass(frozen=True, slots=True)
class Selection:
    """The endpoint that was selected, and the draws it was selected from, the winner first."""

    endpoint: EndpointState
    draws: tuple[messages.Draw, ...]


class Selector:
    """Draws endpoints with its own random numbers."""

    def __init__(self, settings: messages.Settings, seed: int) -> None:
        """Seed the draws; `settings` tell the own zone and the price of leaving it."""
        self._settings = settings
        self.random = random.Random(seed)

    def is_remote(self, endpoint: messages.Endpoint) -> bool:
        """Tell whether an attempt to this endpoint leaves the own zone at a price."""
        return self._settings.cross_zone_price > 0.0 and endpoint.zone != self._settings.zone

    def pick(self, now_us: int, candidates: Sequence[EndpointState]) -> Selection:
        """Select, of two draws by share, the endpoint with fewer own attempts in flight.

        An attempt to another zone costs as much as a short queue in the own one.
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
        """Draw one endpoint at random, weighted by share; one of another zone is less likely."""
        remaining_weight = self.random.random() * sum(self._weight(state) for state in candidates)
        for state in candidates:
            remaining_weight -= self._weight(state)
            if remaining_weight < 0.0:
                return state
        return candidates[-1]
